"""Client of the platform's list of VMs that are live or leaving.

The list is updated with a delay.
"""

import dataclasses
import json
from typing import Protocol

import aiohttp

from waxwingspool import exceptions
from waxwingspool.interfaces import http

__all__ = ["Vm", "VmList", "http_vm_list"]


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """An entry of the VM list.

    :ivar role: ``balancer`` or ``upstream``.
    :ivar address: peer address of a balancer or address of an upstream.
    :ivar leaving: whether the VM has started to shut down.
    """

    name: str
    role: str
    address: str
    data_centre: str
    leaving: bool


class VmList(Protocol):
    """Interface of the VM list."""

    async def read(self) -> list[Vm]:
        """Return the VMs; raises :class:`~waxwingspool.exceptions.StoreUnavailable`."""


def http_vm_list(session: aiohttp.ClientSession, url: str, timeout_s: float = 2.0) -> VmList:
    """Return a client for the VM list over HTTP.

    :param session: HTTP client session.
    :param url: URL of the list.
    :param timeout_s: time limit for one request, in seconds.
    :returns: the client.
    """
    return _HttpVmList(http.endpoint(session, url, timeout_s))


class _HttpVmList:
    """VM list client over HTTP with a JSON body."""

    def __init__(self, endpoint: http.Endpoint) -> None:
        self._endpoint = endpoint

    async def read(self) -> list[Vm]:
        try:
            async with self._endpoint.session.get(
                self._endpoint.base_url, timeout=self._endpoint.timeout
            ) as response:
                response.raise_for_status()
                body = json.loads(await http.read_body(response, http.MAX_PLATFORM_BYTES))
        except http.CALL_ERRORS as error:
            raise exceptions.StoreUnavailable(f"VM list: {error!r}") from error
        return [Vm(**vm) for vm in body["vms"]]
