"""Test the choice of copy holders, take-over and hand-over."""

import random
from collections import Counter

import testtools

from cicadapass_decisions.membership import GossipEntry, MemberState
from cicadapass_decisions.recovery import (
    FIRST_EPOCH,
    HandOverStep,
    MembershipView,
    NoTakeOver,
    OwnedRequest,
    TakeOver,
    choose_holder,
    decide_take_over,
    is_superseded,
    locate_candidates,
    make_request_id,
    next_copy_epoch,
    parse_request_id,
    plan_hand_over,
)
from cicadapass_decisions.types import NodeAddress


def _member(name, data_centre, fleet="grabhandle", load=0, state=MemberState.ALIVE):
    address = NodeAddress(name, "1", fleet, data_centre, "127.0.0.1", 9000)
    return GossipEntry(address, state, 0, 0, 0, load)


OWN = _member("own", "dc-a")
B1, B2, C1 = _member("b1", "dc-b"), _member("b2", "dc-b"), _member("c1", "dc-c")
NEAR, FOREIGN = _member("a2", "dc-a"), _member("k1", "dc-b", "klasite")


def _members(*entries, leaving=()):
    return MembershipView(OWN.address, entries, frozenset(leaving))


def _take_over(epoch=FIRST_EPOCH, **changes):
    conditions = dict.fromkeys(
        ("already_owned", "doubtful", "owner_gone", "owner_disclaims", "caller_waits"),
        False,
    )
    return decide_take_over(epoch, **(conditions | changes))


class HolderTest(testtools.TestCase):
    def test_holder_is_in_another_data_centre_of_the_fleet(self):
        """A copy must survive the loss of the data centre and stay in its fleet."""
        rng = random.Random(1)
        self.assertIsNone(choose_holder(_members(NEAR, FOREIGN), rng))
        chosen = {
            choose_holder(_members(NEAR, FOREIGN, B1, C1), rng) for _ in range(50)
        }
        self.assertEqual(chosen, {B1.address, C1.address})

    def test_leaving_gone_and_excluded_members_are_not_holders(self):
        """A copy must not go to a VM that is leaving or gone, or to an excluded one.

        A copy on a leaving VM is lost within seconds.
        """
        gone = _member("c2", "dc-c", state=MemberState.GONE)
        state = _members(B1, B2, gone, leaving=[B1.vm])
        self.assertIsNone(choose_holder(state, random.Random(1), exclude=[B2.vm]))

    def test_copies_spread_over_holders(self):
        """The copies of many owners must not fill one holder."""
        busy = _member("c3", "dc-c", load=200)
        rng = random.Random(1)
        counts = Counter()
        for n in range(300):
            own = _member(f"a{n}", "dc-a").address
            state = MembershipView(own, (B1, B2, C1, busy))
            counts[choose_holder(state, rng).name] += 1
        self.assertNotIn("c3", counts)
        self.assertLess(max(counts.values()), 200)

    def test_one_owner_uses_all_its_holders(self):
        """An owner that always used the same holder would fill it first."""
        rng = random.Random(1)
        state = _members(B1, B2, C1)
        counts = Counter(choose_holder(state, rng).name for _ in range(300))
        self.assertEqual(len(counts), 2)
        self.assertLess(max(counts.values()), 200)

    def test_few_holders_per_owner(self):
        """An owner must use few holders, so that messages carry many requests."""
        others = [_member(f"b{n}", "dc-b") for n in range(100)]
        rng = random.Random(1)
        used = Counter()
        for n in range(100):
            own = _member(f"a{n}", "dc-a").address
            state = MembershipView(own, tuple(others))
            holders = {choose_holder(state, rng).name for _ in range(30)}
            self.assertLessEqual(len(holders), 2)
            used.update(holders)
        self.assertLess(max(used.values()), 15)


class EpochTest(testtools.TestCase):
    def test_take_over_stops_old_owner(self):
        """A take-over must stop the old owner, or both would deliver answers."""
        take_over = _take_over(owner_gone=True)
        self.assertEqual(take_over, TakeOver(FIRST_EPOCH + 1))
        self.assertTrue(is_superseded(FIRST_EPOCH, take_over.epoch))

    def test_former_holder_stays_below_present_holder(self):
        """A former holder may have fewer tokens than the caller has received."""
        present = next_copy_epoch(FIRST_EPOCH)
        former = _take_over(FIRST_EPOCH, owner_gone=True)
        self.assertGreater(_take_over(present, owner_gone=True).epoch, former.epoch)
        self.assertFalse(is_superseded(present, former.epoch))
        self.assertTrue(is_superseded(former.epoch, present))

    def test_live_owner_keeps_request(self):
        """A take-over from a live owner would run the request twice."""
        self.assertEqual(_take_over(), NoTakeOver.OWNER_ALIVE)
        already_owned = _take_over(already_owned=True, owner_gone=True)
        self.assertEqual(already_owned, NoTakeOver.ALREADY_OWNED)

    def test_doubtful_copy_waits_for_caller(self):
        """A resumed holder may have fewer tokens than the caller has received."""
        doubtful = _take_over(doubtful=True, owner_gone=True)
        self.assertEqual(doubtful, NoTakeOver.DOUBTFUL_COPY)
        for_caller = _take_over(doubtful=True, caller_waits=True)
        self.assertEqual(for_caller, TakeOver(FIRST_EPOCH + 1))


class HandOverTest(testtools.TestCase):
    def test_hand_over_steps(self):
        """Requests that cannot end before the deadline must go to their holders."""
        requests = [
            OwnedRequest("quick", 1, B1.vm, 1.0, 0),
            OwnedRequest("long", 1, B1.vm, 60.0, 5),
            OwnedRequest("holder leaves", 1, B2.vm, 30.0, 5),
            OwnedRequest("no holder", 1, None, 40.0, 5),
        ]
        state = _members(B1, B2, C1, leaving=[B2.vm])
        plans = plan_hand_over(requests, state, 10.0, random.Random(1))
        steps = {p.request.request_id: p.step for p in plans}
        self.assertEqual(plans[0].request.request_id, "long")
        self.assertEqual(plans[0].holder, B1.address)
        self.assertEqual(
            steps,
            {
                "quick": HandOverStep.FINISH,
                "long": HandOverStep.HAND_OVER,
                "holder leaves": HandOverStep.COPY_FIRST,
                "no holder": HandOverStep.COPY_FIRST,
            },
        )

    def test_owner_without_other_nodes_finishes(self):
        """Without any other node, the owner must try to finish the request."""
        request = OwnedRequest("long", 1, None, 60.0, 5)
        (plan,) = plan_hand_over([request], _members(NEAR), 1.0, random.Random(1))
        self.assertEqual(plan.step, HandOverStep.FINISH)


class LocateTest(testtools.TestCase):
    def test_locate_order(self):
        """A read that queries the whole fleet first would not return in time."""
        request_id = make_request_id(C1.vm, B2.vm, "ab")
        suspect = _member("b0", "dc-b", state=MemberState.SUSPECT)
        gone = _member("b9", "dc-b", state=MemberState.GONE)
        state = _members(suspect, gone, FOREIGN, NEAR, B1, B2, C1)
        names = [a.name for a in locate_candidates(request_id, state)]
        self.assertEqual(names, ["c1", "b2", "a2", "b1", "b0"])

    def test_id_round_trip(self):
        """A request whose id cannot be parsed cannot be located."""
        request_id = make_request_id(C1.vm, None, "ab")
        self.assertEqual(parse_request_id(str(request_id)), request_id)
        for text in ("", "a.b", "a..c", "a.b.c.d"):
            self.assertIsNone(parse_request_id(text))
