"""Tests of a balancer's view of the other balancers."""

import random
import unittest

from waxwingspool.interfaces import vms
from waxwingspool.membership import members, peer_pb2


class MembersTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0

    def create_members(self, name, data_centre="d1", incarnation=1):
        """Return the view of a balancer that knows one seed address only."""
        local_member = members.Member(
            name, f"{name}:1", f"{name}:2", data_centre, incarnation, 0, False, 0
        )
        return members.Members(local_member, ["seed:1"], random.Random(1), lambda: self.now)

    def send_digest(self, source, receiver):
        """Send a digest from one balancer to another; return the new departures."""
        source.update_heartbeat()
        digest = peer_pb2.Digest()
        source.fill_digest(digest)
        return receiver.merge_digest(digest)

    def test_seed_addresses_are_used_only_while_no_peer_is_known(self):
        a, b = self.create_members("a"), self.create_members("b")
        self.assertEqual(["seed:1"], a.addresses())
        self.send_digest(b, a)
        self.assertEqual(["b:1"], a.addresses())

    def test_a_member_without_new_heartbeats_is_not_live_and_is_removed_later(self):
        a, b = self.create_members("a"), self.create_members("b")
        self.send_digest(b, a)
        self.now = members.HEARTBEAT_TIMEOUT_S + 1
        self.assertEqual([], a.live())
        self.now = members.MEMBER_RETENTION_S + 1
        a.update_heartbeat()
        self.assertEqual(["seed:1"], a.addresses())

    def test_an_old_heartbeat_from_a_third_member_does_not_keep_a_member_live(self):
        a, b, c = self.create_members("a"), self.create_members("b"), self.create_members("c")
        self.send_digest(b, a)
        self.send_digest(b, c)
        self.now = members.HEARTBEAT_TIMEOUT_S / 2
        self.send_digest(a, c)
        self.now = members.HEARTBEAT_TIMEOUT_S + 1
        self.assertNotIn("b", [m.id for m in c.live()])

    def test_listed_balancers_that_are_not_leaving_are_counted(self):
        a = self.create_members("a")
        a.update_listed_balancers(
            vms.Vm(f"v{n}", "balancer", f"v{n}:1", "d1", n == 0) for n in range(5)
        )
        self.assertEqual(4, a.balancer_count())

    def test_a_departure_is_reported_once_per_incarnation(self):
        a, b = self.create_members("a"), self.create_members("b")
        a.record_departure("u", "i1")
        self.assertEqual(["u"], [d.upstream for d in self.send_digest(a, b)])
        self.assertEqual([], self.send_digest(a, b))
        self.now = 1.0
        a.record_departure("u", "i2")
        self.assertEqual(["i2"], [d.incarnation for d in self.send_digest(a, b)])

    def test_a_digest_starts_with_the_sender_and_its_number_of_members_is_bounded(self):
        a = self.create_members("a")
        for n in range(200):
            self.send_digest(self.create_members(f"m{n}"), a)
        digest = peer_pb2.Digest()
        a.fill_digest(digest)
        self.assertEqual(members.MAX_DIGEST_MEMBERS + 1, len(digest.members))
        self.assertEqual("a", digest.members[0].id)

    def test_one_balancer_in_a_preferred_data_centre_is_responsible_for_a_task(self):
        views = [self.create_members(f"m{n}", f"d{n % 2}") for n in range(6)]
        for a in views:
            for b in views:
                self.send_digest(a, b)
        for task in ("u1", "u2", "u3"):
            responsible = [m for m in views if m.is_responsible(task, ["d1"])]
            self.assertEqual(["d1"], [m.local_member.data_centre for m in responsible])
            self.assertEqual(1, sum(m.is_responsible(task, []) for m in views))
