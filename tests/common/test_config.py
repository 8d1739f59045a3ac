"""Test the settings reader."""

import json
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_common.config import (
    defaults_document,
    parse_settings,
    read_settings,
    settings_from_document,
)
from cicadapass_decisions.options import option


class Mode(StrEnum):
    FAST = "fast"
    SAFE = "safe"


@dataclass(frozen=True)
class Limits:
    body_bytes: int = option(1024, "The largest body.", low=1, high=2048)
    wait_s: float = 1.5


@dataclass(frozen=True)
class Spec:
    name: str = option(meaning="The name.", pattern="^[a-z]+$", remedy="use letters")
    limits: Limits = Limits()
    mode: Mode = Mode.SAFE
    peers: tuple[str, ...] = ()
    comment: str | None = None
    on: bool = False


KEYS = st.sampled_from(["name", "limits", "mode", "peers", "body_bytes"]) | st.text()
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4)
    ),
    max_leaves=10,
)


class ConfigTest(testtools.TestCase):
    def test_values_are_converted_to_their_types(self):
        """JSON lists, texts and integers must become the types of the dataclass."""
        text = '{"name": "a", "peers": ["b"], "mode": "fast", "limits": {"wait_s": 2}}'
        parsed = parse_settings(text, Spec).ok
        expected = Spec("a", Limits(wait_s=2.0), Mode.FAST, ("b",))
        self.assertEqual(expected, parsed)
        self.assertIsInstance(parsed.limits.wait_s, float)

    def test_all_mistakes_are_reported_at_once(self):
        """An unknown key must be reported, because it may be a misspelt limit."""
        document = {
            "limits": {"body_bytes": 0, "wait": 1},
            "mode": "quick",
            "peers": [1],
            "on": 1,
        }
        problems = settings_from_document(document, Spec).error
        paths = [problem.path for problem in problems]
        expected = ["/limits/body_bytes", "/limits/wait", "/mode", "/name", "/on"]
        self.assertEqual([*expected, "/peers/0"], paths)
        self.assertIn("from 1 to 2048 bytes", problems[0].allowed)
        self.assertEqual("did you mean wait_s?", problems[1].remedy)

    def test_problem_gives_the_remedy_of_the_setting(self):
        """A problem must include the remedy that the setting declares."""
        (problem,) = settings_from_document({"name": "A"}, Spec).error
        self.assertEqual("use letters", problem.remedy)

    def test_unreadable_file_is_a_problem(self):
        """A wrong path must be reported as a problem and not raise."""
        self.assertTrue(read_settings("/nonexistent/\0", Spec).is_error())
        self.assertTrue(read_settings(Path("/nonexistent"), Spec).is_error())

    def test_defaults_lack_only_what_is_required(self):
        """The printed defaults must be valid once the required values are filled in."""
        document = defaults_document(Spec)
        self.assertEqual("REQUIRED: The name.", document["name"])
        document["name"] = "a"
        text = json.dumps(document)
        self.assertEqual(Spec("a"), parse_settings(text, Spec).ok)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(ANY_JSON)
    def test_any_json_gives_a_result_without_raising(self, document):
        """An invalid settings file must give problems and not raise."""
        settings_from_document(document, Spec)
