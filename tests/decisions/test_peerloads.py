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
