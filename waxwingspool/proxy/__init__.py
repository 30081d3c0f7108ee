"""The request path: callers, upstream connections and the forwarding between them."""
