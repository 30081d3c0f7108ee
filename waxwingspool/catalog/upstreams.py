"""The upstreams that are believed to exist, as the store lists them.

An upstream whose lease ran out while the store was away comes back within :data:`RETURN_S` of the
store's return. Until then its removal is held, so that an outage does not empty a service.
"""

import dataclasses
from collections.abc import Callable, Iterable

from waxwingspool.catalog import node

__all__ = ["Change", "Registry", "Removal", "Upstream"]

# Time after the store's return within which lapsed upstreams come back, in seconds; stated by
# the operators of the store.
RETURN_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream.

    :ivar draining: it is leaving and must get no new requests.
    :ivar warm_at: monotonic time in seconds at which it is no longer slow after its start.
    :ivar born_ms: Unix time of its start in milliseconds, 0 if unknown.
    :ivar row_version: version of the row that says so; orders beliefs about one address.
    """

    id: str
    service: str
    address: node.Address
    data_centre: str
    slots: int
    draining: bool
    warm_at: float
    born_ms: int
    row_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """The store dropped the row of an upstream."""

    id: str
    row_version: int


Change = Upstream | Removal


class Registry:
    """All upstreams, by id.

    :param clock: monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}
        self._held: dict[str, float] = {}
        self._returned_at = float("-inf")

    @property
    def upstreams(self) -> dict[str, Upstream]:
        """Every known upstream, by id."""
        return self._upstreams

    def store_returned(self) -> None:
        """Note that the store answers again after an outage."""
        self._returned_at = self._clock()

    def apply(self, changes: Iterable[Change]) -> None:
        """Take over changes, oldest first; an older row never replaces a newer one."""
        for change in changes:
            if isinstance(change, Removal):
                self._remove(change)
            else:
                self._put(change)

    def replace(self, upstreams: Iterable[Upstream]) -> None:
        """Take over a complete listing; what it lacks is removed."""
        listed = {upstream.id: upstream for upstream in upstreams}
        for id_ in list(self._upstreams):
            if id_ not in listed:
                self._remove(Removal(id_, self._upstreams[id_].row_version))
        for upstream in listed.values():
            self._put(upstream)

    def expire(self) -> None:
        """Drop upstreams whose removal was held and that have not come back."""
        now = self._clock()
        for id_ in [id_ for id_, at in self._held.items() if at <= now]:
            del self._held[id_]
            self._upstreams.pop(id_, None)

    def usable(self) -> list[Upstream]:
        """Return the upstreams that may get new requests.

        Of two with one address only the newer counts: addresses are used again.
        """
        newest: dict[node.Address, Upstream] = {}
        for upstream in self._upstreams.values():
            other = newest.get(upstream.address)
            if other is None or other.row_version < upstream.row_version:
                newest[upstream.address] = upstream
        return [upstream for upstream in newest.values() if not upstream.draining]

    def _put(self, upstream: Upstream) -> None:
        known = self._upstreams.get(upstream.id)
        if known is not None and known.row_version > upstream.row_version:
            return
        self._held.pop(upstream.id, None)
        self._upstreams[upstream.id] = upstream

    def _remove(self, removal: Removal) -> None:
        known = self._upstreams.get(removal.id)
        if known is None or known.row_version > removal.row_version:
            return
        until = self._returned_at + RETURN_S
        if until > self._clock() and not known.draining:
            self._held.setdefault(removal.id, until)
        else:
            self._held.pop(removal.id, None)
            del self._upstreams[removal.id]
