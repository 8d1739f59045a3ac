"""Compare the sums of the rate limiter with plain ones."""

import random

import testtools

from cicadapass_decisions.limitsampling import HORIZON_PARTS, LimitState
from cicadapass_decisions.ratelimit import (
    RECENT_USE_S,
    LimitTolerance,
    RateLimiter,
)

WINDOW_S = 8.0
RATE = 12_000.0
PEERS = 60


class PlainLimiter(RateLimiter):
    """Visit each step of each peer for each sum."""

    def _count(self, account, limit, now_s):
        """Return the sums, with those over the steps taken anew."""
        for peer in account.peers.values():
            peer.usage.trim(now_s - self._window_s)
        counted = super()._count(account, limit, now_s)
        live = [
            peer
            for peer in account.peers.values()
            if now_s - peer.received_s < self._peer_silence_s
        ]
        since_s = now_s - RECENT_USE_S
        counted.usages = [account.usage, account.before_start]
        counted.usages += [peer.usage for peer in live]
        counted.recent = sum(each.amount_since(since_s) for each in counted.usages)
        ages = [(peer.demand, now_s - peer.received_s) for peer in live]
        unknown_s = self._unknown_s
        demand = sum(each for each, _ in ages)
        unknown = self._unknown_peers() / 4.0
        counted.demand = max(
            demand + account.demand * (1.0 + unknown), counted.recent * WINDOW_S
        )
        heard = sum(each * min(age_s, unknown_s) for each, age_s in ages)
        unheard = sum(each * max(0.0, age_s - unknown_s) for each, age_s in ages)
        counted.unreported = heard * account.mean_probability / WINDOW_S
        unheard /= max(limit, counted.demand) * WINDOW_S
        counted.unreported += unheard * limit
        return counted

    def _limit_state(self, counted, room, now_s):
        """Return the state with all that leaves the window."""
        start_s = now_s - self._window_s
        leaving = tuple(
            sum(
                each.amount_before(start_s + part * self._unknown_s)
                for each in counted.usages
            )
            for part in HORIZON_PARTS
        )
        return LimitState(
            room - counted.unreported,
            leaving,
            counted.demand,
            self._window_s,
            self._unknown_s,
        )


def decisions(limiter_class, load, seed):
    """Return the decisions of a node whose peers report at random times."""
    rng = random.Random(seed)
    tolerance = LimitTolerance(fraction=0.1, amount=14_000.0)
    limiter = limiter_class(WINDOW_S, -100.0, tolerance, random.Random(seed))
    limiter.set_round(1.2)
    limiter.set_node_count(PEERS + 1)
    totals = [0.0] * PEERS
    decided = []
    for step in range(1500):
        now_s = 0.02 * step
        # The last fifth of the peers falls silent after half of the time.
        peer = rng.randrange(PEERS if step < 750 else 4 * PEERS // 5)
        added = rng.choice((0.0, 200.0, 1800.0)) * load
        totals[peer] += added
        row = (totals[peer], 2.0 * added, 4.0 * added, 2.0)
        record = rng.choice((limiter.record_peer_totals, limiter.record_peer_report))
        record(str(peer), {"w": row}, 100.0 + now_s, now_s)
        if step % 25 == 0:
            limiter.tick(now_s, 0.5)
        decided.append(limiter.admit("w", RATE, RATE, rng.choice((20.0, 90.0)), now_s))
    return decided


class SumsTest(testtools.TestCase):
    def test_the_decisions_are_those_of_plain_sums(self):
        """A sum that is skipped or kept must not change who is refused."""
        for load, least, most in ((0.1, 0, 0), (0.35, 300, 1200), (0.8, 1200, 1499)):
            for seed in range(2):
                plain = decisions(PlainLimiter, load, seed)
                refused = sum(each is not None for each in plain)
                self.assertTrue(least <= refused <= most, refused)
                self.assertEqual(plain, decisions(RateLimiter, load, seed))
