"""All services of the configuration in force: pools, and rules by path."""

import dataclasses
import random
import time
from collections.abc import Callable

from waxwingspool.config import model
from waxwingspool.routing import pacing, policy, pool, target

__all__ = ["Fleet", "Route"]

# Round trip assumed to another region where none is configured, in milliseconds.
LEAST_CROSSING_MS = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What serves a request."""

    pool: pool.Pool
    rule: model.Rule


class Fleet:
    """The pools of all services.

    :param region: this balancer's region.
    :param policy_name: a key of :data:`waxwingspool.routing.policy.POLICIES`.
    :param rng: source of random numbers.
    :param on_departure: called with a target that has been seen to leave for the first time.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        region: str,
        policy_name: str,
        rng: random.Random,
        on_departure: Callable[[target.Target], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._region = region
        self._policy = policy.POLICIES[policy_name]
        self._rng = rng
        self._on_departure = on_departure
        self._clock = clock
        self._regions: dict[str, str] = {}
        self._targets: dict[str, target.Target] = {}
        self._shared: model.Configuration | None = None
        self._routes: dict[str, list[tuple[str, Route]]] = {}
        self.pools: dict[str, pool.Pool] = {}

    def configure(self, configuration: model.Configuration) -> None:
        """Take over a configuration; services whose part has not changed are left alone.

        :param configuration: the whole configuration.
        """
        self._regions = {d.name: d.region for d in configuration.data_centres}
        paths = self._paths(configuration)
        shared = configuration.model_copy(update={"services": ()})
        same = shared == self._shared
        self._shared = shared
        balancers = configuration.measuring.balancers
        pools: dict[str, pool.Pool] = {}
        for service in configuration.services:
            p = self.pools.get(service.name)
            if p is None:
                choose = self._policy(self._rng)
                p = pool.Pool(service, paths, choose, self._on_departure, balancers, self._clock)
            elif not (same and p.service == service):
                p.configure(service, paths, balancers)
            pools[service.name] = p
        self.pools = pools
        self._targets = {t.name: t for p in pools.values() for t in p.targets.values()}
        self._routes = _routes(pools)

    def route(self, method: str, path: str) -> Route | None:
        """Return what serves a request: the rule with the longest matching path.

        :param method: the request's method.
        :param path: its path.
        :returns: the route, ``None`` if no rule matches.
        """
        for prefix, route in self._routes.get(_first_segment(path), ()):
            if path.startswith(prefix) and method in route.rule.methods:
                return route
        for prefix, route in self._routes.get("", ()):
            if path.startswith(prefix) and method in route.rule.methods:
                return route
        return None

    def find(self, name: str) -> target.Target | None:
        """Return the target of an upstream, ``None`` if there is none.

        :param name: the upstream's name.
        """
        return self._targets.get(name)

    def region_of(self, data_centre: str) -> str | None:
        """Return the region of a data centre, ``None`` if it is not configured.

        :param data_centre: its name.
        """
        return self._regions.get(data_centre)

    def data_centres(self, region: str | None) -> list[str]:
        """Return the data centres of a region.

        :param region: its name.
        """
        return [name for name, r in self._regions.items() if r == region]

    def _paths(self, configuration: model.Configuration) -> pool.Paths:
        """Return how each data centre is reached from this region."""
        balancers = configuration.measuring.balancers
        links = {
            frozenset(link.between): pool.Path(
                max(LEAST_CROSSING_MS, 2 * link.one_way_ms),
                pacing.Pacer(link.bits_per_s / 8 * link.upload_share / balancers),
            )
            for link in configuration.links
            if self._region in link.between
        }
        unknown = pool.Path(LEAST_CROSSING_MS, None)

        def path(data_centre: str) -> pool.Path:
            region = self._regions[data_centre]
            if region == self._region:
                return pool.INSIDE
            return links.get(frozenset((region, self._region)), unknown)

        return path


def _first_segment(path: str) -> str:
    """Return the first segment of a path.

    >>> _first_segment("/paytag/pay")
    'paytag'
    """
    return path[1:].partition("/")[0]


def _routes(pools: dict[str, pool.Pool]) -> dict[str, list[tuple[str, Route]]]:
    """Return the routes by first segment, the longest paths first."""
    routes: dict[str, list[tuple[str, Route]]] = {}
    for p in pools.values():
        for rule in p.service.rules:
            segment, slash, _ = rule.path[1:].partition("/")
            key = segment if slash else ""
            routes.setdefault(key, []).append((rule.path, Route(p, rule)))
    for found in routes.values():
        found.sort(key=lambda pair: len(pair[0]), reverse=True)
    return routes
