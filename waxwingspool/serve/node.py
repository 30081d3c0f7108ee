"""One balancer: builds its parts, runs them under supervisors, and stops them in order."""

import asyncio
import random
import time
from collections.abc import Coroutine
from typing import Any

from waxwingspool import exceptions
from waxwingspool.config import model, settings, store
from waxwingspool.interfaces import vms
from waxwingspool.membership import gossip, link, members, rollout
from waxwingspool.observe import burn, logs, metrics
from waxwingspool.once import committer, execute, journal, sweeper
from waxwingspool.routing import attempt, fleet, probing, target
from waxwingspool.serve import (
    caller,
    departures,
    dispatch,
    listener,
    operator,
    outside,
    status,
    supervisor,
)

__all__ = ["Node", "node"]

# Time between two reads of the VM list, in seconds.
LIST_EVERY_S = 1.0


def node(s: settings.Settings) -> "Node":
    """Return a balancer that is not running yet.

    :param s: its settings.
    :returns: the balancer. It must be made inside a running event loop.
    """
    return Node(s)


class Node:
    """A balancer.

    :param s: its settings.
    """

    def __init__(self, s: settings.Settings) -> None:
        self._settings = s
        self._rng = random.Random()
        self._metrics = metrics.create()
        self._background: set[asyncio.Task] = set()
        self._draining = False
        self._stop = asyncio.Event()
        self._budget: probing.Budget | None = None
        self._budget_key: tuple[model.Measuring, int] | None = None
        self._outside = outside.connect(s, self._metrics)
        self._members = members.Members(_own_member(s), s.peers, self._rng)
        self._rollout = rollout.Rollout(
            self._outside.table,
            self._outside.objects,
            self._outside.peers,
            self._members,
            self._configured,
            self._rng,
        )
        self._holder = self._rollout.holder
        self._gossip = gossip.Gossip(
            self._members,
            self._outside.peers,
            self._rollout.head,
            self._rollout.advance,
            lambda departure: departures.heard(departure, self._fleet),
            self._count_peer_bytes,
        )
        self._rollout.gossip = self._gossip
        self._fleet = fleet.Fleet(
            s.region,
            s.policy,
            self._rng,
            lambda t: departures.seen(t, self._members, self._gossip),
        )
        self._committer = committer.Committer(self._outside.table, self._commit_interval_s)
        self._journal = journal.Journal(self._outside.table, self._committer)
        self._burned = burn.Recorder()
        self._dispatcher = dispatch.Dispatcher(
            owner=s.id,
            services=self._fleet,
            client=self._outside.client,
            journal=self._journal,
            spawn=self._spawn,
            clock_error_ms=lambda: self._store_settings().clock_error_ms,
            counted=self._metrics,
            burned=self._burned,
            rng=self._rng,
        )
        callers = caller.application(
            self._dispatcher, lambda: self._rollout.ready, self._is_draining
        )
        self._callers = listener.Listener(callers, s.caller_address, s.drain_s)
        operators = operator.application(self._views())
        self._operators = listener.Listener(operators, s.operator_address, 1.0)

    def stop(self) -> None:
        """Begin a planned stop; :meth:`run` returns when it is done."""
        self._stop.set()

    async def run(self) -> None:
        """Run until :meth:`stop`, then finish what is in flight."""
        tree_task = asyncio.create_task(self._tree().run())
        logs.logger().info("balancer.started", callers=self._settings.caller_address)
        try:
            await self._stop.wait()
            await self._drain()
        finally:
            tree_task.cancel()
            await asyncio.gather(tree_task, return_exceptions=True)
            await self._outside.close()
        logs.logger().info("balancer.stopped")

    def _tree(self) -> supervisor.Supervisor:
        """Return the supervisor tree."""
        platform = supervisor.Supervisor("platform")
        platform.add("configuration", self._rollout.run)
        platform.add("vm-list", self._follow_list)
        peers = supervisor.Supervisor("peers")
        peers.add("server", self._serve_peers)
        peers.add("gossip", self._gossip.run)
        once = supervisor.Supervisor("once")
        once.add("committer", self._committer.run)
        once.add("sweeper", self._sweeper().run)
        measuring = supervisor.Supervisor("measuring")
        prober = probing.Prober(
            self._fleet,
            self._outside.client,
            self._measuring_budget,
            self._is_mine_to_probe,
            self._metrics,
            self._rng,
        )
        measuring.add("prober", prober.run)
        http = supervisor.Supervisor("http")
        http.add("operators", self._operators.run)
        http.add("callers", self._callers.run)
        root = supervisor.Supervisor("balancer")
        root.add("platform", platform.run)
        root.add("peers", peers.run)
        root.add("once", once.run)
        root.add("measuring", measuring.run)
        root.add("http", http.run)
        return root

    async def _drain(self) -> None:
        """Leave the rotation, tell peers, and finish what is in flight."""
        logs.logger().info("balancer.draining", rotation_s=self._settings.rotation_s)
        self._draining = True
        self._members.own.leaving = True
        self._gossip.spread()
        await asyncio.sleep(self._settings.rotation_s)
        await self._callers.stop()
        if self._background:
            await asyncio.wait(self._background, timeout=self._settings.drain_s)
        await self._gossip.round(gossip.NEWS_FANOUT)

    def _is_draining(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._draining

    def _spawn(self, work: Coroutine) -> None:
        """Start a task that a planned stop waits for."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _serve_peers(self) -> None:
        """Serve peers until cancelled."""
        server = await link.serve(
            self._settings.peer_address, self._gossip.answer, self._holder.blobs
        )
        try:
            await server.wait_for_termination()
        finally:
            await server.stop(0.5)

    async def _follow_list(self) -> None:
        """Read the VM list again and again."""
        answers = True
        while True:
            try:
                self._take_list(await self._outside.vms.read())
                answers = True
            except exceptions.StoreUnavailable as error:
                if answers:
                    logs.logger().warning("vm_list.unavailable", reason=str(error))
                answers = False
            await asyncio.sleep(LIST_EVERY_S * (0.5 + self._rng.random()))

    def _take_list(self, found: list[vms.Vm]) -> None:
        """Take in the VM list: peers, and upstreams that are leaving."""
        self._members.take_list(found)
        departures.listed(found, self._fleet)

    def _configured(self, head: store.Head, configuration: model.Configuration) -> None:
        """Put a configuration into force."""
        self._fleet.configure(configuration)
        self._metrics.config_version.set(head.version)

    def _measuring_budget(self) -> probing.Budget | None:
        """Return this balancer's share of the measuring budget, ``None`` to spend nothing.

        It is made anew, empty, with each configuration and when more balancers are known than the
        configuration allows for.
        """
        held = self._holder.configuration
        if held is None or not self._settings.measuring:
            return None
        shares = max(held.measuring.balancers, self._members.count())
        if self._budget is None or self._budget_key != (held.measuring, shares):
            self._budget = probing.budget(held.measuring, shares)
            self._budget_key = (held.measuring, shares)
        return self._budget

    def _is_mine_to_probe(self, t: target.Target) -> bool:
        """Return whether this balancer probes a target; it is one of the target's region."""
        region = self._fleet.region_of(t.data_centre)
        return self._members.is_responsible(t.name, self._fleet.data_centres(region))

    def _commit_interval_s(self) -> float:
        """Return the shortest time between two transactions of this balancer."""
        return self._members.count() / self._store_settings().writes_per_s

    def _store_settings(self) -> model.Store:
        """Return the store's settings in the configuration in force."""
        held = self._holder.configuration
        return held.store if held is not None else model.Store()

    def _sweeper(self) -> sweeper.Sweeper:
        """Return the sweeper."""

        def context_of(service: str) -> execute.Context | None:
            p = self._fleet.pools.get(service)
            return self._dispatcher.once_context(p) if p is not None else None

        return sweeper.Sweeper(
            journal=self._journal,
            context_of=context_of,
            balancers=self._members.count,
            retention_ms=lambda: self._store_settings().retention_s * 1000,
            now_ms=attempt.now_ms,
            rng=self._rng,
        )

    def _count_peer_bytes(self, address: str, n: int) -> None:
        """Count bytes to and from a peer by whether it lies in this region."""
        near = self._fleet.data_centres(self._settings.region)
        centre = self._members.data_centre_of(address)
        scope = "cross" if centre is not None and centre not in near else "region"
        metrics.labelled(self._metrics.peer_bytes, scope).inc(n)

    def _views(self) -> operator.Views:
        """Return what operators see."""
        return operator.Views(
            ready=lambda: self._rollout.ready and not self._draining,
            status=self._status,
            burned=self._burned,
            worst=lambda: status.worst_upstreams(self._fleet.pools),
            holder=self._holder,
            publish=self._rollout.publish,
            counted=self._metrics,
        )

    def _status(self) -> dict[str, Any]:
        """Return this balancer's state as a JSON value."""
        return status.balancer_status(
            self._members,
            self._holder.head.version,
            self._draining,
            self._committer.counts,
            self._fleet.pools,
        )


def _own_member(s: settings.Settings) -> members.Member:
    """Return what this balancer tells others of itself."""
    return members.Member(
        id=s.id,
        peer_address=s.peer_address,
        operator_address=s.operator_address,
        data_centre=s.data_centre,
        incarnation=attempt.now_ms(),
        heartbeat=0,
        leaving=False,
        heard_at=time.monotonic(),
    )
