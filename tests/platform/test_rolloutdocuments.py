"""Test the decoding of orders of rollouts and of the versions of engines."""

import json

import testtools

from cicadapass_decisions.rollouts import RolloutOrder, RolloutState
from cicadapass_gateway.adapterapi import RolloutStatus
from cicadapass_platform.documents import decode_upstream
from cicadapass_platform.rolloutdocuments import ROLLOUT_CODEC
from tests.oddentries import ODD_BYTES, encode_entry

ORDER = {"service": "s", "to": "v2", "durationS": 12}


class OrderTest(testtools.TestCase):
    def test_an_order_is_read(self):
        """A sound order was skipped."""
        self.assertEqual("s/t", ROLLOUT_CODEC.service_of_key("rollout/s/t"))
        self.assertIsNone(ROLLOUT_CODEC.service_of_key("config"))
        order = ROLLOUT_CODEC.decode_order("s", json.dumps(ORDER).encode())
        self.assertEqual(RolloutOrder("s", "v2", 12.0), order)

    def test_odd_orders_are_refused(self):
        """An odd order ended the part that reads the operator's topic."""
        odd = [
            {"service": "t"},
            {"to": ""},
            {"to": 2},
            {"to": None},
            {"durationS": 0},
            {"durationS": True},
            {"durationS": "12"},
            {"durationS": 10**400},
            {"durationS": float("nan")},
        ]
        documents = [json.dumps({**ORDER, **each}).encode() for each in odd]
        for data in [*documents, *ODD_BYTES, b"[]"]:
            error = self.assertRaises(ValueError, ROLLOUT_CODEC.decode_order, "s", data)
            self.assertIn("invalid order", str(error))

    def test_a_status_is_written_as_the_platform_reads_it(self):
        """The platform did not find the state that it waited for."""
        data = ROLLOUT_CODEC.encode_status(
            RolloutStatus("v2", RolloutState.ROLLED_BACK)
        )
        self.assertEqual({"state": "rolled_back", "to": "v2"}, json.loads(data))
        self.assertEqual("rollout/s", ROLLOUT_CODEC.status_key("s"))
        self.assertEqual("v2", ROLLOUT_CODEC.decode_status(data).to)
        for odd in (b"", b"{}", b'{"state": "odd", "to": "v2"}'):
            self.assertIsNone(ROLLOUT_CODEC.decode_status(odd))


class VersionTest(testtools.TestCase):
    def test_an_odd_version_does_not_invalidate_the_entry(self):
        """A deployment that uses no versions lost an engine over one."""
        for version, expected in (("v2", "v2"), (2, ""), ([], ""), (None, "")):
            record = decode_upstream("i-1", encode_entry(version=version))
            self.assertEqual(expected, record.version)
