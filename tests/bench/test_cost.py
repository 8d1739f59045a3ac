"""Tests of the measurement of a node's cost."""

import asyncio
import contextlib

import testtools

from cicadapass_bench import cost, costtraffic


class CostTest(testtools.TestCase):
    def test_table_has_medians_and_ratios_to_the_last_build(self):
        """A ratio against the wrong build would show a loss as a gain."""
        now = cost.Build("now", cost.ROOT, samples={"a call (us)": [90.0, 50.0, 40.0]})
        before = cost.Build("old", cost.ROOT, samples={"a call (us)": [100.0]})
        self.assertEqual(
            "| a call (us) | 50.00 | 100.00 | 0.50 |",
            cost.table([now, before]).splitlines()[-1],
        )

    def test_node_answers_the_sample_calls_beside_fake_members(self):
        """Refused calls would be measured as cheap ones."""

        async def run():
            build = cost.Build("now", cost.ROOT)
            async with contextlib.AsyncExitStack() as stack:
                await stack.enter_async_context(cost.running_node(build, 3))
                while build.running.members.template is None:
                    await asyncio.sleep(0.01)
                for kind in cost.KINDS:
                    build.running.events = kind.events
                    # Raises RuntimeError for any other status than 200.
                    await build.running.call(kind.path, kind.tokens, 10, 2)
                return build.cpu_s, build.running.connections

        cpu_s, connections = asyncio.run(run())
        self.assertGreater(cpu_s, 0.0)
        self.assertGreater(connections, 0)
        self.assertLessEqual(connections, costtraffic.ENGINES)
