"""Test the era of the registry that a node tracks."""

import testtools

from cicadapass_decisions.logposition import MAX_ERA
from cicadapass_gateway.registryera import RegistryEra


class RegistryEraTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.era = RegistryEra()
        self.rises, self.odd = [], []
        self.era.subscribe(
            lambda *change: self.rises.append(change),
            lambda *reading: self.odd.append(reading),
        )

    def test_each_rise_is_reported_once(self):
        """Every answer of an era reported its rise."""
        for era in (1, 1, 2, 1):
            self.era.raise_to(era, "peer")
        self.assertEqual([(0, 1, "peer"), (1, 2, "peer")], self.rises)

    def test_a_peer_cannot_name_a_huge_era(self):
        """A malformed era of a peer hid all eras that followed."""
        self.era.raise_to(MAX_ERA + 1, "peer")
        self.assertEqual(0, self.era.value)

    def test_malformed_eras_are_reported(self):
        """An odd era went unnoticed."""
        self.era.record_answer(0, 3, "3", "call")
        self.era.record_answer(3, None, "x", "call")
        self.era.record_answer(3, None, None, "call")
        self.era.record_answer(3, 1, "1", "call")
        self.assertEqual([("x", "call"), ("", "call"), ("1", "call")], self.odd)
        self.assertEqual(3, self.era.value)
