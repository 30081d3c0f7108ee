"""The routing table: maps a request to a service and to the limits on its handling."""

import dataclasses
import enum
from collections.abc import Iterable

__all__ = [
    "Kind",
    "Limits",
    "Route",
    "RouteTable",
    "Service",
    "UNCONFIGURED_LIMITS",
    "WeightedService",
    "build_route_table",
]


class Kind(enum.StrEnum):
    """Kind of request; only idempotent requests may be executed more than once.

    Uploads are non-idempotent, like all other writes.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route.

    :ivar prefix: path prefix that the route matches; begins and ends with a slash.
    :ivar timeout_s: maximum time in seconds that a caller waits for a response.
    :ivar objective_s: latency objective in seconds; a slower response is of less value to the
        caller.
    :ivar max_attempts: maximum number of attempts per request, each at a different upstream.
    :ivar priority: 0 is the highest priority.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    weighted_services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int

    @property
    def idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is Kind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that serve the same requests.

    :ivar max_connections: maximum number of connections to one upstream from all balancers.
    """

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of callers' requests and on the time that callers may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


# Limits before the first configuration, which may allow more than the defaults: until then a
# request is answered 503, and a size is no reason to call it invalid. Bounds only memory.
UNCONFIGURED_LIMITS = Limits(max_header_bytes=1024 * 1024, max_body_bytes=1 << 62)


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """The routing table of one accepted configuration version.

    :ivar hosts: routes by host name, then by path prefix.
    """

    version: int
    limits: Limits
    services: dict[str, Service]
    hosts: dict[str, dict[str, Route]]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, in at most one lookup per slash.

        :param host: host name in lower case, without a port.
        :param path: path without the query string.
        :returns: the route, ``None`` if none matches.
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


def build_route_table(
    version: int, limits: Limits, services: Iterable[Service], routes: Iterable[Route]
) -> RouteTable:
    """Build a routing table.

    :param version: configuration version.
    :param limits: limits on callers' requests.
    :param services: all services.
    :param routes: all routes.

    >>> weighted_services = (WeightedService("tags", 1.0),)
    >>> route = Route("r", "a.example", "/t/", Kind.IDEMPOTENT, weighted_services, 1.0, 0.2, 2, 1)
    >>> table = build_route_table(1, Limits(), [Service("tags", "/health", 100)], [route])
    >>> table.find("a.example", "/t/x").name
    'r'
    >>> table.find("a.example", "/t") is None
    True
    """
    hosts: dict[str, dict[str, Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, {})[route.prefix] = route
    return RouteTable(version, limits, {s.name: s for s in services}, hosts)
