"""Names of the headers and paths that the platform's callers, upstreams and entry use."""

from waxwingspool.proxy import dialect

__all__ = ["DIALECT", "READINESS_PATH", "parse_load"]

# Where the entry asks whether this balancer takes new connections.
READINESS_PATH = "/v1/readiness"


def parse_load(text: str) -> dialect.Load | None:
    """Return the load that an upstream reports.

    The header holds requests running, requests waiting, slots and, where given, how long work
    takes on that machine at the moment in percent of the usual.

    >>> parse_load("3,0,8,250")
    Load(running=3, waiting=0, slots=8, slowdown=2.5)
    >>> parse_load("many") is None
    True
    """
    try:
        figures = [float(figure) for figure in text.split(",")]
        running, waiting, slots = figures[:3]
    except ValueError:
        return None
    slowdown = figures[3] / 100 if len(figures) > 3 else None
    return dialect.Load(int(running), int(waiting), int(slots), slowdown)


DIALECT = dialect.Dialect(
    request_id=b"x-request-id",
    # Milliseconds that the caller still waits.
    time_left=b"x-request-deadline",
    # Proof that an answer's body is the upstream's.
    signature=b"x-server-signature",
    # Id of the upstream that alone may run the request.
    expected_upstream=b"x-expect-instance",
    not_run=b"x-not-executed",
    load=b"x-server-load",
    parse_load=parse_load,
)
