"""What is believed of one upstream: work in flight, speed, and whether it fails."""

import dataclasses
import enum
import math

from waxwingspool.catalog import upstreams

__all__ = ["Health", "Outcome", "Report"]

# Failures in a row after which an upstream is set aside.
FAILURES_IN_A_ROW = 3
# Average failure rate above which it is set aside, and the weight of the newest answer in it.
FAILURE_RATE = 0.4
FAILURE_SMOOTHING = 0.15
# First and longest time that it is set aside, in seconds; doubles each time.
FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 8.0
# Weight of the newest time in an upstream's average speed.
SPEED_SMOOTHING = 0.12
# Time constant in seconds with which a reported slowdown is forgotten; neighbours on shared
# machines come and go several times a second.
SLOWDOWN_MEMORY_S = 0.25
# Factor on the time of work during the warm-up after a start.
COLD_FACTOR = 2.0
# Age of the oldest unanswered request, in expected times, at which an upstream counts as stalled.
STALLED_TIMES = 4.0
# Shortest such age in seconds.
LEAST_STALL_S = 0.5
# Time in seconds without new work after an upstream turned a request away as full.
FULL_PAUSE_S = 0.05


class Outcome(enum.StrEnum):
    """How a granted request ended."""

    ANSWERED = "answered"
    # The upstream turned it away without running it.
    FULL = "full"
    # Another upstream has the address.
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    # It was given up before an answer came: the caller left or the time was over.
    ABANDONED = "abandoned"
    TIMED_OUT = "timed_out"
    # It was never sent.
    UNUSED = "unused"


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What the holder of a slot says when it gives it back.

    :ivar seconds: time from sending to the answer's head.
    :ivar slowdown: the slowdown that the upstream reported with the answer, if any.
    """

    outcome: Outcome
    seconds: float = 0.0
    slowdown: float | None = None


@dataclasses.dataclass(slots=True)
class _Flight:
    started_at: float
    concurrency: int
    slowdown: float


class Health:
    """Beliefs about one upstream.

    :param upstream: its entry.
    """

    def __init__(self, upstream: upstreams.Upstream) -> None:
        self.upstream = upstream
        self.flights: dict[object, _Flight] = {}
        self.speed = 1.0
        self.granted_at = float("-inf")
        self._slowdown = 1.0
        self._slowdown_at = float("-inf")
        self._failures = 0
        self._failure_rate = 0.0
        self._ejected_until = float("-inf")
        self._ejection_s = FIRST_EJECTION_S
        self._on_trial = False
        self._full_until = float("-inf")
        self._answered_at = float("-inf")

    @property
    def in_flight(self) -> int:
        """Requests granted and not given back."""
        return len(self.flights)

    def slowdown(self, now: float, usual: float) -> float:
        """Return the expected slowdown.

        :param usual: average slowdown of the service, which an old report fades into.
        """
        kept = math.exp(-(now - self._slowdown_at) / SLOWDOWN_MEMORY_S)
        return self._slowdown * kept + usual * (1 - kept)

    def expected_s(self, now: float, mean_s: float, usual_slowdown: float) -> float:
        """Return the expected time of one more request in seconds.

        :param mean_s: average time of the service on an undisturbed machine.
        """
        cold = COLD_FACTOR if now < self.upstream.warm_at else 1.0
        return mean_s * self.speed * cold * self.slowdown(now, usual_slowdown)

    def ejected(self, now: float) -> bool:
        """Whether it is set aside; after that it gets one request at a time until one is answered."""
        return now < self._ejected_until or (self._on_trial and self.in_flight > 0)

    def stalled(self, now: float, expected_s: float) -> bool:
        """Whether requests have been out so long that it may have stopped answering."""
        if not self.flights:
            return False
        oldest = min(flight.started_at for flight in self.flights.values())
        waited = now - max(oldest, self._answered_at)
        return waited > max(LEAST_STALL_S, STALLED_TIMES * expected_s)

    def full(self, now: float) -> bool:
        """Whether it has just turned a request away."""
        return now < self._full_until

    def start(self, key: object, now: float, usual_slowdown: float) -> None:
        """Count a request in."""
        concurrency = self.in_flight + 1
        self.flights[key] = _Flight(now, concurrency, self.slowdown(now, usual_slowdown))
        self.granted_at = now

    def finish(self, key: object, report: Report, now: float) -> _Flight | None:
        """Count a request out and learn from how it ended.

        :returns: the request's start, ``None`` if it is not known.
        """
        flight = self.flights.pop(key, None)
        if report.slowdown is not None:
            self._slowdown = report.slowdown
            self._slowdown_at = now
        match report.outcome:
            case Outcome.ANSWERED:
                self._succeed(now)
            case Outcome.FULL:
                self._full_until = now + FULL_PAUSE_S
            case Outcome.FAILED | Outcome.TIMED_OUT:
                self._fail(now, FAILURES_IN_A_ROW)
            case Outcome.UNREACHABLE | Outcome.MISDIRECTED:
                self._fail(now, 1)
        return flight

    def learn_speed(self, ratio: float) -> None:
        """Take in the time of an answer against the time that was expected of the service."""
        bounded = min(8.0, max(0.2, ratio))
        self.speed += SPEED_SMOOTHING * (bounded - self.speed)

    def _succeed(self, now: float) -> None:
        self._answered_at = now
        self._failures = 0
        self._failure_rate *= 1 - FAILURE_SMOOTHING
        self._on_trial = False
        if self._failure_rate < FAILURE_RATE / 4:
            self._ejection_s = FIRST_EJECTION_S

    def _fail(self, now: float, most_in_a_row: int) -> None:
        self._failures += 1
        self._failure_rate += FAILURE_SMOOTHING * (1 - self._failure_rate)
        often = self._failure_rate > FAILURE_RATE
        if self._failures >= most_in_a_row or often or self._on_trial:
            self._ejected_until = now + self._ejection_s
            self._ejection_s = min(LONGEST_EJECTION_S, 2 * self._ejection_s)
            self._on_trial = True
            self._failure_rate = min(self._failure_rate, FAILURE_RATE / 2)
