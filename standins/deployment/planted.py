"""Balancers with one mechanism disabled: ``python -m standins.deployment.planted NAME``.

These planted faults verify the soak itself: the check of a promise must fail when the mechanism
that keeps the promise is disabled.
"""

import dataclasses
import sys
from collections.abc import Callable

from waxwingspool.catalog import store_version, upstreams
from waxwingspool.dispatch import budget, rates
from waxwingspool.edge import process, view
from waxwingspool.fleet import row_order, tables
from waxwingspool.platform import configuration, store
from waxwingspool.proxy import body, departure_header, exchange, forward, upstream

__all__ = ["FaultMix", "PLANTED_FAULTS", "PlantedFault"]


@dataclasses.dataclass(frozen=True)
class FaultMix:
    """Faults from which the soak chooses at random.

    :ivar upstream_faults: faults of upstreams.
    :ivar balancer_faults: kills, pauses, stops and reloads of balancers.
    :ivar store_faults: faults of the store.
    :ivar whole_service_share: share of upstream faults that hit all upstreams of a service.
    :ivar limited_s: shortest and longest time in seconds for which upstreams name rate limits.
    :ivar restorations: whether the store is restored from copies.
    :ivar departures: whether upstreams leave and start again, which they say in their responses.
    """

    upstream_faults: tuple[str, ...] = (
        "slow",
        "errors",
        "lose",
        "cut",
        "extra",
        "late",
        "endless",
        "shed",
    )
    balancer_faults: tuple[str, ...] = ("kill", "pause", "stop", "reload")
    store_faults: tuple[str, ...] = ("down", "reset", "silent", "slow", "lossy", "compact", "stale")
    whole_service_share: float = 0.25
    limited_s: tuple[float, float] = (1.0, 12.0)
    restorations: bool = False
    departures: bool = False


@dataclasses.dataclass(frozen=True)
class PlantedFault:
    """A fault planted into the balancer by disabling a mechanism.

    :ivar promise: name of the promise that it violates, as reported by the soak.
    :ivar disable_mechanism: patches the balancer so that the mechanism has no effect.
    :ivar fault_mix: faults that the mechanism is needed for.
    """

    promise: str
    disable_mechanism: Callable[[], None]
    fault_mix: FaultMix = FaultMix()


def _accept_responses_to_other_requests() -> None:
    upstream.Connection._has_other_request_id = lambda self: False


def _accept_truncated_responses() -> None:
    body.Body.fail = body.Body.finish


def _retry_every_request() -> None:
    forward.Forwarder._may_retry = (
        lambda self, context, result: context.attempts_sent < context.route.max_attempts
    )


def _always_report_not_run() -> None:
    original_refuse = forward.Forwarder._refuse

    def refuse_as_not_run(self, context, retry_after_s: float, reason: str) -> None:
        context.may_have_run = False
        original_refuse(self, context, retry_after_s, reason)

    def refuse_request(self, context, result) -> None:
        refuse_as_not_run(self, context, 0.0, result.reason)

    async def refuse_request_async(self, context, result) -> None:
        refuse_request(self, context, result)

    forward.Forwarder._give_up = refuse_request_async


def _accept_older_configurations() -> None:
    original_update_configuration, original_merge_rows = (
        view.View._update_configuration,
        tables.TableCopies._merge_rows,
    )

    def accept_any_configuration(self, update) -> None:
        self._table = None
        original_update_configuration(self, update)

    def accept_any_rows(self, table, page, complete, source, confirmed_at) -> None:
        if complete:
            self._copies[table].version = store_version.UNKNOWN
        original_merge_rows(self, table, page, complete, source, confirmed_at)

    del view.POSITION_READERS[configuration.TABLE]
    view.View._update_configuration = accept_any_configuration
    tables.TableCopies._merge_rows = accept_any_rows


def _keep_first_configuration() -> None:
    original_update_configuration = view.View._update_configuration

    def accept_first_configuration(self, update) -> None:
        if self._table is None:
            original_update_configuration(self, update)

    view.View._update_configuration = accept_first_configuration


def _use_draining_upstreams() -> None:
    upstreams.Registry.usable = lambda self: list(self._upstreams.values())


def _take_late_reports() -> None:
    row_order.RowOrder.replace_late = lambda self, rows, known: list(rows)


def _compare_versions_by_number() -> None:
    store.parse_epoch = lambda value: 0


def _ignore_departures() -> None:
    departure_header.tells_departure = lambda status, headers, names: False


def _disable_retry_budget() -> None:
    budget.RetryBudget.try_acquire = lambda self, now, balancer_count: True


def _ignore_rate_limits() -> None:
    rates.RateLimits.record = lambda self, upstream_id, started_ms, report: None


def _ignore_disconnects() -> None:
    forward.Forwarder._run_until_deadline = _finish_work


async def _finish_work(self, context, work) -> bool:
    await work
    return True


def _omit_deadlines() -> None:
    original_format_request_head = exchange._format_request_head

    def format_head_without_deadline(attempt, names) -> bytes:
        lines = original_format_request_head(attempt, names).split(b"\r\n")
        return b"\r\n".join(line for line in lines if not line.startswith(names.timeout_ms))

    exchange._format_request_head = format_head_without_deadline


def _stop_immediately() -> None:
    process.LAME_DUCK_S = 0.0
    process.Process._stop = _abort_connections


async def _abort_connections(self, servers) -> None:
    for connection in list(self._connections):
        connection.abort()


def _delay_stop() -> None:
    process.GRACE_MARGIN_S = -60.0
    process.LAME_DUCK_S = 60.0


def _exit_with_failure() -> None:
    original_main = process.main

    def main_with_failure() -> int:
        original_main()
        return 1

    process.main = main_with_failure


_UPSTREAM_FAULTS_ONLY = FaultMix(balancer_faults=(), store_faults=())
_BALANCER_STOPS = FaultMix(balancer_faults=("stop",))
_SERVICE_ERRORS = FaultMix(upstream_faults=("errors",), whole_service_share=1.0)
_SERVICE_SLOWNESS = FaultMix(upstream_faults=("slow",), balancer_faults=(), whole_service_share=1.0)
_LOST_RESPONSES = FaultMix(upstream_faults=("lose",))

PLANTED_FAULTS = {
    "foreign-answers": PlantedFault(
        "own whole answer", _accept_responses_to_other_requests, FaultMix(("late",))
    ),
    "cut-answers": PlantedFault(
        "own whole answer", _accept_truncated_responses, FaultMix(("cut",))
    ),
    "repeats": PlantedFault("at most once", _retry_every_request, _LOST_RESPONSES),
    "false-refusals": PlantedFault("not run is true", _always_report_not_run, _LOST_RESPONSES),
    "going-back": PlantedFault(
        "configuration forward only",
        _accept_older_configurations,
        FaultMix(balancer_faults=(), store_faults=("stale",)),
    ),
    "stuck-configuration": PlantedFault(
        "configuration in time", _keep_first_configuration, _UPSTREAM_FAULTS_ONLY
    ),
    "leaving-upstreams": PlantedFault(
        "no new work while draining", _use_draining_upstreams, _UPSTREAM_FAULTS_ONLY
    ),
    "endless-retries": PlantedFault(
        "retries within the limit", _disable_retry_budget, _SERVICE_ERRORS
    ),
    "ignored-limits": PlantedFault(
        "rate limits",
        _ignore_rate_limits,
        FaultMix(("slow",), balancer_faults=(), store_faults=(), limited_s=(9.0, 12.0)),
    ),
    "work-for-nobody": PlantedFault("work for nobody ends", _ignore_disconnects, _SERVICE_SLOWNESS),
    "no-deadlines": PlantedFault("deadline passed on", _omit_deadlines),
    "hasty-stop": PlantedFault("no answer is lost", _stop_immediately, _BALANCER_STOPS),
    "failing-stop": PlantedFault("ends in order", _exit_with_failure, _BALANCER_STOPS),
    "endless-stop": PlantedFault("ends within its grace time", _delay_stop, _BALANCER_STOPS),
    "late-reports": PlantedFault(
        "no new work while draining", _take_late_reports, _UPSTREAM_FAULTS_ONLY
    ),
    "one-epoch": PlantedFault(
        "configuration in time",
        _compare_versions_by_number,
        FaultMix(("slow",), (), (), restorations=True),
    ),
    "ignored-departures": PlantedFault(
        "no new work after a departure",
        _ignore_departures,
        FaultMix(("slow",), (), (), departures=True),
    ),
}


def main() -> int:
    """Run a balancer with the planted fault named on the command line."""
    PLANTED_FAULTS[sys.argv[1]].disable_mechanism()
    return process.main()


if __name__ == "__main__":
    sys.exit(main())
