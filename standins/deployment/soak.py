"""A randomized fault-injection soak of real balancer processes: ``make soak SEED=1 DURATION=20``.

Faults are injected from outside the balancers and overlap: signals and restarts, store outages,
links that are delayed, reset or blocked in one or both directions, failing and draining upstreams,
and frequent configuration changes. The promises given to callers are checked during the run and
from the upstreams' ledger at its end.
"""

import argparse
import asyncio
import collections
import itertools
import random
import signal
import sys

from standins.deployment import checker, client, cluster, drills, lag, planted, upstream

__all__ = ["Findings", "run"]

# Time limits for applying a configuration and for draining an upstream, and the time without faults
# that must precede them; in seconds, as specified by the users.
MAX_APPLY_S = 2.5
MAX_DRAIN_S = 2.5
MIN_STABLE_S = 4.0
# Longest time that a request sent before a drain may take to reach its upstream, in seconds.
MAX_QUEUED_S = 0.5
# Time between SIGTERM and the kill, and the allowance for signal delivery, in seconds.
GRACE_S = 6.0
GRACE_SLACK_S = 0.5
# Shortest and longest time in seconds after the report of draining at which an earlier one arrives,
# share of drains to which that happens, and time after which the upstream reports again.
LATE_REPORT_S = (0.2, 3.5)
LATE_REPORT_SHARE = 0.6
HEARTBEAT_S = 1.5
# Rate limits that upstreams name, in requests per second.
RATE_LIMITS = (0.0, 0.2, 1.0, 2.2, 5.0)
# Share of times at which all upstreams of a service name limits, one after the other.
LIMITS_IN_TURN_SHARE = 0.25
# Share of requests whose caller disconnects early.
EARLY_DISCONNECT_SHARE = 0.15
# Service that each kind of request is routed to.
SERVICE_BY_KIND = {"lookup": "tags", "pay": "till", "upload": "till"}
# Rounds of checks until one of them has begun after a change; the first may be under way already.
CHECKS_PER_CHANGE = 2
# Interval at which the soak checks whether a balancer has exited, in seconds.
EXIT_POLL_S = 0.1
# Statuses that tell a caller that its request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Findings:
    """Violated promises and counts of the responses.

    :param check_time_bounds: whether violations of time limits count; CI has no bound on real
        time.
    :ivar violations: name of each violated promise, with details.
    :ivar response_counts: number of responses by kind of request and status.
    """

    def __init__(self, check_time_bounds: bool) -> None:
        self.check_time_bounds = check_time_bounds
        self.violations: list[str] = []
        self.response_counts: collections.Counter = collections.Counter()

    def record_late(self, promise: str, detail: str) -> None:
        """Record a violation of a time limit, unless time limits are not checked."""
        if self.check_time_bounds:
            self.record(promise, detail)

    def record(self, promise: str, detail: str) -> None:
        """Record a violated promise."""
        self.violations.append(f"{promise}: {detail}")


class Rounds:
    """Rounds of a repeated check, which faults can wait for."""

    def __init__(self) -> None:
        self._completed = 0
        self._ended = False
        self._next_completion = asyncio.Event()

    def complete(self) -> None:
        """Complete a round."""
        self._completed += 1
        self._next_completion.set()
        self._next_completion = asyncio.Event()

    def end(self) -> None:
        """Release everyone who waits; there are no more rounds."""
        self._ended = True
        self._next_completion.set()

    async def wait_for(self, count: int) -> None:
        """Wait until a number of rounds have been completed, or until there are no more."""
        awaited = self._completed + count
        while self._completed < awaited and not self._ended:
            await self._next_completion.wait()


class Soak:
    """One run of the soak."""

    def __init__(
        self,
        seed: int,
        duration_s: float,
        nodes: int,
        check_time_bounds: bool,
        planted_fault: str | None,
    ) -> None:
        self._rng = random.Random(seed)
        # Of its own, so that seeds that failed before draw what they drew then.
        self._late_report_rng = random.Random(f"late reports {seed}")
        self._duration_s = duration_s
        self._cluster = cluster.Cluster(nodes, 4, 1 + seed % 200, self._rng, planted_fault)
        self._planted_fault = (
            None if planted_fault is None else planted.PLANTED_FAULTS[planted_fault]
        )
        self._fault_mix = (
            planted.FaultMix(restorations=True, departures=True)
            if self._planted_fault is None
            else self._planted_fault.fault_mix
        )
        self._request_ids = (f"s{seed}-{number}" for number in itertools.count())
        self.findings = Findings(check_time_bounds)
        self._reported_not_run: list[str] = []
        # When the last fault of a balancer, a link or the store ended, by the balancer's name, the
        # id of the link's upstream or "store"; infinite while it lasts.
        self._fault_ended_at: dict[str, float] = {}
        # When the last kill or pause of a balancer ended, by the balancer's name; infinite while it
        # lasts. No other fault of the balancer excuses a lost response.
        self._interruption_ended_at: dict[str, float] = {}
        # Start and end of all faults of each balancer, by the balancer's name; the last end is
        # infinite while the fault lasts.
        self._balancer_faults: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
        # When the last fault of an upstream ended, by the upstream's id; infinite while it lasts.
        self._upstream_fault_ended_at: dict[str, float] = {}
        # The balancer that each request was sent to, by request id.
        self._node_by_request: dict[str, cluster.Node] = {}
        self._sent_requests: list[tuple[float, str]] = []
        self._configuration_checks = Rounds()
        # Random numbers of their own, as for late reports.
        self._restorations = drills.RestorationDrill(
            self._cluster,
            random.Random(f"restorations {seed}"),
            self._now,
            self._fault_ended_at,
            self._check_next_configuration,
        )
        self._departures = drills.DepartureDrill(
            self._cluster, random.Random(f"departures {seed}"), self._now, self._was_interrupted
        )
        self._lag = lag.LagMeter()
        self._ends_at = 0.0

    async def run(self) -> Findings:
        """Run the soak, check the ledger at the end and return the findings."""
        measuring = asyncio.create_task(self._lag.run())
        try:
            await self._cluster.start()
            await asyncio.sleep(2.0)
            self._ends_at = self._now() + self._duration_s
            async with asyncio.TaskGroup() as tasks:
                self._tasks = tasks
                for node in self._cluster.nodes:
                    for _ in range(3):
                        tasks.create_task(self._run_caller(node))
                tasks.create_task(self._check_configurations())
                if self._planted_fault is not None:
                    tasks.create_task(self._watch_planted_fault())
                for fault in (
                    self._inject_balancer_fault,
                    self._inject_store_fault,
                    self._inject_link_fault,
                    self._inject_upstream_fault,
                ):
                    tasks.create_task(self._repeat_fault(fault))
                tasks.create_task(self._repeat_fault(self._drain_upstream))
                tasks.create_task(self._repeat_fault(self._limit_rates))
                if self._fault_mix.restorations:
                    tasks.create_task(self._repeat_drill(self._restorations.run))
                if self._fault_mix.departures:
                    tasks.create_task(self._repeat_drill(self._departures.run))
            for promise, detail in self._check_ledger():
                self.findings.record(promise, detail)
        finally:
            if self.findings.violations and self._planted_fault is None:
                self._print_logs()
            measuring.cancel()
            await self._cluster.stop()
        return self.findings

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # Callers

    async def _run_caller(self, node: cluster.Node) -> None:
        caller = client.Client((node.ip, cluster.FRONT_PORT))
        while self._now() < self._ends_at:
            kind = self._rng.choice(("lookup", "lookup", "pay", "upload"))
            data = self._rng.randbytes(self._rng.choice((100, 50_000))) if kind == "upload" else b""
            method = "GET" if kind == "lookup" else "POST"
            request_id = next(self._request_ids)
            disconnects_early = self._rng.random() < EARLY_DISCONNECT_SHARE
            timeout_s = self._rng.uniform(0.05, 0.4) if disconnects_early else client.DEADLINE_S + 1
            sent_at = self._now()
            self._sent_requests.append((sent_at, SERVICE_BY_KIND[kind]))
            self._node_by_request[request_id] = node
            self._departures.record_sent(node, request_id)
            response = await caller.send(method, f"/{kind}/x", request_id, data, timeout_s)
            self._check_response(kind, response, len(data))
            self._departures.record_response(node, response)
            if response.status == 0 and not response.timed_out:
                self._check_lost_response(node, request_id, sent_at)
            elif response.timed_out and kind == "lookup":
                self._tasks.create_task(self._check_work_cancelled(node, request_id))
            await asyncio.sleep(self._rng.expovariate(20) + (0.2 if response.status == 0 else 0))
        caller.close()

    def _check_lost_response(self, node: cluster.Node, request_id: str, sent_at: float) -> None:
        """Check that a response was lost only through a fault.

        A killed or paused balancer and a link fault excuse the loss, and so does a fault of the
        upstream that kept it from sending a complete response.
        """
        ledger = self._cluster.ledger
        upstream_id = ledger.last_upstream.get(request_id)
        if upstream_id is None:
            return
        fault_times = [
            self._interruption_ended_at.get(node.name, 0.0),
            self._fault_ended_at.get(upstream_id, 0.0),
            self._departures.ended_at.get(upstream_id, 0.0),
        ]
        if request_id not in ledger.responded:
            fault_times.append(self._upstream_fault_ended_at.get(upstream_id, 0.0))
        if max(fault_times) < sent_at:
            self.findings.record("no answer is lost", f"{request_id} at {node.name}")

    async def _check_work_cancelled(self, node: cluster.Node, request_id: str) -> None:
        """Check that the work for a caller that has disconnected ends in time."""
        disconnected_at = self._now()
        ledger = self._cluster.ledger
        await asyncio.sleep(2 * checker.MAX_CANCEL_S + upstream.WORK_S * upstream.SLOW_FACTOR)
        link_fault_ended_at = self._fault_ended_at.get(
            ledger.last_upstream.get(request_id, ""), 0.0
        )
        fault_times = (
            self._interruption_ended_at.get(node.name, 0.0),
            link_fault_ended_at,
            self._departures.ended_at.get(ledger.last_upstream.get(request_id, ""), 0.0),
        )
        lag_s = self._lag.lag_s(disconnected_at, ledger.ended_at.get(request_id, 0.0))
        overdue = checker.is_work_overdue(ledger, request_id, disconnected_at, lag_s)
        if overdue and max(fault_times) < disconnected_at:
            detail = f"{request_id} at {node.name}, soak's own lag {lag_s:.2f} s"
            self.findings.record_late("work for nobody ends", detail)

    def _check_response(self, kind: str, response: client.Response, size: int) -> None:
        """Count a response, check its body, and record the request if it is reported as not run."""
        self.findings.response_counts[kind, response.status] += 1
        if response.status == 200:
            expected = f"{response.request_id} {SERVICE_BY_KIND[kind]} {size}".encode()
            if response.body != expected:
                self.findings.record(
                    "own whole answer", f"{response.request_id} got {response.body!r}"
                )
        if kind != "lookup" and response.status in NOT_RUN_STATUSES:
            self._reported_not_run.append(response.request_id)

    def _check_ledger(self) -> list[tuple[str, str]]:
        ledger = self._cluster.ledger
        late = [("no new work after a departure", detail) for detail in self._departures.late]
        return [
            *(late if self.findings.check_time_bounds else ()),
            *checker.check_ledger(ledger, self._reported_not_run, self._sent_requests),
            *checker.check_rate_limits(ledger, self._is_disturbed),
        ]

    def _is_disturbed(self, request_id: str, at: float) -> bool:
        """Return whether the balancer of a request may not have known a rate limit.

        A kill, pause or restart of the balancer excuses it for a while.
        """
        node = self._node_by_request.get(request_id)
        faults = [] if node is None else self._balancer_faults[node.name]
        return any(start <= at < end + checker.RATE_SETTLING_S for start, end in faults)

    async def _watch_planted_fault(self) -> None:
        """End the run as soon as the promise of the planted fault is violated."""
        while self._now() < self._ends_at:
            await asyncio.sleep(1.0)
            violated = {promise for promise, _ in self._check_ledger()}
            violated |= {violation.partition(":")[0] for violation in self.findings.violations}
            if self._planted_fault.promise in violated:
                self._ends_at = self._now()

    async def _check_configurations(self) -> None:
        """Change the configuration repeatedly and check how the balancers apply it.

        No incarnation of a balancer may return to an older version, and each must apply a new
        version in time.
        """
        applied_versions: dict[tuple[str, int], int] = {}
        while self._now() < self._ends_at:
            version = await self._cluster.configure()
            written_at = self._now()
            await asyncio.sleep(self._rng.uniform(0.2, 3.0))
            for node in self._cluster.nodes:
                if node.paused:
                    continue
                caller = client.Client((node.ip, cluster.FRONT_PORT))
                incarnation = (node.name, node.start_count)
                current_response = await caller.send(
                    "GET", f"/version/{version}/", next(self._request_ids)
                )
                if current_response.status == 200:
                    applied_versions[incarnation] = version
                older_version = applied_versions.get(incarnation, version)
                # Later versions keep this route, so a 404 means that an older version is in force.
                older_response = await caller.send(
                    "GET", f"/version/{older_version}/", next(self._request_ids)
                )
                same_incarnation = incarnation == (node.name, node.start_count)
                if (
                    same_incarnation
                    and incarnation in applied_versions
                    and older_response.status == 404
                ):
                    self.findings.record(
                        "configuration forward only", f"{incarnation} lost {older_version}"
                    )
                overdue = self._now() - written_at > MAX_APPLY_S
                if overdue and current_response.status == 404 and self._is_stable(node):
                    self.findings.record_late(
                        "configuration in time", f"{incarnation} lacks {version}"
                    )
                caller.close()
            self._configuration_checks.complete()
        self._configuration_checks.end()

    async def _check_next_configuration(self) -> None:
        """Change the configuration, and check that balancers without faults apply it in time."""
        version = await self._cluster.configure()
        await asyncio.sleep(MAX_APPLY_S)
        for node in self._cluster.nodes:
            caller = client.Client((node.ip, cluster.FRONT_PORT))
            response = await caller.send("GET", f"/version/{version}/", next(self._request_ids))
            if response.status == 404 and self._is_stable(node):
                detail = f"{node.name} lacks {version} after a restoration"
                self.findings.record_late("configuration in time", detail)
            caller.close()

    def _is_stable(self, node: cluster.Node) -> bool:
        """Return whether neither the balancer nor the store has had a fault recently."""
        keys = (node.name, "store", "restoration")
        fault_times = (self._fault_ended_at.get(key, 0.0) for key in keys)
        return all(self._now() - at > MIN_STABLE_S + MAX_APPLY_S for at in fault_times)

    # Faults

    async def _repeat_fault(self, inject_fault) -> None:
        while self._now() < self._ends_at:
            await asyncio.sleep(self._rng.uniform(0.5, 2.5))
            await inject_fault()

    async def _repeat_drill(self, drill) -> None:
        while self._now() < self._ends_at:
            await drill()

    def _was_interrupted(self, node: cluster.Node, since: float) -> bool:
        """Return whether a balancer was killed or paused since a time."""
        return self._interruption_ended_at.get(node.name, 0.0) >= since

    async def _inject_balancer_fault(self) -> None:
        """Kill, pause, stop or reload a balancer, and make it run again."""
        if not self._fault_mix.balancer_faults:
            return
        node = self._rng.choice(self._cluster.nodes)
        action = self._rng.choice(self._fault_mix.balancer_faults)
        self._fault_ended_at[node.name] = float("inf")
        faults, started_at = self._balancer_faults[node.name], self._now()
        faults.append((started_at, float("inf")))
        if action in ("kill", "pause"):
            self._interruption_ended_at[node.name] = float("inf")
        if action == "reload":
            self._cluster.signal(node, signal.SIGHUP)
        elif action == "pause":
            node.paused = True
            self._cluster.signal(node, signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.2, 3.0))
            self._cluster.signal(node, signal.SIGCONT)
            node.paused = False
        else:
            await self._restart(node, action)
        self._fault_ended_at[node.name] = self._now()
        faults[-1] = (started_at, self._now())
        if action in ("kill", "pause"):
            self._interruption_ended_at[node.name] = self._now()

    async def _restart(self, node: cluster.Node, action: str) -> None:
        self._cluster.signal(node, signal.SIGKILL if action == "kill" else signal.SIGTERM)
        if not await self._exits_in_time(node):
            tail = " | ".join(self._cluster.read_log(node).splitlines()[-8:])
            detail = f"{node.name} {self._cluster.process_usage(node)}"
            lag_s = self._lag.lag_s(self._now() - GRACE_S, self._now())
            detail += f" soak's own lag {lag_s:.2f} s: {tail}"
            self.findings.record_late("ends within its grace time", detail)
            self._cluster.signal(node, signal.SIGKILL)
            await node.process.wait()
        if action == "stop" and not self._exited_cleanly(node):
            self.findings.record("ends in order", f"{node.name}: {node.process.returncode}")
        await self._cluster.launch(node)

    async def _exits_in_time(self, node: cluster.Node) -> bool:
        """Return whether a balancer exits within its grace time.

        Only time in which the soak itself runs counts: when the whole machine is suspended for some
        seconds, the balancer's timers don't advance either.
        """
        for _ in range(round((GRACE_S + GRACE_SLACK_S) / EXIT_POLL_S)):
            try:
                async with asyncio.timeout(EXIT_POLL_S):
                    await node.process.wait()
                    return True
            except TimeoutError:
                continue
        return False

    def _exited_cleanly(self, node: cluster.Node) -> bool:
        """Return whether a balancer exited with status 0 or through an accepted signal.

        The interpreter has no signal handlers while it starts, so a signal ends the process. SIGHUP
        is accepted only until the balancer has logged its start, SIGTERM at any time.
        """
        started = f"pid={node.process.pid}" in self._cluster.read_log(node)
        allowed_codes = (0, -signal.SIGTERM) if started else (0, -signal.SIGTERM, -signal.SIGHUP)
        return node.process.returncode in allowed_codes

    async def _inject_store_fault(self) -> None:
        """Inject a fault of the store for a while."""
        if not self._fault_mix.store_faults:
            return
        store = self._cluster.store
        self._fault_ended_at["store"] = float("inf")
        fault = self._rng.choice(self._fault_mix.store_faults)
        if fault == "compact":
            await store.compact()
        else:
            if fault == "stale":
                await self._prepare_stale_listings()
            store.fault = fault
            await asyncio.sleep(self._rng.uniform(0.5, 4.0))
            if fault == "stale":
                await self._configuration_checks.wait_for(CHECKS_PER_CHANGE)
            store.fault = None
        self._fault_ended_at["store"] = self._now()
        # Some pauses are long enough to check the promises that require a store without faults.
        await asyncio.sleep(self._rng.uniform(0.0, 3 * (MIN_STABLE_S + MAX_APPLY_S)))

    async def _prepare_stale_listings(self) -> None:
        """Record a listing, and discard the changes after it once balancers have applied some."""
        store = self._cluster.store
        store.snapshot()
        await self._configuration_checks.wait_for(CHECKS_PER_CHANGE)
        store.fault = "deaf"
        await asyncio.sleep(self._rng.uniform(1.0, 2.0))
        await store.compact()

    async def _inject_link_fault(self) -> None:
        """Inject a fault of the link to the store or to an upstream for a while."""
        relays = self._cluster.relays
        name = self._rng.choice(["store", *relays])
        chosen_relay = self._cluster.store_relay if name == "store" else relays[name]
        self._fault_ended_at[name] = float("inf")
        fault = self._rng.choice(("delay", "reset", "there", "back", "silence"))
        if fault == "reset":
            chosen_relay.reset()
        elif fault == "delay":
            chosen_relay.delay_s = self._rng.uniform(0.01, 0.1)
        else:
            chosen_relay.blocked_directions = {"there", "back"} if fault == "silence" else {fault}
        await asyncio.sleep(self._rng.uniform(0.2, 2.0))
        chosen_relay.delay_s = 0.0
        if chosen_relay.blocked_directions:
            chosen_relay.blocked_directions = set()
            # The dropped bytes would leave a gap in the data of open connections.
            chosen_relay.reset()
        self._fault_ended_at[name] = self._now()

    async def _inject_upstream_fault(self) -> None:
        """Inject a fault of one upstream, or of all upstreams of a service, for a while."""
        all_upstreams = list(self._cluster.upstreams.values())
        chosen = [self._rng.choice(all_upstreams)]
        if self._rng.random() < self._fault_mix.whole_service_share:
            chosen = [target for target in all_upstreams if target.service == chosen[0].service]
        fault = self._rng.choice(self._fault_mix.upstream_faults)
        for target in chosen:
            target.fault = fault
            self._upstream_fault_ended_at[target.id] = float("inf")
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        for target in chosen:
            target.fault = None
            self._upstream_fault_ended_at[target.id] = self._now()

    async def _limit_rates(self) -> None:
        """Let upstreams of a service name rate limits for a while, some or all in turn."""
        service = self._rng.choice(cluster.SERVICES)
        chosen = [u for u in self._cluster.upstreams.values() if u.service == service]
        in_turn = self._rng.random() < LIMITS_IN_TURN_SHARE
        if not in_turn:
            chosen = self._rng.sample(chosen, self._rng.randint(1, len(chosen) - 1))
        for target in chosen:
            target.limit_rate(self._rng.choice(RATE_LIMITS))
            if in_turn:
                await asyncio.sleep(self._rng.uniform(*self._fault_mix.limited_s) / len(chosen))
                target.limit_rate(None)
        await asyncio.sleep(self._rng.uniform(*self._fault_mix.limited_s))
        for target in chosen:
            target.limit_rate(None)

    async def _drain_upstream(self) -> None:
        """Drain an upstream and check that it gets no new requests after the time limit."""
        id_ = self._rng.choice(list(self._cluster.upstreams))
        if id_ in self._departures.leaving:
            return
        self._departures.avoided.add(id_)
        report = await self._cluster.register(id_, "draining")
        drained_at = self._now()
        late_report = asyncio.create_task(self._report_late(id_, report))
        await asyncio.sleep(MAX_DRAIN_S + MAX_QUEUED_S + 0.5)
        deadline = drained_at + MAX_DRAIN_S + MAX_QUEUED_S
        for at, upstream_id, _, request_id in self._cluster.ledger.arrivals:
            node = self._node_by_request.get(request_id)
            if upstream_id == id_ and at > deadline and node is not None and self._is_stable(node):
                detail = f"{request_id} at {id_} after {at - drained_at:.2f} s"
                self.findings.record_late("no new work while draining", detail)
        late_report.cancel()
        await asyncio.gather(late_report, return_exceptions=True)
        await self._cluster.register(id_, "ready")
        self._departures.avoided.discard(id_)

    async def _report_late(self, id_: str, report: int) -> None:
        """Let a report from before a drain arrive during it, as one does that a cut held up.

        :param report: number of the report of draining.
        """
        if self._late_report_rng.random() < LATE_REPORT_SHARE:
            await asyncio.sleep(self._late_report_rng.uniform(*LATE_REPORT_S))
            await self._cluster.register(id_, "ready", report - 1)
            await asyncio.sleep(HEARTBEAT_S)
            await self._cluster.register(id_, "draining")

    def _print_logs(self) -> None:
        """Print the log lines of the requests named in violations, and the heads of tracebacks."""
        for violation in self.findings.violations:
            words = set(violation.replace(":", " ").replace("'", " ").split())
            for node in self._cluster.nodes:
                for line in self._cluster.read_log(node).splitlines():
                    if any(f"id={word} " in line for word in words) or "Traceback" in line:
                        print(node.name, line)


async def run(
    seed: int,
    duration_s: float,
    nodes: int = 5,
    check_time_bounds: bool = True,
    planted_fault: str | None = None,
) -> Findings:
    """Run the soak once and return what it found.

    :param check_time_bounds: whether violations of time limits count.
    :param planted_fault: name of a planted fault that the soak must detect.
    """
    return await Soak(seed, duration_s, nodes, check_time_bounds, planted_fault).run()


def main() -> int:
    """Run from the command line; the exit status is 1 if a promise was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=20.0, help="seconds")
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument(
        "--plant",
        choices=sorted(planted.PLANTED_FAULTS),
        help="planted fault that the soak must detect",
    )
    options = parser.parse_args()
    findings = asyncio.run(
        run(options.seed, options.duration, options.nodes, planted_fault=options.plant)
    )
    for (kind, status), count in sorted(findings.response_counts.items()):
        print(f"soak: {kind} status={status} count={count}")
    for violation in findings.violations:
        print(f"soak: BROKEN {violation}")
    print(f"soak: seed={options.seed} broken={len(findings.violations)}")
    return bool(findings.violations)


if __name__ == "__main__":
    sys.exit(main())
