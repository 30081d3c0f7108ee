"""Tests of what a balancer knows of the others."""

import random
import unittest

from waxwingspool.interfaces import vms
from waxwingspool.membership import members, peer_pb2


class MembersTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0

    def known(self, name, data_centre="d1", incarnation=1):
        """Return what a balancer knows."""
        own = members.Member(name, f"{name}:1", f"{name}:2", data_centre, incarnation, 0, False, 0)
        return members.Members(own, ["hint:1"], random.Random(1), lambda: self.now)

    def tell(self, source, receiver):
        """Let a balancer hear a digest of another."""
        source.beat()
        digest = peer_pb2.Digest()
        source.fill(digest)
        return receiver.merge(digest)

    def test_hints_are_tried_only_while_nobody_is_known(self):
        a, b = self.known("a"), self.known("b")
        self.assertEqual(["hint:1"], a.addresses())
        self.tell(b, a)
        self.assertEqual(["b:1"], a.addresses())

    def test_a_silent_member_is_not_live_and_forgotten_later(self):
        a, b = self.known("a"), self.known("b")
        self.tell(b, a)
        self.now = members.SILENT_S + 1
        self.assertEqual([], a.live())
        self.now = members.FORGET_S + 1
        a.beat()
        self.assertEqual(["hint:1"], a.addresses())

    def test_an_old_heartbeat_repeated_by_others_keeps_nobody_alive(self):
        a, b, c = self.known("a"), self.known("b"), self.known("c")
        self.tell(b, a)
        self.tell(b, c)
        self.now = members.SILENT_S / 2
        self.tell(a, c)
        self.now = members.SILENT_S + 1
        self.assertNotIn("b", [m.id for m in c.live()])

    def test_the_listed_balancers_count_too(self):
        a = self.known("a")
        a.take_list(vms.Vm(f"v{n}", "balancer", f"v{n}:1", "d1", n == 0) for n in range(5))
        self.assertEqual(4, a.count())

    def test_a_departure_is_news_once_for_each_incarnation(self):
        a, b = self.known("a"), self.known("b")
        a.add_departure("u", "i1")
        self.assertEqual(["u"], [d.upstream for d in self.tell(a, b)])
        self.assertEqual([], self.tell(a, b))
        self.now = 1.0
        a.add_departure("u", "i2")
        self.assertEqual(["i2"], [d.incarnation for d in self.tell(a, b)])

    def test_a_digest_has_a_bound_on_its_size(self):
        a = self.known("a")
        for n in range(200):
            self.tell(self.known(f"m{n}"), a)
        digest = peer_pb2.Digest()
        a.fill(digest)
        self.assertEqual(members.DIGEST_MEMBERS + 1, len(digest.members))
        self.assertEqual("a", digest.members[0].id)

    def test_shared_work_belongs_to_one_balancer_of_the_right_place(self):
        everyone = [self.known(f"m{n}", f"d{n % 2}") for n in range(6)]
        for a in everyone:
            for b in everyone:
                self.tell(a, b)
        for work in ("u1", "u2", "u3"):
            mine = [m for m in everyone if m.is_responsible(work, ["d1"])]
            self.assertEqual(["d1"], [m.own.data_centre for m in mine])
            self.assertEqual(1, sum(m.is_responsible(work, []) for m in everyone))
