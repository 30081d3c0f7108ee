"""Clients of the external systems: table, object store, VM list and upstreams."""
