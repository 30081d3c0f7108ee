"""Rate limits in fleets of balancers on virtual time: ``python -m bench.limits --balancers 139``.

Each way to account for a limit meets the same load and the same disturbances. A row tells the most
requests that reached a limited upstream in four seconds, from all balancers and from those that had
been told the limit, the share of the limit that was used, and the bytes that a balancer sent.
"""

import argparse
import contextlib
import random
import sys
import time
from collections.abc import Callable, Iterator
from unittest import mock

from waxwingspool.dispatch import rates
from waxwingspool.fleet import rate_limits
from waxwingspool.fleet.tests import rate_model

__all__ = ["main"]

# Limited upstreams of seven, and time before they name a limit and before they are watched.
LIMITED = "u0", "u1"
BEFORE_S, SETTLING_S = 3.0, 4.0


@contextlib.contextmanager
def _lent_shares() -> Iterator[None]:
    """Use the product as it is."""
    yield


@contextlib.contextmanager
def _whole_rates() -> Iterator[None]:
    """Let each dispatcher, and each balancer without one, spend the whole limit."""

    def take_whole(self, upstream, now: float) -> float:
        return 1.0

    with (
        mock.patch.object(rate_limits._LentShares, "value", take_whole),
        mock.patch.object(rate_limits._OwnShare, "value", take_whole),
    ):
        yield


@contextlib.contextmanager
def _full_buckets() -> Iterator[None]:
    """The same, with buckets that start full."""
    original = rates.RateAccount.__init__

    def start_full(self, rng: random.Random, now: float) -> None:
        original(self, rng, now)
        self._tokens = 1.0

    with _whole_rates(), mock.patch.object(rates.RateAccount, "__init__", start_full):
        yield


@contextlib.contextmanager
def _no_limits() -> Iterator[None]:
    """Ignore the limits."""
    with mock.patch.object(rates.RateLimits, "record", lambda *_: None):
        yield


WAYS = {
    "ignored": _no_limits,
    "full-buckets": _full_buckets,
    "whole-rates": _whole_rates,
    "lent-shares": _lent_shares,
}


DISTURBANCES: dict[str, Callable[[rate_model.Fleet, float], None]] = {
    "calm": lambda fleet, seconds: fleet.loop.advance(seconds),
    "kill": rate_model.Fleet.kill_dispatchers,
    "split": rate_model.Fleet.split,
    "isolate": rate_model.Fleet.isolate,
}


def run(way: str, disturbance: str, options: argparse.Namespace) -> str:
    """Return the row of one run."""
    started_at = time.process_time()
    with WAYS[way]():
        fleet = rate_model.Fleet((options.balancers,), rate=options.load)
        fleet.loop.advance(BEFORE_S)
        for id_ in LIMITED:
            fleet.upstreams[id_].rate = options.rate
        fleet.loop.advance(SETTLING_S)
        start = fleet.loop.time()
        sent_bytes = sum(balancer.sent_bytes for balancer in fleet.balancers.values())
        DISTURBANCES[disturbance](fleet, options.seconds)
        seconds = fleet.loop.time() - start
        most = max(fleet.most_arrivals(id_, start) for id_ in LIMITED)
        told = max(fleet.most_arrivals(id_, start, only_told=True) for id_ in LIMITED)
        used = sum(fleet.arrivals_between(id_, start, start + seconds) for id_ in LIMITED)
        sent_bytes = sum(b.sent_bytes for b in fleet.balancers.values()) - sent_bytes
        fleet.close()
    share = used / (len(LIMITED) * options.rate * seconds)
    speed = sent_bytes / seconds / options.balancers
    cpu_s = time.process_time() - started_at
    return f"| {way} | {disturbance} | {most} | {told} | {share:.2f} | {speed:.0f} | {cpu_s:.0f} |"


def main() -> int:
    """Print a table with a row for each way and disturbance."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--balancers", type=int, default=12)
    parser.add_argument("--rate", type=float, default=1.0, help="requests per second")
    parser.add_argument("--load", type=float, default=60.0, help="requests per second")
    parser.add_argument("--seconds", type=float, default=18.0)
    parser.add_argument("--ways", nargs="*", choices=WAYS, default=list(WAYS))
    parser.add_argument(
        "--disturbances", nargs="*", choices=DISTURBANCES, default=list(DISTURBANCES)
    )
    options = parser.parse_args()
    allowed = 1.5 * options.rate * rate_model.WINDOW_S + 5
    print(f"{options.balancers} balancers, {options.rate:g} a second, {allowed:g} allowed in 4 s")
    print("| way | disturbance | most in 4 s | of those told | used | bytes/s | processor s |")
    print("|---|---|---|---|---|---|---|")
    for way in options.ways:
        for disturbance in options.disturbances:
            print(run(way, disturbance, options), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
