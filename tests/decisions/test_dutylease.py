"""Test that the duties have one holder at a time while nodes pause."""

import random

import testtools

from cicadapass_decisions.dutylease import (
    ACT_FRACTION,
    FENCE_BITS,
    DutyRecord,
    Lease,
    may_act,
    may_take_over,
    next_fence,
    observe,
    release_record,
    renewal_record,
    should_renew,
    take_over_record,
)
from cicadapass_decisions.logposition import MAX_ERA

LEASE_S = 3.0


class Log:
    """Simulate a log with conditional appends."""

    def __init__(self):
        self.record, self.end_offset = None, 0

    def append(self, record, expected_end):
        if expected_end != self.end_offset:
            return False
        self.record, self.end_offset = record, self.end_offset + 1
        return True


class Node:
    """Simulate a node that renews its lease or takes over, and may be paused."""

    def __init__(self, name):
        self.name, self.lease, self.observation = name, None, None
        self.paused_until_s = 0.0

    def step(self, log, now_s):
        if self.lease is not None:
            if should_renew(self.lease, LEASE_S, now_s):
                record = renewal_record(self.lease.record)
                if log.append(record, self.lease.end_offset):
                    self.lease = Lease(record, log.end_offset, now_s)
                else:
                    self.lease = None
            return
        self.observation = observe(self.observation, log.record, log.end_offset, now_s)
        if may_take_over(self.observation, LEASE_S, now_s, 0):
            record = take_over_record(self.observation.record, self.name, 0)
            if log.append(record, self.observation.end_offset):
                self.lease = Lease(record, log.end_offset, now_s)
            self.observation = None


class LeaseTest(testtools.TestCase):
    def simulate(self, seed):
        """Return time, node and fencing number of each action, with random pauses."""
        rng, log = random.Random(seed), Log()
        nodes = [Node(name) for name in "abc"]
        actions, now_s = [], 0.0
        while now_s < 120.0:
            now_s += 0.1
            for node in rng.sample(nodes, 3):
                if now_s < node.paused_until_s:
                    continue
                if rng.random() < 0.004:
                    node.paused_until_s = now_s + rng.uniform(0.5, 8.0)
                    continue
                # After a pause, a node may act before it renews its lease.
                if may_act(node.lease, LEASE_S, now_s):
                    actions.append((now_s, node.name, node.lease.record.fence))
                node.step(log, now_s)
        return actions

    def test_holders_never_alternate_within_the_lease(self):
        """A holder that resumed after a pause acted in addition to its successor."""
        take_overs = 0
        for seed in range(20):
            actions = self.simulate(seed)
            fences = [fence for _, _, fence in actions]
            self.assertEqual(sorted(fences), fences, seed)
            holders = {}
            for _, name, fence in actions:
                self.assertEqual(name, holders.setdefault(fence, name), seed)
            take_overs += len(holders) - 1
        self.assertGreater(take_overs, 20)

    def test_holder_stops_before_a_take_over(self):
        """The last action of a holder overlapped with the first of its successor."""
        lease = Lease(DutyRecord("a", 1, 0), 1, 10.0)
        self.assertTrue(may_act(lease, LEASE_S, 10.0))
        self.assertFalse(may_act(lease, LEASE_S, 10.0 + ACT_FRACTION * LEASE_S))
        self.assertFalse(may_act(lease, LEASE_S, 9.0), "the clock went back")
        self.assertFalse(may_act(None, LEASE_S, 10.0))

    def test_successor_keeps_finalised_counts(self):
        """Two holders reported different counts for the same window."""
        record = DutyRecord("a", 4, 9, {7: {"w": 3}}, {"s|a|on-demand": 2})
        observation = observe(None, record, 12, 0.0)
        self.assertFalse(may_take_over(observation, LEASE_S, LEASE_S, 0))
        successor = take_over_record(observation.record, "b", 0)
        self.assertEqual(5, successor.fence)
        self.assertEqual(record.reports, successor.reports)
        self.assertEqual(record.orders, successor.orders)

    def test_released_duties_are_taken_over_immediately(self):
        """After a planned stop, no node held the duties for a whole lease."""
        record = release_record(DutyRecord("a", 3, 7, {7: {"w": 3}}))
        observation = observe(None, record, 12, 0.0)
        self.assertTrue(may_take_over(observation, LEASE_S, 0.0, 0))
        self.assertEqual(
            (4, "b"),
            (
                take_over_record(observation.record, "b", 0).fence,
                take_over_record(observation.record, "b", 0).holder,
            ),
        )

    def test_renewal_restarts_the_wait(self):
        """A candidate took over from a holder that still renewed its lease."""
        record = DutyRecord("a", 1, 0)
        observation = observe(None, record, 1, 0.0)
        observation = observe(observation, record, 1, 2.0)
        self.assertEqual(0.0, observation.first_observed_s)
        observation = observe(observation, renewal_record(record), 2, 3.0)
        self.assertFalse(may_take_over(observation, LEASE_S, 4.0, 0))

    def test_numbers_of_an_era_are_above_those_before_it(self):
        """A number whose record was lost came again in the next era."""
        self.assertEqual(5, next_fence(4, 0))
        first = next_fence(0, 1)
        self.assertGreater(next_fence(0, 2), first + 1_000_000)
        self.assertEqual(first + 1, next_fence(first, 1))
        # Numbers of JSON are exact up to this one.
        self.assertLess(next_fence(0, MAX_ERA) + (1 << FENCE_BITS), 1 << 53)

    def test_duties_that_are_free_in_a_copy_are_taken_over_at_once(self):
        """A candidate acted beside a holder whose record the registry had lost."""
        released = release_record(DutyRecord("a", next_fence(0, 1), 0))
        for record in (None, released):
            observation = observe(None, record, 0, 0.0)
            self.assertFalse(may_take_over(observation, LEASE_S, LEASE_S, 2))
            self.assertTrue(may_take_over(observation, LEASE_S, 1.2 * LEASE_S, 2))
        self.assertTrue(may_take_over(observe(None, released, 0, 0.0), LEASE_S, 0.0, 1))
