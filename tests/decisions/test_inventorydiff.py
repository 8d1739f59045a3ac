"""Test the differences between inventories."""

import testtools

from cicadapass_decisions.inventory import parse_inventory
from cicadapass_decisions.inventorydiff import diff_inventories
from tests.decisions.documents import document_with, inventory_document


def lines(old, new):
    """Return the changes between two valid documents as lines."""
    changes = diff_inventories(parse_inventory(old).ok, parse_inventory(new).ok)
    return [str(change) for change in changes]


class DiffTest(testtools.TestCase):
    def test_equal_documents(self):
        """A document that is published again must show no change."""
        self.assertEqual([], lines(inventory_document(), inventory_document()))

    def test_changed_fields_and_rules(self):
        """A change must name the fleet, because fleets share short names."""
        new = document_with("fleets/klasite/upstreams/parts-a1/slots", 9)
        new["rules"] = {}
        expected = [
            "changed upstream klasite/parts-a1: slots 8 -> 9",
            "changed rule claims: window_s 600.0 -> 3600.0",
        ]
        self.assertEqual(expected, lines(inventory_document(), new))

    def test_removed_fleet_lists_its_entries(self):
        """A fleet omitted by mistake must be listed with all of its entries."""
        new = inventory_document()
        del new["fleets"]["klasite"]
        removed = lines(inventory_document(), new)
        self.assertIn("removed fleet klasite", removed)
        self.assertIn("removed upstream klasite/parts-a1", removed)
        self.assertEqual(len(removed), len(lines(new, inventory_document())))

    def test_credentials_appear_by_id(self):
        """A changed credential must be identified by its id instead of its hash."""
        path = "fleets/klasite/workspaces/counter/credentials"
        (line,) = lines(inventory_document(), document_with(path, []))
        self.assertIn('credentials [{id="k1"}] -> []', line)
