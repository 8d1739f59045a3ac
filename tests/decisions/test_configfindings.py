"""Test the search for routes, workspaces and services that never match."""

import random

import testtools

from cicadapass_decisions.configfindings import (
    UNREACHABLE_KINDS,
    FindingKind,
    Severity,
    find_unmatched,
)
from cicadapass_decisions.configlimits import find_contradictions
from cicadapass_decisions.passthrough import Service, Workspace
from cicadapass_decisions.routetable import Match, RouteTable
from tests.decisions.configurations import configuration, route

HOSTS = ("h", "h:80", "H", " h", "g", "", "h\u03b4", "h\n")
PREFIXES = ("/", "/a/", "/a/b/", "/a", "", "/a/?x/", "/a b/", "a/", "/\u0394/")
WEIGHTS = (0.0, 0.0, 1.0, 3.0)
KEYS = ("k1", "k2", "k3\xff", " k4", "k5\u0394", "")
# Credentials of calls are not empty, have no whitespace around them and are Latin-1.
CALL_KEYS = ("k1", "k2", "k3\xff", "k4", "k5")
SERVICES = (Service("s0"), Service("s1"))


def paths(found, *kinds):
    """Return the positions or names of the entries with findings of these kinds."""
    return {each.path[1] for each in found if each.kind in kinds}


def drawn(rng):
    """Return a configuration in which many routes and workspaces never match."""
    routes = [
        route(
            f"r{index}",
            rng.choice(HOSTS),
            rng.choice(PREFIXES),
            rng.choices(WEIGHTS, k=rng.choice((1, 2))),
            anonymous=rng.random() < 0.3,
        )
        for index in range(rng.randint(1, 8))
    ]
    workspaces = [
        Workspace(f"w{index}", frozenset(rng.sample(KEYS, rng.randint(0, 2))))
        for index in range(rng.randint(0, 3))
    ]
    return configuration(*routes, *workspaces, *SERVICES)


def calls(rng):
    """Return hosts, targets and keys that can be those of a call."""
    hosts = [host for host in HOSTS if host.isascii() and host != "h\n"]
    # Targets start with a slash; those of proxies, which are URLs, are not drawn.
    prefixes = [each for each in PREFIXES if each.isascii() and each[:1] == "/"]
    prefixes.remove("/a b/")
    for _ in range(120):
        host = rng.choice(hosts).strip().lower() + rng.choice(("", "", ":80", ":9"))
        yield (
            host,
            rng.choice(prefixes) + rng.choice(("", "x", "?/a/")),
            rng.choice((*CALL_KEYS, None)),
        )


class UnmatchedTest(testtools.TestCase):
    def test_drawn_routes_are_chosen_unless_they_are_reported(self):
        """A route or service in use was reported, or one that never matches was not."""
        rng = random.Random(11)
        reported = chosen = 0
        for number in range(400):
            one = drawn(rng)
            found = find_unmatched(one)
            unreachable = paths(found, *UNREACHABLE_KINDS)
            unused = paths(found, FindingKind.UNUSED_SERVICE)
            keyless = paths(found, FindingKind.WORKSPACE_WITHOUT_KEY)
            table = RouteTable(one)
            reported += len(unreachable)
            for call in calls(rng):
                match = table.match(*call, rng)
                if isinstance(match, Match):
                    chosen += 1
                    self.assertNotIn(one.routes.index(match.route), unreachable, number)
                    self.assertNotIn(match.service, unused, (number, call))
                    if match.workspace is not None:
                        owner = one.workspaces.index(match.workspace)
                        self.assertNotIn(owner, keyless, (number, call))
            for index, each in enumerate(one.routes):
                # The closest host and target that a call can have.
                host = each.host.strip().lower().encode("latin-1", "ignore")
                target = each.path_prefix.replace(" ", "%20").encode("ascii", "ignore")
                call = host.decode("latin-1"), f"/{target.decode().lstrip('/')}"
                matches = [table.match(*call, key, rng) for key in (None, *CALL_KEYS)]
                routes = [m.route for m in matches if isinstance(m, Match)]
                if index not in unreachable:
                    self.assertIn(each, routes, (number, index))
        self.assertTrue(reported > 400 and chosen > 1000, (reported, chosen))

    def test_ordinary_configurations_have_no_findings(self):
        """Nested prefixes, a host with a port or a share of 0 were reported."""
        rng = random.Random(13)
        places = [(host, prefix) for host in HOSTS[:2] for prefix in PREFIXES[:3]]
        workspaces = (
            Workspace("w", frozenset({"k1", "k2"}), rate_per_s=5.0, burst=20.0),
            Workspace("unlimited", frozenset({"k3"})),
        )
        for number in range(100):
            routes = [
                route(
                    f"r{index}",
                    *place,
                    rng.choice(((1.0,), (90.0, 10.0), (1.0, 0.0))),
                    attempts=rng.randint(1, 3),
                    timeout_s=rng.choice((0.5, 15.0)),
                    anonymous=rng.random() < 0.5,
                )
                for index, place in enumerate(rng.sample(places, rng.randint(1, 6)))
            ]
            split = route("split", "g", weights=(1.0, 1.0))
            owners = rng.choice(((), workspaces))
            one = configuration(*routes, split, *owners, *SERVICES)
            found = (*find_unmatched(one), *find_contradictions(one))
            self.assertEqual((), found, number)

    def test_duplicate_names_are_reported_by_their_consequence(self):
        """An API at two hosts was an error; workspaces that share a limit are one."""
        routes = (route("r"), route("r", host="g"))
        workspaces = tuple(Workspace("w", frozenset({key})) for key in KEYS[:2])
        found = find_unmatched(configuration(*routes, *workspaces, SERVICES[0]))
        self.assertEqual(
            [(Severity.WARNING, "routes"), (Severity.ERROR, "workspaces")],
            [(each.severity, each.path[0]) for each in found],
        )

    def test_unused_and_unknown_services_are_told_apart(self):
        """A misspelled service of a route was not reported."""
        routes = (route("r", weights=(1.0, 0.0, 1.0)), route("p", prefix="/~!/"))
        found = find_unmatched(configuration(*routes, *SERVICES, Service("s3")))
        self.assertEqual(
            [
                (FindingKind.UNUSED_SERVICE, "s1", True),
                (FindingKind.UNUSED_SERVICE, "s3", False),
                (FindingKind.UNKNOWN_SERVICE, "service", False),
            ],
            [(e.kind, e.path[-1], "give it no weight" in e.message) for e in found],
        )

    def test_keys_are_reported_without_their_text(self):
        """A shared key gave calls to another workspace, or a report named a key."""
        workspaces = (
            Workspace("w", frozenset({"secret", "own"})),
            Workspace("v", frozenset({"secret", " blank"})),
            Workspace("v", frozenset()),
        )
        found = find_unmatched(configuration(route("r"), *workspaces, SERVICES[0]))
        self.assertEqual(
            [
                (FindingKind.KEY_REPLACED, ("workspaces", 0, "keys")),
                (FindingKind.KEY_NEVER_MATCHES, ("workspaces", 1, "keys")),
                (FindingKind.WORKSPACE_WITHOUT_KEY, ("workspaces", 2, "keys")),
                (FindingKind.DUPLICATE_NAME, ("workspaces", 2, "name")),
            ],
            [(each.kind, each.path) for each in found],
        )
        self.assertNotIn("secret", str(found))
