"""Explore orders of events in which the manifest changes while streams last."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.gateway.test_versionknowledge_orders import (
    DISTURBANCES,
    RETURNS,
    Play,
    events,
)
from tests.gateway.virtualcluster import run_virtual

LIMITS = ("lower", "lower", "raise_", "restore")
ROUTES = ("end_resumes", "allow_resumes", "end_route", "add_route")


def some(*kinds, most=1, **changes):
    """Draw a few events of some kinds, or none."""
    return st.lists(events(*kinds, **changes), max_size=most)


def one(kind, **changes):
    """Draw one event of a kind."""
    return events(kind, **changes).map(lambda event: [event])


# The manifest changes before streams begin, while they last and before they come back;
# nodes learn of it late, not at all or by starting.
SCENES = st.tuples(
    some(*DISTURBANCES),
    some(*LIMITS, *ROUTES),
    one("engine", pauses_s=(0.3, 1.0)),
    some(*DISTURBANCES),
    one("streams"),
    some("engine_ends", "engine_ends", "kill"),
    some(*LIMITS, *ROUTES, most=2),
    some(*RETURNS, "kill_all", most=2),
    one("wait", pauses_s=(0.3, 2.6, 7.5)),
    some(*LIMITS, *ROUTES, "kill", "kill_all", most=2),
    one("take_ups"),
).map(lambda parts: [event for part in parts for event in part])
ORDERS = st.lists(SCENES, min_size=1, max_size=2).map(
    lambda scenes: [event for scene in scenes for event in scene]
)


class ManifestOrderTest(testtools.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(ORDERS)
    def test_streams_follow_the_newest_manifest(self, events):
        """The limits of the newest manifest counted for streams from before it."""

        async def scenario():
            return await Play().run(events)

        lines = run_virtual(scenario())
        if lines and lines[-1].startswith("JOINED"):
            self.fail("\n".join(lines))
        self.assertIsNone(lines)
