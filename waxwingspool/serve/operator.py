"""The HTTP interface towards operators and the platform."""

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

__all__ = ["Views", "application"]

Publish = Callable[[Any, int | None], Awaitable[expression.Result[store.Accepted, store.Outdated]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Views:
    """What the interface shows and does.

    :ivar ready: whether the platform should send callers here.
    :ivar status: this balancer's state as a JSON value.
    :ivar burned: counts for the burn report.
    :ivar holder: the configuration in force.
    :ivar publish: publishes a configuration against a base version.
    """

    ready: Callable[[], bool]
    status: Callable[[], dict[str, Any]]
    burned: burn.Recorder
    worst: Callable[[], dict[str, list[str]]]
    holder: store.Holder
    publish: Publish
    counted: metrics.Metrics


def application(views: Views) -> blacksheep.Application:
    """Return the application that serves operators.

    :param views: what it shows and does.
    :returns: an ASGI application with ``/ready``, ``/status``, ``/metrics``, ``/samples``,
        ``/config`` and ``/apply``.
    """
    app = blacksheep.Application(router=blacksheep.Router())

    async def ready() -> blacksheep.Response:
        return _json(200 if views.ready() else 503, {"ready": views.ready()})

    async def status() -> blacksheep.Response:
        return _json(200, views.status())

    async def counted() -> blacksheep.Response:
        text = prometheus_client.generate_latest(views.counted.registry)
        return blacksheep.Response(200, None, blacksheep.Content(b"text/plain", text))

    async def samples() -> blacksheep.Response:
        found = [dataclasses.asdict(s) for s in views.burned.samples()]
        return _json(200, {"samples": found, "worst": views.worst(), "now": time.time()})

    async def config() -> blacksheep.Response:
        held = views.holder
        if held.configuration is None:
            return _json(404, {"error": "no configuration is in force"})
        text = held.configuration.model_dump(mode="json")
        return _json(200, {"version": held.head.version, "configuration": text})

    async def apply(request: blacksheep.Request) -> blacksheep.Response:
        base = request.query.get("base")
        return await _apply(views, await request.read() or b"", int(base[0]) if base else None)

    app.router.add("GET", "/ready", ready)
    app.router.add("GET", "/status", status)
    app.router.add("GET", "/metrics", counted)
    app.router.add("GET", "/samples", samples)
    app.router.add("GET", "/config", config)
    app.router.add("POST", "/apply", apply)
    return app


async def _apply(views: Views, text: bytes, base: int | None) -> blacksheep.Response:
    """Check and publish a configuration file."""
    # A large file takes long to check and to split; requests go on meanwhile.
    checked = await asyncio.to_thread(check.check, text)
    if checked.is_error():
        return _json(400, {"error": "findings", "report": findings.report(checked.error)})
    try:
        built = await asyncio.to_thread(tree.build, checked.ok)
        result = await views.publish(checked.ok, built, base)
    except exceptions.StoreAnswerLost as error:
        return _json(504, {"error": f"whether it was accepted is not known: {error}"})
    except exceptions.StoreUnavailable as error:
        return _json(503, {"error": f"not accepted: {error}"})
    if result.is_error():
        winner = result.error.head.version
        return _json(409, {"error": f"version {winner} was accepted first", "version": winner})
    return _json(200, {"version": result.ok.head.version, "peers": result.ok.peers})


def _json(status: int, value: Any) -> blacksheep.Response:
    """Return a JSON response."""
    content = blacksheep.Content(b"application/json", json.dumps(value).encode())
    return blacksheep.Response(status, None, content)
