"""Test the limit on retries."""

import testtools

from cicadapass_decisions.retryallowance import RETRY_RATIO, RetryAllowance


class RetryAllowanceTest(testtools.TestCase):
    def test_retries_are_limited_to_a_ratio_of_requests(self):
        """Retries doubled the load while all upstreams failed."""
        allowance = RetryAllowance(10.0, 8.0)
        for _ in range(100):
            allowance.count_request(0.0)
        granted = sum(allowance.take(1.0, 2) for _ in range(100))
        self.assertEqual(int(2 + 100 * RETRY_RATIO), granted)

    def test_hedges_leave_retries_for_broken_answers(self):
        """Hedges of silent upstreams used up what answers that broke off needed."""
        allowance = RetryAllowance(10.0, 40.0)
        hedges = sum(allowance.take(0.0, 2, hedge=True) for _ in range(20))
        retries = sum(allowance.take(0.0, 2) for _ in range(20))
        self.assertEqual((7, 3), (hedges, retries))

    def test_the_window_slides(self):
        """An exhausted allowance never recovered."""
        allowance = RetryAllowance(10.0, 2.0)
        self.assertTrue(allowance.take(0.0, 1))
        self.assertFalse(allowance.take(5.0, 1))
        self.assertTrue(allowance.take(10.5, 1))

    def test_nodes_together_stay_within_the_slack(self):
        """Each node used a fixed slack, and 58 nodes together exceeded the limit."""
        slack = 156.0
        nodes = [RetryAllowance(10.0, slack) for _ in range(58)]
        granted = sum(each.take(0.0, 58) for each in nodes for _ in range(50))
        self.assertLessEqual(granted, slack)
