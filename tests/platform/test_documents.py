"""Test the decoding of configurations and of upstreams' entries."""

import json

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
