"""Test the shared types."""

import testtools

from cicadapass_decisions.types import VmId, qualify


class TypesTest(testtools.TestCase):
    def test_same_short_name_in_two_fleets(self):
        """A short name in two fleets must give two qualified names."""
        self.assertNotEqual(qualify("grabhandle", "dc-a"), qualify("klasite", "dc-a"))

    def test_reused_name_is_another_vm(self):
        """A VM that reuses a name must not inherit the old VM's state."""
        self.assertNotEqual(VmId("vm-1", "a"), VmId("vm-1", "b"))
