"""The services of the configuration in force: their pools, and request routing by path."""

import dataclasses
import random
import time
from collections.abc import Callable

from waxwingspool.config import model
from waxwingspool.routing import pacing, policy, pool, target

__all__ = ["Route", "ServicePools"]

# Lower bound of the round-trip time to another region, also used where no link is configured, in
# milliseconds. It is above zero because zero means the same region.
MIN_CROSS_REGION_RTT_MS = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The pool and rule that apply to a request."""

    pool: pool.Pool
    rule: model.Rule


class ServicePools:
    """The pools of all services.

    :param region: this balancer's region.
    :param policy_name: a key of :data:`waxwingspool.routing.policy.POLICIES`.
    :param rng: source of random numbers.
    :param on_leaving: called with a target when it first reports that it is leaving.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        region: str,
        policy_name: str,
        rng: random.Random,
        on_leaving: Callable[[target.Target], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._region = region
        self._create_policy = policy.POLICIES[policy_name]
        self._rng = rng
        self._on_leaving = on_leaving
        self._clock = clock
        self._regions: dict[str, str] = {}
        self._targets_by_name: dict[str, target.Target] = {}
        # The configuration without its services; a change of it affects every pool.
        self._shared: model.Configuration | None = None
        self._routes: dict[str, list[tuple[str, Route]]] = {}
        self.pools: dict[str, pool.Pool] = {}

    def configure(self, configuration: model.Configuration) -> None:
        """Apply a configuration; pools of unchanged services are not touched.

        :param configuration: the complete configuration.
        """
        self._regions = {d.name: d.region for d in configuration.data_centres}
        get_path = self._path_lookup(configuration)
        shared = configuration.model_copy(update={"services": ()})
        shared_unchanged = shared == self._shared
        self._shared = shared
        max_balancers = configuration.measuring.balancers
        pools: dict[str, pool.Pool] = {}
        for service in configuration.services:
            p = self.pools.get(service.name)
            if p is None:
                choose = self._create_policy(self._rng)
                p = pool.Pool(
                    service, get_path, choose, self._on_leaving, max_balancers, self._clock
                )
            elif not (shared_unchanged and p.service == service):
                p.configure(service, get_path, max_balancers)
            pools[service.name] = p
        self.pools = pools
        self._targets_by_name = {t.name: t for p in pools.values() for t in p.targets.values()}
        self._routes = _routes(pools)

    def route(self, method: str, path: str) -> Route | None:
        """Return the route of a request.

        It is the rule with the longest matching path prefix among those that allow the method.

        :param method: the request's method.
        :param path: the request's path.
        :returns: the route, ``None`` if no rule matches the path and the method.
        """
        for prefix, route in self._routes.get(_first_segment(path), ()):
            if path.startswith(prefix) and method in route.rule.methods:
                return route
        for prefix, route in self._routes.get("", ()):
            if path.startswith(prefix) and method in route.rule.methods:
                return route
        return None

    def get_target(self, name: str) -> target.Target | None:
        """Return the target of an upstream, ``None`` if it is not configured.

        :param name: the upstream's name.
        """
        return self._targets_by_name.get(name)

    def region_of(self, data_centre: str) -> str | None:
        """Return the region of a data centre, ``None`` if it is not configured.

        :param data_centre: the data centre's name.
        """
        return self._regions.get(data_centre)

    def data_centres(self, region: str | None) -> list[str]:
        """Return the data centres of a region.

        :param region: the region's name.
        """
        return [name for name, r in self._regions.items() if r == region]

    def _path_lookup(self, configuration: model.Configuration) -> pool.NetworkPathLookup:
        """Return a function that gives the network path from this region to a data centre."""
        max_balancers = configuration.measuring.balancers
        links = {
            frozenset(link.between): pool.NetworkPath(
                max(MIN_CROSS_REGION_RTT_MS, 2 * link.one_way_ms),
                pacing.Pacer(link.bits_per_s / 8 * link.upload_share / max_balancers),
            )
            for link in configuration.links
            if self._region in link.between
        }
        default = pool.NetworkPath(MIN_CROSS_REGION_RTT_MS, None)

        def get_path(data_centre: str) -> pool.NetworkPath:
            region = self._regions[data_centre]
            if region == self._region:
                return pool.LOCAL_PATH
            return links.get(frozenset((region, self._region)), default)

        return get_path


def _first_segment(path: str) -> str:
    """Return the first segment of a path.

    >>> _first_segment("/paytag/pay")
    'paytag'
    """
    return path[1:].partition("/")[0]


def _routes(pools: dict[str, pool.Pool]) -> dict[str, list[tuple[str, Route]]]:
    """Return the routes by first path segment, longest path first.

    Rules whose path has no complete first segment are under the empty key.
    """
    routes: dict[str, list[tuple[str, Route]]] = {}
    for p in pools.values():
        for rule in p.service.rules:
            segment, slash, _ = rule.path[1:].partition("/")
            key = segment if slash else ""
            routes.setdefault(key, []).append((rule.path, Route(p, rule)))
    for candidates in routes.values():
        candidates.sort(key=lambda pair: len(pair[0]), reverse=True)
    return routes
