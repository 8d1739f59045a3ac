"""Test the order of queued requests and the times to retry."""

import testtools

from cicadapass_decisions.queueorder import QueuedRequest, queue_rank, retry_after_s


def queued(key, priority=0, arrived_s=0.0, expected_s=0.1, **changes):
    """Return a queued request with a target of 1 s."""
    values = {"target_s": 1.0, "max_wait_s": 4.0, **changes}
    return QueuedRequest(key, priority, arrived_s, expected_s=expected_s, **values)


def ranked_keys(requests, now_s):
    """Return the keys of requests in the order of their ranks."""
    ranked = sorted(requests, key=lambda each: queue_rank(each, now_s))
    return [each.key for each in ranked]


class QueueRankTest(testtools.TestCase):
    def test_higher_priority_goes_first(self):
        """Requests with a lower priority were served more often."""
        requests = [queued("long", 1, 0.0), queued("short", 0, 0.5)]
        self.assertEqual(["short", "long"], ranked_keys(requests, 0.6))

    def test_requests_in_time_go_before_late_ones(self):
        """Under overload, all requests were late, as the oldest was served first."""
        requests = [queued("late", arrived_s=0.0), queued("new", arrived_s=1.0)]
        self.assertEqual(["new", "late"], ranked_keys(requests, 1.2))

    def test_overdue_request_goes_first(self):
        """Large requests starved while new small ones kept arriving."""
        requests = [queued("old", arrived_s=0.0), queued("new", arrived_s=1.9)]
        self.assertEqual(["old", "new"], ranked_keys(requests, 2.0))


class RetryAfterTest(testtools.TestCase):
    def test_retry_times_are_spread(self):
        """Callers that were refused in one burst retried in one burst."""
        times = {retry_after_s(1.0, 15.0, spread / 10) for spread in range(10)}
        self.assertEqual(10, len(times))
        self.assertGreater(max(times) - min(times), 0.8)

    def test_retry_after_is_bounded_by_the_time_left(self):
        """Callers ignore a retry time of over a third of their remaining time."""
        self.assertLessEqual(retry_after_s(100.0, 3.0, 1.0), 1.0)
        self.assertGreater(retry_after_s(0.0, 3.0, 0.0), 0.0)

    def test_retry_times_at_the_bound_are_spread(self):
        """Callers refused in a long overload all returned after the same time."""
        times = [retry_after_s(100.0, 3.0, spread / 10) for spread in range(11)]
        self.assertEqual(11, len(set(times)))
        self.assertGreater(max(times) - min(times), 0.4)
        self.assertLessEqual(max(times), 1.0)
