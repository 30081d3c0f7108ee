"""The product's own wire forms: table, object store, VM list and upstreams."""
