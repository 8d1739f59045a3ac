"""Test that one odd value of a foreign writer costs that value alone."""

import asyncio
import json

import cbor2
import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.topicreplica import Document
from cicadapass_gateway.adapterapi import Listing
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_gateway.nodeaddress import NodeAddress, decode_address
from cicadapass_gateway.registryera import RegistryEra
from cicadapass_gateway.registrysync import MAX_SKIPPED_LINES_PER_S, RegistrySync
from cicadapass_platform.documents import CODEC, decode_upstream
from cicadapass_platform.headers import decode_call, decode_response
from tests.gateway.harness import MemoryRegistry, make_state
from tests.gateway.virtualcluster import run_virtual
from tests.oddentries import (
    ENTRY,
    NESTED,
    ODD_BYTES,
    ODD_FIELDS,
    encode_entry,
    odd_entries,
)
from tests.platform.test_documents import DOCUMENT, ROUTE

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from([10**400, -1, 0, 65536, "\ud800"]),
    lambda each: (
        st.lists(each, max_size=4) | st.dictionaries(st.text(), each, max_size=4)
    ),
    max_leaves=8,
)


class EntryTest(testtools.TestCase):
    def test_a_sound_entry_is_read(self):
        """A check of values refused what engines write."""
        for changes in ({}, {"leaves_ms": 0}, {"leaves_ms": 2500}, {"spot": True}):
            record = decode_upstream("i-1", encode_entry(**changes))
            self.assertIsInstance(record, UpstreamRecord)
        self.assertIsNotNone(decode_upstream("i-1", encode_entry(leaves_ms=-5)))

    def test_odd_fields_name_no_upstream(self):
        """Values that were decoded broke the node when they were used."""
        for changes in ODD_FIELDS:
            self.assertIsNone(decode_upstream("i-1", encode_entry(**changes)), changes)

    def test_odd_bytes_name_no_upstream(self):
        """A deeply nested entry ended the part that reads the registry."""
        for data in ODD_BYTES:
            self.assertIsNone(decode_upstream("i-1", data), data[:40])

    def test_odd_keys_name_no_upstream(self):
        """The key of an entry could not be written into a header."""
        for key in ("", "a\r\nb", "\ud800", "ж", "x" * 10_000):
            self.assertIsNone(decode_upstream(key, encode_entry()), key[:20])

    @seed(20261205)
    @settings(max_examples=400, deadline=None, database=None)
    @given(st.sampled_from([*ENTRY, "leaves_ms", "spot"]), JSON_VALUES)
    def test_any_value_is_read_or_skipped(self, name, value):
        """An error other than those expected ended the part that reads entries."""
        record = decode_upstream("i-1", encode_entry(**{name: value}))
        if record is not None:
            self.assertIn(record.port, range(1, 65536))
            cbor2.dumps([record.service, record.data_centre, record.host])

    @seed(20261205)
    @settings(max_examples=200, deadline=None, database=None)
    @given(JSON_VALUES)
    def test_any_document_raises_only_the_declared_errors(self, value):
        """A configuration raised an error that its readers do not handle."""
        data = json.dumps(value).encode()
        self.assertRaises(ValueError, CODEC.decode_configuration, data)

    def test_a_nested_configuration_raises_a_declared_error(self):
        """A deeply nested configuration ended the part that follows it."""
        for data in (NESTED, b"[" * 200_000):
            self.assertRaises(ValueError, CODEC.decode_configuration, data)


class Registry:
    """Hold the entries of upstreams in place of the platform's store."""

    def __init__(self, documents):
        self.documents = documents
        self.era = RegistryEra()

    async def newest(self, topic):
        """Return all entries."""
        return Listing(tuple(self.documents), 1 + len(self.documents))


class FollowTest(testtools.TestCase):
    def test_odd_entries_cost_only_themselves(self):
        """Nodes stopped following the upstreams at one odd entry among them."""

        async def play():
            state = make_state()
            documents = [
                Document(f"odd-{number}", data, number)
                for number, data in enumerate(odd_entries())
            ]
            documents.append(Document("i-1", encode_entry(), len(documents)))
            skipped = []
            state.events.emit = lambda number, **_: skipped.append(number)
            sync = RegistrySync(
                state, Adapter(Registry(documents)), NoPeers(), ClientPool()
            )
            task = asyncio.create_task(sync.follow_upstreams())
            await asyncio.sleep(0.1)
            task.cancel()
            return [each.upstream_id for each in state.upstreams.usable("s")], skipped

        usable, events = run_virtual(play())
        self.assertEqual(["i-1"], usable)
        self.assertEqual(MAX_SKIPPED_LINES_PER_S, events.count(832))

    def test_odd_configurations_leave_the_one_in_force(self):
        """A list as the prefix of a path ended the task that follows versions."""

        async def play():
            state, registry = make_state(), MemoryRegistry()
            lines = []
            state.events.emit = lambda number, **fields: lines.append((number, fields))
            sync = RegistrySync(state, Adapter(registry), NoPeers(), ClientPool())
            task = asyncio.create_task(sync.follow_configuration())
            versions = []
            for version, prefix in ((1, "/p/"), (2, ["/p/"]), (3, "/p/")):
                route = {**ROUTE, "pathPrefix": prefix}
                document = {**DOCUMENT, "version": version, "routes": [route]}
                registry.put("keyed.op", "config", json.dumps(document).encode())
                await asyncio.sleep(0.5)
                versions.append(state.version)
            self.assertFalse(task.done())
            task.cancel()
            return versions, lines

        versions, lines = run_virtual(play())
        self.assertEqual([1, 1, 3], versions)
        self.assertEqual([801, 802, 801], [number for number, _ in lines])
        self.assertIn("a list instead of a string", lines[1][1]["reason"])


class NoPeers:
    """Stand in for the peers of a node that knows none."""

    round_s = 0.2

    def __init__(self):
        self.members = {}

    def fresh_members(self):
        """Return no members."""
        return []

    def is_watcher(self):
        """Return that this node watches the registry."""
        return True


class Adapter:
    """Provide the parts of an adapter that reading entries uses."""

    document_codec = CODEC

    class topics:  # noqa: N801
        """Name the topic."""

        upstreams = "keyed.servers"
        configuration = "keyed.op"

    def __init__(self, registry):
        self.registry = registry


class HeaderTest(testtools.TestCase):
    def test_numbers_of_callers_are_bounded(self):
        """A number of thousands of digits ended the request with an error."""
        digits = b"9" * 5000
        call = decode_call(
            [
                (b"Token-Usage", digits + b"," + digits),
                (b"Length-Hint", digits),
                (b"Prefix-Hash", b"aa:5,bb:" + digits),
                (b"Request-Deadline", digits),
            ]
        )
        self.assertEqual((0, 0), (call.prompt.prompt_tokens, call.prompt.total_tokens))
        self.assertEqual(1, len(call.prompt.segments))

    def test_deadlines_that_are_no_numbers_are_ignored(self):
        """A request whose deadline was not a number expired at once."""
        for value in (b"nan", b"inf", b"-inf", b"1e400", b"", b"1_000", b"-5"):
            call = decode_call([(b"Request-Deadline", value)])
            self.assertIsNone(call.time_limit_s, value)

    def test_numbers_of_upstreams_are_bounded(self):
        """A load of thousands of digits broke the answer that carried it."""
        digits = b"9" * 5000
        info = decode_response(200, [(b"Engine-Load", digits + b",1,8")])
        self.assertIsNone(info.load)

    @seed(20261205)
    @settings(max_examples=300, deadline=None, database=None)
    @given(
        st.sampled_from(
            [
                b"Token-Usage",
                b"Request-Deadline",
                b"Last-Event-Id",
                b"Prefix-Hash",
                b"Length-Hint",
                b"Engine-Load",
                b"Weight-Versions",
                b"Server-Limit",
                b"Server-Leaving",
                b"Retry-After",
            ]
        ),
        st.binary(max_size=40),
    )
    def test_any_header_value_is_read_or_ignored(self, name, value):
        """A header raised an error in the code that reads it."""
        decode_call([(name, value)])
        decode_response(503, [(name, value)])


class AddressTest(testtools.TestCase):
    def test_odd_addresses_of_nodes_raise_a_declared_error(self):
        """A port out of range raised an error at the first datagram to it."""
        sound = ["n", "10.0.0.1", 7500, 1, "dc-a"]
        self.assertIsInstance(decode_address(sound), NodeAddress)
        for position, value in (
            (1, "host.example"),
            (2, 99999),
            (2, 0),
            (2, -1),
            (2, float("inf")),
            (3, 10**400),
            (3, float("nan")),
        ):
            row = list(sound)
            row[position] = value
            error = self.assertRaises(ValueError, decode_address, row)
            self.assertIsInstance(error, ValueError)
