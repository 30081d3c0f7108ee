"""Sends one attempt of a request to a target and records it in the target's pool."""

import dataclasses
import secrets
import time

from waxwingspool.interfaces import upstream
from waxwingspool.routing import pool, target

__all__ = ["new_id", "now_ms", "send"]


def new_id() -> str:
    """Return a new attempt id.

    :returns: 24 random hexadecimal digits; a collision is practically impossible.

    >>> len(new_id())
    24
    """
    return secrets.token_hex(12)


def now_ms() -> int:
    """Return Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


async def send(
    client: upstream.UpstreamClient,
    p: pool.Pool,
    t: target.Target,
    request: upstream.Request,
    attempt: upstream.Attempt,
    timeout_s: float,
) -> upstream.Result:
    """Send a request to a target and record the result in the pool.

    :param client: the client for upstreams.
    :param p: the target's pool.
    :param t: the target.
    :param request: the request.
    :param attempt: the attempt's id and deadline.
    :param timeout_s: timeout for the complete response, in seconds.
    :returns: the result.
    """
    if t.pacer is not None and not isinstance(request.body, bytes):
        request = dataclasses.replace(request, body=t.pacer.pace(request.body))
    p.record_start(t, attempt.id)
    result: upstream.Result | None = None
    try:
        result = await client.send(t.address, request, attempt, timeout_s)
        return result
    finally:
        p.record_end(t, attempt.id, result)
