"""The outcomes a caller is told.

A request ends in exactly one of them:

- :class:`Answered`: the whole answer of the upstream,
- :class:`NotRun`: no upstream has started or will start the request,
- :class:`Unknown`: the request may have run; its caller must not assume either.
"""

import dataclasses

from waxwingspool.interfaces import upstream

__all__ = ["Answered", "NotRun", "Outcome", "Unknown"]


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The upstream's whole answer.

    :ivar replayed: whether it is the recorded answer to an earlier send of the same key.
    """

    answer: upstream.Answer
    replayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run by this send and will not be.

    :ivar status: HTTP status for the caller: 503 to send again, 4xx to change the request first.
    """

    reason: str
    status: int = 503
    retry_after_s: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the request ran is not known.

    :ivar final: whether a resend with the same key will get the same outcome.
    """

    reason: str
    final: bool = False
    retry_after_s: int = 1


Outcome = Answered | NotRun | Unknown
