"""Outcomes of a request as reported to the caller.

Every request ends in exactly one of them:

- :class:`Answered`: the complete response of the upstream,
- :class:`NotRun`: no upstream has started the request or will start it,
- :class:`Unknown`: the request may or may not have run.
"""

import dataclasses

from waxwingspool.interfaces import upstream

__all__ = ["Answered", "NotRun", "Outcome", "Unknown"]


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The upstream's complete response.

    :ivar replayed: whether it is the recorded response to an earlier send of the same key.
    """

    answer: upstream.Response
    replayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not run by this send and will not be run later.

    :ivar status: HTTP status for the caller: 503 if the request may be resent unchanged, 4xx if it
        must be changed first.
    :ivar retry_after_s: value of ``Retry-After`` in seconds, 0 to omit the header.
    """

    reason: str
    status: int = 503
    retry_after_s: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """It is unknown whether the request ran.

    :ivar final: whether a resend with the same key will get the same outcome.
    :ivar retry_after_s: value of ``Retry-After`` in seconds, 0 to omit the header.
    """

    reason: str
    final: bool = False
    retry_after_s: int = 1


Outcome = Answered | NotRun | Unknown
