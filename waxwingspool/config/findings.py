"""Findings about a JSON document, each with its place.

A check collects findings and reports them together, so that an operator mends a file once.
"""

import dataclasses
from collections.abc import Iterable, Sequence

__all__ = ["Finding", "pointer", "report"]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One thing wrong with a document.

    :ivar place: JSON pointer to the value (RFC 6901), empty for the whole document.
    :ivar message: what is wrong, in plain English.
    """

    place: str
    message: str


def pointer(path: Iterable[str | int]) -> str:
    """Return the JSON pointer for a path of keys and indexes.

    :param path: keys and indexes from the root of the document.
    :returns: the pointer as RFC 6901 writes it.

    >>> pointer(["services", 0, "a/b"])
    '/services/0/a~1b'
    """
    parts = (str(part).replace("~", "~0").replace("/", "~1") for part in path)
    return "".join("/" + part for part in parts)


def report(findings: Sequence[Finding]) -> str:
    """Return findings as text, one a line, sorted by place.

    :param findings: what a check collected.
    :returns: lines of ``place: message``; the root is written as ``/``.

    >>> print(report([Finding("/b", "is missing"), Finding("/a", "is not a number")]))
    /a: is not a number
    /b: is missing
    """
    return "\n".join(f"{f.place or '/'}: {f.message}" for f in sorted(findings))
