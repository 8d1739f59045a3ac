"""Play clusters in which a prompt segment crashes engines."""

from collections import Counter

from tests.gateway.enginecluster import EngineCluster

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


def check_cluster(test, cluster, length_s=LENGTH_S):
    """Expect few late arrivals, and sound requests served as before."""
    seen = cluster.observations
    crashes_s = seen.crashes()
    test.assertGreaterEqual(len(crashes_s), 1)
    late = seen.late_arrivals(CONTACT_S)
    test.assertLessEqual(
        len(late), MAX_LATE_ARRIVALS, Counter(each.way for each in late)
    )
    first_s = cluster.started_s + cluster.load.from_s
    last_s = crashes_s[min(5, len(crashes_s)) - 1] + 2 * CONTACT_S
    before = seen.served_fraction(cluster.started_s, first_s)
    after = seen.served_fraction(last_s, cluster.started_s + length_s)
    test.assertGreater(after, before / 2)
