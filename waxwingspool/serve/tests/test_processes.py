"""Tests with real processes that are killed or suspended. None of them checks durations."""

import asyncio
import logging
import pathlib
import signal
import unittest

from standins import callers, example_configurations, site

# Maximum wait for an expected event, in seconds.
EVENT_TIMEOUT_S = 40.0


class SiteTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        logging.getLogger("asyncio").setLevel(logging.ERROR)

    async def start(self, **changes):
        """Start a small site and apply its configuration; return the site and its callers."""
        spec = site.Spec(example_configurations.load_reduced(), **changes)
        running_site = await self.enterAsyncContext(site.Site(spec))
        await running_site.apply("vm-01")
        await running_site.wait_version(1)
        caller = callers.Callers(running_site.ready_addresses, seed=3)
        self.addAsyncCleanup(caller.close)
        return running_site, caller

    def assigned_configuration(self, running_site):
        """Return the configuration with the upstream addresses that the site has assigned."""
        config = example_configurations.load_reduced()
        for service in config["services"]:
            for u in service["upstreams"]:
                u["address"] = running_site.upstreams[u["name"]]
        return config

    def assert_consistent(self, caller, running_site):
        """Assert that no response is wrong and no payment doubled or lost; return the tally."""
        tally = callers.compare_with_ledger(caller.results, running_site.ledger())
        counts = (tally.wrong, tally.doubled, tally.lost)
        self.assertEqual((0, 0, 0), counts, tally.format_line())
        return tally

    async def wait_until(self, condition):
        """Poll an asynchronous condition until it holds."""
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(0.05)


class PaymentTest(SiteTestCase):
    async def test_payments_are_consistent_when_balancers_are_killed_before_responding(self):
        running_site, caller = await self.start(behaviour={"paytag": {"work_ms": 30}})
        for name in ("vm-02", "vm-03"):
            payments = [
                asyncio.create_task(caller.pay_until_final("/paytag/pay")) for _ in range(40)
            ]
            await asyncio.sleep(0.05)
            running_site.send_signal(name)
            await asyncio.sleep(0.2)
            running_site.out_of_rotation.add(name)
            await asyncio.gather(*payments)
        tally = self.assert_consistent(caller, running_site)
        self.assertEqual(80, tally.answered + tally.unknown)

    async def test_payments_are_consistent_when_a_balancer_is_suspended_past_their_deadline(self):
        running_site, caller = await self.start(behaviour={"paytag": {"work_ms": 30}})
        running_site.out_of_rotation.update(("vm-01", "vm-03"))
        payments = [asyncio.create_task(caller.pay_until_final("/paytag/pay")) for _ in range(30)]
        for _ in range(2):
            await asyncio.sleep(0.05)
            running_site.send_signal("vm-02", signal.SIGSTOP)
            running_site.out_of_rotation = {"vm-02"}
            keys = [f"frozen-{n}" for n in range(5)]
            await asyncio.gather(*(caller.pay_once("/paytag/pay", k) for k in keys))
            await asyncio.sleep(7)
            running_site.send_signal("vm-02", signal.SIGCONT)
            await asyncio.sleep(0.5)
        await asyncio.gather(*payments)
        self.assert_consistent(caller, running_site)

    async def test_reused_key_is_answered_for_the_same_request_and_rejected_for_another(self):
        running_site, caller = await self.start()
        results = await asyncio.gather(*(caller.pay_once("/paytag/pay", "same") for _ in range(6)))
        repeated = await caller.pay_once("/paytag/pay", "same")
        for result in (*results, repeated):
            self.assertEqual((callers.Outcome.ANSWER, 200), (result.outcome, result.status))
        other = await caller.pay_once("/paytag/pay?amount=2", "same")
        self.assertEqual((callers.Outcome.NOT_RUN, 422), (other.outcome, other.status))
        self.assert_consistent(caller, running_site)

    async def test_table_faults_leave_payments_consistent_and_other_requests_unaffected(self):
        running_site, caller = await self.start()
        await running_site.update_platform(lose_answers=3)
        await asyncio.gather(*(caller.pay_until_final("/paytag/pay") for _ in range(20)))
        await running_site.update_platform(down=True)
        refused = await caller.pay_once("/paytag/pay", "while-down")
        self.assertEqual((callers.Outcome.NOT_RUN, 503), (refused.outcome, refused.status))
        self.assertEqual(200, (await caller.lookup("/tagcheck/1")).status)
        self.assertEqual(200, (await caller.upload("/roundphoto/1", 100_000)).status)
        await running_site.update_platform(down=False)
        await caller.pay_until_final("/paytag/pay")
        self.assert_consistent(caller, running_site)

    async def test_payments_are_consistent_when_upstreams_fail_or_truncate_responses(self):
        running_site, caller = await self.start()
        await running_site.update_upstream("paytag-01", fail=True)
        await running_site.update_upstream("paytag-02", cut=True)
        await asyncio.gather(*(caller.pay_until_final("/paytag/pay") for _ in range(20)))
        tally = self.assert_consistent(caller, running_site)
        self.assertEqual(20, tally.answered + tally.unknown)

    async def test_payments_are_consistent_when_upstreams_are_suspended_and_resumed(self):
        running_site, caller = await self.start()
        running_site.send_signal("upstreams-1-0", signal.SIGSTOP)
        payments = [asyncio.create_task(caller.pay_until_final("/paytag/pay")) for _ in range(20)]
        await asyncio.sleep(8)
        running_site.send_signal("upstreams-1-0", signal.SIGCONT)
        await asyncio.gather(*payments)
        tally = self.assert_consistent(caller, running_site)
        self.assertEqual(20, tally.answered + tally.unknown)


class ConfigurationTest(SiteTestCase):
    async def test_configuration_reaches_suspended_and_restarted_balancers_without_table(self):
        running_site, caller = await self.start(balancers=4)
        running_site.send_signal("vm-04", signal.SIGSTOP)
        config = self.assigned_configuration(running_site)
        status, response = await running_site.apply("vm-01", config, base=1)
        self.assertEqual((200, 2), (status, response["version"]))
        self.assertEqual(409, (await running_site.apply("vm-02", config, base=1))[0])
        await running_site.update_platform(down=True)
        self.assertEqual(503, (await running_site.apply("vm-02", config))[0])
        running_site.send_signal("vm-03")
        await running_site.wait_exit("vm-03")
        running_site.start_balancer("vm-03")
        running_site.send_signal("vm-04", signal.SIGCONT)
        await running_site.wait_version(2, timeout_s=EVENT_TIMEOUT_S)

    async def test_concurrent_apply_with_same_base_accepts_one(self):
        running_site, caller = await self.start()
        config = self.assigned_configuration(running_site)
        responses = await asyncio.gather(
            running_site.apply("vm-01", config, base=1), running_site.apply("vm-02", config, base=1)
        )
        self.assertEqual([200, 409], sorted(status for status, _ in responses))


class ResponseTest(SiteTestCase):
    async def test_truncated_responses_are_not_forwarded(self):
        running_site, caller = await self.start()
        for name in ("tagcheck-01", "tagcheck-02"):
            await running_site.update_upstream(name, cut=True)
        await asyncio.gather(*(caller.lookup(f"/tagcheck/{n}?bytes=9000") for n in range(60)))
        self.assert_consistent(caller, running_site)

    async def test_late_responses_reach_no_other_caller(self):
        running_site, caller = await self.start(behaviour={"tagcheck": {"work_ms": 600}})
        await asyncio.gather(*(caller.lookup(f"/tagcheck/{n}") for n in range(60)))
        for n in range(1, 5):
            await running_site.update_upstream(f"tagcheck-{n:02}", work_ms=2)
        await asyncio.gather(*(caller.lookup(f"/tagcheck/{n}") for n in range(60)))
        self.assert_consistent(caller, running_site)


class DrainTest(SiteTestCase):
    async def test_planned_stop_completes_requests_in_flight(self):
        running_site, caller = await self.start(behaviour={"tagcheck": {"work_ms": 300}})
        running_site.out_of_rotation.update(("vm-01", "vm-03"))
        uploads = [caller.upload("/roundphoto/1", 400_000, 0.1) for _ in range(5)]
        lookups = [caller.lookup(f"/tagcheck/{n}") for n in range(10)]
        payments = [caller.pay_once("/paytag/pay", f"stop-{n}") for n in range(10)]
        tasks = [asyncio.create_task(w) for w in (*uploads, *lookups, *payments)]
        await asyncio.sleep(0.2)
        running_site.send_signal("vm-02", signal.SIGTERM)
        running_site.out_of_rotation = {"vm-02"}
        results = await asyncio.gather(*tasks)
        self.assertEqual(0, await running_site.wait_exit("vm-02", EVENT_TIMEOUT_S))
        self.assertEqual({callers.Outcome.ANSWER}, {r.outcome for r in results})
        self.assert_consistent(caller, running_site)

    async def test_leaving_upstream_gets_no_new_requests_and_completes_running_ones(self):
        running_site, caller = await self.start(
            behaviour={"tagcheck": {"work_ms": 50}}, list_lag_s=1000.0, balancers=4
        )
        lookups = [asyncio.create_task(caller.lookup(f"/tagcheck/{n}")) for n in range(40)]
        await asyncio.sleep(0.02)
        await running_site.update_upstream("tagcheck-01", drain=True)

        async def all_report_leaving():
            await caller.lookup("/tagcheck/more")
            upstream_states = [
                (await running_site.status(n))["services"]["tagcheck"]["upstreams"]
                for n in running_site.balancers
            ]
            return all(u["tagcheck-01"] == "leaving" for u in upstream_states)

        await self.wait_until(all_report_leaving)
        arrivals = (await running_site.get_upstream_counters("tagcheck-01"))["while_leaving"]
        await asyncio.gather(*(caller.lookup(f"/tagcheck/{n}") for n in range(60)))
        self.assertEqual(
            arrivals, (await running_site.get_upstream_counters("tagcheck-01"))["while_leaving"]
        )
        results = await asyncio.gather(*lookups)
        self.assertEqual({200}, {r.status for r in results})
        self.assert_consistent(caller, running_site)


class BalancerTest(SiteTestCase):
    async def test_balancer_starts_no_child_process_and_shares_no_memory(self):
        running_site, caller = await self.start(balancers=2)
        await caller.pay_until_final("/paytag/pay")
        pid = running_site.process("vm-01").pid
        tasks = pathlib.Path(f"/proc/{pid}/task").glob("*/children")
        self.assertEqual("", "".join(p.read_text() for p in tasks))
        memory_maps = pathlib.Path(f"/proc/{pid}/maps").read_text()
        self.assertNotIn("/dev/shm", memory_maps)
        self.assertNotIn("io_uring", memory_maps)

    async def test_invalid_requests_are_rejected_as_not_run(self):
        running_site, caller = await self.start(balancers=1)
        base = f"http://{running_site.ready_addresses()[0]}"
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
                async with running_site.session.request(
                    method, base + path, headers=headers, data=body
                ) as response:
                    self.assertEqual(status, response.status)
                    self.assertEqual("not-run", response.headers["Waxwing-Outcome"])
        self.assertEqual([], running_site.ledger())

    async def test_rejected_file_changes_nothing_and_reports_every_location(self):
        running_site, caller = await self.start(balancers=1)
        invalid = example_configurations.load_reduced()
        invalid["services"][0]["rules"][0]["retrys"] = 2
        invalid["services"][1]["upstreams"][0]["slots"] = 0
        status, response = await running_site.apply("vm-01", invalid)
        self.assertEqual(400, status)
        self.assertIn("/services/0/rules/0/retrys", response["report"])
        self.assertIn("/services/1/upstreams/0/slots", response["report"])
        self.assertEqual(1, (await running_site.status("vm-01"))["version"])
