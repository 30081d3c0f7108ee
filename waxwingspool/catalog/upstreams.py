"""Registry of the upstreams listed in the metadata store.

An upstream whose lease expires during a store outage registers again within
:data:`REREGISTRATION_S` of the store's recovery. Removals during this time are delayed until its
end, so that an outage does not leave a service without upstreams.
"""

import dataclasses
from collections.abc import Callable, Iterable

from waxwingspool.catalog import node

__all__ = ["Change", "Registry", "Removal", "Upstream"]

# Time after the store's recovery within which upstreams with expired leases register again, in
# seconds; specified by the operators of the store.
REREGISTRATION_S = 2.0


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
    row_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """The deletion of an upstream's row from the store."""

    id: str
    row_version: int


Change = Upstream | Removal


class Registry:
    """Known upstreams, by id.

    :param clock: returns the monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}
        self._removal_due_at: dict[str, float] = {}
        self._store_recovered_at = float("-inf")

    @property
    def upstreams(self) -> dict[str, Upstream]:
        """All known upstreams, by id."""
        return self._upstreams

    def record_store_recovery(self) -> None:
        """Record that the store has recovered from an outage."""
        self._store_recovered_at = self._clock()

    def apply(self, changes: Iterable[Change]) -> None:
        """Apply changes, oldest first; a row never replaces one with a higher version."""
        for change in changes:
            if isinstance(change, Removal):
                self._remove(change)
            else:
                self._update(change)

    def replace(self, upstreams: Iterable[Upstream]) -> None:
        """Apply a complete listing; upstreams that are not listed are removed."""
        listed = {upstream.id: upstream for upstream in upstreams}
        for id_ in list(self._upstreams):
            if id_ not in listed:
                self._remove(Removal(id_, self._upstreams[id_].row_version))
        for upstream in listed.values():
            self._update(upstream)

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
        self._upstreams[upstream.id] = upstream

    def _remove(self, removal: Removal) -> None:
        current = self._upstreams.get(removal.id)
        if current is None or current.row_version > removal.row_version:
            return
        due_at = self._store_recovered_at + REREGISTRATION_S
        if due_at > self._clock() and not current.draining:
            self._removal_due_at.setdefault(removal.id, due_at)
        else:
            self._removal_due_at.pop(removal.id, None)
            del self._upstreams[removal.id]
