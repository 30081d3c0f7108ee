"""Open-loop load generator in its own process: requests start without waiting for responses.

Latency is measured from the scheduled start of each request, so that the time by which a request is
sent late counts as well (no coordinated omission).
"""

import asyncio
import dataclasses
import gc
import json
import pathlib
import pickle
import random
import sys
import time

from standins import callers

__all__ = ["Stream", "run"]


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A stream of requests of one kind with exponentially distributed inter-arrival times.

    :ivar kind: ``lookup``, ``payment`` or ``upload``.
    :ivar rate: mean requests per second.
    :ivar addresses: caller addresses of the balancers that requests are sent to.
    :ivar ip: local IP address to send from, which determines the caller's region.
    :ivar size: size of an upload in bytes.
    """

    kind: str
    path: str
    rate: float
    addresses: tuple[str, ...]
    ip: str
    size: int = 0


async def run(streams: list[Stream], seconds: float, seed: int) -> list[callers.SendResult]:
    """Send all streams for ``seconds`` and return the result of each send, retries included."""
    tasks: set[asyncio.Task] = set()
    results: list[callers.SendResult] = []
    senders = []
    for n, stream in enumerate(streams):
        client = callers.Callers(lambda s=stream: list(s.addresses), seed * 100 + n, stream.ip)
        senders.append((client, stream, random.Random(seed * 1000 + n)))
    start = time.monotonic() + 0.2
    await asyncio.gather(
        *(
            _send_stream(client, stream, rng, start, seconds, tasks)
            for client, stream, rng in senders
        )
    )
    await asyncio.gather(*tasks)
    for client, _, _ in senders:
        results += client.results
        await client.close()
    return results


async def _send_stream(client, stream, rng, start, seconds, tasks) -> None:
    """Start the requests of one stream as scheduled; ``tasks`` holds those that are running."""
    scheduled_at = start
    while True:
        scheduled_at += rng.expovariate(stream.rate)
        if scheduled_at > start + seconds:
            return
        now = time.monotonic()
        if scheduled_at > now:
            await asyncio.sleep(scheduled_at - now)
        task = asyncio.create_task(_send_one(client, stream, scheduled_at))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def _send_one(client: callers.Callers, stream: Stream, scheduled_at: float) -> None:
    """Send one request of the stream's kind; its latency counts from ``scheduled_at``."""
    if stream.kind == "lookup":
        await client.lookup(stream.path, scheduled_at)
    elif stream.kind == "payment":
        await client.pay_until_final(stream.path, scheduled_at=scheduled_at)
    else:
        await client.upload(stream.path, stream.size, scheduled_at=scheduled_at)


def main(path: str) -> None:
    """Run the streams listed in a JSON file and pickle the results to that path plus ``.out``."""
    gc.disable()
    document = json.loads(pathlib.Path(path).read_text())
    streams = [Stream(**s) for s in document["streams"]]
    results = asyncio.run(run(streams, document["seconds"], document["seed"]))
    pathlib.Path(path + ".out").write_bytes(pickle.dumps(results))


if __name__ == "__main__":
    main(sys.argv[1])
