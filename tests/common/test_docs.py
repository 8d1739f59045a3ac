"""Test that the documentation refers to existing files, modules and commands."""

import re

import testtools

from tests.run import ROOT

LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
MODULE = re.compile(r"`(\w+\.py)`")
MAKE = re.compile(r"`make (\w+)`")
TARGET = re.compile(r"^(\w+):", re.MULTILINE)
SECTION = re.compile(r"^### (2\.[123]) .*?\n(.*?)(?=^##)", re.MULTILINE | re.DOTALL)
PACKAGES = {
    "2.1": "packages/decisions/cicadapass_decisions",
    "2.2": "packages/common/cicadapass_common",
    "2.3": "packages/node/cicadapass",
}
MACHINE_PATH = re.compile(r"(?<![\w.:/])/(?:work|home|root|tmp|Users)/\w")


def pages():
    """Return the Markdown pages of the repository."""
    paths = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md"), *ROOT.glob("*/README.md")]
    return sorted(set(paths))


class PagesTest(testtools.TestCase):
    def test_relative_links_point_to_files(self):
        """A link to a renamed or deleted page would be dead."""
        for page in pages():
            for target in LINK.findall(page.read_text()):
                if "://" not in target:
                    self.assertTrue((page.parent / target).exists(), (page, target))

    def test_modules_of_the_design_exist(self):
        """The design page must not name a renamed or deleted module."""
        sections = dict(SECTION.findall((ROOT / "docs/design.md").read_text()))
        self.assertEqual(set(PACKAGES), set(sections))
        for number, text in sections.items():
            for row in re.findall(r"^\| (`[^|]*) \|", text, re.MULTILINE):
                for name in MODULE.findall(row):
                    path = ROOT / PACKAGES[number] / name
                    self.assertTrue(path.exists(), path)

    def test_make_commands_of_the_readme_exist(self):
        """The README must not name a missing make target."""
        named = set(MAKE.findall((ROOT / "README.md").read_text()))
        targets = set(TARGET.findall((ROOT / "Makefile").read_text()))
        self.assertTrue(named)
        self.assertEqual(set(), named - targets)

    def test_no_page_names_a_path_of_one_machine(self):
        """An absolute path of one machine does not exist on others."""
        for page in pages():
            for number, line in enumerate(page.read_text().splitlines(), 1):
                self.assertIsNone(MACHINE_PATH.search(line), f"{page}:{number}")
