"""Findings about a JSON document, each with its location.

A check reports all findings together, so that an operator can correct a file in one pass.
"""

import dataclasses
from collections.abc import Iterable, Sequence

__all__ = ["Finding", "pointer", "report"]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """An error in a document.

    :ivar location: JSON pointer to the value (RFC 6901), empty for the whole document.
    :ivar message: description of the error.
    """

    location: str
    message: str


def pointer(path: Iterable[str | int]) -> str:
    """Convert a path of keys and indexes to a JSON pointer.

    :param path: keys and indexes from the root of the document.
    :returns: the pointer in the syntax of RFC 6901.

    >>> pointer(["services", 0, "a/b"])
    '/services/0/a~1b'
    """
    parts = (str(step).replace("~", "~0").replace("/", "~1") for step in path)
    return "".join("/" + step for step in parts)


def report(findings: Sequence[Finding]) -> str:
    """Format findings as text, one per line, sorted by location.

    :param findings: the findings of a check.
    :returns: lines of the form ``location: message``; the root is written as ``/``.

    >>> print(report([Finding("/b", "is missing"), Finding("/a", "is not a number")]))
    /a: is not a number
    /b: is missing
    """
    return "\n".join(f"{f.location or '/'}: {f.message}" for f in sorted(findings))
