"""Test the calls to the platform's store and cloud API, against a stand-in."""

import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from cicadapass_decisions.passthrough import CallerLimits, UpstreamRecord
from cicadapass_decisions.runmigration import CopyOutcome
from cicadapass_gateway.adapterapi import EngineOrder
from cicadapass_gateway.config import Address
from cicadapass_gateway.exceptions import (
    HistoryExpired,
    OffsetConflict,
    PlatformRefused,
    PlatformUnavailable,
)
from cicadapass_gateway.httpclient import ClientPool
from cicadapass_gateway.httpserver import HttpServer, ServerState
from cicadapass_platform.store import (
    ApiClient,
    CloudApi,
    EngineApi,
    Store,
    decode_changes,
)
from tests.gateway.harness import HOST, LoopTest, Upstream


class Standin:
    """Record calls and give prepared answers; a status of 0 cuts the connection."""

    def __init__(self):
        self.answers = []
        self.calls = []

    async def start(self):
        """Listen on a free port and return the address."""
        server = HttpServer(
            ServerState(CallerLimits()), self._serve, lambda error: None
        )
        await server.listen(HOST, 0)
        return Address(HOST, server.port)

    async def _serve(self, exchange):
        url = urlsplit(exchange.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        headers = {name.lower(): value for name, value in exchange.headers}
        self.calls.append((url.path, query, headers, exchange.body))
        status, body = self.answers.pop(0)
        if status == 0:
            exchange.abort()
            return
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        exchange.respond(status, [], data)


def listing_row(key, value, offset):
    """Return a row of a listing, with the value in base64."""
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "offset": offset}


def read_response(end, *pairs):
    """Return the response to a read of these key-value pairs."""
    data = struct.pack(">QQ", end, 0)
    for key, value in pairs:
        record = bytes([len(key)]) + key.encode() + value
        data += struct.pack(">I", len(record)) + record
    return data


class StoreTest(LoopTest):
    def run_scenario(self, scenario, *answers):
        """Run a scenario against a stand-in with prepared answers."""

        async def run():
            standin = Standin()
            standin.answers = list(answers)
            address = await standin.start()
            caller = ApiClient(address, ClientPool())
            await scenario(caller, standin)

        self.run_loop(run())

    def test_a_listing_follows_its_pages(self):
        """The records of the second page were missing."""
        first = {"items": [listing_row("a", b"1", 4)], "morePages": True, "end": 6}
        second = {"items": [listing_row("b", b"2", 7)], "morePages": False, "end": 9}

        async def scenario(caller, standin):
            listing = await Store(caller).newest("keyed.servers")
            self.assertEqual(["a", "b"], [each.key for each in listing.documents])
            # Records appended between the pages are read as changes.
            self.assertEqual(6, listing.end_offset)
            self.assertEqual("a", standin.calls[1][1]["after"])

        self.run_scenario(scenario, (200, first), (200, second))

    def test_changes_are_numbered_from_the_start_offset(self):
        """A node read a record twice, or skipped one."""

        async def scenario(caller, standin):
            changes = await Store(caller).changes("keyed.op", 5, 0.0)
            records = [
                (each.key, each.value, each.offset) for each in changes.documents
            ]
            self.assertEqual([("k", b"v", 5), ("gone", b"", 6)], records)
            self.assertEqual(7, changes.end_offset)
            self.assertTrue(changes.complete)

        self.run_scenario(scenario, (200, read_response(7, ("k", b"v"), ("gone", b""))))

    def test_truncated_read_has_only_complete_records(self):
        """A truncated record was accepted as complete."""
        data = read_response(7, ("k", b"value"))
        for cut in range(len(data)):
            changes = decode_changes(data[:cut], 5)
            self.assertEqual((), changes.documents)
            self.assertEqual(5, changes.end_offset)
            self.assertFalse(changes.complete)

    def test_a_read_that_ends_before_its_start_is_outdated(self):
        """An outdated read confirmed a view that covered more."""
        data = read_response(7)
        self.assertRaises(PlatformUnavailable, decode_changes, data, 8)

    def test_the_last_records_of_a_log_are_read(self):
        """A node read all that a log keeps, or none of it once its start was gone."""

        async def scenario(caller, standin):
            changes = await Store(caller).tail("streams", 2)
            self.assertEqual([8, 9], [each.offset for each in changes.documents])
            starts = [query["from"] for _, query, _, _ in standin.calls]
            self.assertEqual(["0", "5", "8"], starts)

        answer = read_response(10, ("a", b"1"), ("b", b"2"))
        self.run_scenario(
            scenario, (410, {"first": 5}), (200, read_response(10)), (200, answer)
        )

    def test_the_end_of_a_log_that_cannot_be_read_is_declared(self):
        """A malformed answer ended the request that needed it by an internal error."""

        async def scenario(caller, standin):
            for _ in range(4):
                with self.assertRaises(PlatformUnavailable):
                    await Store(caller).tail("streams", 2)

        huge = struct.pack(">QQ", 1 << 60, 0)
        self.run_scenario(
            scenario, (200, b"x"), (200, huge), (410, b"x"), (410, {"first": "x"})
        )

    def test_refusals_raise_different_errors(self):
        """An expired history or a conflicting append was treated as an outage."""

        async def scenario(caller, standin):
            store = Store(caller)
            with self.assertRaisesRegex(HistoryExpired, "gone"):
                await store.changes("t", 0, 0.0)
            with self.assertRaises(OffsetConflict):
                await store.append("t", "k", b"v", 3)
            with self.assertRaises(PlatformRefused):
                await store.append("t", "k", b"v", None)
            with self.assertRaises(PlatformUnavailable):
                await store.append("t", "k", b"v", None)

        self.run_scenario(scenario, (410, {}), (412, {"end": 4}), (503, {}), (0, b""))

    def test_an_append_is_conditional_and_framed(self):
        """An append without the expected end followed the records of another node."""

        async def scenario(caller, standin):
            end = await Store(caller).append("keyed.duties", "key", b"value", 8)
            self.assertEqual(9, end)
            _, query, _, body = standin.calls[0]
            self.assertEqual("8", query["at"])
            self.assertEqual(b"\x00\x00\x00\x09\x03keyvalue", body)

        self.run_scenario(scenario, (200, {"offset": 8, "end": 9}))

    def test_duty_calls_have_holder_and_fencing_number(self):
        """An order was sent without its fencing number."""

        async def scenario(caller, standin):
            cloud = CloudApi(caller, "front-1")
            await cloud.report_usage(5, {"w": 3}, 12)
            await cloud.order_engines(EngineOrder("s", "dc-a", 2, True), 12)
            usage, scale = standin.calls
            self.assertEqual(b"front-1", usage[2][b"duty-holder"])
            self.assertEqual(b"12", scale[2][b"fencing-token"])
            self.assertEqual({"windowId": 5, "counts": {"w": 3}}, json.loads(usage[3]))
            order = {"service": "s", "zone": "dc-a", "desired": 2, "spot": True}
            self.assertEqual(order, json.loads(scale[3]))

        self.run_scenario(scenario, (200, {}), (200, {}))

    def test_migration_returns_the_location_of_the_copy(self):
        """The target of a migration could not find the copy of the run."""

        async def scenario(caller, standin):
            address = caller._address
            values = ("dc-a", 64, True, 1, 1)
            source = UpstreamRecord("i-1", "s", address.host, address.port, *values)
            target = UpstreamRecord("i-2", "s", "10.1.0.8", 80, *values)
            copy = await EngineApi(ClientPool()).migrate_run(source, "r1", target, True)
            self.assertEqual(f"{address.host}:{address.port}/h7", copy.location)
            self.assertEqual(CopyOutcome.COMPLETE, copy.outcome)
            body = json.loads(standin.calls[0][3])
            self.assertEqual({"id": "r1", "to": "10.1.0.8:80", "last": True}, body)

        self.run_scenario(scenario, (200, {"handle": "h7", "createdRev": 9}))

    def test_a_migration_ignores_an_earlier_answer_on_a_kept_connection(self):
        """A request went on from the copy of another, whose answer came once more."""
        answered = {}

        async def serve(response):
            run = json.loads(response.body)["id"]
            earlier = answered.setdefault(response._writer, [])
            earlier.append(json.dumps({"handle": f"copy of {run}"}).encode())
            response.respond(body=earlier[0])

        async def scenario():
            upstream = await Upstream("i-1", serve).start()
            source, pool = upstream.record(), ClientPool()
            for run in ("r1", "r2"):
                copy = await EngineApi(pool).migrate_run(source, run, source, False)
                self.assertTrue(copy.location.endswith(f"/copy of {run}"), copy)
            for writer in answered:
                writer.close()

        self.run_loop(scenario())

    def test_an_unreadable_answer_of_an_engine_is_a_failed_migration(self):
        """A stream was cut since its engine had given its copy no readable name."""
        answers = [(200, body) for body in (b"", b"{", [], {}, {"handle": "a\nb"})]

        async def scenario(caller, standin):
            address = caller._address
            values = ("dc-a", 64, True, 1, 1)
            source = UpstreamRecord("i-1", "s", address.host, address.port, *values)
            engines = EngineApi(ClientPool())
            for _ in answers:
                copy = await engines.migrate_run(source, "r1", source, True)
                self.assertEqual(
                    (CopyOutcome.UNKNOWN, None), (copy.outcome, copy.location)
                )

        self.run_scenario(scenario, *answers)

    def test_each_status_of_a_migration_has_its_outcome(self):
        """The memory that a source keeps after a failed last copy was not named."""
        kept, lost = {"handle": "h7", "createdRev": 9}, {}
        answers = [(503, kept), (503, lost), (404, lost), (409, lost), (500, lost)]
        expected = [
            (CopyOutcome.REFUSED, True),
            (CopyOutcome.REFUSED, False),
            (CopyOutcome.NO_RUN, False),
            (CopyOutcome.IN_PROGRESS, False),
            (CopyOutcome.UNKNOWN, False),
        ]

        async def scenario(caller, standin):
            address = caller._address
            values = ("dc-a", 64, True, 1, 1)
            source = UpstreamRecord("i-1", "s", address.host, address.port, *values)
            engines = EngineApi(ClientPool())
            for outcome, named in expected:
                copy = await engines.migrate_run(source, "r1", source, True)
                self.assertEqual(outcome, copy.outcome)
                location = f"{address.host}:{address.port}/h7" if named else None
                self.assertEqual(location, copy.location)

        self.run_scenario(scenario, *answers)

    def test_an_unreadable_answer_of_the_store_is_a_failed_call(self):
        """Answers in no known form ended the node after twenty of them."""
        row = {"key": "k", "value": "?", "offset": "x"}
        listings = (b"{", [], {}, {"end": 1, "items": [row]}, {"end": "x", "items": []})

        async def scenario(caller, standin):
            store = Store(caller)
            for _ in listings:
                with self.assertRaises(PlatformUnavailable):
                    await store.newest("t")
            for _ in range(2):
                with self.assertRaises(PlatformUnavailable):
                    await store.append("t", "k", b"v", None)

        self.run_scenario(scenario, *[(200, each) for each in (*listings, b"", {})])
