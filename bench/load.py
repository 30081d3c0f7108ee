"""Open-loop load from processes of its own: arrivals don't wait for answers.

Latency is counted from the intended start of each request, so a slow system can't hide its own
queue.
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
    """One stream of requests with exponentially distributed gaps.

    :ivar rate: requests a second.
    :ivar size: size of an upload in bytes.
    :ivar ip: local IP number, which tells the region.
    """

    kind: str
    path: str
    rate: float
    addresses: tuple[str, ...]
    ip: str
    size: int = 0


async def run(streams: list[Stream], seconds: float, seed: int) -> list[callers.Told]:
    """Send requests for some seconds and return what callers were told."""
    tasks: set[asyncio.Task] = set()
    told: list[callers.Told] = []
    senders = []
    for n, stream in enumerate(streams):
        public = callers.Callers(lambda s=stream: list(s.addresses), seed * 100 + n, stream.ip)
        senders.append((public, stream, random.Random(seed * 1000 + n)))
    start = time.monotonic() + 0.2
    await asyncio.gather(
        *(_send(public, stream, rng, start, seconds, tasks) for public, stream, rng in senders)
    )
    await asyncio.gather(*tasks)
    for public, _, _ in senders:
        told += public.told
        await public.close()
    return told


async def _send(public, stream, rng, start, seconds, tasks) -> None:
    """Send one stream."""
    due = start
    while True:
        due += rng.expovariate(stream.rate)
        if due > start + seconds:
            return
        now = time.monotonic()
        if due > now:
            await asyncio.sleep(due - now)
        task = asyncio.create_task(_one(public, stream, due))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def _one(public: callers.Callers, stream: Stream, due: float) -> None:
    """Send one request."""
    if stream.kind == "lookup":
        await public.lookup(stream.path, due)
    elif stream.kind == "payment":
        await public.paid(stream.path, due=due)
    else:
        await public.upload(stream.path, stream.size, due=due)


def main(path: str) -> None:
    """Run the streams that a JSON file lists and write what callers were told beside it."""
    gc.disable()
    document = json.loads(pathlib.Path(path).read_text())
    streams = [Stream(**s) for s in document["streams"]]
    told = asyncio.run(run(streams, document["seconds"], document["seed"]))
    pathlib.Path(path + ".out").write_bytes(pickle.dumps(told))


if __name__ == "__main__":
    main(sys.argv[1])
