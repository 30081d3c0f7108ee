"""A deployment on loopback: balancer processes, simulated store and upstreams, faulty links."""
