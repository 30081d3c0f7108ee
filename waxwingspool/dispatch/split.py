"""Which part of a split route a request goes to.

Load pattern: few requests a second on each of many balancers. Independent random draws would leave
the shares of a short span far off; smooth weighted round robin keeps each balancer within one
request of its shares, and a random start keeps the balancers from moving in step.
"""

import random

from waxwingspool.catalog import routes

__all__ = ["Splitter"]


class Splitter:
    """Deals requests of split routes to their services.

    :param rng: source of the random start of each route.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[tuple[routes.Share, ...], list[float]] = {}

    def pick(self, route: routes.Route) -> str:
        """Return the service for the next request of a route."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        if total <= 0:
            return shares[0].service
        credit = self._credits.get(shares)
        if credit is None:
            credit = self._credits[shares] = self._start(shares)
        for index, share in enumerate(shares):
            credit[index] += share.weight / total
        best = max(range(len(shares)), key=credit.__getitem__)
        credit[best] -= 1.0
        return shares[best].service

    def forget(self) -> None:
        """Drop what belongs to an earlier configuration."""
        self._credits.clear()

    def _start(self, shares: tuple[routes.Share, ...]) -> list[float]:
        """Return the state after a random draw, so that the first picks have the right odds."""
        weights = [share.weight for share in shares]
        total = sum(weights)
        drawn = self._rng.choices(range(len(shares)), weights)[0]
        credit = [weight / total for weight in weights]
        credit[drawn] -= 1.0
        return credit
