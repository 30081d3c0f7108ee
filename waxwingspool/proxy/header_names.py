"""Names of the headers that carry request ids, deadlines and load, which differ by platform."""

import dataclasses
from collections.abc import Callable

__all__ = ["HeaderNames", "Load"]


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that an upstream reports for itself.

    :ivar slowdown: current processing time relative to the usual one, ``None`` if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names of one platform, in lower case.

    :ivar timeout_ms: milliseconds that the sender still waits.
    :ivar signature: proof that the response was made by the upstream itself.
    :ivar expected_upstream: id of the only upstream that may run the request.
    :ivar not_run: marks a response to a request that the upstream did not run.
    :ivar instance: id of the upstream that answers a health check.
    :ivar rate_limit: present while the upstream limits the rate of requests.
    :ivar leaving: tells whether the upstream is shutting down.
    """

    request_id: bytes
    timeout_ms: bytes
    signature: bytes
    expected_upstream: bytes
    not_run: bytes
    load: bytes
    parse_load: Callable[[str], Load | None]
    instance: bytes
    rate_limit: bytes
    parse_rate_limit: Callable[[str], float]
    leaving: bytes
    parse_leaving: Callable[[str], bool]
