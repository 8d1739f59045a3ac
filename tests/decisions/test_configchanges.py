"""Test the differences between two configurations."""

from dataclasses import replace

import testtools

from cicadapass_decisions.configchanges import (
    FieldChange,
    compare_configurations,
    find_stale_version,
)
from cicadapass_decisions.passthrough import (
    CallerLimits,
    Service,
    WeightedService,
    Workspace,
)
from tests.decisions.configurations import SCALING, configuration, route

A = route("a", prefix="/a/")
B = replace(route("b", prefix="/b/"), services=(WeightedService("s1", 1.0),))
SERVICE = Service("s0", scaling=SCALING)
WORKSPACE = Workspace("w", frozenset({"secret"}))
REST = (SERVICE, Service("s1"), WORKSPACE, Workspace("keyless", frozenset()))
OLD = configuration(A, B, *REST, version=7)


def changes(*entries):
    """Return the differences of a new version with these entries."""
    return compare_configurations(OLD, configuration(*entries, version=8))


class ChangesTest(testtools.TestCase):
    def test_equal_contents_have_no_differences(self):
        """A new version with the same contents looked like a change."""
        self.assertEqual((), changes(A, B, *REST))

    def test_a_changed_service_names_its_routes_and_callers(self):
        """A change of a service looked as if it affected nobody, or all routes."""
        service = replace(SERVICE, scaling=replace(SCALING, maximum=3))
        (change,) = changes(A, B, service, *REST[1:])
        self.assertEqual(
            ("changed", "services", "s0"), (change.kind, change.section, change.name)
        )
        self.assertEqual((FieldChange("scaling.maximum", 2, 3),), change.fields)
        self.assertEqual((("a",), ("w",)), (change.routes, change.workspaces))

    def test_moved_routes_affect_both_services(self):
        """The service that loses calls was not named."""
        (change,) = changes(replace(A, services=B.services), B, *REST)
        moved = FieldChange("services", A.services, B.services)
        self.assertEqual((moved,), change.fields)
        self.assertEqual(("s0", "s1"), change.services)

    def test_entries_are_added_and_removed_by_name(self):
        """A removed entry was shown as a change of the one in its place."""
        found = changes(B, route("c"), *REST)
        self.assertEqual(
            [("added", "c"), ("removed", "a")], [(e.kind, e.name) for e in found]
        )

    def test_keys_are_counted_only(self):
        """The report of a difference contained a key."""
        workspace = replace(WORKSPACE, keys=frozenset({"other"}))
        change, removed = changes(A, B, *REST[:2], workspace)
        counts = FieldChange("keys", "1", "1 (1 added, 1 removed)")
        self.assertEqual((counts,), change.fields)
        self.assertEqual(("removed", "keyless"), (removed.kind, removed.name))

    def test_a_version_that_nodes_ignore_is_reported(self):
        """A change was sent under an old version, and no node applied it."""
        changed = replace(OLD, limits=CallerLimits(max_body_bytes=1))
        self.assertEqual(1, len(find_stale_version(OLD, changed)))
        self.assertEqual((), find_stale_version(OLD, replace(changed, version=8)))
        self.assertEqual((), find_stale_version(OLD, OLD))
        self.assertEqual(1, len(find_stale_version(None, replace(OLD, version=-1))))
        self.assertEqual((), find_stale_version(None, replace(OLD, version=0)))
