"""Decision log: one line of ``key=value`` pairs on standard output for each event.

Lines are buffered and written without blocking. A line is dropped if the buffer is full, if its
event has reached its rate limit, or if standard output does not accept it; a later ``log.dropped``
line reports the number of dropped lines. The deployed balancer (:mod:`waxwingspool.edge`) uses this
module instead of structlog, whose import takes 7.6 MB of memory in a process of about 20 MB.
"""

import asyncio
import collections
import os
import time

__all__ = ["event", "flush", "set_nonblocking"]

# Maximum number of buffered lines; about 400 KB at 200 bytes a line.
MAX_BUFFERED_LINES = 2000
# Delay before a flush, in seconds, so that one flush writes many lines.
FLUSH_DELAY_S = 0.1
# Maximum number of lines per second and event name; lines over it are dropped and counted.
MAX_LINES_PER_EVENT_PER_S = 60
STDOUT_FD = 1

_lines: collections.deque[str] = collections.deque()
_event_counts: collections.Counter[str] = collections.Counter()
_state = {"dropped": 0, "second": 0, "scheduled": False}


def set_nonblocking() -> None:
    """Make standard output non-blocking, so that a slow reader does not block the process."""
    os.set_blocking(STDOUT_FD, False)


def event(name: str, /, **fields: object) -> None:
    """Log an event.

    :param name: name of the event, ``subject.what-happened``.
    :param fields: inputs of the decision, their age or version, and the outcome.
    """
    now = time.time()
    if not _admit(name, int(now)):
        _state["dropped"] += 1
        return
    pairs = " ".join(f"{key}={_format_value(value)}" for key, value in fields.items())
    _lines.append(f"time={now:.3f} event={name} {pairs}\n")
    _schedule_flush()


def flush() -> None:
    """Write buffered lines until the reader accepts no more."""
    _state["scheduled"] = False
    if _state["dropped"]:
        _lines.append(f"time={time.time():.3f} event=log.dropped lines={_state['dropped']}\n")
        _state["dropped"] = 0
    while _lines:
        line = _lines.popleft().encode()
        try:
            written = os.write(STDOUT_FD, line)
        except OSError:
            # The reader is slow or has closed the pipe; the line is dropped and counted.
            _state["dropped"] += 1
            return
        if written < len(line):
            _lines.appendleft(line[written:].decode(errors="replace"))
            return


def _admit(name: str, second: int) -> bool:
    """Count an event; return whether the rate and buffer limits admit its line."""
    if second != _state["second"]:
        _state["second"] = second
        _event_counts.clear()
    _event_counts[name] += 1
    return _event_counts[name] <= MAX_LINES_PER_EVENT_PER_S and len(_lines) < MAX_BUFFERED_LINES


def _schedule_flush() -> None:
    """Schedule a flush, or flush at once if no event loop is running."""
    if _state["scheduled"]:
        return
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        flush()
        return
    _state["scheduled"] = True
    loop.call_later(FLUSH_DELAY_S, flush)


def _format_value(value: object) -> str:
    """Return a value as one token, quoted if it contains white space, quotes or ``=``.

    >>> _format_value("no reading"), _format_value(0.25), _format_value(None)
    ('"no reading"', '0.25', '-')
    """
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.4g}"
    text = value.decode("latin-1") if isinstance(value, bytes) else str(value)
    if not text or any(c in text for c in ' "=\n\r\t'):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text
