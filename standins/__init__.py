"""Simulated platform, upstreams and callers for tests, the demonstration and benchmarks."""
