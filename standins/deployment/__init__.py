"""A whole deployment on loopback: store, upstreams, links that fail, real balancers."""
