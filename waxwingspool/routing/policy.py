"""Policies: functions that choose one of the usable targets.

``expected`` is the product's; the others are the baselines that it is measured against.
"""

import dataclasses
import random
from collections.abc import Callable, Sequence

from waxwingspool.routing import score, target

__all__ = [
    "POLICIES",
    "Moment",
    "Policy",
    "expected",
    "least_in_flight",
    "random_choice",
    "round_robin",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """What a choice is based on beside the targets.

    :ivar now: time in seconds.
    :ivar mean_ms: mean time of the service's answers.
    :ivar patience_ms: how long an answer may take without being late.
    """

    now: float
    mean_ms: float
    patience_ms: float


# Chooses one of the candidates, of which there is at least one.
Policy = Callable[[Sequence[target.Target], Moment], target.Target]


def expected(rng: random.Random) -> Policy:
    """Return the policy that takes the least expected time, ties broken at random.

    :param rng: source of random numbers.
    :returns: the policy; its cost is linear in the candidates.
    """

    def choose(ts: Sequence[target.Target], m: Moment) -> target.Target:
        jitter = rng.random
        now, mean_ms, patience_ms = m.now, m.mean_ms, m.patience_ms
        return min(
            ts, key=lambda t: score.expected_ms(t, now, mean_ms, patience_ms) + 0.1 * jitter()
        )

    return choose


def least_in_flight(rng: random.Random) -> Policy:
    """Return the policy that takes the fewest own requests in flight, ties broken at random.

    :param rng: source of random numbers.
    :returns: the policy.
    """

    def choose(ts: Sequence[target.Target], m: Moment) -> target.Target:
        return min(ts, key=lambda t: (len(t.in_flight), rng.random()))

    return choose


def two_choices(rng: random.Random) -> Policy:
    """Return the policy that takes the less loaded of two random targets.

    :param rng: source of random numbers.
    :returns: the policy.

    Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
    """

    def choose(ts: Sequence[target.Target], m: Moment) -> target.Target:
        pair = rng.sample(ts, min(2, len(ts)))
        return min(pair, key=lambda t: score.load(t, m.now))

    return choose


def random_choice(rng: random.Random) -> Policy:
    """Return the policy that takes any target.

    :param rng: source of random numbers.
    :returns: the policy.
    """
    return lambda ts, m: rng.choice(ts)


def round_robin(rng: random.Random) -> Policy:
    """Return the policy that takes the targets in turn, from a random start.

    :param rng: source of random numbers.
    :returns: the policy.
    """
    turn = rng.randrange(1_000_000)

    def choose(ts: Sequence[target.Target], m: Moment) -> target.Target:
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
