"""Departures: upstreams that have said in a response that they are leaving.

An upstream that shuts down says so in all its responses. A balancer that has read it sends nothing
new to this start of the upstream, whatever the store and the dispatchers say, and tells the other
balancers with the next message to each of them. A new start of the upstream is another one. If the
store can't tell of it, health checks do. They end a departure if they show that the upstream serves
and have shown before that its process had ended, or that they tell of departures.

A departure is remembered beyond the removal of the upstream's row, because a store that is restored
from a copy may list the row once more.
"""

import collections
import dataclasses
import enum
import time
from collections.abc import Callable, Iterable

from waxwingspool.catalog import upstreams
from waxwingspool.observe import counters, eventlog

__all__ = ["Check", "Departures", "Start"]

# Time in seconds for which a departure is remembered after the store last listed the upstream; see
# :data:`waxwingspool.fleet.row_order.MAX_DELAY_S`.
RETENTION_S = 30.0
# Largest number of remembered departures; of more, the oldest ones are forgotten.
MAX_DEPARTURES = 10_000
# Largest number of departures that are told in one message.
MAX_TOLD_AT_ONCE = 50

# Id of an upstream, and its start as Unix time in milliseconds.
Start = tuple[str, int]


class Check(enum.StrEnum):
    """What a health check of an upstream shows."""

    # The upstream says that it is leaving.
    LEAVING = "leaving"
    # It is healthy and does not say that it is leaving.
    SERVING = "serving"
    # No process, or that of another upstream, responds at its address.
    GONE = "gone"
    # It says neither.
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class _Departure:
    """What is known of one start of an upstream.

    :ivar listed_at: monotonic time in seconds at which the store last listed this start.
    :ivar told: whether other balancers are to be told.
    :ivar may_end: whether a health check that shows it serving is that of a new start.
    :ivar ended: whether a new start serves, under the same id, that the store has not listed yet.
    """

    listed_at: float
    told: bool
    may_end: bool = False
    ended: bool = False


class Departures:
    """The departures that this balancer knows, and who has been told.

    :param on_change: called after a departure has become known or has ended.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self._on_change = on_change
        # By start, the oldest first.
        self._departures: dict[Start, _Departure] = {}
        # Departures that each peer knows, by its address.
        self._known_by: dict[str, set[Start]] = collections.defaultdict(set)
        self._to_tell: list[Start] = []

    @property
    def count(self) -> int:
        """Number of remembered departures."""
        return len(self._departures)

    def is_leaving(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream has said that it is leaving, and has not started again."""
        departure = self._departures.get(_start_of(upstream))
        return departure is not None and not departure.ended

    def record(
        self, upstream: upstreams.Upstream, source: str, in_use: bool, request_id: str = ""
    ) -> None:
        """Record that an upstream has said that it is leaving.

        :param source: ``response`` or ``probe``.
        :param in_use: whether it could have got requests; if not, the other balancers know from the
            store as well.
        :param request_id: id of the request, for the log.
        """
        if not self.is_leaving(upstream):
            self._add(_start_of(upstream), source, in_use, id=request_id or None)
        if source == "probe":
            self.record_check(upstream, Check.LEAVING)

    def receive(self, peer: str, starts: Iterable[Start], in_use: Callable[[Start], bool]) -> None:
        """Record departures that a peer tells; it may not know yet that one has ended.

        :param in_use: returns whether a start could have got requests from this balancer.
        """
        for start in starts:
            self._known_by[peer].add(start)
            if start not in self._departures:
                self._add(start, "peer", in_use(start), peer=peer)

    def _add(self, start: Start, source: str, in_use: bool, **details: object) -> None:
        self._departures[start] = _Departure(time.monotonic(), in_use)
        if len(self._departures) > MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        self._update_to_tell()
        id_, started_ms = start
        counters.count("waxwingspool_departures", source=source)
        eventlog.event(
            "upstream.leaving",
            upstream=id_,
            started_ms=started_ms,
            source=source,
            in_use=in_use,
            **details,
        )
        self._on_change()

    def record_check(self, upstream: upstreams.Upstream, result: Check) -> None:
        """Record what a health check shows of an upstream that has said that it is leaving."""
        departure = self._departures.get(_start_of(upstream))
        if departure is None or departure.ended:
            return
        if result in (Check.LEAVING, Check.GONE):
            departure.may_end = True
        elif result is Check.SERVING and departure.may_end:
            departure.ended = True
            for known in self._known_by.values():
                known.discard(_start_of(upstream))
            self._update_to_tell()
            eventlog.event(
                "upstream.serving-again", upstream=upstream.id, started_ms=upstream.started_ms
            )
            self._on_change()

    def retain(self, listed: Iterable[upstreams.Upstream]) -> None:
        """Forget the departures of upstreams that have not been listed for long."""
        if not self._departures:
            return
        now = time.monotonic()
        for upstream in listed:
            departure = self._departures.get(_start_of(upstream))
            if departure is not None:
                departure.listed_at = now
        count = len(self._departures)
        self._departures = {
            start: departure
            for start, departure in self._departures.items()
            if now - departure.listed_at < RETENTION_S
        }
        if len(self._departures) != count:
            self._update_to_tell()

    # Telling peers

    def take_untold(self, peer: str) -> tuple[Start, ...]:
        """Return departures that a peer has not been told, which count as told from now on."""
        if not self._to_tell:
            return ()
        known = self._known_by[peer]
        untold = tuple(start for start in self._to_tell if start not in known)[:MAX_TOLD_AT_ONCE]
        known.update(untold)
        return untold

    def forget_peer(self, peer: str) -> None:
        """Forget what a peer knows, because the link to it has closed."""
        self._known_by.pop(peer, None)

    def _update_to_tell(self) -> None:
        self._to_tell = [
            start for start, known in self._departures.items() if known.told and not known.ended
        ]
        for known in self._known_by.values():
            known.intersection_update(self._departures)


def _start_of(upstream: upstreams.Upstream) -> Start:
    return upstream.id, upstream.started_ms
