"""The headers that carry request ids, deadlines and load, whatever a platform calls them."""

import dataclasses
from collections.abc import Callable

__all__ = ["Dialect", "Load"]


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """An upstream's report of its own load.

    :ivar slowdown: how long work takes at the moment against the usual time, if reported.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Header names in lower case.

    :ivar time_left: milliseconds that the sender still waits.
    :ivar signature: an upstream's proof that the answer is its own.
    :ivar expected_upstream: id of the only upstream that may run the request.
    :ivar not_run: marks an answer to a request that the upstream did not run.
    """

    request_id: bytes
    time_left: bytes
    signature: bytes
    expected_upstream: bytes
    not_run: bytes
    load: bytes
    parse_load: Callable[[str], Load | None]
