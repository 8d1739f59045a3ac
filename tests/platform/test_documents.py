"""Test the decoding of configurations and of upstreams' entries."""

import functools
import json
import math
import operator

import testtools

from cicadapass_decisions.passthrough import CallKind
from cicadapass_platform.documents import decode_configuration, decode_upstream

ROUTE = {
    "name": "r",
    "host": "h",
    "pathPrefix": "/p/",
    "kind": "streaming",
    "timeoutMs": 3000,
    "targetLatencyMs": 500,
    "priority": 0,
    "service": "s",
    "attempts": 2,
    "anonymous": False,
    "streamResume": True,
    "gapAimMs": 250,
}
SPLIT = {
    **{k: v for k, v in ROUTE.items() if k != "service"},
    "kind": "safe",
    "trafficSplit": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE, SPLIT],
    "services": [
        {
            "name": "s",
            "maxConns": 360,
            "engine": {"kvCapacity": 764294, "stride": 4},
            "scaling": {
                "min": 1,
                "max": 6,
                "bootS": 4.0,
                "spotPrice": 0.18,
                "zonePrices": {"dc-a": 0.85},
            },
        },
        {"name": "t", "maxConns": 100},
    ],
    "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
    "tenants": [
        {
            "name": "w",
            "apiKeys": ["k1", "k2"],
            "priority": 1,
            "unit": "token_count",
            "plainTokens": 200,
            "ratePerS": 100,
            "burst": 50,
        }
    ],
}
ENTRY = {
    "service": "s",
    "address": "10.1.0.9:8080",
    "zone": "dc-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 4,
    "born": 1700000000000,
}

# Values of wrong types by kind of field, and the paths of the fields of that kind.
WRONG_TYPES = (
    (
        (None, 1, True, [], ["/"], {}, "\ud800"),
        "routes.0.name routes.0.host routes.0.pathPrefix routes.0.service"
        " routes.1.trafficSplit.0.service services.0.name tenants.0.name"
        " tenants.0.apiKeys.0",
    ),
    (
        ("1", True, [], {}, math.nan, math.inf),
        "version routes.0.timeoutMs routes.0.targetLatencyMs routes.0.attempts"
        " routes.0.priority routes.0.gapAimMs routes.1.trafficSplit.0.weight"
        " services.0.engine.stride services.0.scaling.min services.0.scaling.max"
        " services.0.scaling.bootS services.0.scaling.spotPrice"
        " services.0.scaling.zonePrices.dc-a tenants.0.priority tenants.0.ratePerS"
        " tenants.0.burst tenants.0.plainTokens limits.maxHeaderBytes"
        " limits.maxBodyBytes limits.headerTimeoutMs limits.idleTimeoutMs",
    ),
    (("false", 0, [], {}), "routes.0.anonymous routes.0.streamResume"),
    (("s", {"s": 1}, 1, True), "routes.1.trafficSplit routes services"),
    (("", "key", {}, {"key": 1}, 0, False), "tenants tenants.0.apiKeys"),
)
# Fields for which null stands for the default.
NULLABLE = (
    "tenants limits routes.0.anonymous routes.0.streamResume routes.0.gapAimMs"
    " services.0.engine services.0.scaling tenants.0.priority tenants.0.ratePerS"
    " tenants.0.burst tenants.0.plainTokens"
)


def with_value(document, path, value):
    """Return a copy of a document with another value at a path; `...` removes it."""
    copy = json.loads(json.dumps(document))
    *parents, last = [int(e) if e.isdigit() else e for e in path.split(".")]
    parent = functools.reduce(operator.getitem, parents, copy)
    parent[last] = value
    if value is ...:
        del parent[last]
    return copy


class ConfigurationTest(testtools.TestCase):
    def test_a_configuration_is_decoded(self):
        """A field of the configuration was decoded as another one."""
        configuration = decode_configuration(json.dumps(DOCUMENT).encode())
        self.assertEqual(7, configuration.version)
        stream, split = configuration.routes
        self.assertEqual(CallKind.STREAM, stream.kind)
        self.assertTrue(stream.repeatable)
        self.assertEqual(
            (3.0, 0.5, 0.25),
            (stream.timeout_s, stream.target_latency_s, stream.max_gap_s),
        )
        self.assertEqual(
            [("s", 90.0), ("t", 10.0)], [(e.service, e.weight) for e in split.services]
        )
        service = configuration.services["s"]
        self.assertTrue(service.model_engine)
        self.assertEqual(6, service.scaling.maximum)
        self.assertFalse(configuration.services["t"].model_engine)
        workspace = configuration.workspaces[0]
        self.assertEqual({"k1", "k2"}, set(workspace.keys))
        self.assertTrue(workspace.counts_tokens)
        self.assertEqual(15.0, configuration.limits.idle_timeout_s)

    def test_invalid_configuration_raises(self):
        """An invalid document was applied as the configuration."""
        for data in (
            b"",
            b"{}",
            b"[]",
            json.dumps({**DOCUMENT, "routes": [{}]}).encode(),
        ):
            self.assertRaises(
                (KeyError, TypeError, ValueError), decode_configuration, data
            )

    def test_wrong_types_raise_the_declared_error(self):
        """A value of a wrong type raised where it was used, or changed its meaning.

        A list as a prefix ended the task that follows the configuration; the string
        "false" let calls without a key pass, and in a string each letter was a key.
        """
        for values, paths in WRONG_TYPES:
            for path in paths.split():
                for value in values:
                    data = json.dumps(with_value(DOCUMENT, path, value)).encode()
                    try:
                        decode_configuration(data)
                    except ValueError:
                        continue
                    self.fail(f"{path}: {value!r} was decoded")

    def test_null_and_unknown_fields_are_valid(self):
        """A check of types refused what nodes of earlier versions applied."""
        for path in NULLABLE.split():
            data = json.dumps(with_value(DOCUMENT, path, None)).encode()
            self.assertEqual(7, decode_configuration(data).version, path)
        for path in ("x", "routes.0.x", "services.0.x", "tenants.0.x", "limits.x"):
            data = json.dumps(with_value(DOCUMENT, path, [{}])).encode()
            decoded = decode_configuration(data)
            self.assertEqual(
                decode_configuration(json.dumps(DOCUMENT).encode()), decoded
            )


class UpstreamTest(testtools.TestCase):
    def decode(self, **changes):
        """Decode an entry with changed fields; `...` removes a field."""
        entry = {**ENTRY, **changes}
        entry = {key: value for key, value in entry.items() if value is not ...}
        return decode_upstream("i-1", json.dumps(entry).encode())

    def test_an_entry_is_decoded(self):
        """An upstream was called at the wrong address."""
        record = self.decode(spot=True, state="draining", leaves_ms=2500)
        self.assertEqual(("10.1.0.9", 8080), (record.host, record.port))
        self.assertTrue(record.leaving)
        self.assertTrue(record.reclaimable)
        self.assertEqual(2.5, record.leaves_in_s)
        self.assertEqual(1700000000000, record.started_ms)

    def test_invalid_entries_are_ignored(self):
        """An invalid entry stopped the node, or received requests."""
        cases = (
            {"state": "resting"},
            {"state": ["ready"]},
            {"address": "nowhere"},
            {"address": 5},
            {"service": None},
            {"zone": 1},
            {"slots": "64"},
            {"slots": True},
            {"sequence": ...},
            {"born": "yesterday"},
            {"born": 1.5},
        )
        for changes in cases:
            self.assertIsNone(self.decode(**changes), changes)
        for data in (b"", b"\xff", b"[]", b"3", b"null"):
            self.assertIsNone(decode_upstream("i-1", data), data)
