"""Test the rules."""

import dataclasses

import testtools

from cicadapass_decisions.policy import Policy, rule_specs


class PolicyTest(testtools.TestCase):
    def test_defaults_are_in_range(self):
        """Defaults must be in range, or the schema would reject documents with them."""
        for group in dataclasses.fields(Policy):
            for spec in rule_specs(type(getattr(Policy(), group.name))):
                if spec.type is not bool:
                    self.assertTrue(spec.low <= spec.default <= spec.high, spec)
                self.assertTrue(spec.meaning, spec)
