"""Test the sums of the loads that peers report of an upstream."""

import random

import testtools

from cicadapass_decisions.peerloads import PEER_LOAD_MAX_AGE_S, PeerLoad, PeerLoads


def _plain_sums(loads, prefill_s_per_token, now_s):
    """Return the sums over all loads that have not expired, each evaluated anew."""
    fresh = [
        load for load in loads.values() if now_s - load.received_s < PEER_LOAD_MAX_AGE_S
    ]
    tokens = [
        max(0.0, load.prefill_tokens - (now_s - load.received_s) / prefill_s_per_token)
        for load in fresh
    ]
    return sum(load.running for load in fresh), sum(tokens)


class PeerLoadsTest(testtools.TestCase):
    def test_kept_sums_equal_sums_over_all_loads(self):
        """A sum that was kept too long sent requests to engines that look idle.

        The load is that of 12 nodes at one engine: reports, prompts in between, ends,
        silences of seconds, and speeds that change.
        """
        for seed in range(60):
            rng = random.Random(seed)
            kept, plain, now_s = PeerLoads(), {}, 100.0
            for _ in range(200):
                now_s += rng.choice((0.0, 0.001, 0.2, 0.9, 3.0))
                peer = f"p{rng.randrange(12)}"
                if rng.random() < 0.2:
                    kept.remove(peer)
                    plain.pop(peer, None)
                elif rng.random() < 0.6:
                    tokens = rng.choice((0.0, 700.5, 20_000.25))
                    # A clock read before an earlier report's gives an older time.
                    received_s = now_s - rng.choice((0.0, 0.0, 0.1, 2.9, -0.3))
                    plain[peer] = PeerLoad(rng.randrange(4), tokens, received_s)
                    kept.set(peer, plain[peer])
                speed = rng.choice((0.00002, 0.0001))
                running, tokens = _plain_sums(plain, speed, now_s)
                self.assertEqual(running, kept.running(now_s))
                self.assertEqual(tokens, kept.prefill_tokens(speed, now_s))

    def test_kept_sums_hold_for_loads_that_are_mostly_equal(self):
        """A load of which only the age changed was counted twice, or kept too long."""
        for seed in range(60):
            rng = random.Random(seed)
            kept, plain, now_s = PeerLoads(), {}, 100.0
            for _ in range(200):
                now_s += rng.choice((0.0, 0.2, 0.9, 2.9, 3.0, 7.0))
                peer = f"p{rng.randrange(3)}"
                if rng.random() < 0.1:
                    kept.remove(peer)
                    plain.pop(peer, None)
                elif rng.random() < 0.9:
                    tokens = rng.choice((0.0, 0.0, 0.0, 700.5))
                    received_s = now_s - rng.choice((0.0, 0.0, 1.0, 2.9, 4.0, -0.3))
                    plain[peer] = PeerLoad(rng.choice((1, 1, 2)), tokens, received_s)
                    kept.set(peer, plain[peer])
                if rng.random() < 0.5:
                    continue
                running, tokens = _plain_sums(plain, 0.0001, now_s)
                self.assertEqual(running, kept.running(now_s))
                self.assertEqual(tokens, kept.prefill_tokens(0.0001, now_s))

    def test_repeated_load_renews_its_age(self):
        """A load that was skipped as unchanged expired while its peer reported it."""
        loads = PeerLoads()
        for second in range(10):
            loads.set("p", PeerLoad(2, 0.0, float(second)))
            self.assertEqual(2, loads.running(second + 0.5))
        self.assertEqual(0, loads.running(9.0 + PEER_LOAD_MAX_AGE_S))

    def test_repeated_load_counts_again_after_it_has_expired(self):
        """The sum lacked an equal load that came back after a silence of its peer."""
        loads = PeerLoads()
        loads.set("p", PeerLoad(2, 0.0, 0.0))
        loads.set("q", PeerLoad(1, 0.0, 0.0))
        loads.set("q", PeerLoad(1, 0.0, 2.0))
        self.assertEqual(1, loads.running(4.0))
        loads.set("p", PeerLoad(2, 0.0, 4.0))
        self.assertEqual(3, loads.running(4.0))

    def test_repeated_load_with_tokens_is_evaluated_from_its_report(self):
        """Tokens were taken for read since an earlier report of the same number."""
        loads = PeerLoads()
        for second in range(3):
            loads.set("p", PeerLoad(1, 1000.0, float(second)))
            self.assertEqual(500.0, loads.prefill_tokens(0.001, second + 0.5))
