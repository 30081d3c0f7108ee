"""Selects the service for each request of a route that is split by weight.

Load pattern: few requests per second on each of many balancers. With independent random draws,
the shares over a short interval would be far from the weights. Smooth weighted round robin keeps
each balancer within one request of its shares, and a random initial state keeps the balancers from
picking the same services in lockstep.
"""

import random

from waxwingspool.catalog import routes

__all__ = ["Splitter"]


class Splitter:
    """Smooth weighted round robin over the services of each split route.

    :param rng: draws the initial state of each route.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[tuple[routes.WeightedService, ...], list[float]] = {}

    def pick(self, route: routes.Route) -> str:
        """Return the service for the next request of a route."""
        weighted_services = route.weighted_services
        if len(weighted_services) == 1:
            return weighted_services[0].service
        total = sum(weighted.weight for weighted in weighted_services)
        if total <= 0:
            return weighted_services[0].service
        credit = self._credits.get(weighted_services)
        if credit is None:
            credit = self._credits[weighted_services] = self._initial_credits(weighted_services)
        for index, weighted in enumerate(weighted_services):
            credit[index] += weighted.weight / total
        best = max(range(len(weighted_services)), key=credit.__getitem__)
        credit[best] -= 1.0
        return weighted_services[best].service

    def reset(self) -> None:
        """Discard the state of all routes, because the configuration has changed."""
        self._credits.clear()

    def _initial_credits(
        self, weighted_services: tuple[routes.WeightedService, ...]
    ) -> list[float]:
        """Return the state after one random weighted draw.

        The first picks then have the configured probabilities.
        """
        weights = [weighted.weight for weighted in weighted_services]
        total = sum(weights)
        drawn = self._rng.choices(range(len(weighted_services)), weights)[0]
        credit = [weight / total for weight in weights]
        credit[drawn] -= 1.0
        return credit
