"""Test the decoder of data from other nodes and from the registry."""

import cbor2
import testtools
from cbor2 import CBORTag

from cicadapass_gateway.cbor import decode_cbor
from cicadapass_gateway.exceptions import DECODE_ERRORS


class DecodeTest(testtools.TestCase):
    def test_messages_are_decoded(self):
        """A type that messages use was refused."""
        message = {
            "node": ["x", "127.0.0.1", 1, 2**63, "dc-a"],
            "up": 1.5,
            "raw": b"\xff",
            "holder": None,
            "registry": [True, -(2**63)],
            "rows": {"s": {"v1": 3}, "empty": []},
            7: [[], {}],
        }
        self.assertEqual(message, decode_cbor(cbor2.dumps(message)))

    def test_values_that_take_long_to_be_converted_are_refused(self):
        """A decimal fraction of ten million digits hung the node that converted it."""
        for value in (
            CBORTag(4, [10_000_000, 1]),
            CBORTag(4, [10**18, 1]),
            CBORTag(5, [10_000_000, 3]),
            CBORTag(5, [-(10**18), 3]),
            CBORTag(30, [1, 0]),
            CBORTag(30, [1, 3]),
            CBORTag(35, "(a*)*b"),
            CBORTag(1, 1e300),
            CBORTag(99, 1),
            10**40,
            -(10**40),
            cbor2.undefined,
            {(1, 2): 3},
        ):
            for message in (value, [value], {"a": [value]}):
                data = cbor2.dumps(message)
                self.assertRaises(ValueError, decode_cbor, data)

    def test_values_that_contain_themselves_are_refused(self):
        """A list that contains itself was searched for ever."""
        # Tag 28 marks a value, and tag 29 refers to it.
        itself = bytes.fromhex("d81c81d81d00")
        # Each of these lists contains the one before twice.
        lists = [0]
        for _ in range(24):
            lists = [lists, lists]
        nested = cbor2.dumps(lists, value_sharing=True)
        for data in (itself, nested):
            self.assertRaises(ValueError, decode_cbor, data)

    def test_odd_data_raises_declared_errors(self):
        """An error that no caller expects ended the task that decoded."""
        for data in (b"", b"\xff", b"\x81", b"\xa1\x01", b"\xc4\x01", b"\x9f" * 2000):
            self.assertRaises(DECODE_ERRORS, decode_cbor, data)
