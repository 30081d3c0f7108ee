"""End-to-end demonstrations in which upstreams drain and balancers are stopped or killed."""
