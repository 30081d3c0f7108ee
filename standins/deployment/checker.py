"""Checks of the promises that can be verified from the upstreams' ledger after a run."""

from collections.abc import Callable, Iterable

from standins.deployment import client, cluster, upstream

__all__ = ["Violation", "check_ledger", "check_rate_limits", "is_work_overdue"]

# Window in which retries are counted, in seconds, as specified by the users.
RETRY_WINDOW_S = 10.0
# Time after a caller has disconnected within which its work must end, in seconds.
MAX_CANCEL_S = 0.5
# Window in which requests for an upstream with a rate limit are counted, and time after a change of
# the limit before which they are not, in seconds; as specified by the users.
RATE_WINDOW_S = 4.0
RATE_SETTLING_S = 4.0
# Requests allowed in a window: a multiple of what the limit takes in that time, and some more.
RATE_FACTOR = 1.5
RATE_SLACK = 5

# A violated promise and the details of the violation.
Violation = tuple[str, str]


def check_ledger(
    ledger: upstream.Ledger, reported_not_run: Iterable[str], sent: list[tuple[float, str]]
) -> list[Violation]:
    """Return the violated promises.

    :param reported_not_run: ids of non-idempotent requests that a balancer reported as not run.
    :param sent: time and service of every request that callers sent.
    """
    violations = [
        ("not run is true", request_id)
        for request_id in reported_not_run
        if ledger.runs[request_id]
    ]
    for request_id, timeout_ms in ledger.timeout_ms.items():
        if not 0 < timeout_ms <= client.DEADLINE_S * 1000:
            violations.append(("deadline passed on", f"{request_id} with {timeout_ms} ms"))
    for request_id, runs in ledger.runs.items():
        if runs > 1 and ledger.services[request_id] == "till":
            violations.append(("at most once", f"{request_id} ran {runs} times"))
    for service in cluster.SERVICES:
        violations += _check_retries(
            ledger, service, [at for at, target in sent if target == service]
        )
    return violations


def check_rate_limits(
    ledger: upstream.Ledger, is_excused: Callable[[str, float], bool] = lambda *_: False
) -> list[Violation]:
    """Check that upstreams get no more requests than the rate limits that they name.

    Requests of all balancers and health checks are counted together, those that the upstream
    rejects included.

    :param is_excused: whether a request with an id may arrive at a time in spite of the limit,
        because its balancer was restarted, paused or cut off.
    """
    violations = []
    for id_, changes in ledger.rate_limits.items():
        arrived_at = [
            at
            for at, upstream_id, _, request_id in ledger.arrivals
            if upstream_id == id_ and not is_excused(request_id, at)
        ]
        arrived_at = sorted(arrived_at + ledger.probed_at[id_])
        ends = [*(at for at, _ in changes[1:]), float("inf")]
        for (start, rate), end in zip(changes, ends, strict=True):
            if rate is None:
                continue
            counted = [at for at in arrived_at if start + RATE_SETTLING_S <= at < end]
            most = max((_count_in(counted, at, RATE_WINDOW_S) for at in counted), default=0)
            allowed = RATE_FACTOR * rate * RATE_WINDOW_S + RATE_SLACK
            if most > allowed:
                detail = f"{id_} {most} in {RATE_WINDOW_S:.0f} s, {rate:g} a second named"
                violations.append(("rate limits", detail))
    return violations


def is_work_overdue(
    ledger: upstream.Ledger, request_id: str, disconnected_at: float, lag_s: float
) -> bool:
    """Return whether the work for a caller that has disconnected went on for too long.

    :param disconnected_at: event loop time in seconds at which the caller disconnected.
    :param lag_s: for how long the soak itself did not run until the work ended, in seconds.
    """
    ended_at = ledger.ended_at.get(request_id, 0.0)
    return ended_at - disconnected_at - lag_s > MAX_CANCEL_S


def _check_retries(ledger: upstream.Ledger, service: str, sent_at: list[float]) -> list[Violation]:
    """Check that the retries of all balancers together stay within the budget in every window.

    The limit on the retries in a window follows from the largest number of requests sent in a
    window that starts with it, half a window earlier or a whole window earlier. Each further
    arrival of a request id counts as a retry.
    """
    seen: set[str] = set()
    retried_at: list[float] = []
    for at, _, target, request_id in ledger.arrivals:
        if target == service and request_id in seen:
            retried_at.append(at)
        seen.add(request_id)
    for start in retried_at:
        retries = _count_in_window(retried_at, start)
        starts = (start, start - RETRY_WINDOW_S / 2, start - RETRY_WINDOW_S)
        max_sent = max(_count_in_window(sent_at, sent_start) for sent_start in starts)
        limit = cluster.RETRY_BUDGET_RATIO * max_sent + cluster.RETRY_BUDGET_SLACK
        if retries > limit:
            detail = f"{service} {retries} in {RETRY_WINDOW_S:.0f} s, limit {limit:.0f}"
            return [("retries within the limit", detail)]
    return []


def _count_in_window(times: list[float], start: float) -> int:
    """Return the number of times in the window of retries that begins at ``start``."""
    return _count_in(times, start, RETRY_WINDOW_S)


def _count_in(times: list[float], start: float, window_s: float) -> int:
    """Return the number of times in the window that begins at ``start``."""
    return sum(1 for at in times if start <= at < start + window_s)
