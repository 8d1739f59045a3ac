"""Test the simulation of the policy on a virtual clock."""

import testtools

from cicadapass_bench import policy_bench
from cicadapass_bench.policy_bench import SWITCHES, Workload, simulate, variant_policy
from cicadapass_decisions.policy import Policy


class PolicyBenchTest(testtools.TestCase):
    def _simulate(self, variant):
        self.patch(policy_bench, "RUN_S", 12.0)
        workload = Workload(30.0, long_per_s=1.0, slow_ratio=10.0)
        return [
            (request.name, request.done_s, request.attempts)
            for request in simulate(variant, workload, 3)
        ]

    def test_same_seed_same_result(self):
        """Variants are compared by seed, so the simulation must be deterministic."""
        self.assertEqual(self._simulate("cicadapass"), self._simulate("cicadapass"))

    def test_every_request_ends(self):
        """A request that the simulation loses would make the measures look better."""
        for variant in ("cicadapass", "round_robin", "least_outstanding"):
            requests = self._simulate(variant)
            self.assertTrue(requests)
            self.assertEqual(
                [], [name for name, done_s, _ in requests if done_s is None]
            )

    def test_each_variant_changes_one_switch(self):
        """A variant that disables nothing would show a mechanism without effect."""
        for group, switch in SWITCHES:
            rules = getattr(variant_policy(f"without_{group}.{switch}"), group)
            self.assertTrue(getattr(getattr(Policy(), group), switch))
            self.assertFalse(getattr(rules, switch))
