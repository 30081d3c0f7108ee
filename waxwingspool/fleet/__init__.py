"""State shared between balancers: membership, copies of the store's tables, and slots."""
