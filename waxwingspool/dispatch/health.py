"""Health of one upstream: requests in flight, relative response time, contention and failures.

Contention means that other workloads on a shared machine slow down the upstream's work.
"""

import dataclasses
import enum

from waxwingspool.catalog import upstreams
from waxwingspool.dispatch import rates

__all__ = ["Health", "InFlightRequest", "Outcome", "Report"]

# Consecutive failures after which an upstream is ejected.
CONSECUTIVE_FAILURE_THRESHOLD = 3
# Average failure rate above which an upstream is ejected, and the weight of the latest result in
# the average.
FAILURE_RATE_THRESHOLD = 0.4
FAILURE_RATE_WEIGHT = 0.15
# First and longest ejection in seconds; the duration doubles with each ejection.
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
# Weight of the latest response in an upstream's average time and slowdown.
TIME_SMOOTHING = 0.25
# Age in seconds up to which a reported slowdown is used; contention on shared machines starts and
# ends several times a second.
MAX_SLOWDOWN_AGE_S = 0.4
# Slowdown above which an upstream gets no new requests until the contention ends.
CONTENDED_SLOWDOWN = 2.5
# Slowdown up to which an upstream counts as uncontended; reported values vary by a few percent.
UNCONTENDED_SLOWDOWN = 1.25
# Upper bound, in an upstream's averages, on the slowdown of one response and on the ratio of its
# time to the service's average; the inverse is the lower bound on that ratio.
MAX_TIME_FACTOR = 8.0
# Factor by which work takes longer during the warm-up after a start.
COLD_FACTOR = 2.0
# An upstream counts as stalled after this many times the expected time without a response, counted
# from the start of its oldest request or from its latest response, whichever is later.
STALL_FACTOR = 4.0
# Lower bound on that time, in seconds.
MIN_STALL_S = 0.5
# Age in seconds up to which the load reported by a probe is used.
MAX_LOAD_AGE_S = 0.4
# Consecutive unanswered probes after which an upstream counts as unresponsive.
FAILED_PROBE_THRESHOLD = 2
# Time in seconds without new requests after an upstream rejected one because it was full.
FULL_BACKOFF_S = 0.05


class Outcome(enum.StrEnum):
    """Outcome of a granted request."""

    ANSWERED = "answered"
    # The upstream rejected the request without running it.
    FULL = "full"
    # The address belongs to another upstream.
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    # Cancelled before the deadline and before a response: the caller disconnected or another
    # attempt was answered. Also used for slots that expired or whose holder left.
    ABANDONED = "abandoned"
    # No response before the deadline; counts as a failure.
    TIMED_OUT = "timed_out"
    # The request was never sent.
    UNUSED = "unused"


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of a granted request, reported by the holder of the slot when it releases it.

    :ivar seconds: time from sending the request to receiving the head of the response.
    :ivar slowdown: slowdown that the upstream reported with the response, if any.
    :ivar limit: what the response tells about the rate limit, ``None`` if it tells nothing.
    """

    outcome: Outcome
    seconds: float = 0.0
    slowdown: float | None = None
    limit: rates.LimitReport | None = None


@dataclasses.dataclass(slots=True)
class InFlightRequest:
    """A request that an upstream is processing.

    :ivar started_at: monotonic time in seconds.
    :ivar slowdown: slowdown of the upstream at the start; it applies to the whole request.
    :ivar is_straggler: whether the request is a straggler: contention was detected right after the
        start, so that it takes much longer than expected.
    """

    started_at: float
    slowdown: float
    is_straggler: bool = False


class Health:
    """Health of one upstream, as observed by one dispatcher.

    :param upstream: the registered upstream.
    :ivar time_factor: average ratio of its response time to the service's, without contention.
    :ivar mean_slowdown: average factor by which contention lengthens its requests.
    """

    def __init__(self, upstream: upstreams.Upstream) -> None:
        self.upstream = upstream
        self.requests: dict[object, InFlightRequest] = {}
        self.time_factor = 1.0
        self.mean_slowdown = 1.0
        self._interval_started_at = 0.0
        self._interval_uncontended = True
        self.granted_at = float("-inf")
        self._slowdown = 1.0
        self._slowdown_at = float("-inf")
        self._uncontended_at = float("-inf")
        self._stragglers: list[object] = []
        self._consecutive_failures = 0
        self._failure_rate = 0.0
        self._ejected_until = float("-inf")
        self._ejection_s = MIN_EJECTION_S
        self._on_probation = False
        self._full_until = float("-inf")
        self._answered_at = float("-inf")
        self._external = 0
        self._previous_external = 0
        self._load_at = float("-inf")
        self._failed_probes = 0

    @property
    def unresponsive(self) -> bool:
        """Whether it has left several probes unanswered and has answered nothing since."""
        return self._failed_probes >= FAILED_PROBE_THRESHOLD

    def external_requests(self, now: float) -> int:
        """Return the number of requests at the upstream that this dispatcher has not granted.

        This is the minimum over the last two probes: a request in transit is counted by either the
        upstream or this dispatcher, so that one probe alone may show too many.
        """
        if now - self._load_at > MAX_LOAD_AGE_S:
            return 0
        return min(self._external, self._previous_external)

    @property
    def in_flight(self) -> int:
        """Number of requests granted and not yet finished."""
        return len(self.requests)

    def contended(self, now: float) -> bool:
        """Whether contention makes work at the upstream take much longer than usual."""
        return self._slowdown > CONTENDED_SLOWDOWN and now - self._slowdown_at < MAX_SLOWDOWN_AGE_S

    def slowdown(self, now: float) -> float:
        """Return the factor by which a request that starts now takes longer."""
        return (
            self._slowdown if now - self._slowdown_at < MAX_SLOWDOWN_AGE_S else self.mean_slowdown
        )

    def end_interval(self, now: float) -> tuple[int, float] | None:
        """End an interval of constant concurrency.

        :returns: the concurrency and the length of the interval in seconds, scaled to an upstream
            of average speed; ``None`` if there was contention. Requests that started before the
            contention are not slowed by it, and no new ones are sent meanwhile, so such intervals
            would show a high throughput at a low concurrency.
        """
        interval_s = (now - self._interval_started_at) / self.time_factor
        uncontended = self._interval_uncontended
        self._interval_started_at = now
        self._interval_uncontended = not self._work_is_contended()
        return (self.in_flight + self.external_requests(now), interval_s) if uncontended else None

    def _work_is_contended(self) -> bool:
        """Whether the latest report shows contention, or contention slows requests in flight."""
        if self._slowdown > UNCONTENDED_SLOWDOWN:
            return True
        return any(request.slowdown > UNCONTENDED_SLOWDOWN for request in self.requests.values())

    def expected_s(self, now: float, mean_s: float) -> float:
        """Return the expected time of one more request in seconds.

        :param mean_s: average uncontended time of the service's requests in seconds.
        """
        cold = COLD_FACTOR if now < self.upstream.warm_at else 1.0
        return mean_s * self.time_factor * cold * self.slowdown(now)

    def ejected(self, now: float) -> bool:
        """Whether it gets no requests after failures.

        After the ejection it is on probation: one request at a time until one is answered.
        """
        return now < self._ejected_until or (self._on_probation and self.in_flight > 0)

    def stalled(self, now: float, expected_s: float) -> bool:
        """Whether requests have been unanswered for so long that it may have stopped working."""
        if not self.requests:
            return False
        oldest = min(request.started_at for request in self.requests.values())
        unanswered_s = now - max(oldest, self._answered_at)
        return unanswered_s > max(MIN_STALL_S, STALL_FACTOR * expected_s)

    def full(self, now: float) -> bool:
        """Whether it has just rejected a request because it was full."""
        return now < self._full_until

    def start(self, key: object, now: float) -> None:
        """Record that a request was granted."""
        self.requests[key] = InFlightRequest(now, self.slowdown(now))
        self.granted_at = now

    def finish(self, key: object, report: Report, now: float) -> InFlightRequest | None:
        """Remove a request and update the health from its result.

        :returns: the request, ``None`` if it is not known.
        """
        request = self.requests.pop(key, None)
        if report.slowdown is not None:
            self._record_slowdown(report.slowdown, now)
        match report.outcome:
            case Outcome.ANSWERED:
                self._record_success(now)
            case Outcome.FULL:
                self._full_until = now + FULL_BACKOFF_S
            case Outcome.FAILED | Outcome.TIMED_OUT:
                self._record_failure(now, CONSECUTIVE_FAILURE_THRESHOLD)
            case Outcome.UNREACHABLE | Outcome.MISDIRECTED:
                self._record_failure(now, 1)
        return request

    def record_probe(self, load: int, slowdown: float | None, now: float) -> None:
        """Record the result of a probe.

        :param load: number of requests that are running or queued at the upstream.
        :param slowdown: slowdown that the upstream reported, if any.
        """
        self._failed_probes = 0
        self._previous_external, self._external = self._external, max(0, load - self.in_flight)
        self._load_at = now
        if slowdown is not None:
            self._record_slowdown(slowdown, now)

    def take_stragglers(self) -> list[object]:
        """Return the stragglers found since the last call.

        They were sent after the last report without contention, so they probably started under
        contention, which slows the whole of their work.
        """
        found, self._stragglers = self._stragglers, []
        return found

    def record_failed_probe(self) -> None:
        """Record that a probe was not answered."""
        self._failed_probes += 1

    def record_time(self, work_s: float, mean_s: float, slowdown: float) -> None:
        """Update the averages with the time of a response.

        :param work_s: uncontended time in seconds.
        :param mean_s: average uncontended time of the service in seconds.
        :param slowdown: factor by which contention lengthened the request.
        """
        time_factor = min(MAX_TIME_FACTOR, max(1 / MAX_TIME_FACTOR, work_s / mean_s))
        self.time_factor += TIME_SMOOTHING * (time_factor - self.time_factor)
        self.mean_slowdown += TIME_SMOOTHING * (min(MAX_TIME_FACTOR, slowdown) - self.mean_slowdown)

    def _record_slowdown(self, slowdown: float, now: float) -> None:
        self._slowdown = max(1.0, slowdown)
        self._slowdown_at = now
        if self._slowdown > UNCONTENDED_SLOWDOWN:
            self._interval_uncontended = False
        if self._slowdown <= CONTENDED_SLOWDOWN:
            self._uncontended_at = now
            return
        for key, request in self.requests.items():
            if request.started_at >= self._uncontended_at and not request.is_straggler:
                request.is_straggler = True
                self._stragglers.append(key)

    def _record_success(self, now: float) -> None:
        self._answered_at = now
        self._failed_probes = 0
        self._consecutive_failures = 0
        self._failure_rate *= 1 - FAILURE_RATE_WEIGHT
        self._on_probation = False
        if self._failure_rate < FAILURE_RATE_THRESHOLD / 4:
            self._ejection_s = MIN_EJECTION_S

    def _record_failure(self, now: float, threshold: int) -> None:
        self._consecutive_failures += 1
        self._failure_rate += FAILURE_RATE_WEIGHT * (1 - self._failure_rate)
        rate_exceeded = self._failure_rate > FAILURE_RATE_THRESHOLD
        if self._consecutive_failures >= threshold or rate_exceeded or self._on_probation:
            self._ejected_until = now + self._ejection_s
            self._ejection_s = min(MAX_EJECTION_S, 2 * self._ejection_s)
            self._on_probation = True
            self._failure_rate = min(self._failure_rate, FAILURE_RATE_THRESHOLD / 2)
