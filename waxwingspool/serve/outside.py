"""Everything outside a balancer that it talks to, behind the interfaces of the product."""

import dataclasses

import aiohttp

from waxwingspool.config import settings
from waxwingspool.interfaces import objects, table, upstream, vms
from waxwingspool.membership import link
from waxwingspool.observe import metrics

__all__ = ["Outside", "connect"]

# Most connections to the platform.
PLATFORM_CONNECTIONS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Outside:
    """The platform, upstreams and peers."""

    table: table.Table
    objects: objects.Objects
    vms: vms.VmList
    client: upstream.HttpUpstream
    peers: link.GrpcLink
    session: aiohttp.ClientSession

    async def close(self) -> None:
        """Close every connection."""
        await self.client.close()
        await self.peers.close()
        await self.session.close()


def connect(s: settings.Settings, counted: metrics.Metrics) -> Outside:
    """Return clients for everything outside; nothing is connected before it is used.

    :param s: the balancer's settings; its connections come from its own IP number.
    :param counted: the metrics, for calls of the table.
    """
    ip = s.caller_address.partition(":")[0]
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(local_addr=(ip, 0), limit=PLATFORM_CONNECTIONS)
    )
    store = table.counted(
        table.http_table(session, s.platform.table),
        lambda kind: metrics.labelled(counted.store_calls, kind).inc(),
    )
    return Outside(
        table=store,
        objects=objects.http_objects(session, s.platform.objects),
        vms=vms.http_vm_list(session, s.platform.vms),
        client=upstream.http_upstream(ip),
        peers=link.grpc_link(),
        session=session,
    )
