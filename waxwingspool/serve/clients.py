"""Clients for the services that a balancer uses: the platform, upstreams and peers."""

import dataclasses

import aiohttp

from waxwingspool.config import settings
from waxwingspool.interfaces import objects, table, upstream, vms
from waxwingspool.membership import link
from waxwingspool.observe import metrics

__all__ = ["Clients", "create"]

# Maximum number of connections to the platform.
MAX_PLATFORM_CONNECTIONS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Clients:
    """Clients for the platform, upstreams and peers."""

    table: table.Table
    objects: objects.ObjectStore
    vms: vms.VmList
    upstream_client: upstream.HttpUpstreamClient
    peer_link: link.GrpcLink
    session: aiohttp.ClientSession

    async def close(self) -> None:
        """Close every connection."""
        await self.upstream_client.close()
        await self.peer_link.close()
        await self.session.close()


def create(node_settings: settings.Settings, app_metrics: metrics.Metrics) -> Clients:
    """Return the clients of a balancer; connections are opened on first use.

    :param node_settings: settings of the balancer; its caller address is the source IP address of
        its connections.
    :param app_metrics: the metrics, which count calls of the table.
    """
    ip = node_settings.caller_address.partition(":")[0]
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(local_addr=(ip, 0), limit=MAX_PLATFORM_CONNECTIONS)
    )
    counting_table = table.counting_table(
        table.http_table(session, node_settings.platform.table),
        lambda kind: metrics.labelled(app_metrics.store_calls, kind).inc(),
    )
    return Clients(
        table=counting_table,
        objects=objects.http_object_store(session, node_settings.platform.objects),
        vms=vms.http_vm_list(session, node_settings.platform.vms),
        upstream_client=upstream.http_upstream_client(ip),
        peer_link=link.grpc_link(),
        session=session,
    )
