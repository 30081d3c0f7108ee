"""waxwingspool: a load balancer for servers whose load shifts in milliseconds.

The subpackages follow the themes of the product:

- :mod:`waxwingspool.config`: settings, the configuration file and how it spreads,
- :mod:`waxwingspool.interfaces`: the product's own table, object store, VM list, upstreams,
- :mod:`waxwingspool.platform`: the users' platform, its names, formats and calls,
- :mod:`waxwingspool.catalog`: what a balancer knows: settings, routes, upstreams,
- :mod:`waxwingspool.dispatch`: decisions under load, apart from input and output,
- :mod:`waxwingspool.fleet`: what balancers share: members, rows of the store, slots,
- :mod:`waxwingspool.proxy`: the request path between callers and upstreams,
- :mod:`waxwingspool.edge`: the deployed role,
- :mod:`waxwingspool.once`: at-most-once execution of non-idempotent requests,
- :mod:`waxwingspool.membership`: what balancers tell each other,
- :mod:`waxwingspool.routing`: the choice of an upstream, limits, hedges and budgets,
- :mod:`waxwingspool.serve`: the request path and the process around it,
- :mod:`waxwingspool.observe`: logs, metrics and the service-level burn report,
- :mod:`waxwingspool.cli`: the command line.
"""

__version__ = "0.1.0"
