"""A region of balancers on virtual time, with links of limited bandwidth and a store that fails.

The copies, links and frames are the product's own; sockets, processors and the store are modelled.
"""

import asyncio
import collections
import random
from collections.abc import Callable, Iterable
from unittest import mock

from standins import virtual
from waxwingspool import exceptions
from waxwingspool.catalog import node
from waxwingspool.fleet import frames, link, members, tables
from waxwingspool.platform import store

__all__ = ["LARGE_MBPS", "Region", "SMALL_MBPS", "configuration"]

# Links of the VMs that may be readers and of the others, in megabits per second.
LARGE_MBPS = 100.0
SMALL_MBPS = 5.0
# Bytes of one connection that pass a link before those of the next.
SEGMENT_BYTES = 16 * 1024
# One way delays in seconds.
PEER_DELAY_S = 0.001
STORE_DELAY_S = 0.015
# Bytes that half a core encodes and compresses in a second.
ENCODE_BYTES_PER_S = 80e6
# Time without a response after which a call to the store fails, in seconds.
RESPONSE_TIMEOUT_S = 0.5
USER_TIMEOUT_S = link.USER_TIMEOUT_MS / 1000


def configuration(routes: int, seed: int = 1) -> bytes:
    """Return a value about as large and as compressible as a configuration."""
    rng = random.Random(seed)
    rule = (
        '{"name":"%08x","kind":"safe","match":{"path-prefix":"/%08x/"},'
        '"action":{"service":"%04x","timeout-ms":%d}}'
    )
    texts = [
        rule % (rng.getrandbits(32), rng.getrandbits(32), rng.getrandbits(8), rng.randint(1, 5000))
        for _ in range(routes)
    ]
    return ("[" + ",".join(texts) + "]").encode()


class _Pipe:
    """One direction of a VM's network link, which its connections share fairly."""

    def __init__(self, loop: virtual.VirtualEventLoop, mbps: float) -> None:
        self._loop = loop
        self._queues: dict[object, collections.deque] = {}
        self._busy = False
        self.mbps = mbps
        self.byte_count = 0

    def send(self, flow: object, data: bytes, deliver: Callable[[bytes], None]) -> None:
        """Pass bytes of one connection in order, and deliver them piece by piece."""
        if not data:
            return
        queue = self._queues.setdefault(flow, collections.deque())
        for start in range(0, len(data), SEGMENT_BYTES):
            queue.append((data[start : start + SEGMENT_BYTES], deliver))
        if not self._busy:
            self._send_next()

    def _send_next(self) -> None:
        self._busy = bool(self._queues)
        if not self._busy:
            return
        flow = next(iter(self._queues))
        queue = self._queues.pop(flow)
        data, deliver = queue.popleft()
        if queue:
            self._queues[flow] = queue
        self.byte_count += len(data)
        self._loop.call_later(len(data) * 8 / (self.mbps * 1e6), self._finish, data, deliver)

    def _finish(self, data: bytes, deliver: Callable[[bytes], None]) -> None:
        deliver(data)
        self._send_next()


class _Transport:
    """One end of a connection between two balancers."""

    def __init__(self, region: "Region", owner: "Balancer", protocol: link.Link) -> None:
        self._region, self._owner, self._protocol = region, owner, protocol
        self.other: _Transport | None = None
        self._closed = False

    def get_extra_info(self, name: str) -> mock.Mock:
        return mock.Mock()

    def is_closing(self) -> bool:
        return self._closed

    def write(self, data: bytes) -> None:
        loop, peer = self._region.loop, self.other._owner
        cost_s, self._region.encoded = self._region.encoded / ENCODE_BYTES_PER_S, 0
        self._owner.busy_until = max(loop.time(), self._owner.busy_until) + cost_s
        if self._owner.cut or peer.cut:
            loop.call_later(USER_TIMEOUT_S, self.abort)
            return
        loop.call_at(self._owner.busy_until, self._owner.outgoing.send, self, data, self._arrive)

    def _arrive(self, data: bytes) -> None:
        incoming = self.other._owner.incoming
        self._region.loop.call_later(
            PEER_DELAY_S, incoming.send, self.other, data, self.other.receive
        )

    def receive(self, data: bytes) -> None:
        if not self._closed and not self._owner.cut:
            self._protocol.data_received(data)

    def abort(self) -> None:
        if not self._closed:
            self._closed = True
            self._region.loop.call_soon(self._protocol.connection_lost, None)
            if not self._owner.cut and not self.other._owner.cut:
                self._region.loop.call_later(PEER_DELAY_S, self.other.abort)


class _StoreClient:
    """Calls of one balancer to the store."""

    def __init__(self, region: "Region", owner: "Balancer") -> None:
        self._region, self._owner = region, owner

    async def get_listing(self, table: str) -> store.Page:
        rows = self._region.rows[table].values()
        return await self._respond([row for row in rows if row.value is not None])

    async def get_changes(self, table: str, after: int, wait_s: float) -> store.Page:
        def changes() -> list[store.Row]:
            return [row for row in self._region.rows[table].values() if row.version > after]

        ends_at = self._region.loop.time() + wait_s
        await self._request()
        while not changes() and self._region.loop.time() < ends_at:
            await asyncio.sleep(0.02)
        return await self._respond(changes())

    async def _request(self) -> None:
        self._region.store_calls += 1
        if self._owner.cut or self._owner.store_silent:
            await asyncio.sleep(RESPONSE_TIMEOUT_S)
        await asyncio.sleep(STORE_DELAY_S)
        if self._owner.cut or self._owner.store_silent or self._owner.store_refuses:
            raise exceptions.StoreUnavailable("refused")

    async def _respond(self, rows: list[store.Row]) -> store.Page:
        version = self._region.version
        await asyncio.sleep(STORE_DELAY_S)
        received = asyncio.Event()
        # Base64 adds a third.
        size = sum(len(row.value or b"") * 4 // 3 + 100 for row in rows) + 100
        incoming = self._owner.incoming
        incoming.send(received, bytes(size), lambda _: None)
        incoming.send(received, b"\n", lambda _: received.set())
        await received.wait()
        if self._owner.store_refuses:
            raise exceptions.StoreUnavailable("refused")
        return store.Page(tuple(rows), version, False)


class Balancer:
    """One balancer.

    :ivar cut: whether it can reach neither peers nor the store.
    :ivar store_refuses: whether the store refuses its calls.
    :ivar store_silent: whether its calls to the store get no response.
    :ivar applied_at: time at which each value of the configuration was applied.
    """

    def __init__(self, region: "Region", ip: str, link_mbps: float) -> None:
        self._region = region
        self.ip = ip
        self.incoming, self.outgoing = (_Pipe(region.loop, link_mbps) for _ in range(2))
        self.busy_until = 0.0
        self.cut = self.store_refuses = self.store_silent = False
        self.applied_at: dict[bytes, float] = {}
        self.settings = node.NodeSettings(
            name=ip,
            ip=ip,
            data_centre="a-1",
            region="a",
            caller_address=(ip, 1),
            readiness_address=(ip, 2),
            link_mbps=link_mbps,
            cores=1.0,
            peer_port=3,
            metrics_port=4,
            store_address=("10.9.0.1", 5),
            first_start=False,
            regions={"a-1": "a"},
            bounds=node.Bounds(),
        )

    def start(self) -> None:
        """Start, or start again with nothing of before."""
        membership = members.Members(self.settings)
        self.links = link.Links(self.settings, self._receive, self._handle_lost_link)
        self.tables = tables.TableCopies(
            self.settings,
            _StoreClient(self._region, self),
            self.links,
            membership,
            ("op", "servers"),
            lambda update: self._apply(membership, update.table, update.rows),
            mock.Mock(),
        )
        self._task = self._region.loop.create_task(self.tables.run())

    def accept(self) -> link.Link:
        """Return the protocol of a link that a peer opens."""
        return link.Link("", self._receive, self._handle_lost_link)

    def _receive(self, peer_link: link.Link, frame: frames.Frame) -> None:
        self.tables.receive(peer_link, frame)

    def _handle_lost_link(self, peer_link: link.Link) -> None:
        self.tables.handle_lost_link(peer_link)

    def _apply(self, membership: members.Members, table: str, rows: Iterable[store.Row]) -> None:
        for row in rows:
            if table == members.TABLE:
                membership.update(row.key, row.value)
            elif row.key == "config":
                self.applied_at.setdefault(row.value, self._region.loop.time())


class Region:
    """All balancers of a region and the store.

    :ivar readers: the balancers that may be readers, in order of their rank.
    :ivar encoded: bytes that were encoded since the last write.
    """

    def __init__(self, readers: int = 4, others: int = 65, routes: int = 2000) -> None:
        self.loop = virtual.new_event_loop()
        self.loop.create_connection = self._connect
        self.version = self.store_calls = self.encoded = 0
        self.rows: dict[str, dict[str, store.Row]] = {"op": {}, "servers": {}, members.TABLE: {}}
        self._patches = [
            mock.patch.object(tables.time, "monotonic", self.loop.time),
            mock.patch.object(tables, "random", mock.Mock(Random=_seeded())),
            mock.patch.object(tables.frames, "encode", self._encode),
            mock.patch.object(tables.eventlog, "event"),
        ]
        for patch in self._patches:
            patch.start()
        mbps = [LARGE_MBPS] * readers + [SMALL_MBPS] * others
        self.balancers = {
            ip: Balancer(self, ip, link_mbps)
            for ip, link_mbps in ((f"10.0.0.{i}", m) for i, m in enumerate(mbps, 1))
        }
        for balancer in self.balancers.values():
            self.put(members.TABLE, balancer.ip, members.encode(balancer.settings))
        ranking = tables.election.ranking("reader a", list(self.balancers)[:readers])
        self.readers = [self.balancers[ip] for ip in ranking]
        self.put("op", "config", configuration(routes))
        self.loop.create_task(self._change_servers())
        for balancer in self.balancers.values():
            balancer.start()
        self.loop.advance(20.0)

    @property
    def peer_bytes(self) -> int:
        """Bytes sent between balancers."""
        return sum(balancer.outgoing.byte_count for balancer in self.balancers.values())

    def close(self) -> None:
        """Stop everything."""
        self.loop.shutdown()
        for patch in self._patches:
            patch.stop()

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row to the store."""
        self.version += 1
        self.rows[table][key] = store.Row(key, value, self.version)

    def apply_configuration(self, routes: int, seconds: float = 8.0) -> float:
        """Accept a configuration; return the longest time until a balancer in touch has it."""
        value = configuration(routes, self.version)
        accepted_at = self.loop.time()
        self.put("op", "config", value)
        self.loop.advance(seconds)
        calm = [b for b in self.balancers.values() if not (b.cut or b.store_refuses)]
        return max(b.applied_at.get(value, float("inf")) for b in calm) - accepted_at

    async def _change_servers(self) -> None:
        for count in range(10**6):
            await asyncio.sleep(0.7)
            self.put("servers", f"i-{count % 50}", b"x" * 200)

    def _encode(self, frame: frames.Frame) -> bytes:
        if isinstance(frame, frames.Rows):
            self.encoded += sum(len(value or b"") for _, _, value in frame.rows)
        return _encode(frame)

    async def _connect(self, factory, ip: str, port: int, local_addr: tuple[str, int]):
        opener, peer = self.balancers[local_addr[0]], self.balancers[ip]
        await asyncio.sleep(2 * PEER_DELAY_S)
        if opener.cut or peer.cut:
            await asyncio.Event().wait()
        near, far = factory(), peer.accept()
        transport, accepted = _Transport(self, opener, near), _Transport(self, peer, far)
        transport.other, accepted.other = accepted, transport
        near.connection_made(transport)
        far.connection_made(accepted)
        return transport, near


_encode = frames.encode


def _seeded():
    """Return a substitute for ``random.Random`` whose instances have successive seeds."""
    seeds = iter(range(10**6))
    original = random.Random
    return lambda: original(next(seeds))
