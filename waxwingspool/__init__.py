"""waxwingspool: a load balancer for servers whose load shifts in milliseconds.

Subpackages:

- :mod:`waxwingspool.config`: settings, the configuration file and its distribution,
- :mod:`waxwingspool.interfaces`: clients of the table, object store, VM list and upstreams,
- :mod:`waxwingspool.platform`: names, formats and calls of the deployment platform,
- :mod:`waxwingspool.catalog`: a balancer's settings, routes and upstreams,
- :mod:`waxwingspool.dispatch`: scheduling and load-control logic without I/O,
- :mod:`waxwingspool.fleet`: state shared by balancers: members, store rows, slots,
- :mod:`waxwingspool.proxy`: the request path between callers and upstreams,
- :mod:`waxwingspool.edge`: the balancer process that is deployed on the platform,
- :mod:`waxwingspool.once`: at-most-once execution of non-idempotent requests,
- :mod:`waxwingspool.membership`: gossip between balancers and configuration rollout,
- :mod:`waxwingspool.routing`: upstream selection, limits, hedging and budgets,
- :mod:`waxwingspool.serve`: the balancer process of ``waxwingspool run`` and its HTTP interfaces,
- :mod:`waxwingspool.observe`: logs, metrics and the service-level burn report,
- :mod:`waxwingspool.cli`: the command-line interface.
"""

__version__ = "0.1.0"
