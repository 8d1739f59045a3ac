"""Test the inventory parser and the lookups of the inventory."""

import json

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.inventory import (
    inventory_problems,
    parse_inventory,
    parse_inventory_text,
)
from cicadapass_decisions.policy import Policy
from cicadapass_decisions.problems import schema_problems
from cicadapass_decisions.rule_sections import (
    RULE_SECTIONS,
    ClaimRules,
    DurabilityRules,
)
from cicadapass_decisions.schema import accepts_inventory, inventory_validator
from cicadapass_decisions.schemacompiler import compile_schema
from tests.decisions.documents import document_with, inventory_document, sha256_of

UPSTREAM = "fleets/grabhandle/upstreams/parts-a1"
SERVICE = "fleets/grabhandle/services"
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
KEYS = st.sampled_from(["format", "fleets", "rules", "slots", "kind"]) | st.text()
ANY_JSON = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4)
    ),
    max_leaves=12,
)


def value_paths(document, path=()):
    """Return the path of every value inside a document."""
    paths = []
    pairs = document.items() if isinstance(document, dict) else ()
    for key, item in pairs:
        paths += [(*path, key), *value_paths(item, (*path, key))]
    return paths


VALUE_PATHS = st.sampled_from(
    ["/".join(path) for path in value_paths(inventory_document())]
)


class InventoryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.inventory = parse_inventory(inventory_document()).ok

    def test_same_names_in_two_fleets(self):
        """Upstreams of one fleet must not serve the other fleet's service."""
        upstreams = self.inventory.upstreams("grabhandle", "parts")
        names = [upstream.qualified_name for upstream in upstreams]
        self.assertEqual(["grabhandle/parts-a1", "grabhandle/parts-a2"], names)

    def test_credential_identifies_its_workspace(self):
        """A credential of one fleet must not authenticate for another fleet."""
        principal = self.inventory.principal(sha256_of("klasite-k1"))
        self.assertEqual("klasite/counter", principal.workspace.qualified_name)
        self.assertIsNone(self.inventory.principal(sha256_of("other")))

    def test_calls_are_repeatable_only_where_safe(self):
        """Another spelling of a path must not make an unsafe call repeatable."""
        orders = self.inventory.service("grabhandle", "orders")
        cases = [
            ("GET", "/stock", True),
            ("POST", "/stock", False),
            ("POST", "/search?q=1", True),
            ("GET", "/take/7", False),
            ("GET", "/%74ake/7", False),
            ("GET", "/x/../take/7", False),
            ("GET", "//take/7", False),
            ("GET", "/take/look", True),
        ]
        for method, path, expected in cases:
            self.assertEqual(expected, orders.is_repeatable(method, path), path)

    def test_unset_rules_have_their_defaults(self):
        """A rule in the document must not change the others from their defaults."""
        rules = self.inventory.rules
        self.assertEqual(ClaimRules(window_s=600.0), rules.of(ClaimRules))
        self.assertEqual(DurabilityRules(), rules.of(DurabilityRules))
        self.assertRaises(KeyError, rules.of, int)
        self.assertEqual(Policy(), rules.policy)


class ProblemsTest(testtools.TestCase):
    def test_each_mistake_is_found_with_its_path(self):
        """A mistake that passes validation would be in force on every node."""
        duplicate = [{"id": "k1", "sha256": sha256_of("klasite-k1")}]
        cases = [
            ("format", 2, "/format"),
            ("fleets", {}, "/fleets"),
            ("colour", 1, "/colour"),
            (f"{UPSTREAM}/slots", 0, f"/{UPSTREAM}/slots"),
            (f"{UPSTREAM}/slots", True, f"/{UPSTREAM}/slots"),
            (f"{UPSTREAM}/price_per_hour", float("nan"), f"/{UPSTREAM}/price_per_hour"),
            (f"{UPSTREAM}/service", "nothing", f"/{UPSTREAM}/service"),
            (f"{UPSTREAM}/data_centre", "dc-b", f"/{UPSTREAM}/data_centre"),
            (f"{UPSTREAM}/url", "http://h:99999", f"/{UPSTREAM}/url"),
            (f"{UPSTREAM}/url", "http://127.0.0.1:9101/", "/fleets/klasite/upstreams"),
            ("fleets/grabhandle/upstreams/a b", {}, "/fleets/grabhandle/upstreams/a b"),
            (f"{SERVICE}/parts/model", None, f"/{SERVICE}/parts/model"),
            (f"{SERVICE}/orders/model", "m", f"/{SERVICE}/orders/model"),
            (f"{SERVICE}/new", {"kind": "model"}, f"/{SERVICE}/new/model"),
            ("rules/claims/window", 1, "/rules/claims/window"),
            ("rules/claims/window_s", 1, "/rules/claims/window_s"),
            ("rules/colour", {}, "/rules/colour"),
            ("rules/retry", {"backoff_s": 2}, "/rules/retry/backoff_s"),
            (
                "fleets/grabhandle/workspaces/counter/credentials",
                duplicate,
                "/fleets/klasite/workspaces/counter/credentials/0/sha256",
            ),
        ]
        for path, value, expected in cases:
            problems = inventory_problems(document_with(path, value))
            is_reported = any(problem.path.startswith(expected) for problem in problems)
            self.assertTrue(is_reported, f"{path}={value!r}: {problems}")

    def test_all_mistakes_at_once(self):
        """An operator must not have to publish once for each mistake."""
        document = document_with(f"{UPSTREAM}/slots", "many")
        document["fleets"]["klasite"]["upstreams"]["parts-a1"]["service"] = "nothing"
        document["fleets"]["klasite"]["region"] = ""
        self.assertEqual(3, len(inventory_problems(document)))

    def test_remedy_names_a_similar_key(self):
        """The remedy for a misspelt rule must name the correct one."""
        (problem,) = inventory_problems(document_with("rules/claims/windows_s", 60))
        self.assertEqual("did you mean window_s?", problem.remedy)

    def test_credentials_are_not_shown(self):
        """A credential pasted in place of its hash must not reach a log."""
        document = document_with(
            "fleets/grabhandle/workspaces/counter/credentials",
            [{"id": "k1", "sha256": "top-secret"}],
        )
        self.assertNotIn("top-secret", str(inventory_problems(document)[0]))

    def test_repeated_keys(self):
        """Repeated keys must be reported, because parsers drop the first entry."""
        text = json.dumps(inventory_document()).replace("parts-a2", "parts-a1")
        (problem,) = parse_inventory_text(text).error
        self.assertIn("parts-a1", problem.remedy)

    def test_invalid_json_is_an_error(self):
        """Text that is not JSON must give an error result, never an exception."""
        for text in ("", b"\xff", "[" * 100000, "1" * 5000, '{"a": NaN}'):
            self.assertTrue(parse_inventory_text(text).is_error())

    def test_unknown_schema_keyword_is_refused(self):
        """An ignored keyword would silently weaken the compiled check."""
        self.assertRaises(TypeError, compile_schema, {"multipleOf": 2})


class FuzzTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(ANY_JSON)
    def test_any_json_gives_a_result(self, document):
        """No published document may raise in the nodes that read it."""
        parse_inventory(document)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(VALUE_PATHS, ANY_JSON)
    def test_one_changed_value(self, path, value):
        """The compiled check must never accept what the schema rejects."""
        document = document_with(path, value)
        parse_inventory(document)
        problems = schema_problems(inventory_validator.iter_errors, document)
        self.assertFalse(problems and accepts_inventory(document), problems)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.sampled_from(sorted(RULE_SECTIONS)), ANY_JSON)
    def test_any_rules_give_a_result(self, section, value):
        """A rule of an unexpected type must be a mistake, never an exception."""
        parse_inventory(document_with(f"rules/{section}", value))

    def test_valid_document_takes_the_fast_path(self):
        """The compiled check must accept valid documents, to skip the slow one."""
        self.assertTrue(accepts_inventory(inventory_document()))
