"""The row that records a non-idempotent request.

There is one row for each idempotency key of a service. It is inserted before the first byte is
sent to an upstream, and its version fences every later change.
"""

import base64
import dataclasses
import enum
import hashlib
from typing import Any

from waxwingspool.interfaces import upstream

__all__ = ["PREFIX", "Entry", "State", "dump", "load", "request_digest", "row_key"]

# Prefix of the keys of all such rows.
PREFIX = "once/"


class State(enum.StrEnum):
    """State of the latest attempt.

    ``INTENT``: it may have been sent. ``DONE``: its answer is recorded. ``NOT_RUN``: it did not
    start and can't any more. ``UNKNOWN``: whether it ran can't be found out.
    """

    INTENT = "intent"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The record of one idempotency key.

    :ivar digest: digest of the request; the same key with another digest is refused.
    :ivar attempt: number of the attempt; each new one fences those before it.
    :ivar owner: id of the balancer that made the attempt.
    :ivar incarnation: the upstream's incarnation as the owner knew it, empty if it did not.
    :ivar deadline_ms: Unix time after which the upstream must not start the attempt.
    :ivar answer: the recorded answer, in state ``DONE``.
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
    answer: upstream.Answer | None = None


def row_key(service: str, key: str) -> str:
    """Return the table key of an idempotency key.

    :param service: name of the service.
    :param key: the caller's key, of any length.
    :returns: a key of bounded length.

    >>> row_key("paytag", "k")[:12]
    'once/paytag/'
    """
    return f"{PREFIX}{service}/{hashlib.blake2b(key.encode(), digest_size=16).hexdigest()}"


def request_digest(request: upstream.Request, body: bytes) -> str:
    """Return a digest of what makes two requests the same.

    :param request: its method and path count, its headers don't.
    :param body: the whole body.
    :returns: 32 hexadecimal digits.
    """
    h = hashlib.blake2b(digest_size=16)
    for part in (request.method.encode(), request.path.encode(), body):
        h.update(len(part).to_bytes(8, "big"))
        h.update(part)
    return h.hexdigest()


def dump(entry: Entry) -> dict[str, Any]:
    """Return an entry as a JSON value.

    :param entry: the entry.
    :returns: a value that :func:`load` turns back.
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
    """Return the entry in a JSON value.

    :param value: what :func:`dump` returned.
    :returns: the entry.
    """
    fields = {**value, "state": State(value["state"])}
    answer = fields["answer"]
    if answer is not None:
        headers = tuple((name, text) for name, text in answer["headers"])
        body = base64.b64decode(answer["body"])
        fields["answer"] = upstream.Answer(answer["status"], headers, body)
    return Entry(**fields)
