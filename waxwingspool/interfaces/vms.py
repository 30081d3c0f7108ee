"""The platform's list of VMs that are live or leaving; it lags."""

import dataclasses
from typing import Protocol

import aiohttp

from waxwingspool import exceptions
from waxwingspool.interfaces import http

__all__ = ["Vm", "VmList", "http_vm_list"]


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM in the list.

    :ivar role: ``balancer`` or ``upstream``.
    :ivar address: the peer address of a balancer, the address of an upstream.
    :ivar leaving: whether it has started to leave.
    """

    name: str
    role: str
    address: str
    data_centre: str
    leaving: bool


class VmList(Protocol):
    """What the product needs of the list."""

    async def read(self) -> list[Vm]:
        """Return the list; raises :class:`~waxwingspool.exceptions.StoreUnavailable`."""


def http_vm_list(session: aiohttp.ClientSession, base: str, timeout_s: float = 2.0) -> VmList:
    """Return the list reached by HTTP.

    :param session: the client.
    :param base: URL of the list.
    :param timeout_s: longest wait for one answer.
    :returns: the list.
    """
    return _HttpVmList(http.service(session, base, timeout_s))


class _HttpVmList:
    """The VM list over HTTP with a JSON body."""

    def __init__(self, service: http.Service) -> None:
        self._service = service

    async def read(self) -> list[Vm]:
        try:
            async with self._service.session.get(
                self._service.base, timeout=self._service.timeout
            ) as answer:
                answer.raise_for_status()
                body = await answer.json()
        except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
            raise exceptions.StoreUnavailable(f"VM list: {error!r}") from error
        return [Vm(**vm) for vm in body["vms"]]
