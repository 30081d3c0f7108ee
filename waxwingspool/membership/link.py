"""RPC link between balancers: a gRPC client and server.

:class:`PeerLink` is the interface of the client; the use of gRPC is confined to this module.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

import grpc
import grpc.aio

from waxwingspool import exceptions
from waxwingspool.membership import peer_pb2, peer_pb2_grpc

__all__ = ["PROTOCOL", "GrpcLink", "PeerLink", "grpc_link", "serve"]

# Version of the protocol between balancers; peers with another version are rejected.
PROTOCOL = 1
# Time limit for a call to a peer, in seconds.
CALL_TIMEOUT_S = 2.0
# Maximum size of a message, in bytes.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

_GRPC_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.initial_reconnect_backoff_ms", 100),
]

ExchangeHandler = Callable[[peer_pb2.Digest], Awaitable[peer_pb2.Digest]]
BlobsHandler = Callable[[list[str]], dict[str, bytes]]


class PeerLink(Protocol):
    """Interface of the RPC client; both methods raise ``PeerUnavailable`` if the call fails."""

    async def exchange(self, address: str, digest: peer_pb2.Digest) -> peer_pb2.Digest:
        """Send a digest and return the peer's digest."""

    async def fetch_blobs(self, address: str, hashes: list[str]) -> dict[str, bytes]:
        """Return those of the requested blobs (parts of a configuration) that the peer has."""


def grpc_link() -> "GrpcLink":
    """Return a gRPC client for peers. Close it with ``await link.close()``."""
    return GrpcLink()


class GrpcLink:
    """gRPC client with one channel per peer, opened on first use."""

    def __init__(self) -> None:
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()

    async def close_stale_channels(self, addresses: set[str]) -> None:
        """Close the channels to peers whose address is not in ``addresses``."""
        for address in set(self._channels) - addresses:
            await self._channels.pop(address).close()

    async def exchange(self, address: str, digest: peer_pb2.Digest) -> peer_pb2.Digest:
        try:
            reply = await self._stub(address).Exchange(digest, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            raise exceptions.PeerUnavailable(f"{address}: {error.code().name}") from error
        if reply.protocol != PROTOCOL:
            raise exceptions.PeerUnavailable(f"{address} uses protocol version {reply.protocol}")
        return reply

    async def fetch_blobs(self, address: str, hashes: list[str]) -> dict[str, bytes]:
        request = peer_pb2.BlobRequest(hashes=hashes)
        try:
            reply = await self._stub(address).Blobs(request, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            raise exceptions.PeerUnavailable(f"{address}: {error.code().name}") from error
        return dict(reply.blobs)

    def _stub(self, address: str) -> peer_pb2_grpc.PeerStub:
        """Return a stub for a peer; open its channel on first use."""
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(address, options=_GRPC_OPTIONS)
        return peer_pb2_grpc.PeerStub(self._channels[address])


async def serve(address: str, exchange: ExchangeHandler, blobs: BlobsHandler) -> grpc.aio.Server:
    """Start a gRPC server for peers.

    :param address: IP address and port to listen on.
    :param exchange: handles a digest and returns the reply.
    :param blobs: returns those of the requested blobs that this balancer has, by hash.
    :returns: the running server. Stop it with ``await server.stop(grace_s)``.
    """
    server = grpc.aio.server(options=_GRPC_OPTIONS)
    peer_pb2_grpc.add_PeerServicer_to_server(_Servicer(exchange, blobs), server)
    server.add_insecure_port(address)
    await server.start()
    return server


class _Servicer(peer_pb2_grpc.PeerServicer):
    """Handles calls from peers."""

    def __init__(self, exchange: ExchangeHandler, blobs: BlobsHandler) -> None:
        self._exchange = exchange
        self._blobs = blobs

    async def Exchange(self, request, context):  # noqa: N802
        if request.protocol != PROTOCOL:
            message = f"protocol {request.protocol} is not spoken here, {PROTOCOL} is"
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, message)
        return await self._exchange(request)

    async def Blobs(self, request, context):  # noqa: N802
        return peer_pb2.BlobReply(blobs=self._blobs(list(request.hashes)))
