"""Test that all nodes together keep the limits that engines name."""

import asyncio

import testtools

from tests.gateway.enginecluster import EngineCluster, Load
from tests.gateway.virtualcluster import run_virtual

# The platform's bound: from this long after an engine first named a limit, it gets at
# most this factor of what the limit allows in a window, and so many requests more.
CONTACT_S = 3.0
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
SETTLE_S = 4.0
FIRST_NAMED_S = 3.0
LIMITS_PER_S = (1.3, 2.5, 0.8)


async def play(nodes, engines, seed, rate, limits, length_s, disturb=None):
    """Play; the first engines name limits after some seconds."""
    cluster = EngineCluster(
        nodes, engines, seed, Load(requests_per_s=rate, crashing_fraction=0.0)
    )
    await cluster.start(SETTLE_S)
    cluster.started_s = cluster.now_s()

    async def name_limits():
        await asyncio.sleep(FIRST_NAMED_S)
        for number, limit_per_s in enumerate(limits):
            cluster.engines[f"i-{number}"].limit_per_s = limit_per_s

    cluster.spawn(name_limits())
    if disturb is not None:
        cluster.spawn(disturb(cluster))
    await cluster.run(length_s)
    return cluster


class UpstreamLimitTest(testtools.TestCase):
    def check(self, cluster, limits, length_s):
        """Expect no window with more requests than the bound."""
        from_s = cluster.started_s + FIRST_NAMED_S + CONTACT_S
        to_s = cluster.started_s + length_s
        for number, limit_per_s in enumerate(limits):
            most = cluster.observations.arrivals_in_window(
                f"i-{number}", from_s, to_s, WINDOW_S
            )
            allowed = FACTOR * limit_per_s * WINDOW_S + SLACK
            self.assertLessEqual(most, allowed, f"limit {limit_per_s}")

    def test_engines_get_no_more_than_the_limits_that_they_name(self):
        """Seven nodes sent an engine several times the limit that it had named."""
        for seed in (1, 2, 3):
            cluster = run_virtual(play(7, 9, seed, 60.0, LIMITS_PER_S, 25.0))
            self.check(cluster, LIMITS_PER_S, 25.0)
            served = cluster.observations.served_fraction(
                cluster.started_s, cluster.started_s + 25.0
            )
            self.assertGreater(served, 0.9)

    def test_engines_of_a_large_deployment_get_no_more_either(self):
        """Shares of many nodes added up to more than the limit."""
        limits = (1.3, 20.0, 0.8, 60.0)
        cluster = run_virtual(play(58, 64, 1, 180.0, limits, 14.0))
        self.check(cluster, limits, 14.0)
