"""Test how nodes distribute the reads of the registry."""

import random

import testtools

from cicadapass_decisions.registrychanges import (
    CHANGES_PER_DATAGRAM,
    FULL_RATE_READERS,
    MAX_ENTRY_BYTES,
    MAX_PENDING_CHANGES,
    SENDS_PER_CHANGE,
    Document,
    PendingChanges,
    read_interval_s,
)

BASE_INTERVAL_S = 0.7


def rounds_to_reach_all(nodes, fan_out, rng):
    """Return the rounds of datagrams until all nodes have received a change."""
    pending = [PendingChanges() for _ in range(nodes)]
    change = Document("u", b"entry", 1)
    informed = {0}
    pending[0].add([change])
    for round_number in range(1, 100):
        reached = set()
        for node in list(informed):
            if pending[node].take():
                start = rng.randrange(nodes)
                reached |= {(start + step) % nodes for step in range(fan_out)}
        for node in reached - informed:
            pending[node].add([change])
        informed |= reached
        if len(informed) == nodes:
            return round_number
    raise AssertionError(f"{nodes - len(informed)} nodes did not receive the change")


class ReadIntervalTest(testtools.TestCase):
    def test_few_nodes_read_at_the_base_interval(self):
        """The nodes of a small group read less often, and detected changes later."""
        rng = random.Random(1)
        self.assertEqual(
            BASE_INTERVAL_S, read_interval_s(BASE_INTERVAL_S, FULL_RATE_READERS, rng)
        )

    def test_total_read_rate_is_bounded(self):
        """80 nodes made eight times as many calls as 10 nodes."""
        rng = random.Random(1)
        for nodes in (30, 80, 380):
            waits = [read_interval_s(BASE_INTERVAL_S, nodes, rng) for _ in range(2000)]
            calls_per_s = nodes / (sum(waits) / len(waits))
            self.assertLess(abs(calls_per_s - FULL_RATE_READERS / BASE_INTERVAL_S), 1.0)


class PendingChangesTest(testtools.TestCase):
    def test_change_reaches_all_nodes(self):
        """A node used a removed upstream until its own next read."""
        rng = random.Random(7)
        for nodes in (2, 11, 80, 380):
            rounds = max(rounds_to_reach_all(nodes, 10, rng) for _ in range(20))
            # The platform allows 3 s for a leaving upstream; a round takes 0.2 s.
            self.assertLess(rounds, 10)

    def test_many_changes_are_split_into_batches(self):
        """Many reclaims at once made datagrams too large for the network."""
        pending = PendingChanges()
        changes = [Document(f"u{n}", b"", n) for n in range(25)]
        pending.add(changes)
        sent = []
        while batch := pending.take():
            self.assertLessEqual(len(batch), CHANGES_PER_DATAGRAM)
            sent += batch
        self.assertEqual(
            sorted(changes * SENDS_PER_CHANGE, key=lambda change: change.offset),
            sorted(sent, key=lambda change: change.offset),
        )

    def test_pending_changes_are_bounded(self):
        """A registry with frequent changes exhausted the memory of a node."""
        pending = PendingChanges()
        pending.add(Document("u", b"", n) for n in range(3 * MAX_PENDING_CHANGES))
        pending.add([Document("u", b"x" * (MAX_ENTRY_BYTES + 1), 9999)])
        sent = 0
        while batch := pending.take():
            sent += len(batch)
        self.assertEqual(MAX_PENDING_CHANGES * SENDS_PER_CHANGE, sent)
