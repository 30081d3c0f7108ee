"""One attempt of a request at one target, counted in the target's pool."""

import dataclasses
import secrets
import time

from waxwingspool.interfaces import upstream
from waxwingspool.routing import pool, target

__all__ = ["new_id", "now_ms", "send"]


def new_id() -> str:
    """Return a new attempt id.

    :returns: 24 hexadecimal digits, unique for all practical purposes.

    >>> len(new_id())
    24
    """
    return secrets.token_hex(12)


def now_ms() -> int:
    """Return Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


async def send(
    client: upstream.Upstream,
    p: pool.Pool,
    t: target.Target,
    request: upstream.Request,
    attempt: upstream.Attempt,
    timeout_s: float,
) -> upstream.Result:
    """Send a request to a target and take its result into the pool.

    :param client: the client for upstreams.
    :param p: the target's pool.
    :param t: the target.
    :param request: the request.
    :param attempt: id and deadline of the attempt.
    :param timeout_s: longest wait for the whole answer.
    :returns: the result.
    """
    if t.pacer is not None and not isinstance(request.body, bytes):
        request = dataclasses.replace(request, body=t.pacer.pace(request.body))
    p.begin(t, attempt.id)
    result: upstream.Result | None = None
    try:
        result = await client.send(t.address, request, attempt, timeout_s)
        return result
    finally:
        p.finish(t, attempt.id, result)
