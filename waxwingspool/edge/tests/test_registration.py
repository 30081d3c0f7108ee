"""Registration of balancers, also with a store that was restored from a copy."""

import asyncio
import random
import time
import unittest
from unittest import mock

from standins import virtual
from waxwingspool import exceptions
from waxwingspool.edge import registration
from waxwingspool.fleet import members, tables
from waxwingspool.fleet.tests import test_tables

# Writes to one part that the store performs in a second.
PART_RATE = 150


class FakeStore:
    """The members' table, whose writes are recorded."""

    def __init__(self) -> None:
        self.epoch = 1
        self.available = True
        self.rows: dict[str, bytes] = {}
        self.written_at: list[float] = []

    def client(self) -> mock.Mock:
        return mock.Mock(measure_rtt=mock.AsyncMock(), rtt_s=0.002, put=self.put)

    async def put(self, table: str, key: str, value: bytes) -> int:
        if not self.available:
            raise exceptions.StoreUnavailable("away")
        self.written_at.append(asyncio.get_running_loop().time())
        self.rows[key] = value
        return self.epoch

    def update(self, epoch: int | None = None) -> tables.Update:
        """Return what a balancer reads that lists the table."""
        epoch = self.epoch if epoch is None else epoch
        rows = [
            test_tables.row(key, number, value, epoch)
            for number, (key, value) in enumerate(self.rows.items())
        ]
        version = test_tables.version(99, epoch)
        return tables.Update(members.TABLE, rows, True, tables.STORE, 0.0, version, True)


class RegistrationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = virtual.new_event_loop()
        self.addCleanup(self.loop.shutdown)
        for target, attribute, value in (
            (time, "monotonic", self.loop.time),
            (registration.eventlog, "event", mock.Mock()),
            (registration, "random", random.Random(1)),
        ):
            patcher = mock.patch.object(target, attribute, value)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.store = FakeStore()
        self.tasks: list[asyncio.Task] = []

    def start(self, balancers: int = 1) -> list[registration.Registration]:
        started = []
        for number in range(balancers):
            settings = test_tables.make_settings(f"10.0.{number // 250}.{number % 250 + 1}")
            membership = mock.Mock(count=balancers)
            subject = registration.Registration(settings, self.store.client(), membership, 1000)
            self.tasks.append(self.loop.create_task(subject.run()))
            started.append(subject)
        self.loop.advance(1.0)
        return started

    def restore(self, started: list[registration.Registration], kept: int = 0) -> None:
        """Let the store come back from a copy with some of the rows; all balancers list it."""
        self.store.rows = dict(list(self.store.rows.items())[:kept])
        self.store.epoch += 1
        self.store.written_at.clear()
        for subject in started:
            subject.receive_rows(self.store.update())

    def test_balancer_registers_again_once_the_store_has_lost_its_row(self) -> None:
        # Guards against balancers that those which start later do not know.
        started = self.start()
        self.loop.advance(60.0)
        self.restore(started)
        self.loop.advance(1.0)
        self.assertEqual({"10.0.0.1"}, set(self.store.rows))
        self.assertEqual(1, len(self.store.written_at))

    def test_balancer_whose_row_is_in_the_copy_does_not_write(self) -> None:
        started = self.start()
        self.loop.advance(60.0)
        self.restore(started, kept=1)
        self.loop.advance(10.0)
        self.assertEqual([], self.store.written_at)

    def test_balancer_that_has_just_started_registers_again(self) -> None:
        # Guards against the row of an earlier start in the copy.
        started = self.start()
        self.restore(started, kept=1)
        self.loop.advance(1.0)
        self.assertEqual(1, len(self.store.written_at))

    def test_listing_of_the_epoch_in_which_the_row_was_written_is_no_reason_to_write(self) -> None:
        # Guards against a second write after a listing that was read before the first.
        (subject,) = self.start()
        self.store.written_at.clear()
        empty = tables.Update(members.TABLE, (), True, tables.STORE, 0.0, test_tables.version(0, 1))
        for update in (empty, self.store.update(epoch=0), self.store.update(epoch=1)):
            subject.receive_rows(update)
            self.loop.advance(5.0)
        self.assertEqual([], self.store.written_at)

    def test_restoration_while_the_row_is_written_is_not_missed(self) -> None:
        # Guards against a write that is acknowledged by the store that goes.
        self.store.available = False
        (subject,) = self.start()
        self.store.epoch = 2
        subject.receive_rows(self.store.update())
        self.store.epoch, self.store.available = 1, True
        self.loop.advance(2.0)
        self.assertEqual(2, len(self.store.written_at))

    def test_two_restorations_in_a_row_end_with_one_row_of_each_balancer(self) -> None:
        started = self.start(12)
        self.loop.advance(60.0)
        self.restore(started)
        self.loop.advance(0.1)
        self.restore(started)
        self.loop.advance(5.0)
        self.assertEqual(12, len(self.store.rows))

    def test_all_balancers_register_again_within_the_rate_of_a_part(self) -> None:
        # Guards against status 429 for upstreams, which register in the same part.
        for balancers in (12, 139, 1000):
            with self.subTest(balancers=balancers):
                self.store.rows.clear()
                started = self.start(balancers)
                self.loop.advance(60.0)
                self.restore(started)
                self.loop.advance(1.0 + balancers / registration.RATE)
                self.assertEqual(balancers, len(self.store.rows))
                times = self.store.written_at
                for at in times:
                    count = sum(1 for other in times if at <= other < at + 1.0)
                    self.assertLess(count, PART_RATE / 2)


if __name__ == "__main__":
    unittest.main()
