"""Benchmarks that run balancer processes against simulated upstreams and platform services."""
