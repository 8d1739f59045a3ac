"""Test the frames between nodes."""

import cbor2
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_common import wire
from cicadapass_common.copymessages import (
    Binding,
    CopiedRequest,
    CopyRequest,
    CopyStatus,
    Progress,
    ProgressAck,
    ProgressItem,
    ProgressReply,
)
from cicadapass_common.messages import MESSAGE_KINDS, Done, Probe
from cicadapass_decisions.gossip import entry_bytes
from cicadapass_decisions.leaving import LeavingEntry, mark_bytes
from cicadapass_decisions.membership import GossipEntry, MemberState
from cicadapass_decisions.types import NodeAddress

ADDRESS = NodeAddress("vm-1", "i1", "klasīte", "dc-a", "127.0.0.1", 65535)
ENTRY = GossipEntry(ADDRESS, MemberState.SUSPECT, 2**30, 2**40, 2**62, 255)
MARK = LeavingEntry("vm-1", "i1", "vm_list", 3599)
PROBE = Probe((ENTRY,), (MARK,), 7, 3)
COPY = CopyRequest(
    CopiedRequest(
        "a.b.c", 1, Binding("f", "w", "0" * 64), 1.5, "parts", b"{}", ("x", "ž"), True
    )
)
SAMPLES = [
    PROBE,
    COPY,
    Progress((ProgressItem("a.b.c", 1, 0, ("x",)),)),
    ProgressReply((ProgressAck("a.b.c", CopyStatus.GAP, 1, 4),)),
    Done(),
]


def _frame_of(**changes):
    data = cbor2.loads(wire.encode(PROBE, 5, (1, 2)))
    data.update(changes)
    return cbor2.dumps(data)


class WireTest(testtools.TestCase):
    def assert_refused(self, data, kind):
        result = wire.decode(data)
        self.assertTrue(result.is_error(), str(result))
        self.assertIsInstance(result.error, kind)
        self.assertIn(";", str(result.error))

    def test_round_trip(self):
        """Every field must survive encoding and decoding."""
        for message in SAMPLES:
            frame = wire.decode(wire.encode(message, 5, (1, 2))).ok
            self.assertEqual(frame, wire.Frame(message, 5, (1, 2)))

    def test_malformed_frames(self):
        """Bytes of another protocol must not reach a handler."""
        good = wire.encode(PROBE)
        deep = b"\x81" * 5000 + b"\x01"
        huge = b"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"
        cycle = b"\xd8\x1c\x81\xd8\x1d\x00"
        bad = [b"", b"GET /", b"\x01", good[:-1], good + b"\0", deep, huge, cycle]
        for data in [*bad, _frame_of(k=None), _frame_of(b=[]), _frame_of(x=1)]:
            self.assert_refused(data, wire.MalformedFrame)
        for data in [_frame_of(id=-1), _frame_of(id="1"), _frame_of(t=[1, -1])]:
            self.assert_refused(data, wire.MalformedFrame)

    def test_oversized_frames(self):
        """A frame over the limit must not be decoded into memory."""
        self.assert_refused(b"\0" * (wire.MAX_FRAME_BYTES + 1), wire.OversizedFrame)
        document = b"x" * wire.MAX_FRAME_BYTES
        copy = CopiedRequest("i", 1, Binding("f", "w", ""), 0.0, "s", document)
        self.assertRaises(wire.OversizedFrame, wire.encode, CopyRequest(copy))

    def test_wrong_version(self):
        """A frame of another major version may mean something else."""
        self.assert_refused(_frame_of(v=2), wire.WrongVersion)
        self.assert_refused(_frame_of(v=True), wire.MalformedFrame)

    def test_unknown_kind(self):
        """An unknown kind must be distinguishable from one of a newer version."""
        self.assert_refused(_frame_of(k="nonsense"), wire.UnknownKind)
        self.assertFalse(wire.decode(_frame_of(k="nonsense")).error.newer)
        newer = wire.decode(_frame_of(k="nonsense", m=wire.MINOR_VERSION + 1))
        self.assertTrue(newer.error.newer)

    def test_wrong_fields(self):
        """A field of a wrong type must be refused when the frame is decoded."""
        good = cbor2.loads(wire.encode(PROBE))["b"]
        short = {**good, "marks": [["vm-1", "i1", "vm_list"]]}
        state = {**good, "entries": [[*good["entries"][0][:1], 9, 0, 0, 0, 0]]}
        missing = {k: v for k, v in good.items() if k != "known"}
        wrong = [{**good, "known": n} for n in (True, 1.0, "1", None, 2**63)]
        for body in [short, state, missing, {**good, "extra": 1}, *wrong]:
            self.assert_refused(_frame_of(b=body), wire.InvalidField)

    def test_newer_minor_version_is_understood(self):
        """Nodes of two minor versions must understand each other during an upgrade."""
        body = cbor2.loads(wire.encode(PROBE))["b"]
        body["extra"] = 1
        body["entries"][0].append("extra")
        data = _frame_of(m=wire.MINOR_VERSION + 1, b=body, x=1)
        self.assertEqual(wire.decode(data).ok.message, PROBE)

    def test_size_bounds(self):
        """Probes are limited by these size bounds, so no entry may be larger."""
        empty = len(wire.encode(Probe((), (), 0, 0)))
        with_entry = len(wire.encode(Probe((ENTRY,), (), 0, 0)))
        with_mark = len(wire.encode(Probe((), (MARK,), 0, 0)))
        self.assertLessEqual(with_entry - empty, entry_bytes(ENTRY))
        self.assertLessEqual(with_mark - empty, mark_bytes(MARK))

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(st.sampled_from(SAMPLES), st.data())
    def test_damaged_frames(self, message, data):
        """A damaged frame must give a typed error or another valid message."""
        frame = bytearray(wire.encode(message, 5, (1, 2)))
        for _ in range(data.draw(st.integers(1, 4))):
            index = data.draw(st.integers(0, len(frame) - 1))
            frame[index] = data.draw(st.integers(0, 255))
        result = wire.decode(bytes(frame))
        if result.is_ok():
            wire.encode(result.ok.message)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=200))
    def test_random_bytes(self, data):
        """Random bytes, such as those of a port scanner, must not raise."""
        self.assertTrue(wire.decode(data).is_error())

    ANY_CBOR = st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=8,
    )

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.sampled_from(sorted(MESSAGE_KINDS)), st.data())
    def test_random_bodies(self, kind, data):
        """Well-formed CBOR with wrong contents must give a typed error."""
        fields = MESSAGE_KINDS[kind].__dataclass_fields__
        names = [n for n in fields if n != "KIND"]
        body = {n: data.draw(self.ANY_CBOR) for n in names}
        wire.decode(_frame_of(k=kind, b=body))
