"""Test which requests of a workspace are admitted while its limit is scarce."""

from collections import Counter
from random import Random

import testtools

from cicadapass_decisions.limitsampling import ranked_probability
from cicadapass_decisions.ratelimit import LimitTolerance, RateLimiter

# Cost by rank, of a plain call, a short and a long prompt, and requests a second.
COSTS = {0: 200.0, 1: 2400.0, 2: 12000.0}
PER_S = {0: 4, 1: 10, 2: 2}
DEMAND = sum(COSTS[rank] * PER_S[rank] for rank in COSTS)
RATE, WINDOW_S = DEMAND / 2, 8.0


class RankedProbabilityTest(testtools.TestCase):
    def test_as_much_is_admitted_as_with_one_probability(self):
        """Ranks changed how much of the limit was used."""
        demands = {rank: COSTS[rank] * PER_S[rank] for rank in COSTS}
        for probability in (0.0, 0.05, 0.4, 0.9, 1.0):
            admitted = sum(
                demand * ranked_probability(probability, demands, rank)
                for rank, demand in demands.items()
            )
            self.assertAlmostEqual(probability * DEMAND, admitted, places=4)

    def test_no_rank_starves(self):
        """The long prompts of a workspace were all refused for seconds."""
        demands = {0: 1.0, 1: 100.0}
        self.assertGreater(ranked_probability(0.3, demands, 1), 0.05)


class ScarceLimitTest(testtools.TestCase):
    def test_plain_and_urgent_requests_come_first_within_the_limit(self):
        """Calls of 200 tokens were refused as often as prompts of 12,000."""
        limiter = RateLimiter(WINDOW_S, 0.0, LimitTolerance(0.1, 0.0), Random(7))
        limiter.set_node_count(2)
        asked, admitted, used = Counter(), Counter(), 0.0
        for tenth in range(400):
            now_s = 20.0 + tenth / 10
            limiter.record_peer_totals("peer", {}, 100.0, now_s)
            for rank, cost in COSTS.items():
                for _ in range(PER_S[rank]):
                    refused = limiter.admit("w", RATE, 0.0, cost / 10, now_s, rank)
                    if tenth >= 160:
                        asked[rank] += 1
                        admitted[rank] += refused is None
                        used += 0.0 if refused else cost / 10
            limiter.tick(now_s, 0.1)
        shares = {rank: admitted[rank] / asked[rank] for rank in COSTS}
        self.assertGreater(shares[0], 0.85)
        self.assertGreater(shares[1], shares[2] + 0.2)
        self.assertGreater(shares[2], 0.05)
        self.assertLess(used, 1.1 * RATE * 24.0)
