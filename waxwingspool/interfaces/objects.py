"""The platform's object store.

Objects are written once under a name derived from their content, so a write can be repeated.
"""

from typing import Protocol

import aiohttp

from waxwingspool import exceptions
from waxwingspool.interfaces import http

__all__ = ["Objects", "http_objects"]


class Objects(Protocol):
    """What the product needs of the object store.

    Both methods raise :class:`~waxwingspool.exceptions.StoreUnavailable`.
    """

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; storing it again changes nothing."""

    async def fetch(self, name: str) -> bytes | None:
        """Return an object's content, ``None`` if there is no such object."""


def http_objects(session: aiohttp.ClientSession, base: str, timeout_s: float = 5.0) -> Objects:
    """Return an object store reached by HTTP.

    :param session: the client.
    :param base: base URL of the store.
    :param timeout_s: longest wait for one answer.
    :returns: the store.
    """
    return _HttpObjects(http.service(session, base, timeout_s))


class _HttpObjects:
    """The object store over HTTP."""

    def __init__(self, service: http.Service) -> None:
        self._service = service

    async def put(self, name: str, content: bytes) -> None:
        await self._request("PUT", name, content)

    async def fetch(self, name: str) -> bytes | None:
        return await self._request("GET", name, None)

    async def _request(self, method: str, name: str, content: bytes | None) -> bytes | None:
        url = f"{self._service.base}/{name}"
        try:
            async with self._service.session.request(
                method, url, data=content, timeout=self._service.timeout
            ) as answer:
                if answer.status == 404:
                    return None
                answer.raise_for_status()
                return await answer.read()
        except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
            raise exceptions.StoreUnavailable(f"object store: {error!r}") from error
