"""A service of the platform that is reached by HTTP."""

import dataclasses

import aiohttp

__all__ = ["Service", "service"]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """What the adapters need to call a service.

    :ivar base: its base URL.
    :ivar timeout: longest wait for one answer.
    """

    session: aiohttp.ClientSession
    base: str
    timeout: aiohttp.ClientTimeout


def service(session: aiohttp.ClientSession, base: str, timeout_s: float) -> Service:
    """Return a service.

    :param session: the client.
    :param base: base URL of the service.
    :param timeout_s: longest wait for one answer, in seconds.
    """
    return Service(session, base, aiohttp.ClientTimeout(total=timeout_s))
