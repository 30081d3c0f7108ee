"""The routing table: which service a request goes to, and how it may be handled."""

import dataclasses
import enum
from collections.abc import Iterable

__all__ = ["Kind", "Limits", "Route", "RouteTable", "Service", "Share", "route_table"]


class Kind(enum.StrEnum):
    """What may be repeated. An upload is as non-idempotent as any other write."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service with the share of a route's requests that goes to it."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route.

    :ivar prefix: the path prefix it matches; begins and ends with a slash.
    :ivar timeout_s: longest time in seconds that a caller is kept waiting.
    :ivar objective_s: time in seconds within which an answer is worth its full value.
    :ivar attempts: most upstreams that one request may be sent to.
    :ivar priority: 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout_s: float
    objective_s: float
    attempts: int
    priority: int

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that upstreams belong to.

    :ivar max_connections: connections that one upstream takes from all balancers together.
    """

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """A whole accepted configuration."""

    version: int
    limits: Limits
    services: dict[str, Service]
    hosts: dict[str, dict[str, Route]]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        :param host: host name in lower case, without a port.
        :param path: path without its query.
        :returns: the route, ``None`` if there is none. Costs one lookup for each slash.
        """
        prefixes = self.hosts.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def route_table(
    version: int, limits: Limits, services: Iterable[Service], routes: Iterable[Route]
) -> RouteTable:
    """Return a routing table.

    :param version: version of the configuration.
    :param limits: limits on callers.
    :param services: all services.
    :param routes: all routes.

    >>> shares = (Share("tags", 1.0),)
    >>> route = Route("r", "a.example", "/t/", Kind.IDEMPOTENT, shares, 1.0, 0.2, 2, 1)
    >>> table = route_table(1, Limits(), [Service("tags", "/health", 100)], [route])
    >>> table.find("a.example", "/t/x").name
    'r'
    >>> table.find("a.example", "/t") is None
    True
    """
    hosts: dict[str, dict[str, Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, {})[route.prefix] = route
    return RouteTable(version, limits, {s.name: s for s in services}, hosts)
