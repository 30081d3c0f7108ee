"""The HTTP data path: connections of callers, connections to upstreams, and forwarding."""
