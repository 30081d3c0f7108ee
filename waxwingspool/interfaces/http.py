"""HTTP endpoints of the platform's services."""

import dataclasses

import aiohttp

from waxwingspool import exceptions

__all__ = ["CALL_ERRORS", "Endpoint", "MAX_PLATFORM_BYTES", "endpoint", "read_body"]

# Errors of a call that got no usable response.
CALL_ERRORS = (
    TimeoutError,
    aiohttp.ClientError,
    ConnectionError,
    ValueError,
    exceptions.AnswerTooLarge,
)
# Largest response of a service of the platform, in bytes.
MAX_PLATFORM_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An HTTP endpoint of a platform service.

    :ivar base_url: base URL of the service.
    :ivar timeout: time limit for one request, including its response.
    """

    session: aiohttp.ClientSession
    base_url: str
    timeout: aiohttp.ClientTimeout


def endpoint(session: aiohttp.ClientSession, base_url: str, timeout_s: float) -> Endpoint:
    """Return an endpoint.

    :param session: HTTP client session.
    :param base_url: base URL of the service.
    :param timeout_s: time limit for one request, including its response, in seconds.
    """
    return Endpoint(session, base_url, aiohttp.ClientTimeout(total=timeout_s))


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the complete body of a response.

    :raises waxwingspool.exceptions.AnswerTooLarge: if the body has more than ``max_bytes``.
    """
    if (response.content_length or 0) > max_bytes:
        raise exceptions.AnswerTooLarge(f"an answer of {response.content_length} bytes")
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            raise exceptions.AnswerTooLarge(f"an answer of more than {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
