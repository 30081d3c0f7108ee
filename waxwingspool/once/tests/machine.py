"""A stateful fuzz of at-most-once execution against a simple oracle.

The real code runs over in-process fakes on a virtual clock. The oracle is the upstreams' ledger and
what each caller was told.
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
    """Return the service that is fuzzed."""
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
    ups = tuple(
        model.Upstream(name=f"u{n}", data_centre="d", address=address)
        for n, address in enumerate(UPSTREAMS)
    )
    return model.Service(name="till", fencing=fencing, rules=(rule,), upstreams=ups)


@dataclasses.dataclass
class Balancer:
    """One balancer's part of at-most-once execution."""

    gate: fakes.Gate
    ctx: execute.Context
    tasks: set = dataclasses.field(default_factory=set)
    skew_ms: int = 0


@dataclasses.dataclass
class Sent:
    """One send and what its caller was told."""

    key: str
    send: str
    outcome: outcomes.Outcome | None = None


class Machine(stateful.RuleBasedStateMachine):
    fencing = model.Fencing.ABSOLUTE_DEADLINE

    def __init__(self):
        super().__init__()
        self.loop = virtual.loop()
        asyncio.set_event_loop(self.loop)
        self.table = fakes.FakeTable()
        self.upstreams = fakes.FakeUpstreams(
            self.true_ms,
            keeps_deadlines=self.fencing is model.Fencing.ABSOLUTE_DEADLINE,
            remembers=self.fencing is model.Fencing.REMEMBERS_CANCELLATION,
        )
        for address in UPSTREAMS:
            self.upstreams.add(address)
        self.balancers = {}
        self.sent = []
        for name in BALANCERS:
            self.start(name)

    def true_ms(self):
        return EPOCH_MS + int(self.loop.time() * 1000)

    def start(self, name):
        gate = fakes.Gate()
        store = self.table.seen_by(gate)
        balancer = Balancer(gate, None)
        choose = policy.expected(random.Random(1))
        p = pool.Pool(
            service(self.fencing), lambda dc: pool.INSIDE, choose, lambda t: None, 1, self.loop.time
        )
        for t in p.targets.values():
            t.incarnation = str(self.upstreams.fakes[t.address].incarnation)
        writer = committer.Committer(store, lambda: 0.01, self.loop.time)
        balancer.ctx = execute.Context(
            owner=name,
            journal=journal.Journal(store, writer),
            client=self.upstreams.seen_by(gate),
            pool=p,
            clock_error_ms=CLOCK_ERROR_MS,
            spawn=lambda work: self.keep(balancer, work),
            now_ms=lambda: self.true_ms() + balancer.skew_ms,
            monotonic=self.loop.time,
            rng=random.Random(2),
        )
        self.balancers[name] = balancer
        self.keep(balancer, writer.run())

    def keep(self, balancer, work):
        task = self.loop.create_task(work)
        balancer.tasks.add(task)
        return task

    async def serve(self, balancer, sent, body):
        headers = (("key", sent.key), ("send", sent.send))
        request = upstream.Request("POST", "/pay", headers, body)
        sent.outcome = await execute.execute(balancer.ctx, request, sent.key, DEADLINE_MS)

    @stateful.rule(
        name=strategies.sampled_from(BALANCERS),
        key=strategies.sampled_from(KEYS),
        other_body=strategies.integers(0, 9),
        fate=strategies.sampled_from(["go on", "crash", "pause", "cut", "die", "delay", "late"]),
        after_ms=strategies.sampled_from([0, 1, 2, 4, 12]),
    )
    def send(self, name, key, other_body, fate, after_ms):
        sent = Sent(key, f"s{len(self.sent)}")
        self.sent.append(sent)
        body = b"other" if other_body == 0 and len(self.sent) > 1 else b"body"
        balancer = self.balancers[name]
        if fate in ("cut", "die"):
            for fake in self.upstreams.fakes.values():
                fake.cut = 1
        if fate in ("delay", "late"):
            for fake in self.upstreams.fakes.values():
                fake.delay_s = DEADLINE_MS / 1000 * (0.25 if fate == "delay" else 1.05)
        self.keep(balancer, self.serve(balancer, sent, body))
        self.loop.advance(after_ms / 1000)
        if fate == "die":
            self.upstreams.fakes[UPSTREAMS[len(self.sent) % 2]].dead = True
        if fate == "crash":
            self.stop(balancer)
            self.start(name)
        if fate == "pause":
            balancer.gate.pause()

    @stateful.rule(name=strategies.sampled_from(BALANCERS))
    def send_without_a_key(self, name):
        sent = Sent(f"unkeyed-{len(self.sent)}", f"s{len(self.sent)}")
        self.sent.append(sent)
        balancer = self.balancers[name]
        self.keep(balancer, self.serve_without_a_key(balancer, sent))

    async def serve_without_a_key(self, balancer, sent):
        request = upstream.Request("POST", "/pay", (("key", sent.key), ("send", sent.send)), b"")
        sent.outcome = await execute.execute_unkeyed(balancer.ctx, request, DEADLINE_MS)

    @stateful.rule(ms=strategies.sampled_from([1, 12, 100, 900, 1850, 2500, 13_000]))
    def advance(self, ms):
        self.loop.advance(ms / 1000)

    @stateful.rule(name=strategies.sampled_from(BALANCERS))
    def wake(self, name):
        self.balancers[name].gate.wake()

    @stateful.rule(
        name=strategies.sampled_from(BALANCERS), skew=strategies.sampled_from([-200, 0, 200])
    )
    def skew_balancer(self, name, skew):
        self.balancers[name].skew_ms = skew

    @stateful.rule(
        address=strategies.sampled_from(UPSTREAMS), skew=strategies.sampled_from([-200, 0, 200])
    )
    def skew_upstream(self, address, skew):
        self.upstreams.fakes[address].skew_ms = skew

    @stateful.rule(
        down=strategies.booleans(),
        slow_ms=strategies.sampled_from([1, 50, 800]),
        lose=strategies.integers(0, 3),
        delay=strategies.integers(0, 2),
    )
    def break_table(self, down, slow_ms, lose, delay):
        self.table.faults = fakes.TableFaults(down, slow_ms / 1000, lose, delay)

    @stateful.rule(
        address=strategies.sampled_from(UPSTREAMS),
        delay_ms=strategies.sampled_from([0, 0, 30, 1950, 2150, 9000]),
        cut=strategies.integers(0, 1),
        refuse=strategies.integers(0, 1),
        fails=strategies.sampled_from(["", "", "before", "after"]),
        dead=strategies.booleans(),
    )
    def break_upstream(self, address, delay_ms, cut, refuse, fails, dead):
        fake = self.upstreams.fakes[address]
        fake.fails = fails
        fake.delay_s, fake.cut, fake.refuse, fake.dead = delay_ms / 1000, cut, refuse, dead

    @stateful.rule(address=strategies.sampled_from(UPSTREAMS))
    def restart_upstream(self, address):
        self.upstreams.restart(address)

    @stateful.rule(name=strategies.sampled_from(BALANCERS))
    def sweep(self, name):
        balancer = self.balancers[name]
        ctx = balancer.ctx
        one = sweeper.Sweeper(
            ctx.journal, lambda s: ctx, lambda: 1, lambda: 86_400_000, ctx.now_ms, ctx.rng
        )
        self.keep(balancer, one.sweep_page(""))

    @stateful.invariant()
    def no_key_runs_twice(self):
        runs = collections.Counter(r.key for r in self.upstreams.ledger)
        for key, n in runs.items():
            assert n <= 1, f"{key} ran {n} times"

    @stateful.invariant()
    def not_run_is_true(self):
        ran = {r.send for r in self.upstreams.ledger}
        for sent in self.sent:
            if isinstance(sent.outcome, outcomes.NotRun):
                assert sent.send not in ran, f"{sent.send} was told it did not run"

    @stateful.invariant()
    def answers_are_whole_and_own(self):
        ran = {f"{r.key} {r.attempt}".encode() for r in self.upstreams.ledger}
        for sent in self.sent:
            if isinstance(sent.outcome, outcomes.Answered) and sent.outcome.answer.status == 200:
                body = sent.outcome.answer.body
                assert body in ran and body.startswith(sent.key.encode()), body

    def teardown(self):
        """Mend every fault; then each key must end in a final outcome within bounded time."""
        try:
            self.mend()
            self.loop.advance(20)
            self.check_all()
            for key in KEYS:
                self.settle(key)
            self.check_all()
        finally:
            for balancer in self.balancers.values():
                self.stop(balancer)
            self.loop.finish()

    def mend(self):
        self.table.faults = fakes.TableFaults()
        for fake in self.upstreams.fakes.values():
            fake.delay_s, fake.cut, fake.refuse, fake.dead, fake.skew_ms = 0.0, 0, 0, False, 0
            fake.fails = ""
        for balancer in self.balancers.values():
            balancer.gate.wake()
            balancer.skew_ms = 0

    def settle(self, key):
        """Resend a key until its outcome is final."""
        if not any(s.key == key for s in self.sent):
            return
        for _ in range(3):
            sent = Sent(key, f"s{len(self.sent)}")
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
        raise AssertionError(f"{key} is stuck: {sent.outcome}")

    def check_all(self):
        self.no_key_runs_twice()
        self.not_run_is_true()
        self.answers_are_whole_and_own()

    def stop(self, balancer):
        for task in balancer.tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*balancer.tasks, return_exceptions=True))


class RememberingMachine(Machine):
    """Upstreams that remember cancelled attempts."""

    fencing = model.Fencing.REMEMBERS_CANCELLATION


class UnfencedMachine(Machine):
    """Upstreams that guarantee nothing."""

    fencing = model.Fencing.NONE
