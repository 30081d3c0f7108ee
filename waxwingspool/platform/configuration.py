"""Decodes the configuration that operators write to the store into a routing table."""

from typing import Annotated

import msgspec

from waxwingspool import exceptions
from waxwingspool.catalog import routes

__all__ = ["KEY", "TABLE", "decode", "read_position"]

# Store table and key of the newest configuration.
TABLE = "op"
KEY = "config"

# Kinds of requests, by the platform's name; its "safe" means idempotent.
_KINDS = {
    "safe": routes.Kind.IDEMPOTENT,
    "unsafe": routes.Kind.NON_IDEMPOTENT,
    "upload": routes.Kind.UPLOAD,
}


_Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# Longest time in milliseconds: about 30 years.
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: _Count
    max_body_bytes: _Count
    header_timeout_ms: _Milliseconds
    idle_timeout_ms: _Milliseconds


class _Part(msgspec.Struct, rename="kebab"):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class _Match(msgspec.Struct, rename="kebab"):
    path_prefix: str


class _Action(msgspec.Struct, rename="kebab"):
    timeout_ms: _Milliseconds
    max_attempts: Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)] = 1
    service: str | None = None
    weighted_split: list[_Part] | None = None


class _Rule(msgspec.Struct, rename="kebab"):
    kind: str
    match: _Match
    action: _Action
    name: str = ""
    # Latency objective; a slower response is of less value to the caller.
    latency_goal_ms: _Milliseconds = 1000
    priority: Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)] = 0


class _Listener(msgspec.Struct, rename="kebab"):
    # A listener is the platform's name for a virtual host; it has no socket of its own.
    host: str
    rules: list[_Rule]


class _Cluster(msgspec.Struct, rename="kebab"):
    # A cluster is the platform's name for a service.
    name: str
    health_path: str = "/health"
    max_conns: _Count = 100


class _Document(msgspec.Struct, rename="kebab"):
    version: _Count
    limits: _Limits
    listeners: list[_Listener]
    clusters: list[_Cluster]


class _Numbered(msgspec.Struct):
    # A configuration of which only the version is decoded.
    version: _Count


_decoder = msgspec.json.Decoder(_Document, strict=False)
_version_decoder = msgspec.json.Decoder(_Numbered, strict=False)


def read_position(value: bytes) -> tuple[int, int] | None:
    """Return the place of a row in the order of the operator's configurations.

    :returns: ``None`` if the row tells no version.
    """
    try:
        return _version_decoder.decode(value).version, 0
    except (msgspec.DecodeError, RecursionError):
        return None


def decode(value: bytes) -> routes.RouteTable:
    """Return the routing table of a stored configuration.

    :raises waxwingspool.exceptions.ConfigurationError: if the value is not a valid configuration.
    """
    try:
        document = _decoder.decode(value)
        return _to_route_table(document)
    except (msgspec.DecodeError, KeyError, ValueError, RecursionError) as error:
        raise exceptions.ConfigurationError(f"invalid stored configuration: {error}") from error


def _to_route_table(document: _Document) -> routes.RouteTable:
    limits = document.limits
    return routes.build_route_table(
        document.version,
        routes.Limits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
        [routes.Service(c.name, c.health_path, c.max_conns) for c in document.clusters],
        [
            _to_route(listener.host, rule)
            for listener in document.listeners
            for rule in listener.rules
        ],
    )


def _to_route(host: str, rule: _Rule) -> routes.Route:
    action = rule.action
    if action.weighted_split:
        weighted_services = tuple(
            routes.WeightedService(part.service, part.weight) for part in action.weighted_split
        )
    elif action.service:
        weighted_services = (routes.WeightedService(action.service, 1.0),)
    else:
        raise ValueError(f"route {rule.name!r} has no service")
    return routes.Route(
        name=rule.name,
        host=host.lower(),
        prefix=rule.match.path_prefix,
        kind=_KINDS[rule.kind],
        weighted_services=weighted_services,
        timeout_s=action.timeout_ms / 1000,
        objective_s=rule.latency_goal_ms / 1000,
        max_attempts=max(1, action.max_attempts),
        priority=rule.priority,
    )
