"""Test who gets memory for unfinished requests, and who is shed first."""

import testtools

from cicadapass_decisions.memorybudget import (
    Holding,
    ShedReason,
    Upload,
    choose_evictions,
    has_room,
    plan_grants,
)

CAPACITY_BYTES = 4_000_000


def holding(key, held_bytes, group="a", known=True, **changes):
    """Return what a connection holds."""
    return Holding(key, group, known, held_bytes, **changes)


def plan(*holdings):
    """Return the plan for a budget that only these connections use."""
    used_bytes = sum(each.held_bytes for each in holdings)
    return plan_grants(holdings, used_bytes, CAPACITY_BYTES)


def shed_keys(grant_plan):
    """Return the keys of those shed, in order."""
    return [key for key, _ in grant_plan.shed]


class GrantTest(testtools.TestCase):
    def test_large_requests_leave_room_for_small_ones(self):
        """A few large bodies took all memory, and no short request got any."""
        self.assertFalse(has_room(1_000_000, 1_000_000, 2_500_000, CAPACITY_BYTES))
        self.assertTrue(has_room(100_000, 100_000, 2_950_000, CAPACITY_BYTES))
        self.assertFalse(has_room(100_000, 100_000, 3_950_000, CAPACITY_BYTES))

    def test_smaller_requests_come_first(self):
        """A short request waited behind a long one that did not fit."""
        result = plan(
            holding(1, 2_900_000),
            holding(2, 0, wanted_bytes=1_000_000, waited_s=0.5),
            holding(3, 0, wanted_bytes=70_000),
        )
        self.assertEqual({3}, result.granted)
        self.assertEqual((), result.shed)

    def test_nothing_is_shed_in_vain(self):
        """A stalled caller was refused although no one could use its memory."""
        result = plan(
            holding(1, 2_900_000, unfinished=False, stalled_s=9.0),
            holding(2, 50_000, stalled_s=9.0),
            holding(3, 0, wanted_bytes=1_000_000),
        )
        self.assertEqual((frozenset(), ()), (result.granted, result.shed))


class SheddingTest(testtools.TestCase):
    def test_most_bytes_for_longest_are_shed_first(self):
        """A caller with few bytes was refused before one that held most of them."""
        result = plan(
            holding(1, 1_900_000, "b", stalled_s=2.0),
            holding(2, 1_000_000, "c", stalled_s=2.0),
            holding(3, 1_000_000, "d", stalled_s=5.0),
            holding(4, 0, wanted_bytes=900_000),
        )
        self.assertEqual({4}, result.granted)
        self.assertEqual([3, 1], shed_keys(result))

    def test_a_caller_at_an_ordinary_pace_is_kept(self):
        """A caller that sent without a pause was refused for another one."""
        result = plan(
            holding(1, 3_900_000, stalled_s=0.2),
            holding(2, 70_000, stalled_s=1.5),
            holding(3, 0, wanted_bytes=90_000),
        )
        self.assertEqual([2], shed_keys(result))

    def test_an_upload_that_would_end_too_late_is_shed(self):
        """Callers that sent 1 KB a second were kept for as long as they liked."""
        slow = Upload(1_900_000, 9.0, 30.0, recent_bytes=4000, recent_s=4.0)
        ordinary = Upload(1_900_000, 9.0, 30.0, recent_bytes=400_000, recent_s=4.0)
        self.assertTrue(slow.is_late)
        self.assertFalse(ordinary.is_late)
        result = plan(
            holding(1, 1_950_000, "b", upload=ordinary),
            holding(2, 1_950_000, "c", upload=slow),
            holding(3, 50_000, "d", stalled_s=1.5),
            holding(4, 0, wanted_bytes=100_000),
        )
        self.assertEqual(((2, ShedReason.SLOW),), result.shed)
        self.assertEqual({4}, result.granted)

    def test_an_upload_is_not_judged_by_its_first_bytes(self):
        """A caller that had just begun its body was refused as too slow."""
        begun = Upload(1_900_000, 0.5, 30.0, recent_bytes=0, recent_s=0.5)
        self.assertFalse(begun.is_late)

    def test_an_upload_may_pause_for_a_second(self):
        """A caller that paused once was refused, although it would have ended in time.

        Each of these sends its body at a pace that ends in 2.7 s or 10 s but for the
        pause, which was taken for a part of its pace.
        """
        paused_first = Upload(100_000, 1.1, 2.7, recent_bytes=10_000, recent_s=1.1)
        self.assertFalse(paused_first.is_late)
        paused_later = Upload(400_000, 6.0, 10.0, recent_bytes=110_000, recent_s=2.0)
        self.assertFalse(paused_later.is_late)
        without_pause = Upload(400_000, 6.0, 10.0, recent_bytes=30_000, recent_s=2.0)
        self.assertTrue(without_pause.is_late)

    def test_the_end_of_an_upload_may_be_slower_than_its_beginning(self):
        """A caller that soon had sent its body was refused for the last seconds."""
        ending = Upload(100_000, 20.0, 30.0, recent_bytes=60_000, recent_s=4.0)
        self.assertFalse(ending.is_late)

    def test_a_group_with_most_of_the_memory_is_shed_first(self):
        """Many connections of one workspace pushed out a single one of another."""
        crowd = [holding(key, 300_000, "big", stalled_s=1.0) for key in range(10)]
        result = plan(
            holding(99, 900_000, "small", stalled_s=9.0),
            *crowd,
            holding(100, 0, "new", wanted_bytes=400_000),
        )
        self.assertNotIn(99, shed_keys(result))

    def test_callers_without_a_valid_key_are_shed_before_others(self):
        """A known workspace was refused in favour of an unknown caller."""
        result = plan(
            holding(1, 1_900_000, "w", known=True, stalled_s=2.0),
            holding(2, 1_900_000, "x", known=False, stalled_s=2.0),
            holding(3, 0, wanted_bytes=250_000),
        )
        self.assertEqual([2], shed_keys(result)[:1])

    def test_complete_requests_are_never_shed(self):
        """A request was refused that an upstream had begun."""
        result = plan(
            holding(1, 3_950_000, unfinished=False, stalled_s=9.0),
            holding(2, 0, wanted_bytes=100_000, waited_s=0.1),
        )
        self.assertEqual((frozenset(), ()), (result.granted, result.shed))

    def test_unread_responses_make_room(self):
        """Responses that nobody read grew beyond the memory of the node."""
        result = plan(
            holding(1, 3_000_000, unfinished=False, unread=True, stalled_s=1.5),
            holding(2, 3_000_000, unfinished=False, unread=True, stalled_s=0.5),
            holding(3, 1_000_000, unfinished=False, stalled_s=9.0),
        )
        self.assertEqual(((1, ShedReason.UNREAD),), result.shed)

    def test_those_that_wait_for_one_another_are_refused_in_part(self):
        """Chunked bodies waited for what the others held, and none was completed."""
        crowd = [
            holding(key, 400_000 + key, wanted_bytes=65_536, waited_s=1.1)
            for key in range(8)
        ]
        result = plan(*crowd)
        self.assertEqual([7, 6], shed_keys(result))
        self.assertEqual({ShedReason.NO_MEMORY}, {why for _, why in result.shed})

    def test_a_request_that_waits_too_long_is_refused(self):
        """A request waited for memory until its deadline."""
        used = holding(1, 3_990_000, unfinished=False)
        soon = plan(used, holding(2, 0, wanted_bytes=70_000, waited_s=2.9))
        self.assertEqual((), soon.shed)
        late = plan(used, holding(2, 0, wanted_bytes=70_000, waited_s=3.0))
        self.assertEqual([2], shed_keys(late))

    def test_the_longest_idle_connections_are_closed(self):
        """A new connection closed one on which a request was arriving."""
        idle = [(key, float(key)) for key in range(64)]
        self.assertEqual((63, 62, 61, 60), choose_evictions(idle, 64))
