"""Rate limits of upstreams across balancers: what is known of them, and shares of them.

A balancer that learns of a limit from a response tells the dispatcher that granted the slot, which
tells the balancers that request slots from it. Each balancer thus tells the next dispatcher what it
knows with its first request. See :mod:`waxwingspool.dispatch.shares` for the shares.
"""

import math
import time
from collections.abc import Callable, Collection, Iterable

from waxwingspool.catalog import node, upstreams
from waxwingspool.dispatch import rates, shares, slots
from waxwingspool.fleet import frames, link, members
from waxwingspool.observe import counters, eventlog

__all__ = ["SharedLimits"]

# Metric with the rate limit of each upstream that names one, in requests per second.
GAUGE = "waxwingspool_upstream_rate_limit"
# Time in seconds for which a computed share is used.
SHARE_CACHE_S = 0.02

_GetOwners = Callable[[upstreams.Upstream], Collection[str]]


class SharedLimits:
    """Rate limits that this balancer knows, and its share of them.

    :param settings: settings of this balancer.
    :param membership: all known balancers.
    """

    def __init__(self, settings: node.NodeSettings, membership: members.Members) -> None:
        self._settings = settings
        self._members = membership
        self._limits = rates.RateLimits()
        self._lender = shares.Lender()
        self._loans: dict[str, shares.Loans] = {}
        self._upstreams: dict[str, upstreams.Upstream] = {}
        # Ids of the upstreams whose limits have changed since the last broadcast.
        self._changed: set[str] = set()
        self._owners: dict[str, Collection[str]] = {}
        self._owners_revision = -1

    @property
    def limits(self) -> rates.RateLimits:
        """The known rate limits."""
        return self._limits

    def update_upstreams(self, known: Iterable[upstreams.Upstream]) -> None:
        """Replace the upstreams; limits of those that have left are forgotten."""
        before = self._upstreams
        self._upstreams = {upstream.id: upstream for upstream in known}
        self._limits.retain(self._upstreams.values())
        for id_, upstream in before.items():
            if self._limits.rate(upstream) is None:
                counters.remove_gauge(GAUGE, service=upstream.service, upstream=id_)

    # Reports of limits

    def record(self, upstream: upstreams.Upstream, report: rates.LimitReport, source: str) -> None:
        """Record what a response of an upstream tells about its limit.

        :param source: ``response``, ``probe`` or the address of the peer that told it.
        """
        before = self._limits.report(upstream)
        change = self._limits.record(upstream.id, upstream.started_ms, report)
        if change is None:
            return
        self._changed.add(upstream.id)
        labels = {"service": upstream.service, "upstream": upstream.id}
        if report.rate is None:
            counters.remove_gauge(GAUGE, **labels)
        else:
            counters.gauge(GAUGE, report.rate, **labels)
        eventlog.event(
            f"upstream.limit.{change}",
            upstream=upstream.id,
            service=upstream.service,
            rate=report.rate,
            before=None if before is None else before.rate,
            id=report.request_id or None,
            source=source,
            age_s=time.monotonic() - report.received_at,
        )

    def receive(self, peer_link: link.Link, frame: frames.RateLimit) -> None:
        """Record what a peer tells about the limit of an upstream."""
        upstream = self._upstreams.get(frame.upstream)
        if upstream is None or upstream.started_ms != frame.started_ms:
            return
        if frame.rate is not None and not 0 <= frame.rate < math.inf:
            eventlog.event(
                "upstream.limit.unreadable", upstream=frame.upstream, source=peer_link.peer
            )
            return
        told_at = min(time.monotonic(), peer_link.to_local_time(frame.told_at, None))
        report = rates.LimitReport(
            frame.rate,
            told_at - max(0.0, frame.sent_ago_s),
            told_at - max(0.0, frame.received_ago_s),
            frame.request_id,
            frame.probe,
        )
        self.record(upstream, report, peer_link.peer)

    def frame(self, upstream: upstreams.Upstream, report: rates.LimitReport) -> frames.RateLimit:
        """Return the frame that tells a peer what is known of a limit."""
        now = time.monotonic()
        return frames.RateLimit(
            upstream.id,
            upstream.started_ms,
            report.rate,
            now,
            now - report.sent_at,
            now - report.received_at,
            report.request_id,
            report.probe,
        )

    def known_frames(self, service: str) -> list[frames.RateLimit]:
        """Return frames with all known limits of a service's upstreams."""
        known = (u for u in self._upstreams.values() if u.service == service)
        return self._frames(upstream for upstream in known if self._limits.rate(upstream))

    def take_changes(self) -> list[frames.RateLimit]:
        """Return frames with the limits that have changed since the last call."""
        changed, self._changed = self._changed, set()
        return self._frames(self._upstreams[id_] for id_ in changed if id_ in self._upstreams)

    def _frames(self, known: Iterable[upstreams.Upstream]) -> list[frames.RateLimit]:
        reports = ((upstream, self._limits.report(upstream)) for upstream in known)
        return [self.frame(upstream, report) for upstream, report in reports if report is not None]

    # Shares

    def lend(self, service: str, dispatcher: str) -> bool:
        """Lend this balancer's share to a dispatcher; return whether it may spend it now."""
        return self._lender.lend(service, dispatcher, time.monotonic())

    def renewable_loans(self) -> list[tuple[str, str]]:
        """Return the services with known limits, each with the dispatcher that has the share."""
        limited = {u.service for u in self._upstreams.values() if self._limits.rate(u) is not None}
        loans = ((service, self._lender.borrower(service)) for service in sorted(limited))
        return [(service, borrower) for service, borrower in loans if borrower is not None]

    def end_loans(self, dispatcher: str) -> None:
        """Take back what was lent to a dispatcher that grants nothing any more."""
        self._lender.end_loans(dispatcher, time.monotonic())

    def record_loan(self, service: str, owner: str) -> None:
        """Record that a balancer lends its share to the dispatcher in this process."""
        self._get_loans(service).record(owner, time.monotonic())

    def stop_spending(self) -> None:
        """Give back what is lent to the dispatchers in this process, because it is stopping."""
        for loans in self._loans.values():
            loans.clear()

    def remove_owner(self, owner: str) -> None:
        """Return what a balancer has lent to the dispatchers in this process."""
        for loans in self._loans.values():
            loans.remove(owner)

    def regional_share(self, service: str) -> slots.RateShare:
        """Return the part of the limits that the dispatcher of a region may spend."""
        return _LentShares(self._get_loans(service), self._get_owners)

    def local_share(self, service: str) -> slots.RateShare:
        """Return the part of the limits that this balancer may spend without a dispatcher."""
        return _OwnShare(self._lender, service, self._settings.ip, self._get_owners)

    def _get_loans(self, service: str) -> shares.Loans:
        return self._loans.setdefault(service, shares.Loans())

    def _get_owners(self, upstream: upstreams.Upstream) -> Collection[str]:
        """Return the balancers among which the limit of an upstream is divided.

        These are the balancers of its region, or all of them if its region has none.
        """
        if self._owners_revision != self._members.revision:
            self._owners_revision = self._members.revision
            self._owners.clear()
        region = self._settings.regions.get(upstream.data_centre, "")
        if region not in self._owners:
            self._owners[region] = self._members.in_region(region) or self._members.addresses()
        return self._owners[region]


class _LentShares:
    """Part of the rate limits that the balancers of a region lend to a dispatcher."""

    def __init__(self, loans: shares.Loans, get_owners: _GetOwners) -> None:
        self._loans = loans
        self._get_owners = get_owners
        self._cache: dict[str, tuple[float, float]] = {}

    def value(self, upstream: upstreams.Upstream, now: float) -> float:
        computed_at, share = self._cache.get(upstream.data_centre, (float("-inf"), 0.0))
        if now - computed_at > SHARE_CACHE_S:
            share = self._loans.share(self._get_owners(upstream), now)
            self._cache[upstream.data_centre] = (now, share)
        return share

    def since(self, now: float) -> float:
        return self._loans.since


class _OwnShare:
    """Part of the rate limits that belongs to one balancer, while it is lent to no dispatcher."""

    def __init__(
        self, lender: shares.Lender, service: str, own_ip: str, get_owners: _GetOwners
    ) -> None:
        self._lender = lender
        self._service = service
        self._own_ip = own_ip
        self._get_owners = get_owners

    def value(self, upstream: upstreams.Upstream, now: float) -> float:
        owners = self._get_owners(upstream)
        if now < self.since(now) or self._own_ip not in owners:
            return 0.0
        return 1 / len(owners)

    def since(self, now: float) -> float:
        return self._lender.free_since(self._service)
