"""Registry of the upstreams listed in the metadata store.

An upstream whose lease expires during a store outage registers again within
:data:`REREGISTRATION_S` of the store's recovery. When a large part of a service is removed during
this time, the removals are delayed until its end, so that an outage does not leave a service
without upstreams. Single removals take effect immediately: some upstreams that shut down are
removed without having been marked as draining, and must get no new requests.

A store that is restored from a copy lacks the upstreams that have registered since. Those that are
alive register again within the same time, so all that are missing are kept until its end.
"""

import collections
import dataclasses
from collections.abc import Callable, Container, Iterable

from waxwingspool.catalog import node, store_version

__all__ = ["Change", "Registry", "Removal", "Upstream"]

# Time after the store's recovery within which upstreams with expired leases register again, in
# seconds; specified by the operators of the store.
REREGISTRATION_S = 2.0
# Smallest share of the upstreams of a service whose removal counts as expired leases.
MIN_LAPSED_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream.

    :ivar slots: number of requests that it processes concurrently.
    :ivar draining: whether it is shutting down and must receive no new requests.
    :ivar warm_at: monotonic time in seconds at which its warm-up ends, until which it is slower.
    :ivar started_ms: Unix time of its start in milliseconds, 0 if unknown.
    :ivar row_version: version of the row in the store; among upstreams with the same address the
        highest is current.
    """

    id: str
    service: str
    address: node.Address
    data_centre: str
    slots: int
    draining: bool
    warm_at: float
    started_ms: int
    row_version: store_version.StoreVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """The deletion of an upstream's row from the store."""

    id: str
    row_version: store_version.StoreVersion


Change = Upstream | Removal


class Registry:
    """Known upstreams, by id.

    :param clock: returns the monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}
        self._removal_due_at: dict[str, float] = {}
        # When all upstreams that are alive have registered again after the store's last recovery.
        self._reregistered_at = float("-inf")
        # At the store's recovery, the number of upstreams of each service that were not draining,
        # and the ids of those that have been removed since.
        self._registered: collections.Counter[str] = collections.Counter()
        self._lapsed: dict[str, set[str]] = collections.defaultdict(set)

    @property
    def upstreams(self) -> dict[str, Upstream]:
        """All known upstreams, by id."""
        return self._upstreams

    def record_store_recovery(self) -> None:
        """Record that the store has recovered from an outage."""
        self._reregistered_at = self._clock() + REREGISTRATION_S
        self._registered = collections.Counter(
            upstream.service for upstream in self._upstreams.values() if not upstream.draining
        )
        self._lapsed.clear()

    def apply(self, changes: Iterable[Change]) -> None:
        """Apply changes, oldest first; a row never replaces one with a higher version."""
        changes = list(changes)
        self._record_lapses(change for change in changes if isinstance(change, Removal))
        for change in changes:
            if isinstance(change, Removal):
                self._remove(change)
            else:
                self._update(change)

    def replace(self, upstreams: Iterable[Upstream], restored: bool = False) -> None:
        """Apply a complete listing; upstreams that are not listed are removed.

        :param restored: whether it is the first listing after the store was restored from a copy.
        """
        listed = {upstream.id: upstream for upstream in upstreams}
        if restored:
            self._keep_missing(listed)
        removals = [
            Removal(id_, upstream.row_version)
            for id_, upstream in self._upstreams.items()
            if id_ not in listed and id_ not in self._removal_due_at
        ]
        self._record_lapses(removals)
        for removal in removals:
            self._remove(removal)
        for upstream in listed.values():
            self._update(upstream)

    def _keep_missing(self, listed: Container[str]) -> None:
        """Keep the upstreams that a restored store lacks until they may have registered again."""
        self.record_store_recovery()
        for id_, upstream in self._upstreams.items():
            if id_ not in listed and not upstream.draining:
                self._removal_due_at[id_] = self._reregistered_at

    def expire(self) -> None:
        """Remove the upstreams whose delayed removal is due."""
        now = self._clock()
        for id_ in [id_ for id_, due_at in self._removal_due_at.items() if due_at <= now]:
            del self._removal_due_at[id_]
            self._upstreams.pop(id_, None)

    def usable(self) -> list[Upstream]:
        """Return the upstreams that may receive new requests.

        Addresses are reused: of several upstreams with the same address, only the one with the
        highest row version is considered.
        """
        newest: dict[node.Address, Upstream] = {}
        for upstream in self._upstreams.values():
            existing = newest.get(upstream.address)
            if existing is None or existing.row_version < upstream.row_version:
                newest[upstream.address] = upstream
        return [upstream for upstream in newest.values() if not upstream.draining]

    def _update(self, upstream: Upstream) -> None:
        current = self._upstreams.get(upstream.id)
        if current is not None and current.row_version > upstream.row_version:
            return
        self._removal_due_at.pop(upstream.id, None)
        self._lapsed[upstream.service].discard(upstream.id)
        self._upstreams[upstream.id] = upstream

    def _record_lapses(self, removals: Iterable[Removal]) -> None:
        """Count removals that arrive together, before any of them takes effect."""
        if self._clock() >= self._reregistered_at:
            return
        for removal in removals:
            if self._is_removable(removal):
                current = self._upstreams[removal.id]
                if not current.draining:
                    self._lapsed[current.service].add(removal.id)

    def _is_removable(self, removal: Removal) -> bool:
        current = self._upstreams.get(removal.id)
        return current is not None and current.row_version <= removal.row_version

    def _has_lapsed(self, service: str) -> bool:
        """Return whether a large part of a service has been removed since the recovery."""
        return len(self._lapsed[service]) >= MIN_LAPSED_SHARE * self._registered[service]

    def _remove(self, removal: Removal) -> None:
        if not self._is_removable(removal):
            return
        current = self._upstreams[removal.id]
        may_return = not current.draining and self._has_lapsed(current.service)
        if self._clock() < self._reregistered_at and may_return:
            self._removal_due_at.setdefault(removal.id, self._reregistered_at)
        else:
            self._removal_due_at.pop(removal.id, None)
            del self._upstreams[removal.id]
