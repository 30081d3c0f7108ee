"""Requests for a service whose upstreams leave."""

import random
import unittest

from waxwingspool.dispatch import health, slots
from waxwingspool.dispatch.tests import replay

OBJECTIVE_S, REMAINING_S = 0.6, 2.0
ANSWERED = health.Report(health.Outcome.ANSWERED, 0.1)


class DepartureTest(unittest.TestCase):
    def setUp(self) -> None:
        self.dispatcher = replay.make_dispatcher(replay.Pattern(upstreams=2))
        self.upstreams = [h.upstream for h in self.dispatcher.upstream_health.values()]

    def make_request(self, key: int, **fields: object) -> slots.SlotRequest:
        values = {
            "remaining_s": REMAINING_S,
            "objective_s": OBJECTIVE_S,
            "priority": 1,
            **fields,
        }
        return slots.SlotRequest(key, "vm", "a", **values)

    def fill(self) -> int:
        """Take all slots; return the key of the first request that waits for one."""
        for key in range(100):
            if self.dispatcher.submit(self.make_request(key), 1.0) is None:
                return key
        raise AssertionError("no request has to wait")

    def test_waiting_requests_are_refused_at_once_when_the_last_upstream_leaves(self) -> None:
        # Guards against requests that wait for a slot that nobody can give them.
        key = self.fill()
        self.dispatcher.update(self.upstreams[:1])
        self.assertEqual([], self.dispatcher.poll(1.01))
        self.dispatcher.update([])
        (refusal,) = self.dispatcher.poll(1.02)
        self.assertIsInstance(refusal, slots.Refusal)
        self.assertEqual(key, refusal.request.key)
        self.assertEqual(0, self.dispatcher.waiting)

    def test_waiting_request_that_was_sent_to_all_upstreams_left_is_refused_at_once(self) -> None:
        key = self.fill()
        for slot_key in range(key):
            self.dispatcher.release("vm", slot_key, ANSWERED, 1.0)
        self.dispatcher.poll(1.0)
        key = self.fill() + 1
        waiting = self.make_request(key, excluded=("u0",))
        self.assertIsNone(self.dispatcher.submit(waiting, 1.0))
        self.dispatcher.update(self.upstreams[:1])
        refused = [d.request.key for d in self.dispatcher.poll(1.01)]
        self.assertEqual([key], refused)

    def test_request_that_was_sent_to_all_upstreams_is_refused_at_once(self) -> None:
        # Guards against a request that waits in vain after the only upstream has turned it away.
        request = self.make_request(1, excluded=("u0", "u1"))
        self.assertIsInstance(self.dispatcher.submit(request, 1.0), slots.Refusal)

    def test_callers_of_a_service_without_upstreams_return_late_and_not_together(self) -> None:
        # Guards against retries that are used up before an upstream can have started.
        self.dispatcher.update([])
        delays_s = [
            self.dispatcher.submit(self.make_request(key), 1.0).retry_after_s for key in range(200)
        ]
        self.assertGreater(min(delays_s), 0.1 * REMAINING_S)
        self.assertLess(max(delays_s), REMAINING_S / 3)
        self.assertGreater(max(delays_s) - min(delays_s), 0.1 * REMAINING_S)

    def test_new_upstream_gets_the_next_request(self) -> None:
        self.dispatcher.update([])
        self.dispatcher.submit(self.make_request(1), 1.0)
        self.dispatcher.update(self.upstreams[1:])
        grant = self.dispatcher.submit(self.make_request(2), 1.1)
        self.assertEqual("u1", grant.upstream)

    def test_upstreams_that_leave_one_after_the_other_under_load_are_replaced(self) -> None:
        # Guards against requests that wait for upstreams that have left, in a rolling restart.
        rng = random.Random(4)
        now, key, refused, granted = 1.0, 0, 0, 0
        working: dict[int, float] = {}
        present = list(self.upstreams)
        for step in range(3000):
            now += 0.03
            if step % 300 == 299:
                # One leaves; its next start follows.
                present.pop(0)
                self.dispatcher.update(present)
            if step % 300 == 99 and len(present) < 2:
                present.append(self.upstreams[step // 300 % 2])
                self.dispatcher.update(present)
            for ended in [k for k, ends_at in working.items() if ends_at <= now]:
                del working[ended]
                self.dispatcher.release("vm", ended, ANSWERED, now)
            key += 1
            decisions = [self.dispatcher.submit(self.make_request(key), now)]
            decisions += self.dispatcher.poll(now)
            for decision in decisions:
                if isinstance(decision, slots.Grant):
                    granted += 1
                    self.assertIn(decision.upstream, [u.id for u in present])
                    working[decision.request.key] = now + rng.uniform(0.02, 0.06)
                refused += isinstance(decision, slots.Refusal)
        self.assertLess(refused, 0.05 * key)
        self.assertGreater(granted, 0.95 * key - 5)


if __name__ == "__main__":
    unittest.main()
