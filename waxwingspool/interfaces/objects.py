"""Client of the platform's object store.

Objects are immutable and their names are derived from their content, so writes are idempotent.
"""

from typing import Protocol

import aiohttp

from waxwingspool import exceptions
from waxwingspool.interfaces import http

__all__ = ["ObjectStore", "http_object_store"]


class ObjectStore(Protocol):
    """Interface of the object store.

    Both methods raise :class:`~waxwingspool.exceptions.StoreUnavailable` if the request fails.
    """

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; idempotent."""

    async def fetch(self, name: str) -> bytes | None:
        """Return an object's content, or ``None`` if it does not exist."""


def http_object_store(
    session: aiohttp.ClientSession, base_url: str, timeout_s: float = 5.0
) -> ObjectStore:
    """Return a client for an object store over HTTP.

    :param session: HTTP client session.
    :param base_url: base URL of the object store.
    :param timeout_s: time limit for one request, in seconds.
    :returns: the client.
    """
    return _HttpObjectStore(http.endpoint(session, base_url, timeout_s))


class _HttpObjectStore:
    """Object store client over HTTP."""

    def __init__(self, endpoint: http.Endpoint) -> None:
        self._endpoint = endpoint

    async def put(self, name: str, content: bytes) -> None:
        await self._request("PUT", name, content)

    async def fetch(self, name: str) -> bytes | None:
        return await self._request("GET", name, None)

    async def _request(self, method: str, name: str, content: bytes | None) -> bytes | None:
        url = f"{self._endpoint.base_url}/{name}"
        try:
            async with self._endpoint.session.request(
                method, url, data=content, timeout=self._endpoint.timeout
            ) as response:
                if response.status == 404:
                    return None
                response.raise_for_status()
                return await http.read_body(response, http.MAX_PLATFORM_BYTES)
        except http.CALL_ERRORS as error:
            raise exceptions.StoreUnavailable(f"object store: {error!r}") from error
