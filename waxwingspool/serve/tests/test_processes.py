"""Tests with real processes, kills and freezes. None of them checks how long anything takes."""

import asyncio
import logging
import pathlib
import signal
import unittest

from standins import callers, site, small

# Longest wait for anything that must happen, in seconds.
PATIENCE_S = 40.0


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        logging.getLogger("asyncio").setLevel(logging.ERROR)

    async def start(self, **changes):
        """Start a small site, apply its configuration and return it with its callers."""
        spec = site.Spec(small.small(), **changes)
        s = await self.enterAsyncContext(site.Site(spec))
        await s.apply("vm-01")
        await s.wait_version(1)
        public = callers.Callers(s.ready, seed=3)
        self.addAsyncCleanup(public.close)
        return s, public

    def placed(self, s):
        """Return the configuration with the addresses that the site has given out."""
        config = small.small()
        for service in config["services"]:
            for u in service["upstreams"]:
                u["address"] = s.upstreams[u["name"]]
        return config

    def check(self, public, s):
        """Check that nothing was wrong, doubled or lost; return the counts."""
        verdict = callers.judge(public.told, s.ledger())
        counts = (verdict.wrong, verdict.doubled, verdict.lost)
        self.assertEqual((0, 0, 0), counts, verdict.line())
        return verdict

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(PATIENCE_S):
            while not await condition():
                await asyncio.sleep(0.05)


class PaymentTest(ProcessTest):
    async def test_a_balancer_is_killed_between_accept_and_answer(self):
        s, public = await self.start(behaviour={"paytag": {"work_ms": 30}})
        for name in ("vm-02", "vm-03"):
            paid = [asyncio.create_task(public.paid("/paytag/pay")) for _ in range(40)]
            await asyncio.sleep(0.05)
            s.kill(name)
            await asyncio.sleep(0.2)
            s.out_of_rotation.add(name)
            await asyncio.gather(*paid)
        verdict = self.check(public, s)
        self.assertEqual(80, verdict.answered + verdict.unknown)

    async def test_a_frozen_balancer_wakes_after_its_deadline_twice(self):
        s, public = await self.start(behaviour={"paytag": {"work_ms": 30}})
        s.out_of_rotation.update(("vm-01", "vm-03"))
        paid = [asyncio.create_task(public.paid("/paytag/pay")) for _ in range(30)]
        for _ in range(2):
            await asyncio.sleep(0.05)
            s.kill("vm-02", signal.SIGSTOP)
            s.out_of_rotation = {"vm-02"}
            keys = [f"frozen-{n}" for n in range(5)]
            await asyncio.gather(*(public.payment("/paytag/pay", k) for k in keys))
            await asyncio.sleep(7)
            s.kill("vm-02", signal.SIGCONT)
            await asyncio.sleep(0.5)
        await asyncio.gather(*paid)
        self.check(public, s)

    async def test_the_same_key_at_two_balancers_at_once_and_again_and_with_another_body(self):
        s, public = await self.start()
        told = await asyncio.gather(*(public.payment("/paytag/pay", "same") for _ in range(6)))
        again = await public.payment("/paytag/pay", "same")
        for t in (*told, again):
            self.assertEqual((callers.Outcome.ANSWER, 200), (t.outcome, t.status))
        other = await public.payment("/paytag/pay?amount=2", "same")
        self.assertEqual((callers.Outcome.NOT_RUN, 422), (other.outcome, other.status))
        self.check(public, s)

    async def test_the_table_is_down_and_loses_answers(self):
        s, public = await self.start()
        await s.control_platform(lose_answers=3)
        await asyncio.gather(*(public.paid("/paytag/pay") for _ in range(20)))
        await s.control_platform(down=True)
        refused = await public.payment("/paytag/pay", "while-down")
        self.assertEqual((callers.Outcome.NOT_RUN, 503), (refused.outcome, refused.status))
        self.assertEqual(200, (await public.lookup("/tagcheck/1")).status)
        self.assertEqual(200, (await public.upload("/roundphoto/1", 100_000)).status)
        await s.control_platform(down=False)
        await public.paid("/paytag/pay")
        self.check(public, s)

    async def test_an_upstream_fails_fast_and_another_cuts_its_answers(self):
        s, public = await self.start()
        await s.control_upstream("paytag-01", fail=True)
        await s.control_upstream("paytag-02", cut=True)
        await asyncio.gather(*(public.paid("/paytag/pay") for _ in range(20)))
        verdict = self.check(public, s)
        self.assertEqual(20, verdict.answered + verdict.unknown)

    async def test_upstreams_freeze_under_payments_and_wake(self):
        s, public = await self.start()
        s.kill("upstreams-1-0", signal.SIGSTOP)
        paid = [asyncio.create_task(public.paid("/paytag/pay")) for _ in range(20)]
        await asyncio.sleep(8)
        s.kill("upstreams-1-0", signal.SIGCONT)
        await asyncio.gather(*paid)
        verdict = self.check(public, s)
        self.assertEqual(20, verdict.answered + verdict.unknown)


class ConfigurationTest(ProcessTest):
    async def test_it_reaches_frozen_and_restarted_balancers_while_the_table_is_down(self):
        s, public = await self.start(balancers=4)
        s.kill("vm-04", signal.SIGSTOP)
        config = self.placed(s)
        status, answer = await s.apply("vm-01", config, base=1)
        self.assertEqual((200, 2), (status, answer["version"]))
        self.assertEqual(409, (await s.apply("vm-02", config, base=1))[0])
        await s.control_platform(down=True)
        self.assertEqual(503, (await s.apply("vm-02", config))[0])
        s.kill("vm-03")
        await s.wait_exit("vm-03")
        s.start_balancer("vm-03")
        s.kill("vm-04", signal.SIGCONT)
        await s.wait_version(2, timeout_s=PATIENCE_S)

    async def test_two_operators_at_once_get_two_versions_or_one_is_told(self):
        s, public = await self.start()
        config = self.placed(s)
        found = await asyncio.gather(
            s.apply("vm-01", config, base=1), s.apply("vm-02", config, base=1)
        )
        self.assertEqual([200, 409], sorted(status for status, _ in found))


class AnswerTest(ProcessTest):
    async def test_cut_answers_are_never_passed_on_short(self):
        s, public = await self.start()
        for name in ("tagcheck-01", "tagcheck-02"):
            await s.control_upstream(name, cut=True)
        await asyncio.gather(*(public.lookup(f"/tagcheck/{n}?bytes=9000") for n in range(60)))
        self.check(public, s)

    async def test_late_answers_reach_nobody_else(self):
        s, public = await self.start(behaviour={"tagcheck": {"work_ms": 600}})
        await asyncio.gather(*(public.lookup(f"/tagcheck/{n}") for n in range(60)))
        for n in range(1, 5):
            await s.control_upstream(f"tagcheck-{n:02}", work_ms=2)
        await asyncio.gather(*(public.lookup(f"/tagcheck/{n}") for n in range(60)))
        self.check(public, s)


class StopTest(ProcessTest):
    async def test_a_planned_stop_cuts_off_nothing(self):
        s, public = await self.start(behaviour={"tagcheck": {"work_ms": 300}})
        s.out_of_rotation.update(("vm-01", "vm-03"))
        uploads = [public.upload("/roundphoto/1", 400_000, 0.1) for _ in range(5)]
        lookups = [public.lookup(f"/tagcheck/{n}") for n in range(10)]
        payments = [public.payment("/paytag/pay", f"stop-{n}") for n in range(10)]
        tasks = [asyncio.create_task(w) for w in (*uploads, *lookups, *payments)]
        await asyncio.sleep(0.2)
        s.kill("vm-02", signal.SIGTERM)
        s.out_of_rotation = {"vm-02"}
        told = await asyncio.gather(*tasks)
        self.assertEqual(0, await s.wait_exit("vm-02", PATIENCE_S))
        self.assertEqual({callers.Outcome.ANSWER}, {t.outcome for t in told})
        self.check(public, s)

    async def test_a_leaving_upstream_gets_no_new_work_and_finishes_its_own(self):
        s, public = await self.start(
            behaviour={"tagcheck": {"work_ms": 50}}, list_lag_s=1000.0, balancers=4
        )
        before = [asyncio.create_task(public.lookup(f"/tagcheck/{n}")) for n in range(40)]
        await asyncio.sleep(0.02)
        await s.control_upstream("tagcheck-01", drain=True)

        async def everyone_knows():
            await public.lookup("/tagcheck/more")
            found = [(await s.status(n))["services"]["tagcheck"]["upstreams"] for n in s.balancers]
            return all(u["tagcheck-01"] == "leaving" for u in found)

        await self.until(everyone_knows)
        arrived = (await s.upstream("tagcheck-01"))["while_leaving"]
        await asyncio.gather(*(public.lookup(f"/tagcheck/{n}") for n in range(60)))
        self.assertEqual(arrived, (await s.upstream("tagcheck-01"))["while_leaving"])
        told = await asyncio.gather(*before)
        self.assertEqual({200}, {t.status for t in told})
        self.check(public, s)


class ProgramTest(ProcessTest):
    async def test_it_starts_no_other_process_and_shares_no_memory(self):
        s, public = await self.start(balancers=2)
        await public.paid("/paytag/pay")
        pid = s.process("vm-01").pid
        tasks = pathlib.Path(f"/proc/{pid}/task").glob("*/children")
        self.assertEqual("", "".join(p.read_text() for p in tasks))
        maps = pathlib.Path(f"/proc/{pid}/maps").read_text()
        self.assertNotIn("/dev/shm", maps)
        self.assertNotIn("io_uring", maps)

    async def test_bad_requests_are_refused_as_not_run(self):
        s, public = await self.start(balancers=1)
        base = f"http://{s.ready()[0]}"
        cases = [
            ("POST", "/paytag/pay", {}, b"", 400),
            ("POST", "/paytag/pay", {"Idempotency-Key": "k" * 300}, b"", 400),
            ("POST", "/paytag/pay", {"Idempotency-Key": "k"}, b"b" * 300_000, 413),
            ("GET", "/tagcheck/1", {"X-Large": "h" * 20_000}, b"", 431),
            ("GET", "/nowhere", {}, b"", 404),
            ("DELETE", "/tagcheck/1", {}, b"", 404),
        ]
        for method, path, headers, body, status in cases:
            with self.subTest(path=path, status=status):
                async with s.session.request(
                    method, base + path, headers=headers, data=body
                ) as answer:
                    self.assertEqual(status, answer.status)
                    self.assertEqual("not-run", answer.headers["Waxwing-Outcome"])
        self.assertEqual([], s.ledger())

    async def test_a_refused_file_changes_nothing_and_names_every_place(self):
        s, public = await self.start(balancers=1)
        broken = small.small()
        broken["services"][0]["rules"][0]["retrys"] = 2
        broken["services"][1]["upstreams"][0]["slots"] = 0
        status, answer = await s.apply("vm-01", broken)
        self.assertEqual(400, status)
        self.assertIn("/services/0/rules/0/retrys", answer["report"])
        self.assertIn("/services/1/upstreams/0/slots", answer["report"])
        self.assertEqual(1, (await s.status("vm-01"))["version"])
