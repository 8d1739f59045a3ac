"""Test the schema of the inventory against its committed copy."""

import json

import testtools

from cicadapass_decisions.schema import INVENTORY_SCHEMA
from tests.run import ROOT


class SchemaTest(testtools.TestCase):
    def test_committed_copy_is_equal(self):
        """The schema for operators' editors must equal the one that nodes use."""
        text = (ROOT / "docs" / "inventory.schema.json").read_text()
        self.assertEqual(INVENTORY_SCHEMA, json.loads(text))
