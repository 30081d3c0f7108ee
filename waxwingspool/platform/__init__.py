"""Translation between the platform's names, formats and calls and the balancer's own types.

The package makes no routing decisions; no other package uses the platform's names.
"""
