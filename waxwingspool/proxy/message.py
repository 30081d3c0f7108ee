"""HTTP/1.1 message heads: serialization, and selection of the headers that are forwarded."""

from collections.abc import Iterable

__all__ = [
    "Headers",
    "MISDIRECTED",
    "connection_options",
    "end_to_end_headers",
    "format_head",
    "get_header",
    "join_header",
    "status_line",
]

# Pairs of a lower-case name and a value.
Headers = list[tuple[bytes, bytes]]

# Status of a response to a request that was meant for another upstream; it has not run, whether or
# not the response also carries the header that says so.
MISDIRECTED = 421

# Headers that apply to a single connection (RFC 9110, section 7.6.1), and the framing headers,
# which are generated separately for each connection.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, ``None`` if it is missing."""
    for key, value in headers:
        if key == name:
            return value
    return None


def join_header(headers: Headers, name: bytes) -> bytes | None:
    """Return all values of a header as one list (RFC 9110, section 5.3), ``None`` if missing.

    >>> join_header([(b"a", b"1"), (b"b", b"2"), (b"a", b"3")], b"a")
    b'1, 3'
    """
    values = [value for key, value in headers if key == name]
    return b", ".join(values) if values else None


def connection_options(headers: Headers) -> set[bytes]:
    """Return the options of all ``Connection`` headers, in lower case.

    >>> sorted(connection_options([(b"connection", b"Close, X-A")]))
    [b'close', b'x-a']
    """
    options: set[bytes] = set()
    for key, value in headers:
        if key == b"connection":
            options.update(option.strip().lower() for option in value.split(b","))
    return options


def end_to_end_headers(headers: Headers, exclude: Iterable[bytes] = ()) -> Headers:
    """Return the headers to forward, without those that apply to a single connection.

    :param exclude: further names to leave out.

    >>> end_to_end_headers([(b"connection", b"x-a"), (b"x-a", b"1"), (b"x-b", b"2")])
    [(b'x-b', b'2')]
    """
    excluded = _HOP_BY_HOP | connection_options(headers) | set(exclude)
    return [(key, value) for key, value in headers if key not in excluded]


def status_line(status: int, reason: bytes | None = None) -> bytes:
    """Return a status line without the trailing CRLF."""
    return b"HTTP/1.1 %d %s" % (status, reason or _REASON_PHRASES.get(status, b"Unknown"))


def format_head(start_line: bytes, headers: Headers) -> bytes:
    """Return a serialized message head.

    >>> format_head(b"GET / HTTP/1.1", [(b"host", b"a")])
    b'GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n'
    """
    lines = [start_line]
    lines += [key + b": " + value for key, value in headers]
    lines += [b"", b""]
    return b"\r\n".join(lines)
