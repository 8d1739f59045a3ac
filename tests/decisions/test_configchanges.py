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
    CallKind,
    Configuration,
    Route,
    Scaling,
    Service,
    WeightedService,
    Workspace,
)


def route(name, service):
    """Return a route to a service."""
    weighted = (WeightedService(service, 1.0),)
    return Route(name, "h", f"/{name}/", CallKind.SAFE, weighted, 3.0, 0.5)


SCALING = Scaling(1, 2, 4.0, 0.2, {})
OLD = Configuration(
    7,
    (route("a", "s"), route("b", "t")),
    {"s": Service("s", scaling=SCALING), "t": Service("t")},
    (Workspace("w", frozenset({"secret"})), Workspace("keyless", frozenset())),
    CallerLimits(),
)


def changes(**fields):
    """Return the differences after changes of some fields."""
    return compare_configurations(OLD, replace(OLD, version=8, **fields))


class ChangesTest(testtools.TestCase):
    def test_equal_contents_have_no_differences(self):
        """A new version with the same contents looked like a change."""
        self.assertEqual((), changes())

    def test_a_changed_service_names_its_routes_and_callers(self):
        """A change of a service looked as if it affected nobody, or all routes."""
        service = Service("s", scaling=replace(SCALING, maximum=3))
        (change,) = changes(services={**OLD.services, "s": service})
        self.assertEqual(
            ("changed", "services", "s"), (change.kind, change.section, change.name)
        )
        self.assertEqual((FieldChange("scaling.maximum", 2, 3),), change.fields)
        self.assertEqual((("a",), ("w",)), (change.routes, change.workspaces))

    def test_moved_routes_affect_both_services(self):
        """The service that loses calls was not named."""
        (change,) = changes(routes=(route("a", "t"), route("b", "t")))
        (field,) = change.fields
        self.assertEqual(("services", "t"), (field.name, field.new[0].service))
        self.assertEqual(("s", "t"), change.services)

    def test_entries_are_added_and_removed_by_name(self):
        """A removed entry was shown as a change of the one in its place."""
        found = changes(routes=(route("b", "t"), route("c", "s")))
        self.assertEqual(
            [("added", "c"), ("removed", "a")], [(e.kind, e.name) for e in found]
        )

    def test_keys_are_counted_only(self):
        """The report of a difference contained a key."""
        workspaces = (replace(OLD.workspaces[0], keys=frozenset({"other"})),)
        change, removed = changes(workspaces=workspaces)
        self.assertEqual(
            (FieldChange("keys", "1", "1 (1 added, 1 removed)"),), change.fields
        )
        self.assertEqual(("removed", "keyless"), (removed.kind, removed.name))

    def test_a_version_that_nodes_ignore_is_reported(self):
        """A change was sent under an old version, and no node applied it."""
        changed = replace(OLD, limits=CallerLimits(max_body_bytes=1))
        self.assertEqual(1, len(find_stale_version(OLD, changed)))
        self.assertEqual((), find_stale_version(OLD, replace(changed, version=8)))
        self.assertEqual((), find_stale_version(OLD, OLD))
