"""The header in which an upstream says that it is leaving."""

from waxwingspool.proxy import header_names, message

__all__ = ["tells_departure"]


def tells_departure(status: int, headers: message.Headers, names: header_names.HeaderNames) -> bool:
    """Return whether the upstream to which a request was sent says that it is leaving.

    Misdirected requests are answered by another upstream, at the same address.

    :param status: status of the response, also of an interim one.
    """
    value = message.join_header(headers, names.leaving)
    if value is None or status == message.MISDIRECTED:
        return False
    return names.parse_leaving(value.decode("latin-1"))
