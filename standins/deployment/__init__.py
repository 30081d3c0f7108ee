"""A whole deployment on loopback: the platform's store, upstreams, links that fail, real balancers."""
