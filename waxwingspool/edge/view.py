"""Routing table, upstreams and members, decoded from the rows of the metadata store."""

import time
from collections.abc import Callable, Iterable

from waxwingspool import exceptions
from waxwingspool.catalog import node, routes, upstreams
from waxwingspool.fleet import departures, members, tables
from waxwingspool.observe import eventlog
from waxwingspool.platform import configuration, registration, store

__all__ = ["POSITION_READERS", "TABLES", "View"]

# Store tables whose rows must be fresh; rows of the members' table may be older.
TABLES = (configuration.TABLE, registration.TABLE)
# Tables whose rows are ordered by their writers.
POSITION_READERS = {
    configuration.TABLE: configuration.read_position,
    registration.TABLE: registration.read_position,
    members.TABLE: members.read_position,
}


class View:
    """The routing table in force and the current upstreams and members.

    :param membership: registry of the members, updated from their table.
    :param on_upstreams: called with the usable upstreams after each change.
    :param on_routes: called after a new configuration has come into force.
    :param known_departures: upstreams that are leaving and must get no new requests.
    """

    def __init__(
        self,
        settings: node.NodeSettings,
        membership: members.Members,
        on_upstreams: Callable[[list[upstreams.Upstream]], None],
        on_routes: Callable[[], None],
        known_departures: departures.Departures,
    ) -> None:
        self._settings = settings
        self._members = membership
        self._on_upstreams = on_upstreams
        self._on_routes = on_routes
        self._departures = known_departures
        self._table: routes.RouteTable | None = None
        self._registry = upstreams.Registry(time.monotonic)
        self._usable_ids: set[str] = set()
        self._withheld: list[upstreams.Upstream] = []

    @property
    def route_table(self) -> routes.RouteTable | None:
        """The routing table in force, ``None`` before the first configuration."""
        return self._table

    @property
    def balancer_count(self) -> int:
        """Number of balancers."""
        return self._members.count

    @property
    def usable_count(self) -> int:
        """Number of upstreams that may receive requests."""
        return len(self._usable_ids)

    @property
    def withheld(self) -> list[upstreams.Upstream]:
        """Upstreams that get no requests only because they have said that they are leaving."""
        return self._withheld

    def update(self, update: tables.Update) -> None:
        """Apply new rows of a table."""
        if update.table == configuration.TABLE:
            self._update_configuration(update)
        elif update.table == registration.TABLE:
            self._update_upstreams(update)
        else:
            self._update_members(update.rows)

    def record_store_recovery(self) -> None:
        """Record that the store has recovered from an outage."""
        eventlog.event("store.returned", upstreams=len(self._registry.upstreams))
        self._registry.record_store_recovery()

    def expire(self) -> None:
        """Remove upstreams that have not registered again after a store outage."""
        self._departures.retain(self._registry.upstreams.values())
        count = len(self._registry.upstreams)
        self._registry.expire()
        if len(self._registry.upstreams) != count:
            self.publish_upstreams()

    def _update_configuration(self, update: tables.Update) -> None:
        """Apply the newest configuration; an older version never replaces a newer one."""
        for row in update.rows:
            if row.key != configuration.KEY or row.value is None:
                continue
            try:
                table = configuration.decode(row.value)
            except exceptions.ConfigurationError as error:
                eventlog.event("configuration.unusable", row=row.version, error=error)
                continue
            current = -1 if self._table is None else self._table.version
            if table.version <= current:
                eventlog.event("configuration.ignored", version=table.version, in_force=current)
                continue
            self._table = table
            route_count = sum(len(prefixes) for prefixes in table.hosts.values())
            eventlog.event(
                "configuration.in-force",
                version=table.version,
                before=current,
                row=row.version,
                routes=route_count,
                source=update.source,
                age_s=update.age_s,
            )
            self._on_routes()

    def _update_upstreams(self, update: tables.Update) -> None:
        now = time.monotonic()
        changes: list[upstreams.Change] = []
        for row in update.rows:
            if row.value is None:
                changes.append(upstreams.Removal(row.key, row.version))
                continue
            upstream = registration.decode(row.key, row.value, row.version, now)
            if upstream is not None:
                changes.append(upstream)
            else:
                eventlog.event("upstream.unreadable", upstream=row.key, row=row.version)
                changes.append(upstreams.Removal(row.key, row.version))
        if update.complete:
            listed = (change for change in changes if isinstance(change, upstreams.Upstream))
            self._registry.replace(listed, update.restored)
        else:
            self._registry.apply(changes)
        self.publish_upstreams()

    def _update_members(self, rows: Iterable[store.Row]) -> None:
        for row in rows:
            if not self._members.update(row.key, row.value):
                eventlog.event("member.unreadable", member=row.key, row=row.version)

    def publish_upstreams(self) -> None:
        """Tell which upstreams may receive requests, after a change of them."""
        registered = self._registry.usable()
        self._withheld = [u for u in registered if self._departures.is_leaving(u)]
        usable = [target for target in registered if target not in self._withheld]
        ids = {upstream.id for upstream in usable}
        if ids != self._usable_ids:
            eventlog.event(
                "upstreams.changed",
                usable=len(ids),
                joined=",".join(sorted(ids - self._usable_ids)) or None,
                left=",".join(sorted(self._usable_ids - ids)) or None,
            )
        self._usable_ids = ids
        self._on_upstreams(usable)
