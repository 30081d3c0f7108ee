"""One balancer: builds its parts, runs them under supervisors, and stops them in order."""

import asyncio
import random
import time
from collections.abc import Coroutine
from typing import Any

import aiohttp

from waxwingspool import exceptions
from waxwingspool.config import model, settings, store
from waxwingspool.membership import gossip, link, members, rollout
from waxwingspool.observe import burn, logs, metrics
from waxwingspool.once import committer, execute, journal, sweeper
from waxwingspool.platform import objects, table, upstream, vms
from waxwingspool.routing import attempt, fleet, probing, target
from waxwingspool.serve import caller, dispatch, listener, operator, supervisor

__all__ = ["Node", "node"]

# Time between two reads of the VM list, in seconds.
LIST_EVERY_S = 1.0
# How many of the worst upstreams the burn report names for a service.
WORST = 3


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
        ip = s.caller_address.partition(":")[0]
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(local_addr=(ip, 0), limit=64)
        )
        self._table = table.counted(
            table.http_table(self._session, s.platform.table),
            lambda kind: metrics.labelled(self._metrics.store_calls, kind).inc(),
        )
        self._objects = objects.http_objects(self._session, s.platform.objects)
        self._vms = vms.http_vm_list(self._session, s.platform.vms)
        self._client = upstream.http_upstream(ip)
        self._link = link.grpc_link()
        own = members.Member(
            id=s.id,
            peer_address=s.peer_address,
            operator_address=s.operator_address,
            data_centre=s.data_centre,
            incarnation=attempt.now_ms(),
            heartbeat=0,
            leaving=False,
            heard_at=time.monotonic(),
        )
        self._members = members.Members(own, s.peers, self._rng)
        self._rollout = rollout.Rollout(
            self._table, self._objects, self._link, self._members, self._configured, self._rng
        )
        self._holder = self._rollout.holder
        self._gossip = gossip.Gossip(
            self._members,
            self._link,
            self._rollout.head,
            self._rollout.advance,
            self._departed_at_peer,
            self._count_peer_bytes,
        )
        self._rollout.gossip = self._gossip
        self._fleet = fleet.Fleet(s.region, s.policy, self._rng, self._departed_here)
        self._committer = committer.Committer(self._table, self._commit_interval_s)
        self._journal = journal.Journal(self._table, self._committer)
        self._burned = burn.Recorder()
        self._dispatcher = dispatch.Dispatcher(
            owner=s.id,
            services=self._fleet,
            client=self._client,
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
            await self._client.close()
            await self._link.close()
            await self._session.close()
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
            self._client,
            lambda: self._budget,
            self._is_mine_to_probe,
            self._metrics,
            self._rng,
        )
        measuring.add("prober", prober.run)
        http = supervisor.Supervisor("http")
        http.add("operators", self._operators.run)
        http.add("callers", self._callers.run)
        root = supervisor.Supervisor("balancer")
        for part in ("platform", platform), ("peers", peers), ("once", once):
            root.add(part[0], part[1].run)
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
                self._take_list(await self._vms.read())
                answers = True
            except exceptions.StoreUnavailable as error:
                if answers:
                    logs.logger().warning("vm_list.unavailable", reason=str(error))
                answers = False
            await asyncio.sleep(LIST_EVERY_S * (0.5 + self._rng.random()))

    def _take_list(self, listed: list[vms.Vm]) -> None:
        """Take in the VM list: peers, and upstreams that are leaving."""
        self._members.take_list(listed)
        for vm in listed:
            found = self._fleet.find(vm.name) if vm.role == "upstream" and vm.leaving else None
            if found is not None and target.mark_departed(found[1], found[1].incarnation):
                self._departed_here(found[1])

    def _configured(self, head: store.Head, configuration: model.Configuration) -> None:
        """Put a configuration into force."""
        self._fleet.configure(configuration)
        self._metrics.config_version.set(head.version)
        if self._settings.measuring:
            self._budget = probing.budget(configuration.measuring, self._members.count())

    def _departed_here(self, t: target.Target) -> None:
        """Tell peers about an upstream that was seen here to leave."""
        if self._members.add_departure(t.name, t.departed or ""):
            logs.logger().info("upstream.leaving", upstream=t.name, incarnation=t.departed)
            self._gossip.spread()

    def _departed_at_peer(self, departure: members.Departure) -> None:
        """Take a peer's word that an upstream is leaving."""
        found = self._fleet.find(departure.upstream)
        if found is None:
            return
        t = found[1]
        if t.incarnation in ("", departure.incarnation):
            target.mark_departed(t, departure.incarnation)

    def _is_mine_to_probe(self, t: target.Target) -> bool:
        """Return whether this balancer probes a target; it is one of the target's region."""
        held = self._holder.configuration
        if held is None:
            return False
        regions = {d.name: d.region for d in held.data_centres}
        near = [name for name, region in regions.items() if region == regions[t.data_centre]]
        return self._members.is_responsible(t.name, near)

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
        scope = "region"
        held = self._holder.configuration
        if held is not None:
            regions = {d.name: d.region for d in held.data_centres}
            for m in self._members.live():
                if m.peer_address == address and regions.get(m.data_centre) != self._region():
                    scope = "cross"
        self._metrics.peer_bytes.labels(scope).inc(n)

    def _region(self) -> str:
        """Return this balancer's region."""
        return self._settings.region

    def _views(self) -> operator.Views:
        """Return what operators see."""
        return operator.Views(
            ready=lambda: self._rollout.ready and not self._draining,
            status=self._status,
            burned=self._burned,
            worst=self._worst,
            holder=self._holder,
            publish=self._rollout.publish,
            counted=self._metrics,
        )

    def _worst(self) -> dict[str, list[str]]:
        """Return the upstreams with the highest failure rates, by service."""
        worst = {}
        for name, p in self._fleet.pools.items():
            failing = [t for t in p.targets.values() if t.failure_rate > 0.01]
            failing.sort(key=lambda t: t.failure_rate, reverse=True)
            worst[name] = [t.name for t in failing[:WORST]]
        return worst

    def _status(self) -> dict[str, Any]:
        """Return this balancer's state as a JSON value."""
        return {
            "id": self._settings.id,
            "data_centre": self._settings.data_centre,
            "version": self._holder.head.version,
            "draining": self._draining,
            "peers": [{"id": m.id, "operator": m.operator_address} for m in self._members.live()],
            "balancers": self._members.count(),
            "commits": _counts_status(self._committer.counts),
            "services": {name: _service_status(p) for name, p in self._fleet.pools.items()},
        }


def _counts_status(counts: committer.Counts) -> dict[str, int]:
    """Return counts as a JSON value."""
    return {"transactions": counts.transactions, "rows": counts.rows, "lost": counts.lost}


def _service_status(p: fleet.pool.Pool) -> dict[str, Any]:
    """Return the state of a service's pool as a JSON value."""
    now = time.monotonic()
    return {
        "limit": round(p.limit.value, 1),
        "in_flight": p.limit.in_flight,
        "busy": round(p.busy, 3),
        "hedges": p.counts.hedges,
        "retries": p.counts.retries,
        "attempts": p.counts.attempts,
        "upstreams": {t.name: _target_state(t, now) for t in p.targets.values()},
    }


def _target_state(t: target.Target, now: float) -> str:
    """Return the state of a target in a word."""
    if t.leaving or t.departed is not None:
        return "leaving"
    return "ejected" if now < t.ejected_until else "in-service"
