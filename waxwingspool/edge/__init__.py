"""The deployed balancer: one process on each VM, between callers and upstreams."""
