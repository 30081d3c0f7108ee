"""What the process believes, decoded from rows: routes, upstreams and members."""

import time
from collections.abc import Callable, Iterable

from waxwingspool import exceptions
from waxwingspool.catalog import node, routes, upstreams
from waxwingspool.fleet import members
from waxwingspool.observe import eventlog
from waxwingspool.platform import configuration, registration, store

__all__ = ["TABLES", "View"]

# Tables whose rows must be fresh.
TABLES = (configuration.TABLE, registration.TABLE)


class View:
    """Routes, upstreams and members in force.

    :param known: the members.
    :param on_upstreams: told of the usable upstreams after each change.
    :param on_routes: told after a new configuration has come into force.
    """

    def __init__(
        self,
        settings: node.NodeSettings,
        known: members.Members,
        on_upstreams: Callable[[list[upstreams.Upstream]], None],
        on_routes: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._members = known
        self._on_upstreams = on_upstreams
        self._on_routes = on_routes
        self._table: routes.RouteTable | None = None
        self._registry = upstreams.Registry(time.monotonic)
        self._usable: set[str] = set()

    @property
    def table(self) -> routes.RouteTable | None:
        """The routing table in force, ``None`` before the first."""
        return self._table

    @property
    def balancers(self) -> int:
        """How many balancers there are."""
        return self._members.count

    @property
    def usable(self) -> int:
        """How many upstreams may get requests."""
        return len(self._usable)

    def take(self, table: str, rows: Iterable[store.Row], complete: bool) -> None:
        """Take over new rows of a table."""
        if table == configuration.TABLE:
            self._take_configuration(rows)
        elif table == registration.TABLE:
            self._take_upstreams(rows, complete)
        else:
            self._take_members(rows)

    def store_returned(self) -> None:
        """Note that the store answers again."""
        eventlog.event("store.returned", upstreams=len(self._registry.upstreams))
        self._registry.store_returned()

    def expire(self) -> None:
        """Drop upstreams that did not come back after an outage."""
        before = len(self._registry.upstreams)
        self._registry.expire()
        if len(self._registry.upstreams) != before:
            self._publish()

    def _take_configuration(self, rows: Iterable[store.Row]) -> None:
        """Put the newest configuration in force; an older one never replaces a newer one."""
        for row in rows:
            if row.key != configuration.KEY or row.value is None:
                continue
            try:
                table = configuration.decode(row.value)
            except exceptions.ConfigurationError as error:
                eventlog.event("configuration.unusable", row=row.version, error=error)
                continue
            before = -1 if self._table is None else self._table.version
            if table.version <= before:
                eventlog.event("configuration.ignored", version=table.version, in_force=before)
                continue
            self._table = table
            routes_known = sum(len(prefixes) for prefixes in table.hosts.values())
            eventlog.event(
                "configuration.in-force",
                version=table.version,
                before=before,
                row=row.version,
                routes=routes_known,
            )
            self._on_routes()

    def _take_upstreams(self, rows: Iterable[store.Row], complete: bool) -> None:
        now = time.monotonic()
        changes: list[upstreams.Change] = []
        for row in rows:
            if row.value is None:
                changes.append(upstreams.Removal(row.key, row.version))
                continue
            upstream = registration.decode(row.key, row.value, row.version, now)
            if upstream is not None:
                changes.append(upstream)
            else:
                eventlog.event("upstream.unreadable", upstream=row.key, row=row.version)
                changes.append(upstreams.Removal(row.key, row.version))
        if complete:
            self._registry.replace(c for c in changes if isinstance(c, upstreams.Upstream))
        else:
            self._registry.apply(changes)
        self._publish()

    def _take_members(self, rows: Iterable[store.Row]) -> None:
        for row in rows:
            if not self._members.put(row.key, row.value):
                eventlog.event("member.unreadable", member=row.key, row=row.version)

    def _publish(self) -> None:
        usable = self._registry.usable()
        ids = {upstream.id for upstream in usable}
        if ids != self._usable:
            eventlog.event(
                "upstreams.changed",
                usable=len(ids),
                joined=",".join(sorted(ids - self._usable)) or None,
                left=",".join(sorted(self._usable - ids)) or None,
            )
        self._usable = ids
        self._on_upstreams(usable)
