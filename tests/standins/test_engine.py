"""Tests of the model engine stand-in over HTTP."""

import json
import random
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import testtools
import urllib3

from cicadapass_standins.answers import answer_text, token_text
from cicadapass_standins.engine import Engine, EngineOptions
from cicadapass_standins.prefixcache import BLOCK_WORDS, PrefixCache, block_hashes
from cicadapass_standins.weights import WeightStore
from tests.standins.support import TIMEOUT_S, StandinTest

PROMPT = "axle bearing " * BLOCK_WORDS
FAST = EngineOptions(tokens_per_s=50_000.0, slots=64)


class EngineTest(StandinTest):
    def setUp(self):
        super().setUp()
        self.engine = self.serve(Engine(FAST))

    def start(self, engine=None, **fields):
        """Start a stream and return its response once the headers have arrived."""
        body = {"request_id": "r", "attempt": 1, "prompt": PROMPT, "seed": 5, **fields}
        url = (engine or self.engine).url + "/v1/generate"
        return self.http.request("POST", url, json=body, preload_content=False)

    def lines(self, response) -> list[dict]:
        return [json.loads(line) for line in response.data.splitlines()]

    def test_streams_deliver_the_expected_tokens(self):
        """Each of several concurrent streams must get all tokens of its own answer."""

        def text(seed: int) -> str:
            response = self.start(request_id=str(seed), seed=seed, max_tokens=200)
            *tokens, last = self.lines(response)
            self.assertEqual({"done": True, "tokens": 200}, last)
            return "".join(token["t"] for token in tokens)

        with ThreadPoolExecutor(8) as pool:
            texts = list(pool.map(text, range(16)))
        self.assertEqual([answer_text(PROMPT, seed, 200) for seed in range(16)], texts)

    def test_resumed_stream_continues_the_answer(self):
        """A resume must start at its index and refuse a prefix of another answer."""
        prefix = [token_text(PROMPT, 5, index) for index in range(3)]
        resumed = self.start(resume_from=3, prefix_tokens=prefix, max_tokens=5)
        self.assertEqual([3, 4], [line["i"] for line in self.lines(resumed)[:-1]])
        prefix[1] = "other"
        wrong = self.start(resume_from=3, prefix_tokens=prefix, max_tokens=5)
        self.assertEqual(400, wrong.status)

    def test_truncated_response_is_not_complete(self):
        """A connection that closes early must raise an error at the caller."""
        self.control(self.engine, truncate_after=3)
        response = self.start(max_tokens=10)
        received = b""
        try:
            for chunk in response.stream():
                received += chunk
            self.fail("the truncated response looked complete")
        except urllib3.exceptions.ProtocolError:
            self.assertEqual(3, received.count(b"\n"))

    def test_cancelled_stream_is_not_reported_as_done(self):
        """A cancelled stream must end as cancelled, not as done, and free its slot."""
        self.control(self.engine, hang=True)
        response = self.start(max_tokens=10)
        url = self.engine.url + "/v1/generate/r/1"
        self.assertTrue(self.call("DELETE", url).json()["cancelled"])
        self.assertEqual([{"cancelled": True, "tokens": 0}], self.lines(response))
        self.assertFalse(self.call("DELETE", url).json()["cancelled"])
        self.assertEqual(1, self.get(self.engine.url + "/stats")["cancelled"])

    def test_stop_aborts_streams(self):
        """A stopping engine must abort its streams rather than wait for them."""
        self.control(self.engine, hang=True)
        response = self.start(max_tokens=10)
        self.engine.stop()
        self.assertRaises(urllib3.exceptions.ProtocolError, response.read)

    def test_refusal_carries_the_not_run_header(self):
        """A refusal must carry Cicadapass-Not-Run, which permits a resend."""
        self.control(self.engine, refuse=True)
        response = self.start()
        self.assertEqual(503, response.status)
        self.assertEqual("1", response.headers["Cicadapass-Not-Run"])

    def test_load_report_lags_behind_the_leaving_flag(self):
        """A delayed load report must still show the state before the change."""
        url = self.engine.url + "/v1/load"
        self.control(self.engine, leaving=True, report_lag_s=3600)
        self.assertFalse(self.get(url)["leaving"])
        self.control(self.engine, report_lag_s=0)
        self.assertTrue(self.get(url)["leaving"])

    def test_imported_cache_saves_the_prefill(self):
        """A request must not prefill words whose blocks were imported before."""
        other = self.serve(Engine(FAST))
        self.lines(self.start())
        export = self.call(
            "POST", self.engine.url + "/v1/cache/export", {"prompt": PROMPT}
        ).json()
        self.assertEqual(2, len(export["blocks"]))
        self.call("POST", other.url + "/v1/cache/import", export)
        self.lines(self.start(engine=other))
        stats = self.get(other.url + "/stats")
        self.assertEqual((0, 32), (stats["prefill_tokens"], stats["cache_hit_tokens"]))

    def test_old_fencing_number_is_refused_if_checked(self):
        """An older fencing number must be refused only with `checks_fencing`."""
        order = {"kind": "set_role", "role": "prefill"}
        url = self.engine.url + "/v1/orders"

        def status(number: int) -> int:
            body = {"fencing_number": number, "order": order}
            return self.call("POST", url, body).status

        self.assertEqual([202, 409], [status(8), status(7)])
        self.control(self.engine, checks_fencing=False)
        self.assertEqual(202, status(7))

    def test_load_order_waits_for_the_weight_store(self):
        """A model must not be served before its weights have been fetched."""
        store = self.serve(WeightStore())
        self.control(store, down=True)
        engine = Engine(EngineOptions(model="parts-1", weights_url=store.url))
        served = self.serve(engine)
        order = {"kind": "load_model", "model": "parts-2", "version": "1"}
        body = {"fencing_number": 1, "order": order}
        self.call("POST", served.url + "/v1/orders", body)
        self.assertEqual(404, self.start(engine=served, model="parts-2").status)
        self.control(store, down=False)
        self.assertTrue(engine.orders.wait_until_done(TIMEOUT_S))
        self.assertEqual(200, self.start(engine=served, model="parts-2").status)


class PrefixCacheTest(testtools.TestCase):
    def test_least_recently_used_block_is_evicted_first(self):
        """A full cache must evict the least recently used block and report it."""
        cache = PrefixCache(2, random.Random(1))
        cache.store(["a"], 0.0, 0.0)
        cache.store(["b"], 0.0, 0.0)
        cache.match_words(["a"])
        cache.store(["c"], 0.0, 0.0)
        self.assertEqual((BLOCK_WORDS, 0), tuple(map(cache.match_words, ("a", "b"))))
        self.assertEqual(("b",), cache.events_after(2, 0.0)[0].removed)

    def test_dropped_event_leaves_a_gap(self):
        """A reader must be able to detect a dropped event by its sequence number."""
        cache = PrefixCache(10, random.Random(1))
        for block, drop_events in (("a", 0.0), ("b", 1.0), ("c", 0.0)):
            cache.store([block], 0.0, drop_events)
        sequences = [event.sequence for event in cache.events_after(0, 0.0)]
        self.assertEqual([1, 3], sequences)

    def test_block_hash_covers_the_words_before(self):
        """Equal blocks after different first blocks must have different hashes."""
        first, other = ["x"] * BLOCK_WORDS, ["y"] * BLOCK_WORDS
        hashes = {block_hashes(start + first)[1] for start in (first, other)}
        self.assertEqual(2, len(hashes))


class ProcessTest(StandinTest):
    def test_process_prints_its_addresses_and_stops_at_sigterm(self):
        """A process must serve at its printed addresses and exit with 0 at SIGTERM."""
        for name in ("log", "vmlist", "cloud", "weights", "engine", "service"):
            command = [sys.executable, "-m", f"cicadapass_standins.{name}"]
            with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
                self.addCleanup(process.kill)
                addresses = json.loads(process.stdout.readline())
                self.assertEqual(name, addresses["standin"])
                for url in (addresses["url"], addresses["control_url"]):
                    self.assertEqual({"status": "ok"}, self.get(url + "/healthz"))
                process.send_signal(signal.SIGTERM)
                self.assertEqual(0, process.wait(TIMEOUT_S))
