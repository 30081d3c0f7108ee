"""Rate limits that upstreams name, and accounts of the requests that are sent to them.

Load pattern: upstreams in need, one after another, name the rate of requests that they take from
all balancers together. What is known of a limit comes from responses, which arrive at different
balancers and overtake each other. What is sent is paid for from accounts, one at each dispatcher
that grants slots of the upstream, and all of them together must not spend more than the limit.
"""

import dataclasses
import enum
import random
from collections.abc import Iterable

from waxwingspool.catalog import upstreams

__all__ = ["Change", "LimitReport", "RateAccount", "RateLimit", "RateLimits"]

# Lowest rate that is kept to, in requests per second. An upstream that takes less, or nothing,
# still gets one request in this time, whose response shows when the limit has ended.
MIN_RATE = 0.25
# Time in seconds for which unused tokens of an account are kept, so that a high rate need not be
# spread evenly.
BURST_S = 0.1


class Change(enum.StrEnum):
    """Change of a rate limit."""

    BEGAN = "began"
    CHANGED = "changed"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """What a response of an upstream tells about its rate limit.

    The upstream wrote the head of the response between ``sent_at`` and ``received_at``.

    :ivar rate: requests per second that the upstream takes from all balancers together, ``None`` if
        it names no limit.
    :ivar sent_at: monotonic time in seconds at which the request was sent.
    :ivar received_at: monotonic time in seconds at which the head of the response was received.
    :ivar request_id: id of the request, for the log.
    :ivar probe: whether the request was a health check.
    """

    rate: float | None
    sent_at: float
    received_at: float
    request_id: str = ""
    probe: bool = False


class RateLimit:
    """Rate limit of one incarnation of an upstream.

    :param started_ms: Unix time of the start of the incarnation in milliseconds.
    :ivar report: latest report that named the limit, or that ended it; ``None`` before the first.

    >>> limit = RateLimit(0)
    >>> limit.record(LimitReport(2.0, sent_at=1.0, received_at=1.2)).value
    'began'
    >>> limit.record(LimitReport(None, sent_at=1.1, received_at=1.3)) is None
    True
    >>> limit.record(LimitReport(None, sent_at=1.3, received_at=1.4)).value
    'ended'
    """

    def __init__(self, started_ms: int) -> None:
        self.started_ms = started_ms
        self.report: LimitReport | None = None
        self._ended_at = float("-inf")
        self._probes_name_limit = False

    @property
    def _in_force(self) -> bool:
        return self.report is not None and self.report.rate is not None

    @property
    def rate(self) -> float | None:
        """Requests per second to keep to, ``None`` if there is no limit."""
        return max(MIN_RATE, self.report.rate) if self._in_force else None

    def record(self, report: LimitReport) -> Change | None:
        """Update the limit from a response; return the change, ``None`` if there is none.

        A response without a limit ends it only if it is certain to be newer than the latest one
        that named the limit. Health checks end it only if health checks have named it.
        """
        if report.rate is None:
            return self._record_none(report)
        if report.received_at <= self._ended_at:
            return None
        self._probes_name_limit |= report.probe
        if not self._in_force:
            self.report = report
            return Change.BEGAN
        if report.received_at < self.report.received_at:
            return None
        before, self.report = self.report, report
        return Change.CHANGED if report.rate != before.rate else None

    def _record_none(self, report: LimitReport) -> Change | None:
        if report.probe and not self._probes_name_limit:
            return None
        if self._in_force and report.sent_at < self.report.received_at:
            return None
        self._ended_at = max(self._ended_at, report.sent_at)
        if not self._in_force:
            return None
        self.report = report
        self._probes_name_limit = False
        return Change.ENDED


class RateLimits:
    """What a balancer knows of the rate limits of all upstreams."""

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}

    @property
    def empty(self) -> bool:
        """Whether no upstream has named a limit."""
        return not self._limits

    def record(self, upstream_id: str, started_ms: int, report: LimitReport) -> Change | None:
        """Record what a response of an upstream tells; return the change, ``None`` if none.

        :param started_ms: start of the incarnation that responded; reports of earlier ones are
            ignored, and a later one starts without a limit.
        """
        limit = self._limits.get(upstream_id)
        if limit is None or limit.started_ms < started_ms:
            if report.rate is None:
                return None
            limit = self._limits[upstream_id] = RateLimit(started_ms)
        if limit.started_ms != started_ms:
            return None
        return limit.record(report)

    def rate(self, upstream: upstreams.Upstream) -> float | None:
        """Return the requests per second to keep to, ``None`` if an upstream has no limit."""
        limit = self._limits.get(upstream.id)
        if limit is None or limit.started_ms != upstream.started_ms:
            return None
        return limit.rate

    def report(self, upstream: upstreams.Upstream) -> LimitReport | None:
        """Return the report that named or ended the limit of an upstream, ``None`` if none did."""
        limit = self._limits.get(upstream.id)
        if limit is None or limit.started_ms != upstream.started_ms:
            return None
        return limit.report

    def retain(self, known: Iterable[upstreams.Upstream]) -> None:
        """Forget upstreams that have left, and earlier incarnations of the others."""
        started_ms = {upstream.id: upstream.started_ms for upstream in known}
        self._limits = {
            id_: limit
            for id_, limit in self._limits.items()
            if id_ in started_ms and limit.started_ms >= started_ms[id_]
        }


class RateAccount:
    """Token bucket from which a dispatcher pays for requests to an upstream with a rate limit.

    Many accounts may share a limit, each with a part of it. An account starts without a whole token
    and at a random phase, so that accounts that start together do not pay at the same moment. A
    token is kept for no longer than the whole limit takes to earn one: all accounts of a limit
    together then hold about one token, however many they are.

    :param rng: draws the phase.
    :param now: monotonic time in seconds.

    >>> account = RateAccount(random.Random(1), now=0.0)
    >>> account.refill(rate=2.0, share=1.0, now=0.0)
    >>> account.available
    False
    >>> account.refill(rate=2.0, share=1.0, now=0.5)
    >>> account.available
    True
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        self._rng = rng
        self._tokens = rng.random()
        self._refilled_at = now
        self._probed_at = now

    @property
    def available(self) -> bool:
        """Whether a request can be paid for."""
        return self._tokens >= 1.0

    def refill(self, rate: float, share: float, now: float, since: float = float("-inf")) -> None:
        """Add the tokens earned since the last refill.

        :param rate: requests per second of all accounts together.
        :param share: part of the rate that this account earns.
        :param now: monotonic time in seconds.
        :param since: monotonic time in seconds since which the account has this share; if it had
            none before, it starts anew.
        """
        if since > self._refilled_at:
            self._tokens, self._refilled_at = self._rng.random(), since
        own_rate = rate * share
        self._tokens += own_rate * max(0.0, now - self._refilled_at)
        self._refilled_at = now
        capacity = max(1.0, BURST_S * own_rate)
        if self._tokens > capacity + share:
            self._tokens = share + (self._tokens - share) % capacity

    def wait_s(self, own_rate: float) -> float:
        """Return the time in seconds until a request can be paid for.

        :param own_rate: requests per second that this account earns.
        """
        missing = 1.0 - self._tokens
        if missing <= 0:
            return 0.0
        return missing / own_rate if own_rate > 0 else float("inf")

    def pay(self) -> None:
        """Pay for one request."""
        self._tokens -= 1.0

    def refund(self) -> None:
        """Take back the payment for a request that was not sent."""
        self._tokens += 1.0

    def pay_for_probe(self, interval_s: float, now: float) -> bool:
        """Pay for a health check, unless another one was paid for shortly before.

        :param interval_s: shortest time between two health checks in seconds.
        :returns: whether it was paid for.
        """
        if not self.available or now - self._probed_at < interval_s:
            return False
        self._probed_at = now
        self.pay()
        return True
