"""A balancer process: builds its components, supervises them and shuts them down in order."""

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
from waxwingspool.routing import attempt, probing, service_pools, target
from waxwingspool.serve import (
    caller,
    clients,
    departures,
    dispatch,
    listener,
    operator,
    status,
    supervisor,
)

__all__ = ["Node", "node"]

# Mean interval between two reads of the VM list, in seconds.
VM_LIST_INTERVAL_S = 1.0


def node(node_settings: settings.Settings) -> "Node":
    """Return a balancer that is not running yet.

    :param node_settings: settings of the balancer.
    :returns: the balancer. It must be created inside a running event loop.
    """
    return Node(node_settings)


class Node:
    """A balancer.

    :param node_settings: settings of the balancer.
    """

    def __init__(self, node_settings: settings.Settings) -> None:
        self._settings = node_settings
        self._rng = random.Random()
        self._metrics = metrics.create()
        self._background_tasks: set[asyncio.Task] = set()
        self._draining = False
        self._stop_requested = asyncio.Event()
        self._probe_budget: probing.Budget | None = None
        self._probe_budget_key: tuple[model.Measuring, int] | None = None
        self._clients = clients.create(node_settings, self._metrics)
        self._members = members.Members(
            _local_member(node_settings), node_settings.peers, self._rng
        )
        self._rollout = rollout.Rollout(
            self._clients.table,
            self._clients.objects,
            self._clients.peer_link,
            self._members,
            self._apply_configuration,
            self._rng,
        )
        self._active = self._rollout.active
        self._gossip = gossip.Gossip(
            self._members,
            self._clients.peer_link,
            self._rollout.head,
            self._rollout.advance,
            lambda departure: departures.record_from_peer(departure, self._pools),
            self._count_peer_bytes,
        )
        self._rollout.gossip = self._gossip
        self._pools = service_pools.ServicePools(
            node_settings.region,
            node_settings.policy,
            self._rng,
            lambda t: departures.announce(t, self._members, self._gossip),
        )
        self._committer = committer.Committer(self._clients.table, self._commit_interval_s)
        self._journal = journal.Journal(self._clients.table, self._committer)
        self._burn_recorder = burn.Recorder()
        self._dispatcher = dispatch.Dispatcher(
            owner=node_settings.id,
            pools=self._pools,
            client=self._clients.upstream_client,
            journal=self._journal,
            spawn=self._spawn,
            clock_error_ms=lambda: self._store_settings().clock_error_ms,
            app_metrics=self._metrics,
            burn_recorder=self._burn_recorder,
            rng=self._rng,
        )
        caller_app = caller.application(
            self._dispatcher, lambda: self._rollout.ready, self._is_draining
        )
        self._caller_listener = listener.Listener(
            caller_app, node_settings.caller_address, node_settings.drain_s
        )
        operator_app = operator.application(self._operator_context())
        self._operator_listener = listener.Listener(
            operator_app, node_settings.operator_address, 1.0
        )

    def stop(self) -> None:
        """Request a planned stop; :meth:`run` returns when it is complete."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Run until :meth:`stop`, then drain requests in flight."""
        tree_task = asyncio.create_task(self._supervisor_tree().run())
        logs.logger().info("balancer.started", callers=self._settings.caller_address)
        try:
            await self._stop_requested.wait()
            await self._drain()
        finally:
            tree_task.cancel()
            await asyncio.gather(tree_task, return_exceptions=True)
            await self._clients.close()
        logs.logger().info("balancer.stopped")

    def _supervisor_tree(self) -> supervisor.Supervisor:
        """Return the root of the supervisor tree."""
        platform = supervisor.Supervisor("platform")
        platform.add("configuration", self._rollout.run)
        platform.add("vm-list", self._poll_vm_list)
        peers = supervisor.Supervisor("peers")
        peers.add("server", self._serve_peers)
        peers.add("gossip", self._gossip.run)
        once = supervisor.Supervisor("once")
        once.add("committer", self._committer.run)
        once.add("sweeper", self._sweeper().run)
        measuring = supervisor.Supervisor("measuring")
        prober = probing.Prober(
            self._pools,
            self._clients.upstream_client,
            self._measuring_budget,
            self._is_responsible_for_probing,
            self._metrics,
            self._rng,
        )
        measuring.add("prober", prober.run)
        http = supervisor.Supervisor("http")
        http.add("operators", self._operator_listener.run)
        http.add("callers", self._caller_listener.run)
        root = supervisor.Supervisor("balancer")
        root.add("platform", platform.run)
        root.add("peers", peers.run)
        root.add("once", once.run)
        root.add("measuring", measuring.run)
        root.add("http", http.run)
        return root

    async def _drain(self) -> None:
        """Report not ready, notify peers, and finish requests in flight.

        Callers are served for ``rotation_s`` more, until the platform no longer routes to this
        balancer.
        """
        logs.logger().info("balancer.draining", rotation_s=self._settings.rotation_s)
        self._draining = True
        self._members.local_member.leaving = True
        self._gossip.trigger_round()
        await asyncio.sleep(self._settings.rotation_s)
        await self._caller_listener.stop()
        if self._background_tasks:
            await asyncio.wait(self._background_tasks, timeout=self._settings.drain_s)
        await self._gossip.round(gossip.UPDATE_FANOUT)

    def _is_draining(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._draining

    def _spawn(self, coroutine: Coroutine) -> None:
        """Start a task that a planned stop waits for."""
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _serve_peers(self) -> None:
        """Serve peers until cancelled."""
        server = await link.serve(
            self._settings.peer_address, self._gossip.handle_digest, self._active.blobs
        )
        try:
            await server.wait_for_termination()
        finally:
            await server.stop(0.5)

    async def _poll_vm_list(self) -> None:
        """Poll the VM list until cancelled."""
        available = True
        while True:
            try:
                self._update_from_vm_list(await self._clients.vms.read())
                available = True
            except exceptions.StoreUnavailable as error:
                if available:
                    logs.logger().warning("vm_list.unavailable", reason=str(error))
                available = False
            await asyncio.sleep(VM_LIST_INTERVAL_S * (0.5 + self._rng.random()))

    def _update_from_vm_list(self, vm_list: list[vms.Vm]) -> None:
        """Update peers and departures of upstreams from the VM list."""
        self._members.update_listed_balancers(vm_list)
        departures.record_from_vm_list(vm_list, self._pools)

    def _apply_configuration(self, head: store.Head, configuration: model.Configuration) -> None:
        """Put a configuration into force."""
        self._pools.configure(configuration)
        self._metrics.config_version.set(head.version)

    def _measuring_budget(self) -> probing.Budget | None:
        """Return this balancer's share of the measuring budget, ``None`` to spend nothing.

        The share is the budget divided by the configured or the known number of balancers,
        whichever is larger. When the budget or that number changes, the share is recreated with
        empty token buckets.
        """
        configuration = self._active.configuration
        if configuration is None or not self._settings.measuring:
            return None
        balancer_count = max(configuration.measuring.balancers, self._members.balancer_count())
        if self._probe_budget is None or self._probe_budget_key != (
            configuration.measuring,
            balancer_count,
        ):
            self._probe_budget = probing.create_budget(configuration.measuring, balancer_count)
            self._probe_budget_key = (configuration.measuring, balancer_count)
        return self._probe_budget

    def _is_responsible_for_probing(self, t: target.Target) -> bool:
        """Return whether this balancer probes a target; a balancer of the target's region does."""
        region = self._pools.region_of(t.data_centre)
        return self._members.is_responsible(t.name, self._pools.data_centres(region))

    def _commit_interval_s(self) -> float:
        """Return the minimum time between two transactions of this balancer, in seconds.

        The configured rate of transactions is divided evenly between the balancers.
        """
        return self._members.balancer_count() / self._store_settings().writes_per_s

    def _store_settings(self) -> model.Store:
        """Return the store settings of the configuration in force, or the defaults."""
        configuration = self._active.configuration
        return configuration.store if configuration is not None else model.Store()

    def _sweeper(self) -> sweeper.Sweeper:
        """Return the sweeper of the journal."""

        def context_of(service: str) -> execute.Context | None:
            p = self._pools.pools.get(service)
            return self._dispatcher.once_context(p) if p is not None else None

        return sweeper.Sweeper(
            journal=self._journal,
            context_of=context_of,
            balancer_count=self._members.balancer_count,
            retention_ms=lambda: self._store_settings().retention_s * 1000,
            now_ms=attempt.now_ms,
            rng=self._rng,
        )

    def _count_peer_bytes(self, address: str, n: int) -> None:
        """Count bytes exchanged with a peer, by whether the peer is in this region."""
        local_data_centres = self._pools.data_centres(self._settings.region)
        data_centre = self._members.data_centre_of(address)
        scope = (
            "cross"
            if data_centre is not None and data_centre not in local_data_centres
            else "region"
        )
        metrics.labelled(self._metrics.peer_bytes, scope).inc(n)

    def _operator_context(self) -> operator.Context:
        """Return the state and operations that the operator interface exposes."""
        return operator.Context(
            ready=lambda: self._rollout.ready and not self._draining,
            status=self._status,
            burn_recorder=self._burn_recorder,
            worst_upstreams=lambda: status.worst_upstreams(self._pools.pools),
            active=self._active,
            publish=self._rollout.publish,
            app_metrics=self._metrics,
        )

    def _status(self) -> dict[str, Any]:
        """Return the status of this balancer as a JSON value."""
        return status.balancer_status(
            self._members,
            self._active.head.version,
            self._draining,
            self._committer.counts,
            self._pools.pools,
        )


def _local_member(node_settings: settings.Settings) -> members.Member:
    """Return this balancer's member record, which gossip sends to peers."""
    return members.Member(
        id=node_settings.id,
        peer_address=node_settings.peer_address,
        operator_address=node_settings.operator_address,
        data_centre=node_settings.data_centre,
        incarnation=attempt.now_ms(),
        heartbeat=0,
        leaving=False,
        heartbeat_at=time.monotonic(),
    )
