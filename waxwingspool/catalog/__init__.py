"""Types for a balancer's settings, the routing table and the registered upstreams."""
