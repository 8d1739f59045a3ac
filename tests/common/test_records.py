"""Test the codec of log records."""

import random
import zlib

import cbor2
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_common import records
from cicadapass_common.records import (
    ForeignRecord,
    MalformedRecord,
    NewerRecord,
    decode_log_record,
    decode_record,
    encode_record,
)
from cicadapass_decisions.fold import FoldState, fold
from cicadapass_decisions.logrecords import (
    Claim,
    ClaimBatch,
    LeaseRequest,
    Publish,
    PublishOutcome,
    PublishVerdict,
    Snapshot,
    Unreadable,
)

EXAMPLES = 200
VERDICT = PublishVerdict(PublishOutcome.CONFLICT, 3, 2, "op")
CLAIM = Claim(b"k" * 15, b"f" * 8, b"c" * 8, "r", "i")
BODIES = [
    Publish("p", -1, "op", {"format": 1, "name": "Klasīte"}),
    Snapshot(2, "p", "op", {"format": 1}, 4, {"q": VERDICT}),
    Snapshot(-1, "", "", None, 4, {}),
    ClaimBatch((CLAIM,)),
    LeaseRequest("n", "vm-1", "i", 5.0, 7),
]


def _envelope(**changes):
    envelope = cbor2.loads(encode_record(BODIES[0]).ok)
    return cbor2.dumps(envelope | changes)


def _pack(text):
    return zlib.compress(text.encode())


class RecordsTest(testtools.TestCase):
    def test_round_trip(self):
        """A decoded record must equal the encoded one."""
        for body in BODIES:
            self.assertEqual(body, decode_record(encode_record(body).ok).ok)

    def test_fields_of_a_newer_minor_version_are_ignored(self):
        """Nodes of different minor versions must read the same records."""
        for body in BODIES:
            envelope = cbor2.loads(encode_record(body).ok)
            envelope["b"]["added"] = 1
            envelope |= {"v": [1, 9], "added": 1}
            self.assertEqual(body, decode_record(cbor2.dumps(envelope)).ok)

    def test_unusable_records_give_typed_errors(self):
        """Operators must be able to tell foreign, newer and malformed records apart."""
        cases = [
            (_envelope(w="other"), ForeignRecord),
            (_envelope(v=[2, 0]), NewerRecord),
            (_envelope(v=[1, 1], k="later"), NewerRecord),
            (_envelope(k="later"), MalformedRecord),
            (_envelope(v=[0, 0]), MalformedRecord),
            (_envelope(b={}), MalformedRecord),
            (cbor2.dumps([1]), MalformedRecord),
            (b"", MalformedRecord),
            (b"\x9f" * 5000, MalformedRecord),
            (bytes(records.MAX_RECORD_BYTES + 1), MalformedRecord),
        ]
        for data, kind in cases:
            self.assertIsInstance(decode_record(data).error, kind, data[:80])

    def test_wrong_types_are_malformed(self):
        """A field of a wrong type must not reach the fold."""
        fields = {"id": "p", "base": 1, "author": "a", "document": _pack("{}")}
        self.assertTrue(decode_record(_envelope(b=fields)).is_ok())
        wrong = [("id", 1), ("base", True), ("author", None), ("document", "{}")]
        documents = [_pack("[]"), _pack('{"a": NaN}'), _pack("{}")[:-1], b"{}"]
        documents.append(_pack(" " * records.MAX_DOCUMENT_BYTES + "{}"))
        for name, value in [*wrong, *(("document", each) for each in documents)]:
            answer = decode_record(_envelope(b=fields | {name: value}))
            self.assertIsInstance(answer.error, MalformedRecord, name)
        short = {"claims": [[b"k", b"f" * 8, b"c" * 8, "r", "i"]]}
        self.assertTrue(decode_record(_envelope(k="claims", b=short)).is_error())
        lease = {"name": "n", "holder": "h", "incarnation": "i", "seen": 1}
        nan = lease | {"duration_s": float("nan")}
        self.assertTrue(decode_record(_envelope(k="lease", b=nan)).is_error())

    def test_record_over_the_limit_is_not_encoded(self):
        """A record over the size limit, which readers skip, must not be appended."""
        noise = random.Random(1).randbytes(records.MAX_RECORD_BYTES)
        document = {"text": noise.hex()}
        self.assertTrue(encode_record(Publish("p", -1, "op", document)).is_error())

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(st.sampled_from(BODIES), st.lists(st.tuples(st.integers(), st.binary())))
    def test_damaged_records_do_not_break_the_fold(self, body, damage):
        """Damaged records must not raise in a reader."""
        data = bytearray(encode_record(body).ok)
        for index, replacement in damage:
            index %= len(data)
            data[index : index + len(replacement)] = replacement
        record = decode_log_record(0, 0.0, bytes(data))
        fold(FoldState(), record, lambda document: 1 / 0)

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(st.binary(max_size=200))
    def test_random_bytes_are_skipped(self, data):
        """Random bytes must be decoded as Unreadable."""
        self.assertIsInstance(decode_log_record(0, 0.0, data).body, Unreadable)
