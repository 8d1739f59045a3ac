"""Test routing by host, path prefix and credential."""

import random

import testtools

from cicadapass_decisions.passthrough import (
    CallerLimits,
    CallKind,
    Configuration,
    Route,
    WeightedService,
    Workspace,
)
from cicadapass_decisions.routetable import (
    Match,
    NoRoute,
    RouteTable,
    UnknownCredential,
)


def route(name, prefix, services=(("s", 1.0),), **changes):
    """Return a route of the host `h`."""
    weighted = tuple(WeightedService(*each) for each in services)
    values = {"timeout_s": 3.0, "target_latency_s": 0.5, **changes}
    return Route(name, "h", prefix, CallKind.SAFE, weighted, **values)


ROUTES = (
    route("root", "/a/"),
    route("deep", "/a/b/", (("s", 1.0), ("t", 3.0)), target_latency_s=1.0),
    route("open", "/open/", anonymous=True),
)
WORKSPACE = Workspace("w", frozenset({"key"}), priority=4)
TABLE = RouteTable(Configuration(3, ROUTES, {}, (WORKSPACE,), CallerLimits()))


class MatchTest(testtools.TestCase):
    def match(self, target, key="key", host="h"):
        return TABLE.match(host, target, key, random.Random(1))

    def test_the_longest_prefix_wins(self):
        """A call was routed by a shorter prefix."""
        self.assertEqual("deep", self.match("/a/b/c?d=/e/").route.name)
        self.assertEqual("root", self.match("/a/bc").route.name)

    def test_path_outside_every_prefix_has_no_route(self):
        """A call was routed by its query, which looked like a path."""
        for target in ("/", "/x?/a/", "a/", "/a"):
            self.assertEqual(NoRoute(), self.match(target), target)
        self.assertEqual(NoRoute(), self.match("/a/", host="other"))

    def test_credential_is_required_unless_the_route_is_anonymous(self):
        """A call without a valid credential was accepted."""
        for key in (None, "old"):
            self.assertEqual(UnknownCredential(), self.match("/a/x", key))
        self.assertIsInstance(self.match("/open/x", None), Match)

    def test_workspace_priority_overrides_the_route(self):
        """The priority of a workspace was ignored."""
        self.assertEqual(4, self.match("/a/x").priority)
        self.assertEqual(0, self.match("/open/x", None).priority)

    def test_calls_are_split_by_weight(self):
        """All calls of a split route were sent to one service."""
        rng = random.Random(2)
        services = [TABLE.match("h", "/a/b/", "key", rng).service for _ in range(400)]
        self.assertTrue(60 < services.count("s") < 140, services.count("s"))

    def test_the_timeout_of_a_route_needs_no_credential(self):
        """An upload was judged by another time than that of its route."""
        self.assertEqual(3.0, TABLE.route_timeout_s("h", "/a/x"))
        self.assertIsNone(TABLE.route_timeout_s("other", "/a/x"))

    def test_shorter_target_of_the_service(self):
        """Long requests did not wait, and delayed those with a shorter target."""
        self.assertIsNone(TABLE.shorter_target_s(self.match("/a/x")))
        deep = TABLE.match("h", "/a/b/", "key", random.Random(5))
        expected = 0.5 if deep.service == "s" else None
        self.assertEqual(expected, TABLE.shorter_target_s(deep))
