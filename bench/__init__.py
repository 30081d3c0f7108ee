"""Measurements of real balancer processes against the stand-ins."""
