"""What balancers tell each other."""
