"""Load patterns, simulated with and without the mechanism that handles them."""

import collections
import dataclasses
import unittest
from collections.abc import Callable
from unittest import mock

from waxwingspool.dispatch import health, limits, slots
from waxwingspool.dispatch.tests import replay

SEEDS = (1, 2)


def simulate_seeds(pattern: replay.Pattern) -> replay.Result:
    """Return the sum of the results over the seeds, and the longest wait of all."""
    results = [replay.simulate(dataclasses.replace(pattern, seed=seed)) for seed in SEEDS]
    fields = dataclasses.fields(replay.Result)
    summed = {f.name: sum(getattr(r, f.name) for r in results) for f in fields}
    summed["max_wait_s"] = max(r.max_wait_s for r in results)
    return replay.Result(**summed)


class ContentionTest(unittest.TestCase):
    """Contention slows each upstream down sevenfold a third of the time, in half-second periods."""

    pattern = replay.Pattern(rate=45.0)

    def test_contended_upstreams_are_avoided(self) -> None:
        avoiding = simulate_seeds(self.pattern)
        with mock.patch.object(health, "CONTENDED_SLOWDOWN", float("inf")):
            using = simulate_seeds(self.pattern)
        self.assertGreater(avoiding.in_time, 1.1 * using.in_time)

    def test_hedging_stragglers_reduces_late_responses(self) -> None:
        pattern = dataclasses.replace(self.pattern, rate=25.0, seconds=30.0)
        with_hedging = simulate_seeds(dataclasses.replace(pattern, hedged=True))
        without_hedging = simulate_seeds(pattern)
        self.assertLess(with_hedging.late, 0.6 * without_hedging.late)
        self.assertGreater(with_hedging.in_time, without_hedging.in_time)

    def test_small_services_wait_for_an_uncontended_upstream(self) -> None:
        pattern = replay.Pattern(
            upstreams=4, rate=22.0, seconds=60.0, work_s=0.29, objective_s=0.8, timeout_s=4.0
        )
        waiting = simulate_seeds(pattern)
        with mock.patch.object(slots, "MAX_CONTENDED_WAIT_SHARE", 0.0):
            immediate = simulate_seeds(pattern)
        self.assertGreater(waiting.in_time, 1.01 * immediate.in_time)
        self.assertLess(waiting.late, immediate.late)
        self.assertLess(waiting.refused, immediate.refused)

    def test_probes_detect_contention_in_time(self) -> None:
        with_probes = simulate_seeds(self.pattern)
        without = simulate_seeds(dataclasses.replace(self.pattern, probe_s=None))
        self.assertGreater(with_probes.in_time, 1.1 * without.in_time)


class OverloadTest(unittest.TestCase):
    """About 1.7 times the load that the upstreams can serve, with callers that retry."""

    pattern = replay.Pattern(rate=160.0, contended_share=0.0)
    # Three of the four slots of each of seven upstreams; with four in use, requests take 1.7 times
    # as long.
    capacity_per_s = 7 * 3 / 0.22

    def test_most_of_the_capacity_is_used_for_responses_in_time(self) -> None:
        result = simulate_seeds(self.pattern)
        capacity = self.capacity_per_s * self.pattern.seconds * len(SEEDS)
        self.assertGreater(result.in_time, 0.8 * capacity)
        self.assertEqual(result.lost, 0)

    def test_filling_every_slot_reduces_responses_in_time(self) -> None:
        limited = simulate_seeds(self.pattern)
        with (
            mock.patch.object(limits, "INITIAL_SHARE", 1.0),
            mock.patch.object(slots, "MAX_WAIT_SHARE", 3.0),
        ):
            unlimited = simulate_seeds(self.pattern)
        self.assertGreater(limited.in_time, 1.3 * unlimited.in_time)

    def test_wait_is_bounded_when_all_upstreams_are_contended(self) -> None:
        pattern = replay.Pattern(upstreams=3, rate=40.0, contended_share=0.9)
        result = simulate_seeds(pattern)
        allowed = slots.MAX_CONTENDED_WAIT_SHARE * pattern.objective_s + 2 * replay.STEP_S
        self.assertLessEqual(result.max_wait_s, allowed)

    def test_wait_is_bounded(self) -> None:
        result = simulate_seeds(self.pattern)
        allowed = slots.MAX_WAIT_SHARE * self.pattern.objective_s + 2 * replay.STEP_S
        self.assertLessEqual(result.max_wait_s, allowed)

    def test_urgent_requests_go_first(self) -> None:
        result = simulate_seeds(dataclasses.replace(self.pattern, urgent_share=0.2))
        urgent = result.urgent_in_time / result.urgent_requests
        others = (result.in_time - result.urgent_in_time) / (
            result.requests - result.urgent_requests
        )
        self.assertGreater(urgent, 0.95)
        self.assertGreater(urgent, others)


class LargeServiceTest(unittest.TestCase):
    """A large service at one and a half times its capacity.

    One balancer decides for the whole service on a fraction of a core. If the cost of a decision
    grew with the queue, the dispatcher would fall behind under overload, and the other balancers
    would switch to another dispatcher.
    """

    pattern = replay.Pattern(
        upstreams=42, rate=420.0, seconds=3.0, work_s=0.29, objective_s=0.8, timeout_s=3.0
    )

    def test_cost_of_a_decision_does_not_grow_with_the_queue(self) -> None:
        counts = collections.Counter()

        def counted(method: Callable) -> Callable:
            def call(*arguments: object) -> object:
                counts[method.__name__] += 1
                return method(*arguments)

            return call

        with (
            mock.patch.object(health.Health, "stalled", counted(health.Health.stalled)),
            mock.patch.object(slots.Dispatcher, "submit", counted(slots.Dispatcher.submit)),
            mock.patch.object(slots.Dispatcher, "poll", counted(slots.Dispatcher.poll)),
            mock.patch.object(health.Health, "start", counted(health.Health.start)),
        ):
            replay.simulate(self.pattern)
        passes = counts["stalled"] / self.pattern.upstreams
        # A pass examines each upstream once. A submitted request takes one pass for the selection
        # and one for the capacity; a poll takes one, and another after each grant.
        self.assertLessEqual(passes, 2 * counts["submit"] + counts["poll"] + counts["start"])

    def test_most_requests_are_answered_in_time(self) -> None:
        result = replay.simulate(self.pattern)
        self.assertGreater(result.in_time, 0.55 * result.requests)


class LimitUnderContentionTest(unittest.TestCase):
    """Load close to the capacity of contended upstreams, for twenty seconds.

    The best concurrency is three. A contended upstream gets no new requests while its earlier ones
    finish at the usual speed; this must not be taken for a high throughput at a low concurrency.
    """

    pattern = replay.Pattern(
        upstreams=10, rate=60.0, seconds=20.0, work_s=0.29, objective_s=0.8, timeout_s=4.0
    )

    def test_contention_does_not_lower_the_limit(self) -> None:
        for seed in (1, 5):
            with self.subTest(seed=seed):
                limits_seen = set()
                poll = slots.Dispatcher.poll

                def recording_poll(
                    dispatcher: slots.Dispatcher, now: float, poll=poll, seen=limits_seen
                ) -> list:
                    seen.add(dispatcher.limit(4))
                    return poll(dispatcher, now)

                with mock.patch.object(slots.Dispatcher, "poll", recording_poll):
                    replay.simulate(dataclasses.replace(self.pattern, seed=seed))
                self.assertEqual({3}, limits_seen)


class UnequalUpstreamsTest(unittest.TestCase):
    """Some upstreams are slow or unresponsive."""

    def test_slow_upstreams_get_few_requests(self) -> None:
        pattern = replay.Pattern(rate=30.0, contended_share=0.0, slow=2)
        result = simulate_seeds(pattern)
        self.assertGreater(result.in_time, 0.97 * result.requests)

    def test_probes_detect_unresponsive_upstreams(self) -> None:
        pattern = replay.Pattern(rate=30.0, contended_share=0.0, unresponsive=2)
        probed = simulate_seeds(pattern)
        unprobed = simulate_seeds(dataclasses.replace(pattern, probe_s=None))
        self.assertLess(probed.lost, unprobed.lost / 2)

    def test_external_requests_are_counted(self) -> None:
        pattern = replay.Pattern(rate=30.0, contended_share=0.0, external_requests=2)
        counted = simulate_seeds(pattern)
        with mock.patch.object(health.Health, "external_requests", lambda self, now: 0):
            ignored = simulate_seeds(pattern)
        self.assertGreaterEqual(counted.in_time, ignored.in_time)
        self.assertGreater(counted.in_time, 0.9 * counted.requests)
