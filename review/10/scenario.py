"""A balancer gets SIGTERM while it has read two requests of a connection: one gets no answer."""

import asyncio
import pathlib
import signal
import sys
import time

import small_deployment

ZONES = {"almaty-a": "almaty", "almaty-b": "almaty"}
SERVICES = {"balance-desk": 3}
# Connections, each with two requests that the caller sends without waiting for the first answer.
CONNECTIONS = 4
# Time from the requests to SIGTERM, and until the connections have ended, in seconds.
BEFORE_STOP_S = 0.25
AFTER_STOP_S = 6.5
# Bound of the rule, in seconds from the last byte of the request to the end of the connection.
LOSS_SLACK_S = 0.2


async def scenario(record: small_deployment.Record) -> int:
    """Return how many requests got no answer."""
    deployment = small_deployment.Deployment(list(ZONES), ZONES, SERVICES, record)
    rules = [small_deployment.make_rule("fee-lookup", "/lookup/", "safe", "balance-desk")]
    try:
        await deployment.start(rules)
        await asyncio.sleep(4.0)
        # Work takes 0.45 s to 1.35 s; the route's timeout is 2 s.
        for target in deployment.upstreams.values():
            target.fault = "slow"
        machine = deployment.machines[0]
        exchanges = [
            asyncio.create_task(_send_two(machine, f"{number}", record))
            for number in range(CONNECTIONS)
        ]
        await asyncio.sleep(BEFORE_STOP_S)
        if small_deployment.trouble():
            deployment.signal(machine, signal.SIGTERM)
        lost = sum(await asyncio.gather(*exchanges))
        small_deployment.write_runs(record, deployment.ledger)
        return lost
    finally:
        await deployment.stop()


async def _send_two(
    machine: small_deployment.Machine, name: str, record: small_deployment.Record
) -> int:
    """Send two requests at once; return how many of them got no answer by the rule."""
    reader, writer = await asyncio.open_connection(machine.ip, small_deployment.FRONT_PORT)
    ids = [f"{machine.name}-{name}-{half}" for half in ("first", "second")]
    for request_id in ids:
        record.write("sent", id=request_id, method="GET", path="/lookup/x")
    writer.write(b"".join(_format_request(request_id) for request_id in ids))
    await writer.drain()
    sent_at = time.monotonic()
    answer = b""
    try:
        async with asyncio.timeout(BEFORE_STOP_S + AFTER_STOP_S):
            while data := await reader.read(65536):
                answer += data
        ended_after_s = time.monotonic() - sent_at
        record.write("connection-ended", name=name, seconds_after=f"{ended_after_s:.2f}")
    except TimeoutError:
        # The connection stays open where there is no disruption.
        ended_after_s = float("inf")
    writer.close()
    # The answers come in the order of the requests.
    answers = answer.count(b"HTTP/1.1 ")
    for request_id in ids[:answers]:
        record.write("answered", id=request_id)
    return len(ids) - answers if ended_after_s > LOSS_SLACK_S else 0


def _format_request(request_id: str) -> bytes:
    lines = [
        "GET /lookup/x HTTP/1.1",
        "Host: soak.example",
        f"X-Request-Id: {request_id}",
        "X-Request-Deadline: 6000",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


if __name__ == "__main__":
    sys.exit(small_deployment.run_case(scenario, pathlib.Path(__file__).resolve().parent))
