"""The HTTP interface for operators and the platform."""

import asyncio
import dataclasses
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

import blacksheep
import expression
import prometheus_client

from waxwingspool import exceptions
from waxwingspool.config import check, findings, store, tree
from waxwingspool.observe import burn, metrics

__all__ = ["Context", "application"]

Publish = Callable[[Any, int | None], Awaitable[expression.Result[store.Accepted, store.Outdated]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """State and operations that the interface exposes.

    :ivar ready: returns whether the platform should route callers to this balancer.
    :ivar status: returns the status of this balancer as a JSON value.
    :ivar burn_recorder: counts for the burn report.
    :ivar worst_upstreams: returns the upstreams with the highest failure rates, by service.
    :ivar active: the configuration in force.
    :ivar publish: publishes a configuration based on a given version.
    :ivar app_metrics: the metrics.
    """

    ready: Callable[[], bool]
    status: Callable[[], dict[str, Any]]
    burn_recorder: burn.Recorder
    worst_upstreams: Callable[[], dict[str, list[str]]]
    active: store.ActiveConfiguration
    publish: Publish
    app_metrics: metrics.Metrics


def application(context: Context) -> blacksheep.Application:
    """Return the application that serves operators.

    :param context: state and operations to expose.
    :returns: an ASGI application with ``/ready``, ``/status``, ``/metrics``, ``/samples``,
        ``/config`` and ``/apply``.
    """
    app = blacksheep.Application(router=blacksheep.Router())

    async def ready() -> blacksheep.Response:
        return _json_response(200 if context.ready() else 503, {"ready": context.ready()})

    async def status() -> blacksheep.Response:
        return _json_response(200, context.status())

    async def metrics_text() -> blacksheep.Response:
        text = prometheus_client.generate_latest(context.app_metrics.registry)
        return blacksheep.Response(200, None, blacksheep.Content(b"text/plain", text))

    async def samples() -> blacksheep.Response:
        rows = [dataclasses.asdict(s) for s in context.burn_recorder.samples()]
        return _json_response(
            200, {"samples": rows, "worst": context.worst_upstreams(), "now": time.time()}
        )

    async def config() -> blacksheep.Response:
        active = context.active
        if active.configuration is None:
            return _json_response(404, {"error": "no configuration is in force"})
        document = active.configuration.model_dump(mode="json")
        return _json_response(200, {"version": active.head.version, "configuration": document})

    async def apply(request: blacksheep.Request) -> blacksheep.Response:
        base = request.query.get("base")
        return await _apply_configuration(
            context, await request.read() or b"", int(base[0]) if base else None
        )

    app.router.add("GET", "/ready", ready)
    app.router.add("GET", "/status", status)
    app.router.add("GET", "/metrics", metrics_text)
    app.router.add("GET", "/samples", samples)
    app.router.add("GET", "/config", config)
    app.router.add("POST", "/apply", apply)
    return app


async def _apply_configuration(
    context: Context, body: bytes, base: int | None
) -> blacksheep.Response:
    """Check a configuration file and publish it."""
    # Checking a large file and splitting it into blobs is slow; threads keep the event loop free.
    checked = await asyncio.to_thread(check.check, body)
    if checked.is_error():
        return _json_response(400, {"error": "findings", "report": findings.report(checked.error)})
    try:
        built = await asyncio.to_thread(tree.build, checked.ok)
        result = await context.publish(checked.ok, built, base)
    except exceptions.StoreAnswerLost as error:
        return _json_response(504, {"error": f"whether it was accepted is not known: {error}"})
    except exceptions.StoreUnavailable as error:
        return _json_response(503, {"error": f"not accepted: {error}"})
    if result.is_error():
        current_version = result.error.head.version
        return _json_response(
            409,
            {"error": f"version {current_version} was accepted first", "version": current_version},
        )
    return _json_response(200, {"version": result.ok.head.version, "peers": result.ok.peers})


def _json_response(status: int, value: Any) -> blacksheep.Response:
    """Return a JSON response."""
    content = blacksheep.Content(b"application/json", json.dumps(value).encode())
    return blacksheep.Response(status, None, content)
