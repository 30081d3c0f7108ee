"""Decision log: one line of ``key=value`` pairs on standard output for each event.

Lines wait in a bounded buffer and are written without blocking; what does not fit is dropped and
counted in the next line. The balancer's deployed role uses this module in place of structlog,
whose import takes 7.6 MB of a process that has about 20.
"""

import asyncio
import collections
import os
import time

__all__ = ["event", "flush", "start"]

# Lines that may wait to be written; at 200 bytes a line, 400 KB.
BUFFER_LINES = 2000
# Time that lines may wait so that one write takes many, in seconds.
FLUSH_S = 0.1
# Lines per second that one kind of event may write; the rest is counted.
EVENT_LINES_PER_S = 60
STANDARD_OUTPUT = 1

_lines: collections.deque[str] = collections.deque()
_written: collections.Counter[str] = collections.Counter()
_state = {"dropped": 0, "second": 0, "scheduled": False}


def start() -> None:
    """Make writes to standard output return at once when the reader is slow."""
    os.set_blocking(STANDARD_OUTPUT, False)


def event(name: str, /, **fields: object) -> None:
    """Write one line.

    :param name: the event, ``subject.what-happened``.
    :param fields: its inputs, their age or version, and the outcome.
    """
    now = time.time()
    if not _admit(name, int(now)):
        _state["dropped"] += 1
        return
    pairs = " ".join(f"{key}={_text(value)}" for key, value in fields.items())
    _lines.append(f"time={now:.3f} event={name} {pairs}\n")
    _schedule()


def flush() -> None:
    """Write the lines that wait, as far as the reader takes them."""
    _state["scheduled"] = False
    if _state["dropped"]:
        _lines.append(f"time={time.time():.3f} event=log.dropped lines={_state['dropped']}\n")
        _state["dropped"] = 0
    while _lines:
        line = _lines.popleft().encode()
        try:
            written = os.write(STANDARD_OUTPUT, line)
        except OSError:
            # The reader is slow or gone; counting the loss is all that is left to do.
            _state["dropped"] += 1
            return
        if written < len(line):
            _lines.appendleft(line[written:].decode(errors="replace"))
            return


def _admit(name: str, second: int) -> bool:
    """Whether this second still has room for a line of this kind."""
    if second != _state["second"]:
        _state["second"] = second
        _written.clear()
    _written[name] += 1
    return _written[name] <= EVENT_LINES_PER_S and len(_lines) < BUFFER_LINES


def _schedule() -> None:
    if _state["scheduled"]:
        return
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        flush()
        return
    _state["scheduled"] = True
    loop.call_later(FLUSH_S, flush)


def _text(value: object) -> str:
    """Return a value as one word, quoted where it holds spaces.

    >>> _text("no reading"), _text(0.25), _text(None)
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
