"""Copies of the store's tables, replicated to all balancers through one reader per region.

In each region the balancer that ranks first, the reader, follows the feeds of the store's tables
and forwards rows and their age to the others. The reader of a region that is remote from the store
follows that of the region next to it instead, whose frames are compressed. A balancer whose rows
become too old fails over to the next reader, of its own region first, and in its turn reads the
store directly until a reader has fresh rows. Neither the calls to the store nor the bytes between
regions thus grow with the number of balancers, and no balancer depends on one reader for longer
than :data:`MAX_AGE_S`. A reader whose own calls fail follows another balancer likewise.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
import time
from collections.abc import Callable, Iterable, Mapping

from waxwingspool import exceptions
from waxwingspool.catalog import node, store_version
from waxwingspool.dispatch import readers
from waxwingspool.fleet import frames, link, members, reader_ranking, row_order, table_copy
from waxwingspool.fleet import store as store_client
from waxwingspool.observe import eventlog
from waxwingspool.platform import store

__all__ = ["STORE", "OnRows", "TableCopies", "Update"]

# Time that a feed call waits for changes, in seconds. A shorter time detects a dead connection
# sooner, but each call to the store is billed.
FEED_LONG_POLL_S = 0.9
# Same for the members' table, whose rows are only hints and may be older.
MEMBERS_LONG_POLL_S = 8.0
# Age of rows at which a balancer stops relying on its reader, in seconds. Covers one feed call, its
# longest normal response time and one lost packet; the rest of ``config_apply_s`` remains for
# failovers.
MAX_AGE_S = 1.5
# Time in seconds that the next reader has to deliver fresh rows after a failover: to accept the
# connection, call the store from another region and forward the rows. Two readers and a direct read
# fit into the shortest time within which a configuration must be in force.
FAILOVER_TIMEOUT_S = 0.4
# Time in seconds by which these two are extended while a frame of the reader is arriving: a large
# configuration, sent to all balancers of a region at once. A failover would send it once more.
RECEIVE_EXTENSION_S = 0.5
# Same while newer rows are arriving at the reader: to ask another one would only add to what the
# links carry.
ARRIVING_EXTENSION_S = 2.0
# Time in seconds for which the word of a reader that rows are arriving holds. It gives it at checks
# of the selection while its own rows are older than the age below, in seconds.
ARRIVING_TIMEOUT_S = 0.35
MIN_ARRIVING_AGE_S = 1.0
# Consecutive failovers from readers without fresh rows, after which a balancer also reads the store
# directly: next to the store, and in a remote region, where balancers next to it are asked first.
MIN_FAILOVERS_BEFORE_DIRECT_READ = 2
MAX_FAILOVERS_BEFORE_DIRECT_READ = 4
# Age of rows, in seconds, at which a reader that follows another one fails over, and time that the
# next one has then. Shorter, so that its followers need not fail over.
MAX_RELAY_AGE_S = FEED_LONG_POLL_S + 0.3
RELAY_FAILOVER_TIMEOUT_S = 0.3
# Same while no candidate is left that has not been tried, as in an outage of the store.
EXHAUSTED_FAILOVER_TIMEOUT_S = 1.0
# Time in seconds after which a reader that did not deliver fresh rows is tried again.
STALE_READER_PAUSE_S = 5.0
# Least progress in the age of rows that is forwarded on its own, in seconds.
MIN_AGE_PROGRESS_S = 0.1
# Longest time in seconds that a balancer waits for its turn while it reaches no other one.
MAX_LONE_TURN_DELAY_S = 1.0
# Smallest size in bytes assumed for the tables, whose rows may have grown unseen.
MIN_TABLE_BYTES = 256 * 1024
# Shortest and longest delay after a failed call, in seconds, plus up to 100 % jitter. It doubles
# with each failure, because calls are billed during an outage of the store as well.
MIN_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 0.6
# Delay after a call that returned changes, in seconds, so that a burst of them takes few calls.
BATCH_DELAY_S = 0.1
# Time in seconds that the balancers of a new deployment have to register before readers are
# selected: they start within 0.3 s, and the store writes 150 rows per second.
STARTUP_DELAY_S = 2.0
# Shortest and longest time in seconds after which a balancer changes from a working reader to one
# that ranks higher. Randomised, so that balancers do not all change at once for a new member.
MIN_FOLLOW_S = 4.0
MAX_FOLLOW_S = 12.0
# Interval in seconds at which a subscription is renewed: its reply relates the clocks of the two
# balancers, which drift apart.
SUBSCRIPTION_RENEWAL_S = 60.0
# Interval at which the choice of a reader is checked, in seconds.
SELECTION_INTERVAL_S = 0.1
# Shortest time without a confirmed copy of a table that counts as an outage of the store, in
# seconds; also the shortest time between two reports of a recovery.
MIN_OUTAGE_S = 2.0

# Source of rows that were read from the store; otherwise it is the address of a peer.
STORE = "store"


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """New rows of a table.

    :ivar complete: whether the rows are the complete table.
    :ivar version: version of the store that they reflect.
    :ivar restored: whether they replace rows of an earlier epoch, because the store has been
        restored from a copy.
    :ivar source: :data:`STORE`, or the address of the peer that sent the rows.
    :ivar age_s: time in seconds since the store confirmed the rows.
    """

    table: str
    rows: Iterable[store.Row]
    complete: bool
    source: str
    age_s: float
    version: store_version.StoreVersion = store_version.UNKNOWN
    restored: bool = False


OnRows = Callable[[Update], None]


class TableCopies:
    """Copies of the store's tables, kept fresh through a reader or by direct reads.

    :param settings: settings of this balancer.
    :param client: client of the store.
    :param links: links to peers.
    :param membership: all known balancers, among which the reader is selected.
    :param required_tables: tables that must be fresh; the members' table is followed in addition.
    :param on_rows: called with new rows.
    :param on_recovery: called when the store responds again after an outage.
    :param position_readers: for the tables whose writers report on themselves, see
        :mod:`waxwingspool.fleet.row_order`.
    """

    def __init__(
        self,
        settings: node.NodeSettings,
        client: store_client.StoreClient,
        links: link.Links,
        membership: members.Members,
        required_tables: tuple[str, ...],
        on_rows: OnRows,
        on_recovery: Callable[[], None],
        position_readers: Mapping[str, row_order.ReadPosition],
    ) -> None:
        self._settings = settings
        self._client = client
        self._links = links
        self._members = membership
        self._required_tables = required_tables
        self._on_rows = on_rows
        self._on_recovery = on_recovery
        self._copies = {
            table: table_copy.TableCopy() for table in (*required_tables, members.TABLE)
        }
        self._orders = {
            table: row_order.RowOrder(table, read_position, time.monotonic)
            for table, read_position in position_readers.items()
        }
        self._subscribers: set[link.Link] = set()
        # Peers that gave up this balancer as reader, and whether it had no fresh rows then.
        self._former_subscribers: set[link.Link] = set()
        self._was_stale = False
        self._reader: str | None = None
        self._read_tasks: dict[str, asyncio.Task] = {}
        self._rng = random.Random()
        self._recovered_at = float("-inf")
        self._followed_since = 0.0
        self._follow_until = 0.0
        self._failovers = 0
        # Whether the reader has delivered fresh rows since it was chosen.
        self._reader_is_fresh = False
        # Balancers that were followed without delivering fresh rows, with the time of the failover.
        self._stale_since: dict[str, float] = {}
        self._ranking = reader_ranking.ReaderRanking(settings, membership, links)
        # Number of consecutive failed calls to the store, and time of the last successful one.
        self._failed_calls: collections.Counter[str] = collections.Counter()
        self._read_at: dict[str, float] = {}
        self._reading_since = float("-inf")
        self._yielded_at = float("-inf")
        self._started_at = time.monotonic()
        self._forwarded_fresh_at = float("-inf")
        self._heard_at = float("-inf")
        # When the reader last told that newer rows are arriving.
        self._arriving_at = float("-inf")
        self._subscribe_task: asyncio.Future | None = None
        self._subscribed_at = float("-inf")
        self._connect_tasks: list[asyncio.Future] = []

    @property
    def complete(self) -> bool:
        """Whether every required table has been read at least once."""
        return all(self._copies[table].is_listed for table in self._required_tables)

    @property
    def age_s(self) -> float:
        """Age of the oldest required table, in seconds."""
        return time.monotonic() - self._fresh_at

    @property
    def _fresh_at(self) -> float:
        return min(self._copies[table].fresh_at for table in self._required_tables)

    @property
    def reader(self) -> str | None:
        """Address of the peer that this balancer follows, ``None`` if it follows none."""
        return self._reader

    @property
    def is_reading(self) -> bool:
        """Whether this balancer reads the store directly."""
        return bool(self._read_tasks)

    def versions(self) -> dict[str, store_version.StoreVersion]:
        """Return the version of each table."""
        return {table: copy.version for table, copy in self._copies.items()}

    async def run(self) -> None:
        """Keep the copies fresh until cancelled."""
        if self._settings.first_start:
            await asyncio.sleep(STARTUP_DELAY_S)
        await self._list_members()
        try:
            while True:
                self._select_reader()
                self._announce_fresh_rows()
                self._renew_subscription()
                if self._subscribers and self.age_s > MIN_ARRIVING_AGE_S and self._is_receiving():
                    self._broadcast(b"")
                await asyncio.sleep(SELECTION_INTERVAL_S)
        finally:
            self._stop_reading()

    def receive(self, peer_link: link.Link, frame: frames.Frame) -> None:
        """Handle a peer's frame about rows."""
        match frame:
            case frames.Subscribe():
                self.add_subscriber(peer_link, frame)
            case frames.Unsubscribe():
                self._subscribers.discard(peer_link)
                self._former_subscribers.add(peer_link)
            case frames.Rows() if self.receive_rows(peer_link, frame):
                peer_link.send(frames.ListingRequest(frame.table))
            case frames.ListingRequest() if frame.table in self._copies:
                self._send_listing(peer_link, frame.table)
            case frames.TableAges():
                self.receive_table_ages(peer_link, frame)

    def add_subscriber(self, peer_link: link.Link, frame: frames.Subscribe) -> None:
        """Forward rows to a peer from now on, first the changes that it has missed."""
        if peer_link not in self._subscribers:
            eventlog.event("beliefs.subscribed", peer=peer_link.peer)
        self._subscribers.add(peer_link)
        if peer_link.peer == self._reader:
            # The reader has lost the store and follows this balancer in turn.
            self._unfollow()
        elif self._is_reader_late(MAX_RELAY_AGE_S, RELAY_FAILOVER_TIMEOUT_S):
            # The subscriber has given up a reader, probably the same one.
            self._give_up_reader()
            self._select_reader()
        for table, copy in self._copies.items():
            version = frame.store_version(table)
            if version < copy.version:
                self._send_changes(peer_link, table, version, frame.sent_at)
        peer_link.send(self._table_ages(frame.sent_at))

    def receive_rows(self, peer_link: link.Link, frame: frames.Rows) -> bool:
        """Apply rows from a peer; return whether changes before them are missing."""
        copy = self._copies.get(frame.table)
        if copy is None:
            return False
        rows = tuple(
            store.Row(key, value, store_version.StoreVersion(frame.epoch, number))
            for key, number, value in frame.rows
        )
        version = store_version.StoreVersion(frame.epoch, frame.version)
        if frame.after is not None and version._replace(number=frame.after) > copy.version:
            return True
        confirmed_at = _sent_at(peer_link, frame) - frame.age_s
        page = store.Page(rows, version, False)
        self._merge_rows(frame.table, page, frame.after is None, peer_link.peer, confirmed_at)
        return False

    def receive_table_ages(self, peer_link: link.Link, frame: frames.TableAges) -> None:
        """Adopt the ages of the reader's tables; request listings of those that are newer."""
        if peer_link.peer != self._reader:
            if self.age_s > MAX_AGE_S and self._tells_fresh_rows(peer_link, frame):
                self._follow_announced(peer_link.peer)
            return
        self._heard_at = time.monotonic()
        if frame.arriving:
            self._arriving_at = self._heard_at
        sent_at = _sent_at(peer_link, frame)
        for table, (_, age_s) in frame.ages.items():
            copy = self._copies.get(table)
            if copy is None:
                continue
            version = frame.store_version(table)
            if version > copy.version:
                peer_link.send(frames.ListingRequest(table))
            elif version.epoch == copy.version.epoch:
                self._mark_fresh(copy, sent_at - age_s)
        if self.age_s < MAX_AGE_S and all(age_s < MAX_AGE_S for _, age_s in frame.ages.values()):
            self._failovers = 0
            self._reader_is_fresh = True
            self._stale_since.pop(peer_link.peer, None)
        if self._subscribers and self._fresh_at > self._forwarded_fresh_at + MIN_AGE_PROGRESS_S:
            self._broadcast(b"")

    def handle_lost_link(self, peer_link: link.Link) -> None:
        """Remove a peer whose link has closed as subscriber and as reader."""
        self._subscribers.discard(peer_link)
        self._former_subscribers.discard(peer_link)
        if peer_link.peer == self._reader:
            self._unfollow()

    # Announcements of fresh rows

    def _announce_fresh_rows(self) -> None:
        """Tell those that gave up this balancer as reader once it has fresh rows again."""
        if self.age_s > MAX_AGE_S:
            self._was_stale = True
        elif self._was_stale:
            self._was_stale = False
            for peer_link in self._former_subscribers - self._subscribers:
                peer_link.send(self._table_ages())
            self._former_subscribers.clear()

    def _tells_fresh_rows(self, peer_link: link.Link, frame: frames.TableAges) -> bool:
        """Return whether a peer has all required tables and none of them is old."""
        for table in self._required_tables:
            epoch = self._copies[table].version.epoch
            if table in frame.ages and frame.store_version(table).epoch < epoch:
                return False
        elapsed_s = time.monotonic() - _sent_at(peer_link, frame)
        ages_s = [frame.ages.get(table, (0, float("inf")))[1] for table in self._required_tables]
        return max(ages_s) + elapsed_s < MAX_AGE_S

    def _follow_announced(self, peer: str) -> None:
        """Follow a balancer that has announced fresh rows, in place of one that has none."""
        self._stale_since.pop(peer, None)
        if self._can_follow(peer):
            eventlog.event("reader.announced", reader=peer, age_s=self.age_s)
            self._follow(peer)

    # Selection of a reader

    async def _list_members(self) -> None:
        """Read the members, so that a reader can be selected from them.

        Without them, every balancer that starts would take itself for the only one and read all
        tables.
        """
        failures = 0
        while True:
            try:
                reading = await self._client.get_listing(members.TABLE)
            except (exceptions.StoreUnavailable, store_client.HistoryGone) as error:
                failures += 1
                eventlog.event("members.not-listed", error=error, failures=failures)
                await asyncio.sleep(self._retry_delay_s(failures))
                continue
            self._merge_rows(members.TABLE, reading.page, True, STORE, reading.confirmed_at)
            return

    def _retry_delay_s(self, failures: int) -> float:
        """Return how long to wait after a number of consecutive failed calls, in seconds."""
        delay_s = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2 ** (failures - 1))
        return delay_s * (1 + self._rng.random())

    def _select_reader(self) -> None:
        """Follow the preferred reader, or read the store directly."""
        self._check_reader()
        self._yield_turn()
        candidate = self._preferred_reader()
        may_change = self._reader is None or time.monotonic() > self._follow_until
        if may_change and candidate not in (self._settings.ip, self._reader):
            self._follow(candidate)
        if self._reader is None:
            if self._is_own_turn(max_delay_s=MAX_LONE_TURN_DELAY_S):
                self._start_reading()
        elif may_change and candidate == self._settings.ip:
            # Followed until the own calls succeed, so that the followers' rows do not become old.
            self._start_reading()
            if self._reads_succeed():
                self._unfollow()
        elif self.age_s > MAX_AGE_S:
            exhausted = self._failovers >= self._failovers_before_direct_read()
            if exhausted and not self._extension_s() and self._is_own_turn():
                self._read_directly()
        elif self._reader_is_fresh and self._read_tasks:
            self._stop_reading()
            self._delay_change()

    def _check_reader(self) -> None:
        """Give up a reader that has not delivered fresh rows in time."""
        relaying = self._is_relaying()
        max_age_s = MAX_RELAY_AGE_S if relaying else MAX_AGE_S
        if self._is_reader_late(max_age_s, self._failover_timeout_s(relaying)):
            self._give_up_reader()

    def _is_reader_late(self, max_age_s: float, timeout_s: float) -> bool:
        """Return whether the reader has not delivered fresh rows, nor are any on their way.

        :param max_age_s: age of rows in seconds above which they are not fresh.
        :param timeout_s: time in seconds that the reader has to deliver them.
        """
        if self._reader is None:
            return False
        extension_s = self._extension_s()
        followed_s = time.monotonic() - self._followed_since
        return self.age_s > max_age_s + extension_s and followed_s > timeout_s + extension_s

    def _delay_change(self) -> None:
        """Set the time from which this balancer may change to a reader of higher rank."""
        self._follow_until = time.monotonic() + self._rng.uniform(MIN_FOLLOW_S, MAX_FOLLOW_S)

    def _failovers_before_direct_read(self) -> int:
        if self._ranking.reads_cross_regions:
            return MAX_FAILOVERS_BEFORE_DIRECT_READ
        return MIN_FAILOVERS_BEFORE_DIRECT_READ

    def _is_relaying(self) -> bool:
        """Return whether this balancer follows another one in place of reading the store."""
        if self._is_failing():
            return True
        return self._reader is not None and (
            self._members.region_of(self._reader) != self._settings.region
        )

    def _failover_timeout_s(self, relaying: bool) -> float:
        """Return how long the current reader has to deliver fresh rows, in seconds."""
        if self._reader in self._stale_since:
            return EXHAUSTED_FAILOVER_TIMEOUT_S
        if relaying:
            return RELAY_FAILOVER_TIMEOUT_S
        return FAILOVER_TIMEOUT_S if self._failovers else MAX_AGE_S

    def _give_up_reader(self) -> None:
        """Stop following a reader without fresh rows; suspect it if it is silent as well."""
        now = time.monotonic()
        reason = f"rows are {self.age_s:.2f} s old"
        if self._heard_at < self._followed_since or now - self._heard_at > MAX_AGE_S:
            self._links.suspect(self._reader, reason)
        eventlog.event(
            "reader.given-up", reader=self._reader, reason=reason, failovers=self._failovers
        )
        if not self._failovers:
            self._connect_to_candidates()
        self._stale_since[self._reader] = now
        self._failovers += 1
        self._unfollow()

    def _connect_to_candidates(self) -> None:
        """Connect to all candidates, so that the next failovers skip those that are down."""
        for ip in self._ranking.candidates(self._is_failing()):
            if ip != self._settings.ip and self._links.available(ip):
                self._connect_tasks.append(asyncio.ensure_future(self._try_to_connect(ip)))
        self._connect_tasks = [task for task in self._connect_tasks if not task.done()]

    async def _try_to_connect(self, peer: str) -> None:
        with contextlib.suppress(exceptions.PeerUnavailable):
            # A failure is logged and makes the peer unavailable.
            await self._links.get_or_connect(peer)

    def _is_own_turn(self, direct: bool = True, max_delay_s: float = float("inf")) -> bool:
        """Return whether this balancer may read the store, or follow a balancer of another region.

        Turns keep the link between regions from being saturated.

        :param direct: whether to read the store.
        :param max_delay_s: longest time to wait for the turn, in seconds.
        """
        if not self._ranking.reads_cross_regions:
            return True
        delay_s = self._turn_delay_s(self._ranking.available_ahead(), direct)
        if not delay_s:
            return True
        stale_since = max(self._started_at, self._fresh_at + MAX_AGE_S)
        first_turn_at = stale_since + min(delay_s, max_delay_s)
        if not direct:
            return time.monotonic() >= first_turn_at
        last_delay_s = self._turn_delay_s(len(self._ranking.local), direct)
        next_turn_at = self._yielded_at + min(last_delay_s, max_delay_s)
        return time.monotonic() >= max(first_turn_at, next_turn_at)

    def _turn_delay_s(self, rank: int, direct: bool) -> float:
        """Return how long a balancer of this region waits for its turn, in seconds.

        Only regions whose reads cross a link between regions have turns.
        """
        copies = [self._copies[table] for table in self._required_tables]
        table_bytes = sum(len(row.value) for copy in copies for row in copy.rows.values())
        size = max(table_bytes, MIN_TABLE_BYTES)
        return readers.turn_delay_s(rank, size, self._ranking.is_remote, direct)

    def _yield_turn(self) -> None:
        """Stop reading in vain, so that not all balancers read once the store responds again."""
        if self._reader is None or not self._is_failing() or not self._ranking.reads_cross_regions:
            return
        if self._turn_delay_s(self._ranking.own_rank, True):
            self._yielded_at = time.monotonic()
            self._stop_reading()

    def _extension_s(self) -> float:
        """Return for how much longer the reader is kept because rows are on their way."""
        if time.monotonic() - self._arriving_at < ARRIVING_TIMEOUT_S:
            return ARRIVING_EXTENSION_S
        return RECEIVE_EXTENSION_S if self._is_frame_arriving() else 0.0

    def _is_receiving(self) -> bool:
        """Return whether newer rows are arriving from the store or from the reader."""
        return (bool(self._read_tasks) and self._client.receiving) or self._is_frame_arriving()

    def _is_frame_arriving(self) -> bool:
        """Return whether a frame of the reader is arriving."""
        peer_link = None if self._reader is None else self._links.get(self._reader)
        return peer_link is not None and peer_link.receiving

    def _read_directly(self) -> None:
        """Read the store directly until a reader has fresh rows.

        Starts with one table, because in an outage of the store calls for the others fail as well.
        """
        first_table = self._required_tables[0]
        if time.monotonic() - self._copies[first_table].fresh_at > MAX_AGE_S:
            self._start_reading((first_table,))
        else:
            self._start_reading()

    def _preferred_reader(self) -> str:
        """Return the balancer to follow, this one if it is to read the store itself."""
        now = time.monotonic()
        for ip, since in list(self._stale_since.items()):
            if now - since > STALE_READER_PAUSE_S:
                del self._stale_since[ip]
        own = self._settings.ip
        if self._reader is None and self._subscribers and self._reads_succeed():
            # Followers must not depend on two balancers; they return to the first one by and by.
            return self._reader_next_to_store() or own
        failing = self._is_failing()
        reader = self._choose_reader(failing)
        if reader != own:
            return reader
        may_read = not failing and self._is_own_turn()
        return self._reader_next_to_store() or (own if may_read else self._choose_reader(True))

    def _choose_reader(self, failing: bool) -> str:
        return readers.choose_reader(
            self._ranking.candidates(failing),
            self._settings.ip,
            failing,
            self._stale_since,
            self._can_follow,
        )

    def _reader_next_to_store(self) -> str | None:
        """Return the balancer to follow in place of reading the store from a remote region."""
        nearest = self._ranking.next_to_store()
        usable = (ip for ip in nearest if ip not in self._stale_since and self._can_follow(ip))
        return next(usable, None)

    def _can_follow(self, ip: str) -> bool:
        """Return whether this balancer may follow another one, which does not follow it."""
        is_follower = any(peer_link.peer == ip for peer_link in self._subscribers)
        if is_follower or not self._links.available(ip):
            return False
        is_local = self._members.region_of(ip) == self._settings.region
        return is_local or self._is_own_turn(direct=False)

    def _reads_succeed(self) -> bool:
        """Return whether this balancer's own calls to the store succeed."""
        oldest = min(self._read_at.get(t, float("-inf")) for t in self._required_tables)
        return bool(self._read_tasks) and time.monotonic() - oldest < MAX_AGE_S

    def _is_failing(self) -> bool:
        """Return whether this balancer's own calls to the store fail."""
        failed = all(self._failed_calls[table] for table in self._required_tables)
        late = min(self.age_s, time.monotonic() - self._reading_since) > MAX_AGE_S
        return bool(self._read_tasks) and (failed or (late and not self._client.receiving))

    def _follow(self, reader: str) -> None:
        self._unfollow()
        self._reader = reader
        self._reader_is_fresh = False
        self._arriving_at = float("-inf")
        self._followed_since = time.monotonic()
        self._delay_change()
        eventlog.event("reader.chosen", reader=reader, age_s=self.age_s)
        # Keeps a reference, because a task without one may be garbage-collected.
        self._subscribe_task = asyncio.ensure_future(self._subscribe_to(reader))

    async def _subscribe_to(self, reader: str) -> None:
        try:
            peer_link = await self._links.get_or_connect(reader)
        except exceptions.PeerUnavailable:
            if self._reader == reader:
                self._stale_since[reader] = time.monotonic()
                self._reader = None
                self._failovers += 1
            return
        if self._reader == reader:
            self._send_subscription(peer_link)

    def _send_subscription(self, peer_link: link.Link) -> None:
        self._subscribed_at = time.monotonic()
        versions = self.versions()
        numbers = {table: version.number for table, version in versions.items()}
        epochs = {table: version.epoch for table, version in versions.items()}
        peer_link.send(frames.Subscribe(numbers, self._subscribed_at, epochs))

    def _renew_subscription(self) -> None:
        """Subscribe once more to a reader that has been followed for long."""
        peer_link = None if self._reader is None else self._links.get(self._reader)
        is_due = time.monotonic() - self._subscribed_at > SUBSCRIPTION_RENEWAL_S
        if self._reader_is_fresh and is_due and peer_link is not None:
            self._send_subscription(peer_link)

    def _unfollow(self) -> None:
        if self._reader is None:
            return
        peer_link = self._links.get(self._reader)
        self._reader = None
        if peer_link is not None:
            peer_link.send(frames.Unsubscribe())

    # Reading the store

    def _start_reading(self, tables: Iterable[str] | None = None) -> None:
        if not self._read_tasks:
            self._reading_since = time.monotonic()
            eventlog.event(
                "store.reading-started",
                reader=self._reader,
                subscribers=len(self._subscribers),
                failovers=self._failovers,
                age_s=self.age_s,
            )
        for table in self._copies if tables is None else tables:
            if table not in self._read_tasks:
                task = asyncio.create_task(self._read_feed(table), name=f"read {table}")
                self._read_tasks[table] = task

    def _stop_reading(self) -> None:
        if self._read_tasks:
            eventlog.event("store.reading-stopped", reader=self._reader, age_s=self.age_s)
        for task in self._read_tasks.values():
            task.cancel()
        self._read_tasks.clear()
        self._failed_calls.clear()
        self._read_at.clear()

    async def _read_feed(self, table: str) -> None:
        """Follow the feed of one table until cancelled."""
        copy = self._copies[table]
        failures = 0
        relist = False
        relisted = False
        long_poll_s = MEMBERS_LONG_POLL_S if table == members.TABLE else FEED_LONG_POLL_S
        # The first call returns at once, because followers wait for rows to be confirmed.
        wait_s = 0.0
        while True:
            listing = not copy.is_listed or relist or copy.version.epoch < self._client.epoch
            try:
                if listing:
                    reading = await self._client.get_listing(table)
                else:
                    reading = await self._client.get_changes(table, copy.version, wait_s)
            except store_client.HistoryGone:
                eventlog.event("store.history-gone", table=table, version=copy.version)
                if relisted:
                    # Gone again right after a new listing: the store is discarding its history.
                    await asyncio.sleep(MIN_RETRY_DELAY_S * (1 + self._rng.random()))
                relist = True
                continue
            except exceptions.StoreUnavailable as error:
                failures += 1
                self._failed_calls[table] = failures
                # The next call confirms the rows as soon as the store responds again.
                wait_s = 0.0
                if failures == 1:
                    eventlog.event("store.lost", table=table, error=error, age_s=self.age_s)
                await asyncio.sleep(self._retry_delay_s(failures))
                continue
            if failures:
                eventlog.event("store.regained", table=table, failures=failures)
            is_new_epoch = self._copies[members.TABLE].version.epoch < self._client.epoch
            if failures or (listing and is_new_epoch):
                self._repeat_members_call(table)
            failures = self._failed_calls[table] = 0
            wait_s = long_poll_s
            self._read_at[table] = reading.confirmed_at
            relisted, relist = relist, False
            self._merge_rows(table, reading.page, listing, STORE, reading.confirmed_at)
            if reading.page.rows:
                await asyncio.sleep(BATCH_DELAY_S)

    def _repeat_members_call(self, regained_table: str) -> None:
        """Call for the members again, since the response to a long poll may have been lost."""
        task = self._read_tasks.get(members.TABLE)
        if task is not None and regained_table != members.TABLE:
            task.cancel()
            del self._read_tasks[members.TABLE]
            self._start_reading((members.TABLE,))

    # Applying rows

    def _merge_rows(
        self,
        table: str,
        page: store.Page,
        complete: bool,
        source: str,
        confirmed_at: float,
    ) -> None:
        """Merge rows into a copy, and pass the changes to ``on_rows`` and to subscribers.

        :param page: all changes up to its version.
        :param complete: whether the rows are the complete table and replace the copy.
        :param source: see :class:`Update`.
        :param confirmed_at: monotonic time in seconds at which the store confirmed the version.
        """
        copy = self._copies[table]
        version = page.version
        if version < copy.version:
            return
        rows = self._order_rows(table, page, complete)
        self._mark_fresh(copy, confirmed_at)
        previous_version = copy.version
        restored = complete and copy.is_listed and version.epoch > previous_version.epoch
        if restored:
            eventlog.event(
                "table.restored",
                table=table,
                version=version,
                before=previous_version,
                source=source,
            )
        if complete:
            listed = {row.key: row for row in rows if row.value is not None}
            changed = listed != copy.rows or not copy.is_listed or restored
            copy.replace(listed, version)
            updates: Iterable[store.Row] = listed.values()
        else:
            updates = [row for row in rows if row.version > previous_version]
            changed = bool(updates)
            copy.apply(updates, version)
        if changed:
            age_s = time.monotonic() - confirmed_at
            self._on_rows(Update(table, updates, complete, source, age_s, version, restored))
        self._broadcast_rows(
            table, previous_version, updates if changed else (), complete and changed
        )

    def _order_rows(self, table: str, page: store.Page, complete: bool) -> Iterable[store.Row]:
        """Return rows with those replaced that are older than what their writer reported last."""
        order, known = self._orders.get(table), self._copies[table].rows
        if order is None:
            return page.rows
        if complete:
            order.record_unlisted(page.rows, known, page.version)
        return order.replace_late(page.rows, known)

    def _mark_fresh(self, copy: table_copy.TableCopy, confirmed_at: float) -> None:
        """Record that the store confirmed a copy, and detect the end of an outage.

        :param confirmed_at: monotonic time in seconds of the confirmation.
        """
        if (
            confirmed_at - copy.fresh_at > MIN_OUTAGE_S
            and copy.fresh_at > 0
            and confirmed_at - self._recovered_at > MIN_OUTAGE_S
        ):
            is_required = any(copy is self._copies[table] for table in self._required_tables)
            if is_required:
                self._recovered_at = confirmed_at
                self._on_recovery()
        copy.fresh_at = max(copy.fresh_at, confirmed_at)

    def _broadcast_rows(
        self,
        table: str,
        previous_version: store_version.StoreVersion,
        rows: Iterable[store.Row],
        complete: bool,
    ) -> None:
        if not self._subscribers:
            return
        after = None if complete else previous_version
        copy = self._copies[table]
        data = b""
        # The version is that of the whole store, so it also increases without changes here. Without
        # a frame, subscribers would seem to have missed changes and request a listing.
        if copy.version > previous_version or complete:
            data = frames.encode(self._rows_frame(table, after, rows))
        if table == members.TABLE:
            for peer_link in self._subscribers:
                peer_link.send_encoded(data)
        else:
            self._broadcast(data)

    def _broadcast(self, data: bytes) -> None:
        """Send encoded frames and the ages of the tables to all subscribers."""
        self._forwarded_fresh_at = self._fresh_at
        data += frames.encode(self._table_ages())
        for peer_link in self._subscribers:
            peer_link.send_encoded(data)

    def _send_listing(
        self, peer_link: link.Link, table: str, requested_at: float | None = None
    ) -> None:
        self._send_rows(peer_link, table, None, self._copies[table].rows.values(), requested_at)

    def _send_changes(
        self,
        peer_link: link.Link,
        table: str,
        after: store_version.StoreVersion,
        requested_at: float | None,
    ) -> None:
        """Send the changes after a version, or a complete listing if they are not known."""
        changes = self._copies[table].changes_after(after)
        if changes is None:
            self._send_listing(peer_link, table, requested_at)
        else:
            self._send_rows(peer_link, table, after, changes, requested_at)

    def _send_rows(
        self,
        peer_link: link.Link,
        table: str,
        after: store_version.StoreVersion | None,
        rows: Iterable[store.Row],
        requested_at: float | None,
    ) -> None:
        if self._copies[table].is_listed:
            peer_link.send(self._rows_frame(table, after, rows, requested_at))

    def _rows_frame(
        self,
        table: str,
        after: store_version.StoreVersion | None,
        rows: Iterable[store.Row],
        requested_at: float | None = None,
    ) -> frames.Rows:
        copy = self._copies[table]
        epoch, number = copy.version
        encoded = [(row.key, row.version.number, row.value) for row in rows]
        after_number = None if after is None else after.number
        now = time.monotonic()
        age_s = now - copy.fresh_at
        return frames.Rows(table, after_number, number, encoded, age_s, now, requested_at, epoch)

    def _table_ages(self, requested_at: float | None = None) -> frames.TableAges:
        now = time.monotonic()
        told = {
            table: copy
            for table, copy in self._copies.items()
            if copy.is_listed and table != members.TABLE
        }
        ages = {
            table: (copy.version.number, round(now - copy.fresh_at, 3))
            for table, copy in told.items()
        }
        epochs = {table: copy.version.epoch for table, copy in told.items()}
        return frames.TableAges(ages, now, requested_at, self._is_receiving(), epochs)


def _sent_at(peer_link: link.Link, frame: frames.Rows | frames.TableAges) -> float:
    """Return this VM's monotonic time in seconds at which a peer sent a frame."""
    if frame.sent_at is None:
        return time.monotonic()
    return peer_link.to_local_time(frame.sent_at, frame.requested_at)
