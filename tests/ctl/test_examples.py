"""Test the documents in examples/."""

import json

import testtools

from cicadapass_common.config import read_settings
from cicadapass_common.credentials import hash_credential
from cicadapass_decisions.inventory import ServiceKind, parse_inventory_text
from cicadapassctl.config import Settings
from tests.run import ROOT

EXAMPLES = ROOT / "examples"
COMBINED = EXAMPLES / "grabhandle-klasite.json"


class ExamplesTest(testtools.TestCase):
    def test_inventories_are_valid(self):
        """Every example inventory must be valid."""
        for name in ("grabhandle", "klasite", "grabhandle-klasite"):
            result = parse_inventory_text((EXAMPLES / f"{name}.json").read_bytes())
            self.assertTrue(result.is_ok(), f"{name}: {result}")

    def test_combined_example_has_expected_sizes_and_shared_names(self):
        """The combined example must have these sizes and names used by both fleets."""
        inventory = parse_inventory_text(COMBINED.read_bytes()).ok
        grabhandle, klasite = (
            inventory.fleets["grabhandle"],
            inventory.fleets["klasite"],
        )
        for fleet, engines in ((grabhandle, 10), (klasite, 5)):
            kinds = [fleet.services[u.service].kind for u in fleet.upstreams.values()]
            self.assertEqual(engines, kinds.count(ServiceKind.MODEL))
            self.assertEqual(3, kinds.count(ServiceKind.PLAIN))
            self.assertEqual(3, len(fleet.data_centres))
            self.assertEqual(5, len(fleet.workspaces))
        for section in ("data_centres", "services", "upstreams", "workspaces"):
            self.assertTrue(
                {*getattr(grabhandle, section)} & {*getattr(klasite, section)}, section
            )

    def test_combined_example_equals_the_single_ones(self):
        """The combined example must equal the single ones, fleet by fleet."""
        combined = json.loads(COMBINED.read_text())["fleets"]
        for name in ("grabhandle", "klasite"):
            single = json.loads((EXAMPLES / f"{name}.json").read_text())
            self.assertEqual(single["fleets"][name], combined[name])

    def test_credentials_are_the_documented_ones(self):
        """The documented example credentials must be those of the inventory."""
        inventory = parse_inventory_text(COMBINED.read_bytes()).ok
        for fleet in inventory.fleets.values():
            for name in fleet.workspaces:
                sha256 = hash_credential(f"cicadapass-example-{fleet.name}-{name}")
                principal = inventory.principal(sha256)
                self.assertEqual(
                    f"{fleet.name}/{name}", principal.workspace.qualified_name
                )

    def test_settings(self):
        """The example settings must be valid for the command line."""
        result = read_settings(EXAMPLES / "cicadapassctl.json", Settings)
        self.assertTrue(result.is_ok(), str(result))
