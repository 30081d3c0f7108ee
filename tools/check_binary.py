"""Checks that a built program starts, accepts connections and runs as a single process."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from standins import site

__all__ = ["check"]

# Time limit for the program to start, and for it to stop.
TIMEOUT_S = 60.0


async def check(program: pathlib.Path) -> str:
    """Start a program, check its processes, stop it, and return a report.

    :param program: executable archive to check.
    :returns: time of a first start, which unpacks the archive, resident memory and file size.
    :raises SystemExit: if the program has a child process or does not exit with status 0.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.json"
        operator_address = f"127.0.0.1:{site.free_port('127.0.0.1')}"
        path.write_text(json.dumps(_settings(operator_address)))
        environment = {**os.environ, "SHIV_ROOT": folder}
        command = [sys.executable, str(program), "run", "--settings", str(path)]
        started_at = time.monotonic()
        process = subprocess.Popen(command, env=environment, stderr=subprocess.DEVNULL)
        try:
            await _wait_ready(operator_address)
            start_s = time.monotonic() - started_at
            children_files = pathlib.Path(f"/proc/{process.pid}/task").glob("*/children")
            if "".join(p.read_text() for p in children_files).strip():
                raise SystemExit("the program has started a child process")
            rss_kb = _read_rss_kb(process.pid)
            process.send_signal(signal.SIGTERM)
            if await asyncio.to_thread(process.wait, TIMEOUT_S) != 0:
                raise SystemExit("the program did not exit with status 0 after SIGTERM")
        finally:
            process.kill()
            process.wait()
    size_mb = program.stat().st_size / 1e6
    return (
        f"no child process; first start {start_s:.1f} s, {rss_kb // 1024} MB, file {size_mb:.0f} MB"
    )


def _settings(operator_address: str) -> dict:
    """Return balancer settings whose platform cannot be reached."""
    unreachable_url = "http://127.0.0.1:9"
    return {
        "id": "binary",
        "data_centre": "d",
        "region": "r",
        "caller_address": f"127.0.0.1:{site.free_port('127.0.0.1')}",
        "peer_address": f"127.0.0.1:{site.free_port('127.0.0.1')}",
        "operator_address": operator_address,
        "platform": {"table": unreachable_url, "objects": unreachable_url, "vms": unreachable_url},
        "rotation_s": 0.1,
    }


async def _wait_ready(address: str) -> None:
    """Wait until the operator interface accepts connections."""
    host, _, port = address.partition(":")
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.05)


def _read_rss_kb(pid: int) -> int:
    """Return the resident memory of a process in kilobytes."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("VmRSS")).split()[1])


if __name__ == "__main__":
    print("binary:", asyncio.run(check(pathlib.Path(sys.argv[1]))))
