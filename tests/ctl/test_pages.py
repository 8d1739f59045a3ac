"""Test the generated pages against the code that they describe."""

import testtools

from cicadapassctl.pages import pages
from tests.run import ROOT


class PagesTest(testtools.TestCase):
    def test_committed_pages_are_current(self):
        """The committed pages must equal the generated ones; run `make docs`."""
        for name, text in pages().items():
            committed = (ROOT / "docs" / name).read_text(encoding="utf-8")
            self.assertEqual(text, committed, f"docs/{name} is stale; run `make docs`")
