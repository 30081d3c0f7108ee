"""Balancers on virtual time, with links of limited bandwidth and a store that fails.

The copies, links, frames and the client of the store are the product's own; sockets, processors and
the store are modelled. Region ``a`` is far from the store: the responses of the store and what the
balancers of another region send pass one link.
"""

import asyncio
import base64
import collections
import json
import random
import urllib.parse
from collections.abc import Callable, Iterable
from unittest import mock

from standins import virtual
from waxwingspool.catalog import node, store_version
from waxwingspool.dispatch import election
from waxwingspool.fleet import frames, link, members, tables
from waxwingspool.fleet import store as store_client
from waxwingspool.platform import store
from waxwingspool.proxy import body, upstream

__all__ = ["LARGE_MBPS", "Region", "SMALL_MBPS", "configuration"]

# Tables that must be fresh.
TABLES = "op", "servers"
# Links of the VMs that may be readers and of the others, in megabits per second.
LARGE_MBPS = 100.0
SMALL_MBPS = 5.0
# Bytes of one connection that pass a link before those of the next.
SEGMENT_BYTES = 16 * 1024
# One way delays in seconds.
PEER_DELAY_S = 0.001
REGION_DELAY_S = 0.03
STORE_DELAY_S = 0.015
# Round-trip times to the store that the balancers of region ``a`` and of others have measured.
REMOTE_RTT_S, NEAR_RTT_S = 0.06, 0.002
# Bytes that half a core encodes and compresses in a second.
ENCODE_BYTES_PER_S = 80e6
# Bandwidth of the link into region ``a``, in megabits per second.
REGION_MBPS = 1000.0
USER_TIMEOUT_S = link.USER_TIMEOUT_MS / 1000
# Time that the clock of the store is ahead of that of the balancers, in seconds.
STORE_CLOCK_AHEAD_S = 500.0


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

    def drop(self, flow: object) -> None:
        """Drop the bytes of a connection that have not been sent."""
        self._queues.pop(flow, None)

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
        peer = self.other._owner
        delay_s, forward = PEER_DELAY_S, self._forward
        if peer.settings.region != self._owner.settings.region:
            delay_s = REGION_DELAY_S
            if peer.settings.region == "a":
                forward = self._cross_region_link
        self._region.loop.call_later(delay_s, forward, data)

    def _cross_region_link(self, data: bytes) -> None:
        self._region.region_link.send(self, data, self._forward)

    def _forward(self, data: bytes) -> None:
        self.other._owner.incoming.send(self.other, data, self.other.receive)

    def receive(self, data: bytes) -> None:
        if not self._closed and not self._owner.cut:
            self._protocol.data_received(data)

    def abort(self) -> None:
        if not self._closed:
            self._closed = True
            self._region.loop.call_soon(self._protocol.connection_lost, None)
            if not self._owner.cut and not self.other._owner.cut:
                self._region.loop.call_later(PEER_DELAY_S, self.other.abort)


class _StoreConnection:
    """A connection of one balancer to the store; responses pass the link between regions."""

    usable = True
    idle_since = 0.0
    failure = upstream.Broken(upstream.ExchangeFailure.TRUNCATED)

    def __init__(self, region: "Region", owner: "Balancer") -> None:
        self._region, self._owner = region, owner
        self._closed = False
        self._target = ""

    def send_head(self, head: bytes, request_id: bytes | None) -> None:
        self._target = head.split()[1].decode()

    def write(self, data: bytes) -> None:
        pass

    async def read_response(self) -> upstream.Response:
        await self._check_path()
        url = urllib.parse.urlsplit(self._target)
        query = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(STORE_DELAY_S)
        after = int(query.get("after", -1))
        epoch = self._region.epoch
        if after > self._region.version:
            return self._respond(410, b"{}")
        ends_at = self._region.loop.time() + int(query.get("wait-ms", 0)) / 1000
        while not self._region.changes(query["table"], after):
            if self._region.loop.time() >= ends_at:
                break
            await asyncio.sleep(0.02)
            if self._region.epoch != epoch:
                # The store that held the call has gone.
                raise self.failure
        await asyncio.sleep(self._region.store_delay_s)
        await self._check_path()
        data = self._region.encode_page(query["table"], after)
        await asyncio.sleep(STORE_DELAY_S)
        if self._owner.store_refuses:
            raise self.failure
        return self._respond(200, data)

    def _respond(self, status: int, data: bytes) -> upstream.Response:
        stream = body.Body(lambda: None, lambda: None)

        def feed(piece: bytes) -> None:
            stream.feed(piece)
            if stream.received_bytes == len(data):
                stream.finish()

        def receive(piece: bytes) -> None:
            self._owner.incoming.send(self, piece, feed)

        if self._owner.settings.region == "a":
            self._region.region_link.send(self, data, receive)
        else:
            receive(data)

        headers = [(store.EPOCH_HEADER, b"%d" % self._region.epoch)]
        return upstream.Response(status, b"", headers, stream)

    async def _check_path(self) -> None:
        """Wait forever if the request or the response is lost."""
        if self._owner.store_silent or self._owner.cut:
            await asyncio.Event().wait()

    def finish(self) -> bool:
        return True

    def abort(self) -> None:
        self._region.region_link.drop(self)


class _StoreClient(store_client.StoreClient):
    """Calls of one balancer to the store."""

    def __init__(self, region: "Region", owner: "Balancer") -> None:
        super().__init__(owner.settings)
        self._region, self._owner = region, owner

    async def _get_connection(self) -> _StoreConnection:
        self._region.store_calls += 1
        if self._owner.store_refuses and not self._owner.cut:
            await asyncio.sleep(2 * STORE_DELAY_S)
            raise ConnectionResetError
        return _StoreConnection(self._region, self._owner)


class Balancer:
    """One balancer.

    :ivar cut: whether it can reach neither peers nor the store.
    :ivar store_refuses: whether the store refuses its calls.
    :ivar store_silent: whether its calls to the store get no response.
    :ivar applied_at: time at which each value of the configuration was applied.
    """

    def __init__(self, region: "Region", ip: str, link_mbps: float, region_name: str) -> None:
        self._region = region
        self.ip = ip
        self.incoming, self.outgoing = (_Pipe(region.loop, link_mbps) for _ in range(2))
        self.busy_until = 0.0
        self.cut = self.store_refuses = self.store_silent = False
        self.applied_at: dict[bytes, float] = {}
        self.settings = node.NodeSettings(
            name=ip,
            ip=ip,
            data_centre=f"{region_name}-1",
            region=region_name,
            caller_address=(ip, 1),
            readiness_address=(ip, 2),
            link_mbps=link_mbps,
            cores=1.0,
            peer_port=3,
            metrics_port=4,
            store_address=("10.9.0.1", 5),
            first_start=False,
            regions={"a-1": "a", "b-1": "b"},
            bounds=node.Bounds(),
        )

    def start(self) -> None:
        """Start, or start again with nothing of before."""
        self.members = membership = members.Members(self.settings)
        self.links = link.Links(self.settings, self._receive, self._handle_lost_link)
        self.tables = tables.TableCopies(
            self.settings,
            _StoreClient(self._region, self),
            self.links,
            membership,
            TABLES,
            lambda update: self._apply(membership, update.table, update.rows),
            mock.Mock(),
            {},
        )
        self._task = self._region.loop.create_task(self.tables.run())

    def restart(self) -> None:
        """Lose all links and start again with nothing of before."""
        self._task.cancel()
        for peer_link in list(self.links._links.values()):
            peer_link.close()
        self.start()

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
    """All balancers of region ``a``, those of region ``b`` that matter to them, and the store.

    :param readers: number of balancers that may be readers.
    :param others: number of balancers with small links.
    :param remote: number of balancers in region ``b``.
    :ivar readers: the balancers of region ``a`` that may be readers, in order of their rank.
    :ivar region_link: the link into region ``a``.
    :ivar store_delay_s: time in seconds that the store takes for a call, besides the way.
    :ivar encoded: bytes that were encoded since the last write.
    :ivar epoch: epoch of the store; see :meth:`restore`.
    """

    def __init__(
        self,
        readers: int = 4,
        others: int = 65,
        routes: int = 2000,
        region_mbps: float = REGION_MBPS,
        remote: int = 0,
    ) -> None:
        self.loop = virtual.new_event_loop()
        self.region_link = _Pipe(self.loop, region_mbps)
        self.loop.create_connection = self._connect
        self.version = self.store_calls = self.encoded = 0
        self.epoch = 1
        self.store_delay_s = 0.0
        self.rows: dict[str, dict[str, store.Row]] = {"op": {}, "servers": {}, members.TABLE: {}}
        # Version, table and time of each change.
        self._put_at: list[tuple[store_version.StoreVersion, str, float]] = []
        self._patches = [
            mock.patch.object(tables.time, "monotonic", self.loop.time),
            mock.patch.object(tables, "random", mock.Mock(Random=_seeded())),
            mock.patch.object(tables.frames, "encode", self._encode),
            mock.patch.object(tables.eventlog, "event"),
        ]
        for patch in self._patches:
            patch.start()
        mbps = [LARGE_MBPS] * readers + [SMALL_MBPS] * others
        local = [(f"10.0.0.{i}", m, "a") for i, m in enumerate(mbps, 1)]
        remotes = [(f"10.1.0.{i}", LARGE_MBPS, "b") for i in range(1, remote + 1)]
        self.balancers = {
            ip: Balancer(self, ip, link_mbps, name) for ip, link_mbps, name in local + remotes
        }
        for balancer in self.balancers.values():
            rtt_s = REMOTE_RTT_S if balancer.settings.region == "a" else NEAR_RTT_S
            self.put(members.TABLE, balancer.ip, members.encode(balancer.settings, rtt_s))
        ranking = election.ranking("reader a", list(self.balancers)[:readers])
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
        version = store_version.StoreVersion(self.epoch, self.version)
        self.rows[table][key] = store.Row(key, value, version)
        self._put_at.append((version, table, self.loop.time()))

    def copy(self) -> tuple[int, dict[str, dict[str, store.Row]]]:
        """Return a copy of the store."""
        return self.version, {table: dict(rows) for table, rows in self.rows.items()}

    def restore(self, copy: tuple[int, dict[str, dict[str, store.Row]]]) -> None:
        """Lose what was written since a copy was made, and begin a new epoch."""
        self.epoch += 1
        self.version, rows = copy
        self.rows = {table: dict(rows) for table, rows in rows.items()}

    def age_error_s(self) -> float:
        """Return by how much a table of a balancer is older than the balancer takes it to be.

        A table is as old as the oldest change of it that the balancer does not have.
        """
        now, error_s = self.loop.time(), 0.0
        for balancer in self.balancers.values():
            copies = balancer.tables.versions()
            for version, table, put_at in self._put_at:
                if table in TABLES and version > copies[table]:
                    error_s = max(error_s, now - put_at - balancer.tables.age_s)
        return error_s

    def changes(self, table: str, after: int) -> list[store.Row]:
        """Return the rows of a table that the store has after a version."""
        return [row for row in self.rows[table].values() if row.version.number > after]

    def encode_page(self, table: str, after: int) -> bytes:
        """Return the store's response with the changes of a table after a version."""
        rows = [
            {
                "key": row.key,
                "ver": row.version.number,
                "value": base64.b64encode(row.value).decode(),
            }
            for row in self.changes(table, after)
        ]
        now_ms = int((self.loop.time() + STORE_CLOCK_AHEAD_S) * 1000)
        return json.dumps({"rows": rows, "ver": self.version, "now-ms": now_ms}).encode()

    def apply_configuration(self, routes: int, seconds: float = 8.0) -> float:
        """Accept a configuration; return the longest time until a balancer in touch has it."""
        value = configuration(routes, self.version)
        accepted_at = self.loop.time()
        self.put("op", "config", value)
        self.loop.advance(seconds)
        calm = [balancer for balancer in self.balancers.values() if not balancer.cut]
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
