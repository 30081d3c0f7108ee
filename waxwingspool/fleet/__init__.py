"""What balancers share: members, beliefs read from the store, and slots."""
