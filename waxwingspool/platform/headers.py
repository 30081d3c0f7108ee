"""Header names and the readiness path defined by the platform."""

import math
import re

from waxwingspool.proxy import header_names

__all__ = [
    "HEADER_NAMES",
    "READINESS_PATH",
    "parse_leaving",
    "parse_load",
    "parse_rate_limit",
]

# Path at which the platform checks whether this balancer accepts new connections.
READINESS_PATH = "/v1/readiness"
# Longest text of a load, in characters, and its largest number: requests, or a slowdown in percent.
MAX_LOAD_CHARS = 100
MAX_LOAD_FIELD = 1e6
# Longest text of a rate limit, in characters: more digits than a double holds.
MAX_RATE_LIMIT_CHARS = 32

_DECIMAL = re.compile(r"(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?", re.ASCII)


def parse_load(text: str) -> header_names.Load | None:
    """Parse the load header of an upstream.

    The header lists the number of running requests, of waiting requests and of slots, optionally
    followed by the current processing time as a percentage of the usual one.

    >>> parse_load("3,0,8,250")
    Load(running=3, waiting=0, slots=8, slowdown=2.5)
    >>> parse_load("many") is None
    True
    """
    if len(text) > MAX_LOAD_CHARS:
        return None
    try:
        fields = [float(field) for field in text.split(",")]
        running, waiting, slots = fields[:3]
    except ValueError:
        return None
    if not all(0 <= field <= MAX_LOAD_FIELD for field in fields):
        return None
    slowdown = fields[3] / 100 if len(fields) > 3 else None
    return header_names.Load(int(running), int(waiting), int(slots), slowdown)


def parse_rate_limit(text: str) -> float:
    """Parse the header in which an upstream names its rate limit.

    If the upstream names several limits, the lowest one that can be read holds.

    :returns: requests per second that the upstream takes from all balancers together.
    :raises ValueError: the text holds no finite number of at least zero.

    >>> parse_rate_limit("2.5"), parse_rate_limit("3, 1")
    (2.5, 1.0)
    """
    rates = [_parse_rate(part.strip()) for part in text.split(",")]
    readable = [rate for rate in rates if rate is not None]
    if not readable:
        raise ValueError(f"not a rate limit: {text[:MAX_RATE_LIMIT_CHARS]!r}")
    return min(readable)


def _parse_rate(text: str) -> float | None:
    if len(text) > MAX_RATE_LIMIT_CHARS or not _DECIMAL.fullmatch(text):
        return None
    rate = float(text)
    return rate if math.isfinite(rate) else None


def parse_leaving(text: str) -> bool:
    """Return whether an upstream says that it is leaving.

    >>> parse_leaving("1"), parse_leaving("0"), parse_leaving("1, 1")
    (True, False, True)
    """
    return any(part.strip() == "1" for part in text.split(","))


HEADER_NAMES = header_names.HeaderNames(
    request_id=b"x-request-id",
    # Remaining time in milliseconds until the caller's deadline.
    timeout_ms=b"x-request-deadline",
    # Signature showing that the response body comes from the upstream.
    signature=b"x-server-signature",
    # Id of the only upstream that may execute the request.
    expected_upstream=b"x-expect-instance",
    # Present if the upstream did not execute the request.
    not_run=b"x-not-executed",
    load=b"x-server-load",
    parse_load=parse_load,
    instance=b"x-instance-id",
    # Requests per second that the upstream takes from all balancers together.
    rate_limit=b"server-limit",
    parse_rate_limit=parse_rate_limit,
    # 1 in all responses of an upstream that is leaving, from when it decides to.
    leaving=b"server-leaving",
    parse_leaving=parse_leaving,
)
