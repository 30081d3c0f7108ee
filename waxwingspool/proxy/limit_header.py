"""The header in which an upstream names its rate limit."""

from waxwingspool.dispatch import rates
from waxwingspool.observe import eventlog
from waxwingspool.proxy import header_names, message

__all__ = ["read_limit"]


def read_limit(
    headers: message.Headers,
    names: header_names.HeaderNames,
    upstream: str,
    times: tuple[float, float],
    request_id: str = "",
    probe: bool = False,
) -> rates.LimitReport | None:
    """Return what a response tells about the rate limit of the upstream that sent it.

    :param upstream: id of the upstream, for the log.
    :param times: event loop times in seconds at which the request was sent and the head of the
        response was received.
    :param request_id: see :class:`waxwingspool.dispatch.rates.LimitReport`.
    :param probe: see :class:`waxwingspool.dispatch.rates.LimitReport`.
    :returns: the report, ``None`` if the header can't be read.
    """
    value = message.join_header(headers, names.rate_limit)
    if value is None:
        return rates.LimitReport(None, *times, request_id, probe)
    try:
        rate = names.parse_rate_limit(value.decode("latin-1"))
    except ValueError as error:
        eventlog.event("upstream.limit.unreadable", upstream=upstream, id=request_id, error=error)
        return None
    return rates.LimitReport(rate, *times, request_id, probe)
