"""waxwingspool: a load balancer for servers whose load shifts in milliseconds.

The subpackages follow the themes of the product:

- :mod:`waxwingspool.config`: settings, the configuration file and how it spreads,
- :mod:`waxwingspool.interfaces`: the platform's table, object store and VM list,
- :mod:`waxwingspool.once`: at-most-once execution of non-idempotent requests,
- :mod:`waxwingspool.membership`: what balancers tell each other,
- :mod:`waxwingspool.routing`: the choice of an upstream, limits, hedges and budgets,
- :mod:`waxwingspool.serve`: the request path and the process around it,
- :mod:`waxwingspool.observe`: logs, metrics and the service-level burn report,
- :mod:`waxwingspool.cli`: the command line.
"""

__version__ = "0.1.0"
