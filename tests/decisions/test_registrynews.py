"""Test how nodes share the reading of the registry."""

import random

import testtools

from cicadapass_decisions.registrynews import (
    MAX_ENTRY_BYTES,
    MAX_NEWS,
    NEWS_AT_ONCE,
    NEWS_ROUNDS,
    READERS,
    Document,
    NewsBoard,
    read_interval_s,
)

USUAL_S = 0.7


def spread(nodes, fan_out, rng):
    """Return the rounds until all of these nodes know a change."""
    boards = [NewsBoard() for _ in range(nodes)]
    change = Document("u", b"entry", 1)
    known = {0}
    boards[0].add([change])
    for round_number in range(1, 100):
        told = set()
        for node in list(known):
            if boards[node].take():
                start = rng.randrange(nodes)
                told |= {(start + step) % nodes for step in range(fan_out)}
        for node in told - known:
            boards[node].add([change])
        known |= told
        if len(known) == nodes:
            return round_number
    raise AssertionError(f"{nodes - len(known)} nodes never heard of the change")


class ReadIntervalTest(testtools.TestCase):
    def test_few_nodes_read_at_the_usual_interval(self):
        """A small group of nodes saw changes later than before."""
        rng = random.Random(1)
        self.assertEqual(USUAL_S, read_interval_s(USUAL_S, READERS, rng))

    def test_the_calls_of_many_nodes_do_not_grow_with_their_number(self):
        """Eighty nodes made eight times the calls that ten make."""
        rng = random.Random(1)
        for nodes in (30, 80, 380):
            waits = [read_interval_s(USUAL_S, nodes, rng) for _ in range(2000)]
            calls_per_s = nodes / (sum(waits) / len(waits))
            self.assertLess(abs(calls_per_s - READERS / USUAL_S), 1.0)


class NewsBoardTest(testtools.TestCase):
    def test_a_change_reaches_all_nodes(self):
        """A node went on with a gone upstream until its own next read."""
        rng = random.Random(7)
        for nodes in (2, 11, 80, 380):
            rounds = max(spread(nodes, 10, rng) for _ in range(20))
            # The platform allows 3 s for a leaving upstream, at 0.2 s a round.
            self.assertLess(rounds, 10)

    def test_a_wave_of_changes_is_told_in_parts(self):
        """A wave of reclaims made datagrams that the network does not carry."""
        board = NewsBoard()
        changes = [Document(f"u{n}", b"", n) for n in range(25)]
        board.add(changes)
        told = []
        while part := board.take():
            self.assertLessEqual(len(part), NEWS_AT_ONCE)
            told += part
        self.assertEqual(
            sorted(changes * NEWS_ROUNDS, key=lambda change: change.offset),
            sorted(told, key=lambda change: change.offset),
        )

    def test_what_is_kept_is_bounded(self):
        """An alternating registry filled the memory of a node."""
        board = NewsBoard()
        board.add(Document("u", b"", n) for n in range(3 * MAX_NEWS))
        board.add([Document("u", b"x" * (MAX_ENTRY_BYTES + 1), 9999)])
        told = 0
        while part := board.take():
            told += len(part)
        self.assertEqual(MAX_NEWS * NEWS_ROUNDS, told)
