"""Test which versions get requests before their orders and verdicts are known."""

import testtools

from cicadapass_decisions.heldversions import VersionEngines, provisional_version
from cicadapass_decisions.rollouts import (
    RolloutOrder,
    RolloutState,
    adopt_order,
    decided,
)

ORDERED = adopt_order(None, RolloutOrder("s", "v2", 12.0), 5, 100.0, ["v1"])
OLD, NEW = VersionEngines(20, 1000), VersionEngines(20, 9000)
BOTH = {"v1": OLD, "v2": NEW}


class ProvisionalVersionTest(testtools.TestCase):
    def chosen(self, present, rollout=None):
        """Return the versions before and after the wait for the verdicts."""
        return tuple(
            provisional_version(present, rollout, must_serve=must_serve)
            for must_serve in (False, True)
        )

    def test_a_newer_version_gets_nothing(self):
        """A node that had just started sent to a version that was rolled back."""
        self.assertEqual(("v1", "v1"), self.chosen(BOTH))
        same_start = {"v1": OLD, "v2": VersionEngines(20, 1000)}
        self.assertEqual(("v1", "v1"), self.chosen(same_start, ORDERED))
        # Some engines of the old version have ended since.
        fewer = {"v1": VersionEngines(11, 8000), "v2": NEW}
        self.assertEqual(("v1", "v1"), self.chosen(fewer, ORDERED))

    def test_known_verdicts_are_applied(self):
        """A verdict that a peer reported was ignored until the record was read."""
        rolled_back = decided(ORDERED, RolloutState.ROLLED_BACK)
        more = {"v1": VersionEngines(2, 9500), "v2": NEW}
        self.assertEqual(("v1", "v1"), self.chosen(more, rolled_back))
        succeeded = decided(ORDERED, RolloutState.SUCCEEDED)
        self.assertEqual(("v2", "v2"), self.chosen(BOTH, succeeded))

    def test_the_version_of_most_engines_serves_without_verdicts(self):
        """A node that could not read the record refused all requests."""
        self.assertEqual((None, "v2"), self.chosen({"v2": NEW}, ORDERED))
        stopped = {"v1": VersionEngines(2, 1000), "v2": NEW}
        self.assertEqual(("v1", "v2"), self.chosen(stopped, ORDERED))
        equal = {"v2": OLD, "v1": OLD}
        self.assertEqual((None, "v1"), self.chosen(equal))
        self.assertEqual((None, None), self.chosen({}, ORDERED))

    def test_a_version_alone_serves_at_once(self):
        """A deployment without orders waited for the record before it served."""
        self.assertEqual(("", ""), self.chosen({"": OLD}))
