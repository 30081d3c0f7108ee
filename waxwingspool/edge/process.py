"""The balancer process: component wiring, supervision and graceful shutdown."""

import asyncio
import gc
import os
import random
import signal
import time

from waxwingspool import exceptions
from waxwingspool.catalog import node, routes, upstreams
from waxwingspool.dispatch import budget, split
from waxwingspool.edge import registration, status, view
from waxwingspool.fleet import (
    departure_checks,
    departures,
    frames,
    link,
    members,
    probes,
    slots,
    tables,
)
from waxwingspool.fleet import store as store_client
from waxwingspool.observe import counters, eventlog
from waxwingspool.platform import headers, settings
from waxwingspool.proxy import caller, forward, pool, stalled
from waxwingspool.serve import supervisor

__all__ = ["Process", "main"]

# Time for which new connections are still accepted after the request to stop, in seconds. The
# platform checks readiness once a second and stops routing to a balancer after two failed checks.
LAME_DUCK_S = 3.0
# Time before the kill at which the remaining connections are aborted, in seconds.
GRACE_MARGIN_S = 0.3
# Interval between checks for requests in flight during shutdown, in seconds.
DRAIN_POLL_S = 0.05
# Interval between checks for upstreams whose delayed removal is due, in seconds.
EXPIRY_INTERVAL_S = 0.25
# Maximum number of connections waiting to be accepted.
BACKLOG = 1024


class Process:
    """One balancer process.

    :param node_settings: settings of this balancer.
    """

    def __init__(self, node_settings: node.NodeSettings) -> None:
        self._settings = node_settings
        started_ms = round(time.time() * 1000)
        self._members = members.Members(node_settings, started_ms)
        self._links = link.Links(node_settings, self._handle_frame, self._handle_disconnect)
        self._departures = departures.Departures(lambda: self._view.publish_upstreams())
        self._slot_manager = slots.SlotManager(
            node_settings, self._members, self._links, self._departures
        )
        self._pool = pool.Pool(node_settings.ip, headers.HEADER_NAMES.request_id)
        self._splitter = split.Splitter(random.Random())
        self._view = view.View(
            node_settings,
            self._members,
            self._update_upstreams,
            self._splitter.reset,
            self._departures,
        )
        self._client = store_client.StoreClient(node_settings)
        self._registration = registration.Registration(
            node_settings, self._client, self._members, started_ms
        )
        self._tables = tables.TableCopies(
            node_settings,
            self._client,
            self._links,
            self._members,
            view.TABLES,
            self._update_rows,
            self._view.record_store_recovery,
            view.POSITION_READERS,
        )
        self._forwarder = forward.Forwarder(
            self._view,
            self._slot_manager,
            self._pool,
            headers.HEADER_NAMES,
            self._create_retry_budget,
            self._splitter,
            lambda: self._tables.age_s,
            self._may_send,
        )
        self._prober = probes.Prober(
            node_settings.ip, self._slot_manager, self._get_health_path, headers.HEADER_NAMES
        )
        self._departure_checker = departure_checks.DepartureChecker(
            node_settings.ip,
            self._departures,
            lambda: self._view.withheld,
            lambda: self._members.count,
            self._get_health_path,
            headers.HEADER_NAMES,
        )
        self._connections: set[caller.Connection] = set()
        self._stalled_callers = stalled.StalledCallers()
        self._stopping = asyncio.Event()
        # Event loop time from which no request is sent to an upstream, and at which the remaining
        # connections are aborted, in seconds.
        self._drains_at = self._cuts_at = float("inf")

    async def run(self) -> None:
        """Serve until the process is asked to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        servers = await self._listen()
        tasks = supervisor.Supervisor("process")
        tasks.add("beliefs", self._tables.run)
        tasks.add("register", self._registration.run)
        tasks.add("slots", self._slot_manager.run)
        tasks.add("pool", self._pool.run)
        tasks.add("probes", self._prober.run)
        tasks.add("departure checks", self._departure_checker.run)
        tasks.add("tick", self._expire_upstreams)
        supervision = asyncio.create_task(tasks.run())
        eventlog.event(
            "process.started", name=self._settings.name, ip=self._settings.ip, pid=os.getpid()
        )
        gc.freeze()
        await self._stopping.wait()
        await self._stop(servers)
        supervision.cancel()
        eventlog.flush()

    async def _listen(self) -> list[asyncio.Server]:
        """Start all servers; the first one accepts callers."""
        loop = asyncio.get_running_loop()
        callers = await loop.create_server(
            self._accept, *self._settings.caller_address, backlog=BACKLOG, reuse_address=True
        )
        peers = await link.listen(self._settings, self._handle_frame, self._handle_disconnect)
        readiness = await status.listen(*self._settings.readiness_address, self._get_page)
        metrics = await status.listen(
            self._settings.ip, self._settings.metrics_port, self._get_page
        )
        return [callers, peers, readiness, metrics]

    def _accept(self) -> caller.Connection:
        return caller.Connection(
            self._forwarder.handle,
            self._get_limits,
            self._stopping.is_set,
            self._connections,
            headers.HEADER_NAMES.request_id,
            self._describe_configuration,
            self._stalled_callers,
        )

    def _may_send(self, objective_s: float) -> bool:
        """Return whether a request sent to an upstream now is likely to end before a stop."""
        now = asyncio.get_running_loop().time()
        return now < self._drains_at and now + objective_s < self._cuts_at

    def _get_limits(self) -> routes.Limits:
        table = self._view.route_table
        return routes.UNCONFIGURED_LIMITS if table is None else table.limits

    def _describe_configuration(self) -> dict[str, object]:
        """Return version and age of the configuration in force, for the log."""
        table = self._view.route_table
        return {"version": None if table is None else table.version, "age_s": self._tables.age_s}

    def _get_health_path(self, service: str) -> str | None:
        table = self._view.route_table
        entry = None if table is None else table.services.get(service)
        return None if entry is None else entry.health_path

    def _get_page(self, path: str) -> tuple[int, str]:
        """Return status and text of the readiness check or, for any other path, the metrics."""
        if path != headers.READINESS_PATH:
            return 200, self._render_metrics()
        if self._stopping.is_set():
            return 503, "stopping\n"
        if self._view.route_table is None or not self._view.usable_count:
            return 503, "no configuration or no upstream is known yet\n"
        return 200, "ready\n"

    def _render_metrics(self) -> str:
        counters.gauge("waxwingspool_belief_age_seconds", self._tables.age_s)
        counters.gauge("waxwingspool_store_calls", self._client.calls)
        counters.gauge("waxwingspool_store_epoch", self._client.epoch)
        counters.gauge("waxwingspool_upstreams_withheld", len(self._view.withheld))
        counters.gauge("waxwingspool_upstream_connections_opened", self._pool.opened_connections)
        counters.gauge("waxwingspool_requests_under_way", self._forwarder.in_flight)
        counters.gauge("waxwingspool_stalled_callers_bytes", self._stalled_callers.total_bytes)
        return counters.render()

    # Periodic work

    async def _expire_upstreams(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._view.expire()

    # Events

    def _update_rows(self, update: tables.Update) -> None:
        self._view.update(update)
        self._registration.receive_rows(update)

    def _update_upstreams(self, usable: list[upstreams.Upstream]) -> None:
        self._slot_manager.update_upstreams(usable)
        self._pool.update_upstreams(usable)

    def _create_retry_budget(self) -> budget.RetryBudget:
        bounds = self._settings.bounds
        return budget.RetryBudget(
            bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s, time.monotonic()
        )

    def _handle_frame(self, peer_link: link.Link, frame: frames.Frame) -> None:
        """Dispatch a frame from a peer to the component that handles it."""
        if isinstance(frame, frames.SLOT_FRAMES):
            self._handle_slot_frame(peer_link, frame)
        elif isinstance(frame, frames.Leaving):
            self._links.suspect(peer_link.peer, "it is stopping")
            self._slot_manager.handle_leaving(peer_link.peer)
        else:
            self._tables.receive(peer_link, frame)

    def _handle_slot_frame(self, peer_link: link.Link, frame: frames.Frame) -> None:
        if isinstance(frame, frames.DEPARTURE_FRAMES) and frame.departures:
            self._slot_manager.receive_departures(peer_link.peer, frame.departures)
        match frame:
            case frames.SlotRequest() if self._stopping.is_set():
                peer_link.send(frames.Leaving())
            case frames.SlotRequest():
                self._slot_manager.receive_slot_request(peer_link, frame)
            case frames.Granted() | frames.Refused():
                self._slot_manager.receive_reply(frame)
            case frames.Release():
                self._slot_manager.receive_release(peer_link, frame)
            case frames.HeldSlot():
                self._slot_manager.receive_held_slot(peer_link, frame)
            case frames.Straggler():
                self._slot_manager.receive_straggler(frame)
            case frames.RateLimit():
                self._slot_manager.receive_rate_limit(peer_link, frame)
            case frames.LendShare():
                self._slot_manager.receive_loan(peer_link, frame)

    def _handle_disconnect(self, peer_link: link.Link) -> None:
        self._slot_manager.handle_lost_link(peer_link)
        self._tables.handle_lost_link(peer_link)

    def _reload(self) -> None:
        """Log whether the settings file has changed; changes take effect at the next start."""
        try:
            changed = settings.load(os.environ) != self._settings
            eventlog.event("settings.reloaded", changed=changed)
        except exceptions.ConfigurationError as error:
            eventlog.event("settings.unusable", error=error)

    # Stopping

    async def _stop(self, servers: list[asyncio.Server]) -> None:
        """Shut down: fail readiness checks, drain requests in flight, close all connections."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._cuts_at = started_at + self._settings.bounds.grace_s - GRACE_MARGIN_S
        self._drains_at = started_at + LAME_DUCK_S
        self._log_shutdown("process.stopping", started_at)
        self._links.broadcast(frames.Leaving())
        self._slot_manager.stop_granting()
        await asyncio.sleep(LAME_DUCK_S)
        servers[0].close()
        self._log_shutdown("process.closing-connections", started_at)
        while loop.time() < self._cuts_at:
            for connection in list(self._connections):
                connection.close_if_idle()
            if not self._forwarder.in_flight and not self._connections:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        for server in servers:
            server.close()
        for connection in list(self._connections):
            # The kill would cut off the remaining requests; aborting their connections first
            # lets the callers know at once.
            eventlog.event("connection.cut", reason="the grace time is over")
            connection.abort()
        self._pool.close()
        self._log_shutdown("process.stopped", started_at)

    def _log_shutdown(self, event: str, started_at: float) -> None:
        """Log a shutdown step with the numbers of requests in flight and of open connections."""
        eventlog.event(
            event,
            seconds=asyncio.get_running_loop().time() - started_at,
            under_way=self._forwarder.in_flight,
            connections=len(self._connections),
        )


def main() -> int:
    """Run the balancer until it is stopped and return the exit status."""
    eventlog.set_nonblocking()
    try:
        node_settings = settings.load(os.environ)
    except exceptions.ConfigurationError as error:
        eventlog.event("settings.unusable", error=error)
        return 2
    asyncio.run(_run(node_settings))
    return 0


async def _run(node_settings: node.NodeSettings) -> None:
    await Process(node_settings).run()
