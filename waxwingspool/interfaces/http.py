"""HTTP endpoints of the platform's services."""

import dataclasses

import aiohttp

__all__ = ["Endpoint", "endpoint"]


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
