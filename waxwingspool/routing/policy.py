"""Load-balancing policies: functions that choose one of the candidate targets.

``expected`` (:func:`least_expected_time`) is the default; the others are baselines that it is
measured against.
"""

import dataclasses
import random
from collections.abc import Callable, Sequence

from waxwingspool.routing import score, target

__all__ = [
    "POLICIES",
    "Policy",
    "PolicyContext",
    "least_expected_time",
    "least_in_flight",
    "random_choice",
    "round_robin",
]


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyContext:
    """Inputs of a policy other than the candidates.

    :ivar now: time in seconds.
    :ivar mean_ms: moving average of the service's latency.
    :ivar slow_threshold_ms: latency above which an attempt counts as slow.
    """

    now: float
    mean_ms: float
    slow_threshold_ms: float


# Chooses one of the candidates, of which there is at least one.
Policy = Callable[[Sequence[target.Target], PolicyContext], target.Target]


def least_expected_time(rng: random.Random) -> Policy:
    """Return a policy that chooses the target with the least expected time.

    Up to 0.1 ms of random jitter is added to each time to break ties.

    :param rng: source of random numbers.
    :returns: the policy; it takes time linear in the number of candidates.
    """

    def choose(candidates: Sequence[target.Target], context: PolicyContext) -> target.Target:
        jitter = rng.random
        now, mean_ms, slow_threshold_ms = context.now, context.mean_ms, context.slow_threshold_ms
        return min(
            candidates,
            key=lambda t: score.expected_ms(t, now, mean_ms, slow_threshold_ms) + 0.1 * jitter(),
        )

    return choose


def least_in_flight(rng: random.Random) -> Policy:
    """Return a policy that chooses the target with the fewest requests in flight here.

    Ties are broken at random.

    :param rng: source of random numbers.
    :returns: the policy.
    """

    def choose(candidates: Sequence[target.Target], context: PolicyContext) -> target.Target:
        return min(candidates, key=lambda t: (len(t.in_flight), rng.random()))

    return choose


def two_choices(rng: random.Random) -> Policy:
    """Return a policy that chooses the less loaded of two random targets.

    :param rng: source of random numbers.
    :returns: the policy.

    See Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
    """

    def choose(candidates: Sequence[target.Target], context: PolicyContext) -> target.Target:
        pair = rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda t: score.estimated_load(t, context.now))

    return choose


def random_choice(rng: random.Random) -> Policy:
    """Return a policy that chooses a target uniformly at random.

    :param rng: source of random numbers.
    :returns: the policy.
    """
    return lambda candidates, context: rng.choice(candidates)


def round_robin(rng: random.Random) -> Policy:
    """Return a policy that cycles through the targets, starting at a random one.

    :param rng: source of random numbers.
    :returns: the policy.
    """
    position = rng.randrange(1_000_000)

    def choose(candidates: Sequence[target.Target], context: PolicyContext) -> target.Target:
        nonlocal position
        position += 1
        return candidates[position % len(candidates)]

    return choose


POLICIES: dict[str, Callable[[random.Random], Policy]] = {
    "expected": least_expected_time,
    "least-in-flight": least_in_flight,
    "two-choices": two_choices,
    "random": random_choice,
    "round-robin": round_robin,
}
