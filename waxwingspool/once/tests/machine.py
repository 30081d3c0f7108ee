"""State machines for stateful fuzzing of at-most-once execution.

The production code runs with in-process fakes on a virtual clock. The invariants compare the ledger
of the requests that upstreams ran with the outcome that each caller received.
"""

import asyncio
import collections
import dataclasses
import random

from hypothesis import stateful, strategies

from standins import fakes, virtual
from waxwingspool import outcomes
from waxwingspool.config import model
from waxwingspool.interfaces import upstream
from waxwingspool.once import committer, execute, journal, sweeper
from waxwingspool.routing import policy, pool

BALANCERS = ("a", "b", "c")
UPSTREAMS = ("127.0.0.1:1", "127.0.0.1:2")
KEYS = ("k1", "k2")
CLOCK_ERROR_MS = 200
DEADLINE_MS = 2000
# Unix time at which the virtual clock starts, in milliseconds.
EPOCH_MS = 1_000_000


def service(fencing):
    """Return the configuration of the service under test."""
    objective = model.Objective(latency_ms=100, target=0.99)
    rule = model.Rule(
        name="pay",
        path="/pay",
        methods=("POST",),
        kind=model.Kind.PAYMENT,
        idempotent=False,
        deadline_ms=DEADLINE_MS,
        objective=objective,
    )
    upstreams = tuple(
        model.Upstream(name=f"u{n}", data_centre="d", address=address)
        for n, address in enumerate(UPSTREAMS)
    )
    return model.Service(name="till", fencing=fencing, rules=(rule,), upstreams=upstreams)


@dataclasses.dataclass
class Balancer:
    """One balancer with its tasks.

    :ivar gate: pauses and resumes the balancer.
    :ivar skew_ms: error of its clock, in milliseconds.
    """

    gate: fakes.Gate
    ctx: execute.Context
    tasks: set = dataclasses.field(default_factory=set)
    skew_ms: int = 0


@dataclasses.dataclass
class SentRequest:
    """One request and the outcome that its caller received."""

    key: str
    send_id: str
    outcome: outcomes.Outcome | None = None


class DeadlineMachine(stateful.RuleBasedStateMachine):
    """Upstreams that enforce absolute deadlines."""

    fencing = model.Fencing.ABSOLUTE_DEADLINE

    def __init__(self):
        super().__init__()
        self.loop = virtual.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.table = fakes.FakeTable()
        self.upstreams = fakes.FakeUpstreams(
            self.now_ms,
            enforces_deadlines=self.fencing is model.Fencing.ABSOLUTE_DEADLINE,
            remembers_cancellations=self.fencing is model.Fencing.REMEMBERS_CANCELLATION,
        )
        for address in UPSTREAMS:
            self.upstreams.add(address)
        self.balancers = {}
        self.sent = []
        for name in BALANCERS:
            self.start(name)

    def now_ms(self):
        """Return the true Unix time in milliseconds; the clocks may deviate from it."""
        return EPOCH_MS + int(self.loop.time() * 1000)

    def start(self, name):
        gate = fakes.Gate()
        store = self.table.client_for(gate)
        balancer = Balancer(gate, None)
        choose = policy.least_expected_time(random.Random(1))
        p = pool.Pool(
            service(self.fencing),
            lambda dc: pool.LOCAL_PATH,
            choose,
            lambda t: None,
            1,
            self.loop.time,
        )
        for t in p.targets.values():
            t.incarnation = str(self.upstreams.upstreams[t.address].incarnation)
        writer = committer.Committer(store, lambda: 0.01, self.loop.time)
        balancer.ctx = execute.Context(
            owner=name,
            journal=journal.Journal(store, writer),
            client=self.upstreams.client_for(gate),
            pool=p,
            clock_error_ms=CLOCK_ERROR_MS,
            spawn=lambda coroutine: self.spawn(balancer, coroutine),
            now_ms=lambda: self.now_ms() + balancer.skew_ms,
            monotonic=self.loop.time,
            rng=random.Random(2),
        )
        self.balancers[name] = balancer
        self.spawn(balancer, writer.run())

    def spawn(self, balancer, coroutine):
        task = self.loop.create_task(coroutine)
        balancer.tasks.add(task)
        return task

    async def serve(self, balancer, sent, body):
        headers = (("key", sent.key), ("send", sent.send_id))
        request = upstream.Request("POST", "/pay", headers, body)
        sent.outcome = await execute.execute(balancer.ctx, request, sent.key, DEADLINE_MS)

    @stateful.rule(
        name=strategies.sampled_from(BALANCERS),
        key=strategies.sampled_from(KEYS),
        other_body=strategies.integers(0, 9),
        fault=strategies.sampled_from(["none", "crash", "pause", "cut", "down", "delay", "late"]),
        after_ms=strategies.sampled_from([0, 1, 2, 4, 12]),
    )
    def send(self, name, key, other_body, fault, after_ms):
        """Send a request with a key and inject a fault.

        - ``crash``, ``pause``: the balancer restarts or pauses after ``after_ms``.
        - ``cut``: each upstream loses its next response.
        - ``down``: like ``cut``, and one upstream is unreachable after ``after_ms``.
        - ``delay``, ``late``: requests reach the upstreams after a quarter of their time limit, or
          after their deadline.

        With ``other_body`` 0 a request that is not the first one has a different body.
        """
        sent = SentRequest(key, f"s{len(self.sent)}")
        self.sent.append(sent)
        body = b"other" if other_body == 0 and len(self.sent) > 1 else b"body"
        balancer = self.balancers[name]
        if fault in ("cut", "down"):
            for fake in self.upstreams.upstreams.values():
                fake.lose_answers = 1
        if fault in ("delay", "late"):
            for fake in self.upstreams.upstreams.values():
                fake.delay_s = DEADLINE_MS / 1000 * (0.25 if fault == "delay" else 1.05)
        self.spawn(balancer, self.serve(balancer, sent, body))
        self.loop.advance(after_ms / 1000)
        if fault == "down":
            self.upstreams.upstreams[UPSTREAMS[len(self.sent) % 2]].down = True
        if fault == "crash":
            self.stop(balancer)
            self.start(name)
        if fault == "pause":
            balancer.gate.pause()

    @stateful.rule(name=strategies.sampled_from(BALANCERS))
    def send_unkeyed(self, name):
        sent = SentRequest(f"unkeyed-{len(self.sent)}", f"s{len(self.sent)}")
        self.sent.append(sent)
        balancer = self.balancers[name]
        self.spawn(balancer, self.serve_unkeyed(balancer, sent))

    async def serve_unkeyed(self, balancer, sent):
        request = upstream.Request("POST", "/pay", (("key", sent.key), ("send", sent.send_id)), b"")
        sent.outcome = await execute.execute_unkeyed(balancer.ctx, request, DEADLINE_MS)

    @stateful.rule(ms=strategies.sampled_from([1, 12, 100, 900, 1850, 2500, 13_000]))
    def advance(self, ms):
        self.loop.advance(ms / 1000)

    @stateful.rule(name=strategies.sampled_from(BALANCERS))
    def resume(self, name):
        self.balancers[name].gate.resume()

    @stateful.rule(
        name=strategies.sampled_from(BALANCERS), skew=strategies.sampled_from([-200, 0, 200])
    )
    def skew_balancer(self, name, skew):
        self.balancers[name].skew_ms = skew

    @stateful.rule(
        address=strategies.sampled_from(UPSTREAMS), skew=strategies.sampled_from([-200, 0, 200])
    )
    def skew_upstream(self, address, skew):
        self.upstreams.upstreams[address].skew_ms = skew

    @stateful.rule(
        down=strategies.booleans(),
        slow_ms=strategies.sampled_from([1, 50, 800]),
        lose_answers=strategies.integers(0, 3),
        delay_commits=strategies.integers(0, 2),
    )
    def set_table_faults(self, down, slow_ms, lose_answers, delay_commits):
        self.table.faults = fakes.TableFaults(down, slow_ms / 1000, lose_answers, delay_commits)

    @stateful.rule(
        address=strategies.sampled_from(UPSTREAMS),
        delay_ms=strategies.sampled_from([0, 0, 30, 1950, 2150, 9000]),
        lose_answers=strategies.integers(0, 1),
        refuse_requests=strategies.integers(0, 1),
        fail_when=strategies.sampled_from(["", "", "before", "after"]),
        down=strategies.booleans(),
    )
    def set_upstream_faults(
        self, address, delay_ms, lose_answers, refuse_requests, fail_when, down
    ):
        fake = self.upstreams.upstreams[address]
        fake.fail_when = fail_when
        fake.delay_s, fake.lose_answers, fake.refuse_requests, fake.down = (
            delay_ms / 1000,
            lose_answers,
            refuse_requests,
            down,
        )

    @stateful.rule(address=strategies.sampled_from(UPSTREAMS))
    def restart_upstream(self, address):
        self.upstreams.restart(address)

    @stateful.rule(name=strategies.sampled_from(BALANCERS))
    def sweep(self, name):
        balancer = self.balancers[name]
        ctx = balancer.ctx
        page_sweeper = sweeper.Sweeper(
            ctx.journal, lambda s: ctx, lambda: 1, lambda: 86_400_000, ctx.now_ms, ctx.rng
        )
        self.spawn(balancer, page_sweeper.sweep_page(""))

    @stateful.invariant()
    def no_key_runs_twice(self):
        runs = collections.Counter(r.key for r in self.upstreams.ledger)
        for key, n in runs.items():
            assert n <= 1, f"{key} ran {n} times"

    @stateful.invariant()
    def not_run_requests_did_not_run(self):
        ran = {r.send for r in self.upstreams.ledger}
        for sent in self.sent:
            if isinstance(sent.outcome, outcomes.NotRun):
                assert sent.send_id not in ran, f"{sent.send_id} ran despite the outcome not-run"

    @stateful.invariant()
    def responses_are_complete_and_match_key(self):
        ran = {f"{r.key} {r.attempt}".encode() for r in self.upstreams.ledger}
        for sent in self.sent:
            if isinstance(sent.outcome, outcomes.Answered) and sent.outcome.answer.status == 200:
                body = sent.outcome.answer.body
                assert body in ran and body.startswith(sent.key.encode()), body

    def teardown(self):
        """Clear all faults; then each key must get a final outcome within bounded time."""
        try:
            self.clear_faults()
            self.loop.advance(20)
            self.assert_invariants()
            for key in KEYS:
                self.resend_until_final(key)
            self.assert_invariants()
        finally:
            for balancer in self.balancers.values():
                self.stop(balancer)
            self.loop.shutdown()

    def clear_faults(self):
        self.table.faults = fakes.TableFaults()
        for fake in self.upstreams.upstreams.values():
            fake.delay_s, fake.lose_answers, fake.refuse_requests, fake.down, fake.skew_ms = (
                0.0,
                0,
                0,
                False,
                0,
            )
            fake.fail_when = ""
        for balancer in self.balancers.values():
            balancer.gate.resume()
            balancer.skew_ms = 0

    def resend_until_final(self, key):
        """Resend a request until its outcome is final."""
        if not any(s.key == key for s in self.sent):
            return
        for _ in range(3):
            sent = SentRequest(key, f"s{len(self.sent)}")
            self.sent.append(sent)
            balancer = self.balancers["a"]
            self.loop.run_until_complete(self.serve(balancer, sent, b"body"))
            if isinstance(sent.outcome, outcomes.Answered):
                return
            if isinstance(sent.outcome, outcomes.Unknown) and sent.outcome.final:
                return
            if isinstance(sent.outcome, outcomes.NotRun) and sent.outcome.status == 422:
                return
            self.loop.advance(10)
        raise AssertionError(f"{key} has no final outcome: {sent.outcome}")

    def assert_invariants(self):
        self.no_key_runs_twice()
        self.not_run_requests_did_not_run()
        self.responses_are_complete_and_match_key()

    def stop(self, balancer):
        for task in balancer.tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*balancer.tasks, return_exceptions=True))


class RememberingMachine(DeadlineMachine):
    """Upstreams that remember cancelled attempts."""

    fencing = model.Fencing.REMEMBERS_CANCELLATION


class UnfencedMachine(DeadlineMachine):
    """Upstreams without guarantees."""

    fencing = model.Fencing.NONE
