"""The HTTP interface for callers.

Every response carries ``Waxwing-Outcome``: ``answer``, ``not-run`` or ``unknown``. *Not run* has
status 503 and ``Retry-After`` if the same request may be resent, or 4xx if it must be changed
first. *Unknown* has status 504 and a JSON body with the reason and whether it is final.
"""

import json
from collections.abc import Callable

import blacksheep
from blacksheep import messages

from waxwingspool import outcomes
from waxwingspool.config import model
from waxwingspool.interfaces import upstream
from waxwingspool.routing import service_pools
from waxwingspool.serve import dispatch

__all__ = ["application"]

# Largest request body that is buffered in full, in bytes.
MAX_BODY_BYTES = 256 * 1024
# Largest total size of a request's header names and values, in bytes.
MAX_HEADER_BYTES = 16 * 1024

_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_BODY_TOO_LARGE = outcomes.NotRun(f"the body is larger than {MAX_BODY_BYTES} bytes", 413, 0)
_HEADERS_TOO_LARGE = outcomes.NotRun(f"headers exceed {MAX_HEADER_BYTES} bytes", 431, 0)
_NO_RULE = outcomes.NotRun("no rule covers this path and method", 404, 0)
_NO_CONFIGURATION = outcomes.NotRun("no configuration is in force yet")


def application(
    dispatcher: dispatch.Dispatcher, ready: Callable[[], bool], closing: Callable[[], bool]
) -> blacksheep.Application:
    """Return the application that serves callers.

    :param dispatcher: dispatches requests to upstreams.
    :param ready: returns whether a configuration is in force.
    :param closing: returns whether connections are closed after each response.
    :returns: an ASGI application.
    """
    app = blacksheep.Application(router=blacksheep.Router())

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        outcome = await _handle_request(dispatcher, request) if ready() else _NO_CONFIGURATION
        return _build_response(outcome, closing())

    for method in _METHODS:
        app.router.add(method, "/*", handle)
    return app


async def _handle_request(
    dispatcher: dispatch.Dispatcher, request: messages.Request
) -> outcomes.Outcome:
    """Validate, route and dispatch a request; return its outcome."""
    headers = tuple((k.decode("latin-1"), v.decode("latin-1")) for k, v in request.headers)
    if sum(len(k) + len(v) for k, v in headers) > MAX_HEADER_BYTES:
        return _HEADERS_TOO_LARGE
    path = request.url.path.decode("latin-1")
    route = dispatcher.pools.route(request.method, path)
    if route is None:
        return _NO_RULE
    headers = _add_forwarded_for(headers, request.client_ip)
    forwarded_request = await _read_request(request, route, headers, path)
    if isinstance(forwarded_request, outcomes.NotRun):
        return forwarded_request
    key = request.get_first_header(b"idempotency-key")
    return await dispatcher.dispatch(
        route, forwarded_request, key.decode("latin-1") if key else None
    )


def _add_forwarded_for(headers: upstream.Headers, caller_ip: str) -> upstream.Headers:
    """Return headers in which ``X-Forwarded-For`` ends with the caller's IP address."""
    other_headers = [(k, v) for k, v in headers if k.lower() != "x-forwarded-for"]
    forwarded_for = [v for k, v in headers if k.lower() == "x-forwarded-for"]
    return (*other_headers, ("X-Forwarded-For", ", ".join([*forwarded_for, caller_ip])))


async def _read_request(
    request: messages.Request, route: service_pools.Route, headers: upstream.Headers, path: str
) -> upstream.Request | outcomes.NotRun:
    """Return the request to forward; its body is buffered in full unless it is an upload."""
    query = request.url.query
    if query:
        path = f"{path}?{query.decode('latin-1')}"
    length = _content_length(request)
    if route.rule.kind is model.Kind.UPLOAD:
        return upstream.Request(request.method, path, headers, request.stream(), length)
    if length is not None and length > MAX_BODY_BYTES:
        return _BODY_TOO_LARGE
    body = b""
    if length or request.headers.contains(b"transfer-encoding"):
        body = await _read_body(request)
    if len(body) > MAX_BODY_BYTES:
        return _BODY_TOO_LARGE
    return upstream.Request(request.method, path, headers, body)


async def _read_body(request: messages.Request) -> bytes:
    """Return the body; reading stops once more than :data:`MAX_BODY_BYTES` have arrived."""
    chunks = []
    size = 0
    async for chunk in request.stream():
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            break
    return b"".join(chunks)


def _content_length(request: messages.Request) -> int | None:
    """Return the ``Content-Length`` of a request, ``None`` if it is missing or invalid."""
    value = request.get_first_header(b"content-length")
    return int(value) if value and value.isdigit() else None


def _build_response(outcome: outcomes.Outcome, closing: bool) -> blacksheep.Response:
    """Return the HTTP response for an outcome."""
    name = dispatch.outcome_name(outcome)
    headers = [(b"waxwing-outcome", name.encode())]
    if closing:
        headers.append((b"connection", b"close"))
    if isinstance(outcome, outcomes.Answered):
        return _build_answer_response(outcome, headers)
    status = outcome.status if isinstance(outcome, outcomes.NotRun) else 504
    if outcome.retry_after_s:
        headers.append((b"retry-after", str(outcome.retry_after_s).encode()))
    body = {"outcome": name, "reason": outcome.reason}
    if isinstance(outcome, outcomes.Unknown):
        body["final"] = outcome.final
    content = blacksheep.Content(b"application/json", json.dumps(body).encode())
    return blacksheep.Response(status, headers, content)


def _build_answer_response(
    outcome: outcomes.Answered, headers: list[tuple[bytes, bytes]]
) -> blacksheep.Response:
    """Return the HTTP response that passes on an upstream's response."""
    content_type = b"application/octet-stream"
    for name, value in outcome.answer.headers:
        if name.lower() == "content-type":
            content_type = value.encode("latin-1")
        else:
            headers.append((name.encode("latin-1"), value.encode("latin-1")))
    if outcome.replayed:
        headers.append((b"waxwing-replayed", b"1"))
    content = blacksheep.Content(content_type, outcome.answer.body)
    return blacksheep.Response(outcome.answer.status, headers, content)
