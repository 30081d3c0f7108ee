"""A stateful fuzz of how configurations are accepted and spread."""

from hypothesis import stateful, strategies

from standins import cluster, fakes
from waxwingspool import exceptions
from waxwingspool.config import tree

# Balancers, and the time within which a mended system agrees, in seconds.
BALANCERS = 4
AGREE_S = 5.0

peers = strategies.integers(0, BALANCERS - 1)


class Machine(stateful.RuleBasedStateMachine):
    """Operators apply configurations at any balancer while everything fails.

    The oracle: one content for each version; versions never fall while a process lives; a process
    that is ready after a restart is not behind what the table held when it asked; what an operator
    was told is true; a mended system agrees on the table's version.
    """

    def __init__(self):
        super().__init__()
        self.cluster = cluster.Cluster(BALANCERS)
        self.roots = {}
        self.told = {}
        self.marks = 0

    def peer(self, n):
        return self.cluster.peers[self.cluster.addresses[n]]

    @stateful.rule(n=peers, m=peers, based=strategies.booleans())
    def apply_twice_at_once(self, n, m, based):
        works = [self.apply(n, based), self.apply(m, based)]
        tasks = [self.cluster.loop.create_task(w) for w in works]
        self.cluster.loop.advance(0.5)
        for peer, task in zip((n, m), tasks, strict=True):
            self.peer(peer).tasks.append(task)

    async def apply(self, n, based):
        self.marks += 1
        configuration = cluster.configuration(self.marks)
        rollout = self.peer(n).rollout
        base = rollout.holder.head.version if based else None
        try:
            result = await rollout.publish(configuration, tree.build(configuration), base)
        except (exceptions.StoreUnavailable, exceptions.StoreAnswerLost):
            return
        if result.is_ok():
            head = result.ok.head
            assert self.told.setdefault(head.version, head.root) == head.root

    @stateful.rule(ms=strategies.sampled_from([1, 10, 200, 1500, 6000]))
    def advance(self, ms):
        self.cluster.loop.advance(ms / 1000)

    @stateful.rule(n=peers)
    def restart(self, n):
        address = self.cluster.addresses[n]
        self.cluster.stop(address)
        self.cluster.start(address)

    @stateful.rule(n=peers, paused=strategies.booleans())
    def pause(self, n, paused):
        gate = self.peer(n).gate
        gate.pause() if paused else gate.wake()

    @stateful.rule(n=peers, cut=strategies.booleans())
    def cut(self, n, cut):
        address = self.cluster.addresses[n]
        if cut:
            self.cluster.network.cut.add(address)
        else:
            self.cluster.network.cut.discard(address)

    @stateful.rule(
        down=strategies.booleans(),
        slow_ms=strategies.sampled_from([1, 300]),
        lose=strategies.integers(0, 2),
        delay=strategies.integers(0, 1),
        objects_down=strategies.booleans(),
    )
    def break_store(self, down, slow_ms, lose, delay, objects_down):
        self.cluster.table.faults = fakes.TableFaults(down, slow_ms / 1000, lose, delay)
        self.cluster.objects.down = objects_down

    @stateful.invariant()
    def versions_never_fall(self):
        for peer in self.cluster.peers.values():
            assert peer.versions == sorted(set(peer.versions)), peer.versions

    @stateful.invariant()
    def a_version_has_one_content(self):
        for peer in self.cluster.peers.values():
            head = peer.rollout.holder.head
            if head.version:
                assert self.roots.setdefault(head.version, head.root) == head.root
        for version, root in self.told.items():
            assert self.roots.setdefault(version, root) == root

    def teardown(self):
        try:
            self.mend()
            rows = self.cluster.table.rows
            version = rows["config/head"].value["version"] if rows else 0
            self.cluster.wait_for(version, AGREE_S)
            assert all(accepted <= version for accepted in self.told)
            self.a_version_has_one_content()
            self.versions_never_fall()
        finally:
            self.cluster.close()

    def mend(self):
        self.cluster.table.faults = fakes.TableFaults()
        self.cluster.objects.down = False
        self.cluster.network.cut.clear()
        for peer in self.cluster.peers.values():
            peer.gate.wake()
        self.cluster.loop.advance(3.0)
