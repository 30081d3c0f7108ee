"""The table row that records a non-idempotent request.

Each idempotency key of a service has one row. It is inserted before the first byte is sent to an
upstream, and every later write is conditional on the row's version.
"""

import base64
import dataclasses
import enum
import hashlib
from typing import Any

from waxwingspool.interfaces import upstream

__all__ = ["KEY_PREFIX", "Entry", "State", "dump", "load", "request_digest", "row_key"]

# Prefix of the table keys of these rows.
KEY_PREFIX = "once/"


class State(enum.StrEnum):
    """State of the latest attempt.

    ``INTENT``: it may have been sent. ``DONE``: its response was received. ``NOT_RUN``: it has not
    started and can no longer start. ``UNKNOWN``: it cannot be determined whether it ran.
    """

    INTENT = "intent"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The record of one idempotency key.

    :ivar digest: digest of the request; a request with the same key and another digest is refused.
    :ivar attempt: number of the attempt; the outcome of an earlier attempt can no longer be
        recorded.
    :ivar owner: id of the balancer that made the attempt.
    :ivar incarnation: the upstream's incarnation as known to the owner, empty if unknown.
    :ivar deadline_ms: Unix time in milliseconds after which the upstream must not start the
        attempt.
    :ivar answer: the recorded response in state ``DONE``, ``None`` if it is too large to record.
    """

    service: str
    key: str
    digest: str
    attempt: int
    attempt_id: str
    owner: str
    upstream: str
    address: str
    incarnation: str
    deadline_ms: int
    state: State = State.INTENT
    answer: upstream.Response | None = None


def row_key(service: str, key: str) -> str:
    """Return the table key for an idempotency key.

    :param service: name of the service.
    :param key: the caller's idempotency key, of any length.
    :returns: a table key of bounded length.

    >>> row_key("paytag", "k")[:12]
    'once/paytag/'
    """
    return f"{KEY_PREFIX}{service}/{hashlib.blake2b(key.encode(), digest_size=16).hexdigest()}"


def request_digest(request: upstream.Request, body: bytes) -> str:
    """Return a digest that is equal for requests with the same method, path and body.

    :param request: the request; its headers are not part of the digest.
    :param body: the complete body.
    :returns: 32 hexadecimal digits.
    """
    h = hashlib.blake2b(digest_size=16)
    for part in (request.method.encode(), request.path.encode(), body):
        h.update(len(part).to_bytes(8, "big"))
        h.update(part)
    return h.hexdigest()


def dump(entry: Entry) -> dict[str, Any]:
    """Convert an entry to a JSON value.

    :param entry: the entry.
    :returns: a value that :func:`load` converts back.
    """
    value = dataclasses.asdict(dataclasses.replace(entry, answer=None))
    value["state"] = entry.state.value
    if entry.answer is not None:
        value["answer"] = {
            "status": entry.answer.status,
            "headers": [list(h) for h in entry.answer.headers],
            "body": base64.b64encode(entry.answer.body).decode(),
        }
    return value


def load(value: dict[str, Any]) -> Entry:
    """Convert a JSON value to an entry.

    :param value: a value returned by :func:`dump`.
    :returns: the entry.
    """
    fields = {**value, "state": State(value["state"])}
    answer = fields["answer"]
    if answer is not None:
        headers = tuple((name, text) for name, text in answer["headers"])
        body = base64.b64decode(answer["body"])
        fields["answer"] = upstream.Response(answer["status"], headers, body)
    return Entry(**fields)
