"""Connections between balancers.

Each balancer opens the links that it needs: to the dispatchers that it requests slots from and to
the reader that it follows. A link carries frames in both directions. A peer that is unreachable or
does not reply in time is suspected and not used for a backoff period; the next balancer in the
ranking takes its place.
"""

import asyncio
import socket
import time
from collections.abc import Callable

import msgspec

from waxwingspool import exceptions
from waxwingspool.catalog import node
from waxwingspool.fleet import clock, frames
from waxwingspool.observe import eventlog

__all__ = ["Link", "Links", "listen"]

# Timeout for connecting to a peer, in seconds: two round trips between regions and the
# retransmission of one lost packet.
CONNECT_TIMEOUT_S = 0.35
# Longest pause, in seconds, within a frame that is still being received: one lost packet.
RECEIVE_PAUSE_S = 0.25
# Shortest and longest time for which a suspected peer is not used, in seconds.
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# Time that sent data may stay unacknowledged before the kernel closes the link, in milliseconds.
USER_TIMEOUT_MS = 1500
# TCP keep-alive of an idle link: time before the first probe and interval between probes in
# seconds, and number of unanswered probes after which the link is closed.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

OnFrame = Callable[["Link", frames.Frame], None]
OnLost = Callable[["Link"], None]


class Link(asyncio.Protocol):
    """A link: one connection to a peer, opened by either side.

    :ivar peer: address of the peer; empty for an accepted connection until its ``Hello`` frame.
    """

    def __init__(self, peer: str, on_frame: OnFrame, on_lost: OnLost) -> None:
        self.peer = peer
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._buffer = bytearray()
        self._received_at = float("-inf")
        self._clock = clock.RemoteClock()
        self._transport: asyncio.Transport | None = None

    @property
    def open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def receiving(self) -> bool:
        """Whether a frame has been received in part and its bytes still arrive."""
        return bool(self._buffer) and time.monotonic() - self._received_at < RECEIVE_PAUSE_S

    def to_local_time(self, sent_at: float, requested_at: float | None) -> float:
        """Return this VM's monotonic time at which a frame was sent, in seconds.

        :param sent_at: the peer's monotonic time in seconds at which it was sent.
        :param requested_at: if it replies to a frame, the time at which this VM sent that one.
        """
        earliest = float("-inf") if requested_at is None else requested_at
        self._clock.record(sent_at, time.monotonic(), earliest)
        return self._clock.to_local(sent_at)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        _set_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        self._received_at = time.monotonic()
        try:
            for encoded in frames.split(self._buffer):
                self._deliver(frames.decode(encoded))
        except (ValueError, RecursionError, msgspec.DecodeError) as error:
            eventlog.event("peer.malformed", peer=self.peer, error=error)
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._on_lost(self)

    def send(self, frame: frames.Frame) -> None:
        """Send a frame; it is dropped if the connection is closed."""
        self.send_encoded(frames.encode(frame))

    def send_encoded(self, data: bytes) -> None:
        """Send encoded frames, so that a frame for many peers is encoded once."""
        if self.open:
            self._transport.write(data)

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _deliver(self, frame: frames.Frame) -> None:
        if isinstance(frame, frames.Hello):
            self.peer = frame.ip
        self._on_frame(self, frame)


def _set_keepalive(sock: socket.socket) -> None:
    """Let the kernel detect and close the link to a peer that no longer responds."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        try:
            sock.setsockopt(level, option, value)
        except OSError as error:
            eventlog.event("socket.option.refused", option=option, error=error)


class Links:
    """The links that this balancer has opened.

    :param settings: settings of this balancer.
    :param on_frame: called with each frame that arrives on a link.
    :param on_lost: called when a link has closed.
    """

    def __init__(self, settings: node.NodeSettings, on_frame: OnFrame, on_lost: OnLost) -> None:
        self._settings = settings
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._links: dict[str, Link] = {}
        self._connecting: dict[str, asyncio.Task] = {}
        self._backoff_until: dict[str, float] = {}
        self._backoff_s: dict[str, float] = {}
        self._refusing: set[str] = set()

    def refuses(self, peer: str) -> bool:
        """Whether the last connection was refused, because no process of the peer runs."""
        return peer in self._refusing

    def available(self, peer: str) -> bool:
        """Whether a peer may be used, that is, is not in its backoff period."""
        return self._backoff_until.get(peer, 0.0) <= time.monotonic()

    def get(self, peer: str) -> Link | None:
        """Return the open link to a peer, ``None`` if there is none."""
        peer_link = self._links.get(peer)
        return peer_link if peer_link is not None and peer_link.open else None

    async def get_or_connect(self, peer: str) -> Link:
        """Return the open link to a peer, connecting first if there is none.

        :raises waxwingspool.exceptions.PeerUnavailable: the connection failed.
        """
        peer_link = self.get(peer)
        if peer_link is not None:
            return peer_link
        task = self._connecting.get(peer)
        if task is None:
            task = asyncio.create_task(self._connect(peer), name=f"link {peer}")
            self._connecting[peer] = task
            task.add_done_callback(lambda _: self._connecting.pop(peer, None))
        peer_link = await asyncio.shield(task)
        if peer_link is None:
            raise exceptions.PeerUnavailable(f"cannot connect to peer {peer}")
        return peer_link

    def suspect(self, peer: str, reason: str) -> None:
        """Stop using a peer for a backoff period, and close the link to it.

        Many requests may time out on the same failure, so calls during the backoff are ignored. The
        period doubles with each further failure, up to :data:`MAX_BACKOFF_S`, until
        :meth:`reset_backoff`.
        """
        if not self.available(peer):
            return
        backoff_s = self._backoff_s.get(peer, MIN_BACKOFF_S)
        self._backoff_s[peer] = min(MAX_BACKOFF_S, 2 * backoff_s)
        self._backoff_until[peer] = time.monotonic() + backoff_s
        eventlog.event("peer.suspected", peer=peer, reason=reason, pause_s=backoff_s)
        peer_link = self._links.pop(peer, None)
        if peer_link is not None:
            peer_link.close()

    def reset_backoff(self, peer: str) -> None:
        """Reset the length of the next backoff period of a peer that has replied."""
        self._backoff_s.pop(peer, None)

    def broadcast(self, frame: frames.Frame) -> None:
        """Send a frame on every open link."""
        for peer_link in self._links.values():
            peer_link.send(frame)

    async def _connect(self, peer: str) -> Link | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, peer_link = await loop.create_connection(
                    lambda: Link(peer, self._on_frame, self._handle_lost_link),
                    peer,
                    self._settings.peer_port,
                    local_addr=(self._settings.ip, 0),
                )
        except (OSError, TimeoutError) as error:
            if isinstance(error, ConnectionRefusedError):
                self._refusing.add(peer)
            self.suspect(peer, f"connection failed: {type(error).__name__}")
            return None
        self._refusing.discard(peer)
        peer_link.send(frames.Hello(self._settings.ip))
        self._links[peer] = peer_link
        eventlog.event("peer.connected", peer=peer)
        return peer_link

    def _handle_lost_link(self, peer_link: Link) -> None:
        if self._links.get(peer_link.peer) is peer_link:
            del self._links[peer_link.peer]
            eventlog.event("peer.lost", peer=peer_link.peer)
        self._on_lost(peer_link)


async def listen(settings: node.NodeSettings, on_frame: OnFrame, on_lost: OnLost) -> asyncio.Server:
    """Start to accept links from other balancers; return the server."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Link("", on_frame, on_lost), settings.ip, settings.peer_port, reuse_address=True
    )
