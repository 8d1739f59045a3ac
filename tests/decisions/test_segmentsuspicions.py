"""Test which prompt segments are suspected, tried, blocked and cleared."""

import random

import testtools

from cicadapass_decisions.segmentsuspicions import (
    CLEARANCE_LIFETIME_S,
    EVIDENCE_LIFETIME_S,
    FAMILIAR_BLOCK_S,
    MAX_BLOCKS,
    MAX_ENDS,
    MAX_FAMILIAR,
    MAX_SUSPECTS,
    QUIET_S,
    TRIAL_LIFETIME_S,
    Blocked,
    SegmentSuspicions,
    Suspected,
)

BAD, FIRST, OTHER = "s/bad", "s/first", "s/other"


def crash(table, number, at_s, writing=(BAD,), waiting=()):
    """Record the end of an engine."""
    table.record_end(f"i-{number}@1", writing, waiting, at_s)


def blocked_table():
    """Return a table that blocks `BAD` after three ends, the last one at 2 s."""
    table = SegmentSuspicions()
    for number in range(3):
        crash(table, number, float(number))
    return table


class EvidenceTest(testtools.TestCase):
    def test_a_new_segment_is_tried_after_one_end_and_blocked_after_three(self):
        """Further requests were sent at once after an engine had ended."""
        table = SegmentSuspicions()
        self.assertIsNone(table.verdict([BAD], 0.0))
        crash(table, 1, 1.0)
        self.assertEqual(Suspected((BAD,), False), table.verdict([BAD], 1.0))
        crash(table, 2, 2.0)
        self.assertIsInstance(table.verdict([BAD], 2.0), Suspected)
        crash(table, 3, 3.0)
        self.assertEqual(Blocked((BAD,)), table.verdict([FIRST, BAD], 3.0))
        self.assertIsNone(table.verdict([FIRST], 3.0))

    def test_one_end_seen_by_several_nodes_counts_once(self):
        """Each node that lost a connection counted as an end of its own."""
        table = SegmentSuspicions()
        for _ in range(5):
            crash(table, 1, 1.0)
        self.assertIsInstance(table.verdict([BAD], 1.0), Suspected)

    def test_engines_that_end_together_count_once(self):
        """The loss of a data centre blocked the segments that were busy there."""
        table = SegmentSuspicions()
        for number in range(10):
            crash(table, number, 1.0 + number / 1000)
        self.assertIsInstance(table.verdict([BAD], 1.1), Suspected)

    def test_an_answer_without_harm_clears_its_segments(self):
        """A busy segment gathered evidence while its answers were written."""
        table = SegmentSuspicions()
        for number in range(10):
            crash(table, number, float(number), [FIRST, BAD])
            table.record_survival([FIRST], number + 0.5)
        self.assertIsNone(table.verdict([FIRST], 10.0))
        self.assertEqual(Blocked((BAD,)), table.verdict([BAD], 10.0))

    def test_familiar_segments_need_more_evidence(self):
        """Two coinciding ends delayed the requests of a busy segment."""
        table = SegmentSuspicions()
        table.record_survival([FIRST], 0.0)
        crash(table, 1, 1.0, [FIRST])
        self.assertIsNone(table.verdict([FIRST], 1.0))
        crash(table, 2, 2.0, [FIRST])
        self.assertIsInstance(table.verdict([FIRST], 2.0), Suspected)
        crash(table, 3, 3.0, [FIRST])
        self.assertIsInstance(table.verdict([FIRST], 3.0), Suspected)
        crash(table, 4, 4.0, [FIRST])
        self.assertIsInstance(table.verdict([FIRST], 4.0), Blocked)

    def test_the_segment_without_history_is_blocked_alone(self):
        """The callers' own segment was blocked with the one that crashes engines."""
        table = SegmentSuspicions()
        table.record_survival([FIRST], 0.0)
        for number in range(6):
            crash(table, number, 1.0 + number, [FIRST, BAD])
        self.assertEqual(Blocked((BAD,)), table.verdict([FIRST, BAD], 7.0))
        self.assertIsNone(table.verdict([FIRST], 7.0))

    def test_segments_that_nothing_tells_apart_are_blocked_together(self):
        """Sound requests with one of two segments were rejected."""
        table = SegmentSuspicions()
        for number in range(3):
            crash(table, number, float(number), [FIRST, BAD])
        self.assertEqual(Blocked((BAD, FIRST)), table.verdict([FIRST, BAD], 3.0))
        self.assertNotIsInstance(table.verdict([FIRST], 3.0), Blocked)
        table.record_survival([FIRST], 4.0)
        self.assertEqual(Blocked((BAD,)), table.verdict([FIRST, BAD], 4.0))
        self.assertEqual(Blocked((BAD,)), table.verdict([OTHER, BAD], 4.0))

    def test_an_end_with_only_one_of_them_narrows_the_block(self):
        """Requests with the segment and without its companion stayed in doubt."""
        table = SegmentSuspicions()
        for number in range(3):
            crash(table, number, float(number), [FIRST, BAD])
        crash(table, 3, 3.0, [OTHER, BAD])
        table.expire(4.0)
        self.assertEqual(Blocked((BAD,)), table.verdict([OTHER, BAD], 4.0))

    def test_waiting_requests_count_only_without_another_cause(self):
        """Requests that waited at a crashed engine were suspected like its cause."""
        table = SegmentSuspicions()
        for number in range(12):
            crash(table, number, float(number), [BAD], [OTHER])
        self.assertIsNone(table.verdict([OTHER], 12.0))
        table = SegmentSuspicions()
        for number in range(6):
            crash(table, number, float(number), [FIRST], [BAD])
            table.record_survival([FIRST], number + 0.5)
        self.assertEqual(Blocked((BAD,)), table.verdict([BAD], 6.0))

    def test_waiting_segments_keep_their_state_until_the_evidence_is_gone(self):
        """A segment whose state had been discarded was evaluated again."""
        table = SegmentSuspicions()
        crash(table, 1, 1.0, writing=[FIRST], waiting=[OTHER])
        at_s = 1.0 + CLEARANCE_LIFETIME_S + 1.0
        table.expire(at_s)
        table.record_survival([FIRST], at_s)
        self.assertIsNone(table.verdict([OTHER], at_s))
        self.assertEqual([[OTHER, 0.5, 11_000]], table.evidence([OTHER], at_s))


class TrialTest(testtools.TestCase):
    def test_one_request_at_a_time_tries_a_segment(self):
        """All nodes tried a suspected segment at once."""
        table = SegmentSuspicions()
        crash(table, 1, 1.0)
        table.begin_trial([BAD], "n1", 1.0)
        self.assertTrue(table.verdict([BAD], 1.1).trial_running)
        peer = SegmentSuspicions()
        peer.merge(table.export(1.1), "n1", 1.1)
        self.assertTrue(peer.verdict([BAD], 1.2).trial_running)
        late_s = 1.1 + TRIAL_LIFETIME_S
        self.assertFalse(peer.verdict([BAD], late_s).trial_running)
        table.end_trial([BAD], "n1")
        self.assertFalse(table.verdict([BAD], 1.3).trial_running)


class ReleaseTest(testtools.TestCase):
    def test_a_quiet_block_is_released_and_one_more_end_renews_it(self):
        """A block lasted for ever, or its release cost three engines."""
        table = blocked_table()
        table.expire(QUIET_S)
        self.assertIsInstance(table.verdict([BAD], QUIET_S), Blocked)
        table.expire(2 * QUIET_S - 1)
        self.assertIsInstance(table.verdict([BAD], 2 * QUIET_S - 1), Blocked)
        end_s = 4 * QUIET_S
        table.expire(end_s)
        self.assertIsInstance(table.verdict([BAD], end_s), Suspected)
        crash(table, 9, end_s + 1)
        self.assertIsInstance(table.verdict([BAD], end_s + 1), Blocked)

    def test_a_familiar_segment_is_tried_again_soon_after_its_block(self):
        """Callers with a sound segment were rejected for as long as they asked."""
        table = SegmentSuspicions()
        table.record_survival([FIRST], 0.0)
        for number in range(4):
            bad = f"s/bad{number}"
            crash(table, number, 1.0 + number, writing=[FIRST, bad])
        self.assertEqual(Blocked((FIRST,)), table.verdict([FIRST], 4.0))
        table.expire(4.0 + FAMILIAR_BLOCK_S - 0.5)
        self.assertIsInstance(table.verdict([FIRST], 6.0), Blocked)
        table.expire(4.0 + FAMILIAR_BLOCK_S + 0.5)
        self.assertEqual(Suspected((FIRST,), False), table.verdict([FIRST], 8.0))
        table.record_survival([FIRST], 8.5)
        self.assertIsNone(table.verdict([FIRST], 8.5))

    def test_a_familiar_segment_that_crashes_engines_stays_blocked_longer(self):
        """A segment that was taken for sound ended engines every few seconds."""
        table = SegmentSuspicions()
        table.record_survival([BAD], 0.0)
        now_s, ends, blocked_s = 0.0, 0, 0.0
        while now_s < QUIET_S:
            now_s += 0.5
            table.expire(now_s)
            if isinstance(table.verdict([BAD], now_s), Blocked):
                blocked_s += 0.5
            else:
                ends += 1
                crash(table, ends, now_s)
        self.assertLessEqual(ends, 4 + 2 * 5)
        self.assertGreater(blocked_s, 0.9 * QUIET_S)

    def test_the_release_of_a_familiar_segment_reaches_all_nodes(self):
        """A peer's block came back after the segment had been released."""
        first, second = SegmentSuspicions(), SegmentSuspicions()
        first.record_survival([FIRST], 0.0)
        for number in range(4):
            crash(first, number, 1.0 + number, writing=[FIRST, f"s/bad{number}"])
        second.merge(first.export(4.5), "first", 4.5)
        self.assertIsInstance(second.verdict([FIRST], 4.5), Blocked)
        at_s = 4.0 + FAMILIAR_BLOCK_S + 0.1
        first.expire(at_s)
        for _ in range(2):
            first.merge(second.export(at_s), "second", at_s)
            second.merge(first.export(at_s), "first", at_s)
        self.assertIsInstance(first.verdict([FIRST], at_s), Suspected)
        self.assertIsInstance(second.verdict([FIRST], at_s), Suspected)
        second.record_survival([FIRST], at_s + 1.0)
        first.merge(second.export(at_s + 1.0), "second", at_s + 1.0)
        self.assertIsNone(first.verdict([FIRST], at_s + 1.0))

    def test_new_weights_release_a_block(self):
        """A segment stayed blocked after the model had been replaced."""
        table = blocked_table()
        table.record_weights("t", 5, 3.0)
        self.assertIsInstance(table.verdict([BAD], 3.0), Blocked)
        table.record_weights("s", 1, 3.0)
        self.assertIsInstance(table.verdict([BAD], 3.0), Suspected)
        table.record_survival([BAD], 4.0)
        self.assertIsNone(table.verdict([BAD], 4.0))

    def test_old_evidence_is_discarded(self):
        """Ends that are far apart added up, and cleared segments were kept."""
        table = SegmentSuspicions()
        crash(table, 1, 0.0)
        table.expire(EVIDENCE_LIFETIME_S + 1)
        table.expire(EVIDENCE_LIFETIME_S + 2 + CLEARANCE_LIFETIME_S)
        self.assertFalse(table.active)


class ExchangeTest(testtools.TestCase):
    def test_evidence_of_several_nodes_adds_up_in_any_order(self):
        """No node saw enough crashes, and the order of messages mattered."""
        for seed in range(20):
            rng = random.Random(seed)
            nodes = [SegmentSuspicions() for _ in range(4)]
            for number, node in enumerate(nodes):
                crash(node, number, float(number), [FIRST, BAD])
            nodes[0].record_survival([FIRST], 4.0)
            for _ in range(60):
                sender, receiver = rng.sample(nodes, 2)
                receiver.merge(sender.export(5.0, most=2), "peer", 5.0)
            for sender in nodes:
                for receiver in nodes:
                    receiver.merge(sender.export(5.0), "peer", 5.0)
            for node in nodes:
                self.assertEqual(Blocked((BAD,)), node.verdict([FIRST, BAD], 6.0))
                self.assertIsNone(node.verdict([FIRST], 6.0))

    def test_cleared_evidence_does_not_come_back(self):
        """A late message of a peer restored what an answer had cleared."""
        table, peer = SegmentSuspicions(), SegmentSuspicions()
        crash(table, 1, 1.0)
        peer.merge(table.export(1.0), "a", 1.0)
        table.record_survival([BAD], 2.0)
        table.merge(peer.export(2.0), "b", 2.0)
        self.assertIsNone(table.verdict([BAD], 2.0))
        peer.merge(table.export(2.0), "a", 2.0)
        self.assertIsNone(peer.verdict([BAD], 2.0))

    def test_a_new_node_takes_over_blocks_without_their_evidence(self):
        """A node that had just started ended three engines of its own."""
        node = SegmentSuspicions()
        node.merge(blocked_table().export(3.0, only=()), None, 3.0)
        self.assertIsInstance(node.verdict([BAD], 3.0), Blocked)

    def test_a_released_block_does_not_come_back(self):
        """A peer's older message renewed a block that had been released."""
        table = blocked_table()
        old = table.export(3.0)
        table.record_weights("s", 1, 4.0)
        table.merge(old, "peer", 5.0)
        self.assertNotIsInstance(table.verdict([BAD], 5.0), Blocked)

    def test_ages_do_not_creep(self):
        """Nodes kept a quiet block alive by repeating it to each other."""
        nodes = [blocked_table(), SegmentSuspicions()]
        now_s = 2.0
        while now_s < 2 * QUIET_S:
            nodes[1].merge(nodes[0].export(now_s), "a", now_s + 0.01)
            nodes[0].merge(nodes[1].export(now_s + 0.1), "b", now_s + 0.11)
            now_s += 0.2
            for node in nodes:
                node.expire(now_s)
        self.assertNotIsInstance(nodes[0].verdict([BAD], now_s), Blocked)

    def test_malformed_rows_raise_the_documented_errors(self):
        """A message of a peer ended the component that applied it."""
        for rows in (
            [1],
            [[], []],
            [[["a"]], [], []],
            [[], [["e", 1, [["s"]]]], []],
            [[], [["e", "x", []]], []],
            [[], [], [[[["s", None]], 1, 1]]],
            [[], [], [[5, 1, 1]]],
        ):
            error = self.assertRaises(
                (ValueError, TypeError), SegmentSuspicions().merge, rows, "peer", 1.0
            )
            self.assertIsInstance(error, (ValueError, TypeError))

    def test_any_order_of_reports_is_handled(self):
        """An order of ends, clearances and messages ended with an error."""
        segments = [f"s/{number}" for number in range(6)]
        for seed in range(300):
            rng = random.Random(seed)
            tables, now_s = [SegmentSuspicions() for _ in range(3)], 0.0
            for number in range(120):
                now_s += rng.choice((0.05, 0.5, 3.0, 12.0, 60.0))
                table = rng.choice(tables)
                some = rng.sample(segments, 3)
                match rng.randrange(6):
                    case 0 | 1:
                        engine = rng.randrange(number + 1)
                        crash(table, engine, now_s, some[:1], some[1:])
                    case 2:
                        table.record_survival(some[:2], now_s)
                    case 3:
                        table.merge(rng.choice(tables).export(now_s), "peer", now_s)
                    case 4:
                        table.begin_trial(some, "n", now_s)
                        table.end_trial(some[:2], "n")
                    case 5:
                        table.expire(now_s)
                table.verdict(some, now_s)
                table.evidence(some, now_s)
                table.export(now_s, most=3)


class BoundsTest(testtools.TestCase):
    def test_invented_segments_take_bounded_memory(self):
        """Callers that invent segments filled the memory of all nodes."""
        table = blocked_table()
        for number in range(600):
            names = [f"s/x{number}-{each}" for each in range(50)]
            table.record_survival(names[:10], 3.0 + number / 10)
            crash(table, 100 + number, 3.0 + number / 10, names[10:])
            table.verdict([BAD], 3.0 + number / 10)
        suspects, ends, blocks = table.export(63.0)
        self.assertLessEqual(len(suspects), MAX_SUSPECTS)
        self.assertLessEqual(len(ends), MAX_ENDS)
        self.assertLessEqual(len(blocks), MAX_BLOCKS)
        self.assertLessEqual(len(table._familiar), MAX_FAMILIAR)
        self.assertIsInstance(table.verdict([BAD], 63.0), Blocked)
