"""Test the order of waiting requests and the times to come back."""

import testtools

from cicadapass_decisions.waitingorder import Waiting, retry_after_s, turn


def waiting(key, priority=0, arrived_s=0.0, expected_s=0.1, **changes):
    """Return a waiting request with a target of 1 s."""
    values = {"target_s": 1.0, "patience_s": 4.0, **changes}
    return Waiting(key, priority, arrived_s, expected_s=expected_s, **values)


def order(requests, now_s):
    """Return the keys in the order of their turns."""
    ranked = sorted(requests, key=lambda each: turn(each, now_s))
    return [each.key for each in ranked]


class TurnTest(testtools.TestCase):
    def test_urgent_requests_go_first(self):
        """The less urgent kind was served more often than the urgent one."""
        requests = [waiting("long", 1, 0.0), waiting("short", 0, 0.5)]
        self.assertEqual(["short", "long"], order(requests, 0.6))

    def test_requests_that_can_be_in_time_go_before_late_ones(self):
        """In an overload, serving the oldest first makes every request late."""
        requests = [waiting("late", arrived_s=0.0), waiting("new", arrived_s=1.0)]
        self.assertEqual(["new", "late"], order(requests, 1.2))

    def test_a_late_request_is_not_passed_over_for_ever(self):
        """Large requests starved behind a stream of new small ones."""
        requests = [waiting("old", arrived_s=0.0), waiting("new", arrived_s=1.9)]
        self.assertEqual(["old", "new"], order(requests, 2.0))


class RetryAfterTest(testtools.TestCase):
    def test_returns_are_spread(self):
        """Callers refused in one burst came back in one burst."""
        times = {retry_after_s(1.0, 15.0, spread / 10) for spread in range(10)}
        self.assertEqual(10, len(times))
        self.assertGreater(max(times) - min(times), 0.8)

    def test_callers_are_not_asked_to_wait_longer_than_they_honour(self):
        """A wait of over a third of the time left is not kept."""
        self.assertLessEqual(retry_after_s(100.0, 3.0, 1.0), 1.0)
        self.assertGreater(retry_after_s(0.0, 3.0, 0.0), 0.0)
