"""Stateful fuzz test of publishing and rolling out configurations."""

from hypothesis import stateful, strategies

from standins import cluster, fakes
from waxwingspool import exceptions
from waxwingspool.config import tree

# Number of balancers.
BALANCERS = 4
# Time limit for convergence after all faults have ended, in seconds.
CONVERGENCE_TIMEOUT_S = 5.0

peer_indices = strategies.integers(0, BALANCERS - 1)


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Publishes configurations at any balancer while faults are injected.

    Checked properties: each version has one content; versions never decrease within a process; a
    version reported to an operator as accepted has the reported content; all balancers converge to
    the version in the table after all faults have ended.

    Required but not checked here: a process that is ready after a restart is not behind the version
    that the table had when the process read it.
    """

    def __init__(self):
        super().__init__()
        self.cluster = cluster.Cluster(BALANCERS)
        self.roots = {}
        self.acknowledged = {}
        self.last_variant = 0

    def peer(self, n):
        return self.cluster.peers[self.cluster.addresses[n]]

    @stateful.rule(n=peer_indices, m=peer_indices, with_base=strategies.booleans())
    def publish_concurrently(self, n, m, with_base):
        coroutines = [self.publish(n, with_base), self.publish(m, with_base)]
        tasks = [self.cluster.loop.create_task(c) for c in coroutines]
        self.cluster.loop.advance(0.5)
        for index, task in zip((n, m), tasks, strict=True):
            self.peer(index).tasks.append(task)

    async def publish(self, n, with_base):
        self.last_variant += 1
        configuration = cluster.configuration(self.last_variant)
        rollout = self.peer(n).rollout
        base = rollout.active.head.version if with_base else None
        try:
            result = await rollout.publish(configuration, tree.build(configuration), base)
        except (exceptions.StoreUnavailable, exceptions.StoreAnswerLost):
            return
        if result.is_ok():
            head = result.ok.head
            assert self.acknowledged.setdefault(head.version, head.root) == head.root

    @stateful.rule(ms=strategies.sampled_from([1, 10, 200, 1500, 6000]))
    def advance(self, ms):
        self.cluster.loop.advance(ms / 1000)

    @stateful.rule(n=peer_indices)
    def restart(self, n):
        address = self.cluster.addresses[n]
        self.cluster.crash(address)
        self.cluster.start(address)

    @stateful.rule(n=peer_indices, paused=strategies.booleans())
    def pause(self, n, paused):
        gate = self.peer(n).gate
        gate.pause() if paused else gate.resume()

    @stateful.rule(n=peer_indices, isolated=strategies.booleans())
    def isolate(self, n, isolated):
        address = self.cluster.addresses[n]
        if isolated:
            self.cluster.network.disconnected.add(address)
        else:
            self.cluster.network.disconnected.discard(address)

    @stateful.rule(
        down=strategies.booleans(),
        slow_ms=strategies.sampled_from([1, 300]),
        lose_answers=strategies.integers(0, 2),
        delay_commits=strategies.integers(0, 1),
        objects_down=strategies.booleans(),
    )
    def set_store_faults(self, down, slow_ms, lose_answers, delay_commits, objects_down):
        self.cluster.table.faults = fakes.TableFaults(
            down, slow_ms / 1000, lose_answers, delay_commits
        )
        self.cluster.objects.down = objects_down

    @stateful.invariant()
    def versions_never_decrease(self):
        for peer in self.cluster.peers.values():
            assert peer.versions == sorted(set(peer.versions)), peer.versions

    @stateful.invariant()
    def each_version_has_one_root(self):
        for peer in self.cluster.peers.values():
            head = peer.rollout.active.head
            if head.version:
                assert self.roots.setdefault(head.version, head.root) == head.root
        for version, root in self.acknowledged.items():
            assert self.roots.setdefault(version, root) == root

    def teardown(self):
        try:
            self.clear_faults()
            rows = self.cluster.table.rows
            version = rows["config/head"].value["version"] if rows else 0
            self.cluster.wait_for_version(version, CONVERGENCE_TIMEOUT_S)
            assert all(accepted <= version for accepted in self.acknowledged)
            self.each_version_has_one_root()
            self.versions_never_decrease()
        finally:
            self.cluster.close()

    def clear_faults(self):
        self.cluster.table.faults = fakes.TableFaults()
        self.cluster.objects.down = False
        self.cluster.network.disconnected.clear()
        for peer in self.cluster.peers.values():
            peer.gate.resume()
        self.cluster.loop.advance(3.0)
