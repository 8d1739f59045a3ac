"""Test the search for crashing prompts on a large deployment, and a control."""

import asyncio

import testtools

from tests.gateway.crashingprompts import check_cluster, play
from tests.gateway.enginecluster import Load
from tests.gateway.virtualcluster import run_virtual


async def end_engines_in_waves(cluster):
    """End engines without notice, alone and together, a few seconds apart."""
    for count in (1, 3, 1, 1, 4, 2, 1):
        await asyncio.sleep(cluster.rng.uniform(0.2, 4.0))
        await cluster.end_engines(count)


class LargeDeploymentTest(testtools.TestCase):
    def test_it_is_sent_to_no_more_engines_of_a_large_deployment(self):
        """Crashes were spread over so many nodes that none saw more than one."""
        load = Load(requests_per_s=180.0, crashing_fraction=0.05)
        check_cluster(self, run_virtual(play(58, 64, 1, load, 20.0)), 20.0)

    def test_engines_that_end_for_other_reasons_block_no_segment(self):
        """A busy segment was blocked after engines had been reclaimed."""
        load = Load(crashing_fraction=0.0)
        for seed in range(7, 11):
            cluster = run_virtual(
                play(7, 9, seed, load, 20.0, disturb=end_engines_in_waves)
            )
            for node in cluster.nodes:
                rendered = node.state.metrics.render()
                self.assertNotIn('segment_changes_total{kind="blocked"}', rendered)
