"""Test that a prompt segment that crashes engines soon reaches no more of them."""

from collections import Counter

import testtools

from tests.gateway.enginecluster import EngineCluster, Load
from tests.gateway.virtualcluster import run_virtual

# The platform's bound: this long after the fifth crash, at most so many requests with
# the segment reach engines.
CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
SETTLE_S = 4.0
LENGTH_S = 40.0


async def play(nodes, engines, seed, load=None, length_s=LENGTH_S, disturb=None):
    """Start a cluster, send it requests and return it with the observations."""
    cluster = EngineCluster(nodes, engines, seed, load)
    await cluster.start(SETTLE_S)
    cluster.started_s = cluster.now_s()
    if disturb is not None:
        cluster.spawn(disturb(cluster))
    await cluster.run(length_s)
    return cluster


class CrashingSegmentTest(testtools.TestCase):
    def check(self, cluster, length_s=LENGTH_S):
        """Expect few late arrivals, and sound requests served as before."""
        seen = cluster.observations
        crashes_s = seen.crashes()
        self.assertGreaterEqual(len(crashes_s), 1)
        late = seen.late_arrivals(CONTACT_S)
        self.assertLessEqual(
            len(late), MAX_LATE_ARRIVALS, Counter(each.way for each in late)
        )
        first_s = cluster.started_s + cluster.load.from_s
        last_s = crashes_s[min(5, len(crashes_s)) - 1] + 2 * CONTACT_S
        before = seen.served_fraction(cluster.started_s, first_s)
        after = seen.served_fraction(last_s, cluster.started_s + length_s)
        self.assertGreater(after, before / 2)

    def test_a_segment_that_crashes_engines_is_sent_to_no_more_of_them(self):
        """Requests with one prompt segment ended an engine each, one after another."""
        for seed in (1, 2, 3):
            self.check(run_virtual(play(7, 9, seed)))

    def test_it_is_sent_to_no_more_engines_of_a_large_deployment(self):
        """Crashes were spread over so many nodes that none saw more than one."""
        load = Load(requests_per_s=180.0, crashing_fraction=0.05)
        self.check(run_virtual(play(58, 64, 1, load, 20.0)), 20.0)
