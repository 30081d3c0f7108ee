"""Data that a balancer routes by: its own settings, the routing table and the upstreams."""
