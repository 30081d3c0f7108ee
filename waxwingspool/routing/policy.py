"""Policies: functions that choose one of the usable targets.

``expected`` is the product's; the others are the baselines that it is measured against.
"""

import random
from collections.abc import Callable, Sequence

from waxwingspool.routing import score, target

__all__ = ["POLICIES", "Policy", "expected", "least_in_flight", "random_choice", "round_robin"]

# Chooses a target: candidates (at least one), time in seconds, patience in ms.
Policy = Callable[[Sequence[target.Target], float, float], target.Target]


def expected(rng: random.Random) -> Policy:
    """Return the policy that takes the least expected time, ties broken at random.

    :param rng: source of random numbers.
    :returns: the policy; its cost is linear in the candidates.
    """

    def choose(ts: Sequence[target.Target], now: float, patience_ms: float) -> target.Target:
        jitter = rng.random
        return min(ts, key=lambda t: score.expected_ms(t, now, patience_ms) * (1 + 0.1 * jitter()))

    return choose


def least_in_flight(rng: random.Random) -> Policy:
    """Return the policy that takes the fewest own requests in flight, ties broken at random.

    :param rng: source of random numbers.
    :returns: the policy.
    """

    def choose(ts: Sequence[target.Target], now: float, patience_ms: float) -> target.Target:
        return min(ts, key=lambda t: (len(t.in_flight), rng.random()))

    return choose


def two_choices(rng: random.Random) -> Policy:
    """Return the policy that takes the less loaded of two random targets.

    :param rng: source of random numbers.
    :returns: the policy.

    Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
    """

    def choose(ts: Sequence[target.Target], now: float, patience_ms: float) -> target.Target:
        pair = rng.sample(ts, min(2, len(ts)))
        return min(pair, key=lambda t: score.load(t, now))

    return choose


def random_choice(rng: random.Random) -> Policy:
    """Return the policy that takes any target.

    :param rng: source of random numbers.
    :returns: the policy.
    """
    return lambda ts, now, patience_ms: rng.choice(ts)


def round_robin(rng: random.Random) -> Policy:
    """Return the policy that takes the targets in turn, from a random start.

    :param rng: source of random numbers.
    :returns: the policy.
    """
    turn = rng.randrange(1_000_000)

    def choose(ts: Sequence[target.Target], now: float, patience_ms: float) -> target.Target:
        nonlocal turn
        turn += 1
        return ts[turn % len(ts)]

    return choose


POLICIES: dict[str, Callable[[random.Random], Policy]] = {
    "expected": expected,
    "least-in-flight": least_in_flight,
    "two-choices": two_choices,
    "random": random_choice,
    "round-robin": round_robin,
}
