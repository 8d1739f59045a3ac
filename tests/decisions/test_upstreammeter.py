"""Test the load, speed and failures that a node measures of an upstream."""

import testtools

from cicadapass_decisions.passthrough import Prompt, PromptSegment
from cicadapass_decisions.upstreammeter import (
    CACHE_LIFETIME_S,
    PEER_LOAD_MAX_AGE_S,
    PeerLoad,
    UpstreamMeter,
)

SHARED = Prompt((PromptSegment("a", 500), PromptSegment("own", 1500)), 2000, 100)


class MeterTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.meter = UpstreamMeter()

    def test_local_sends_count_immediately(self):
        """Only reported load counted, so a burst was sent to one engine."""
        for key in "abc":
            self.meter.begin(key, Prompt(prompt_tokens=1000), 0.0)
        self.assertEqual(3, self.meter.running(0.0))
        self.assertEqual(3000, self.meter.prefill_tokens(0.0))

    def test_prefilled_prompts_leave_the_backlog(self):
        """An engine counted as loaded long after its prompts were prefilled."""
        self.meter.begin("a", Prompt(prompt_tokens=10_000), 0.0)
        self.assertLess(self.meter.prefill_tokens(0.1), 10_000)
        self.meter.first_token("a", 0.2)
        self.assertEqual(0, self.meter.prefill_tokens(0.2))
        self.assertEqual(1, self.meter.running(0.2))

    def test_load_of_a_silent_peer_expires(self):
        """The requests of a stopped node counted as load forever."""
        self.meter.record_peer_load("p", PeerLoad(9, 50_000.0, 0.0))
        self.assertEqual(9, self.meter.running(0.1))
        self.assertEqual(0, self.meter.running(PEER_LOAD_MAX_AGE_S))

    def test_shared_segments_count_as_cached_for_a_while(self):
        """Every prompt counted as uncached."""
        self.meter.begin("a", SHARED, 0.0)
        self.assertEqual(500, self.meter.cached_tokens(SHARED, 1.0))
        self.assertEqual(0, self.meter.cached_tokens(SHARED, CACHE_LIFETIME_S + 1))

    def test_speed_adapts_and_decays_to_the_group(self):
        """A slow engine kept its share of requests, or never regained it."""
        normal = self.meter.prefill_s_per_token
        for number in range(10):
            self.meter.begin(str(number), Prompt(prompt_tokens=4000), number)
            self.meter.first_token(str(number), number + 0.8)
            self.meter.end(str(number), number + 0.9, succeeded=True)
        self.assertGreater(self.meter.prefill_s_per_token, 5 * normal)
        for step in range(40):
            self.meter.decay_speed(normal, 0.03, 20.0 + step)
        self.assertLess(self.meter.prefill_s_per_token, 2 * normal)

    def test_a_silence_is_no_sample_of_the_speed(self):
        """One silence of a sound engine took its requests away for seconds."""
        prefill_s, call_s = self.meter.prefill_s_per_token, self.meter.call_s
        self.meter.begin("stream", Prompt(prompt_tokens=4000), 0.0)
        self.meter.begin("call", Prompt(), 0.0)
        for key in ("stream", "call"):
            self.meter.record_pause(key)
        self.meter.first_token("stream", 1.3)
        for key in ("stream", "call"):
            self.meter.end(key, 1.4, succeeded=True)
        self.assertEqual(prefill_s, self.meter.prefill_s_per_token)
        self.assertEqual(call_s, self.meter.call_s)

    def test_an_upstream_is_silent_only_while_it_has_requests(self):
        """Time without requests counted as silence, or data from another one not."""
        self.meter.begin("a", Prompt(), 5.0)
        self.assertEqual(1.5, self.meter.silent_s(6.5))
        self.meter.record_heard(7.0)
        self.assertEqual(0.5, self.meter.silent_s(7.5))
        self.meter.end("a", 8.0, succeeded=None)
        self.assertEqual(0.0, self.meter.silent_s(9.0))

    def test_failure_score_decays(self):
        """A recovered upstream was never selected again."""
        self.meter.record_unreachable(0.0)
        self.assertEqual(1.0, self.meter.failure_score(0.0))
        self.assertLess(self.meter.failure_score(12.0), 0.1)

    def test_neutral_end_keeps_the_failure_score(self):
        """Requests of disconnected callers counted as failures of the upstream."""
        self.meter.begin("a", Prompt(), 0.0)
        self.meter.end("a", 1.0, succeeded=None)
        self.assertEqual(0.0, self.meter.failure_score(1.0))
        self.assertEqual(0, self.meter.running(1.0))


class PeerSendTest(testtools.TestCase):
    def test_peer_sends_add_up_and_are_prefilled(self):
        """The second prompt of a peer replaced the first one in the load."""
        meter = UpstreamMeter()
        meter.record_peer_load("p", PeerLoad(1, 10_000.0, 0.0))
        meter.record_peer_send("p", 5_000, 0.1)
        prefilled_tokens = 0.1 / meter.prefill_s_per_token
        self.assertEqual(
            round(15_000 - prefilled_tokens), round(meter.prefill_tokens(0.1))
        )
        self.assertEqual(0.0, meter.prefill_tokens(2.0))
        meter.record_peer_load("p", PeerLoad(1, 100.0, 0.1))
        self.assertEqual(100.0, meter.prefill_tokens(0.1))


class CapacitySampleTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.meter = UpstreamMeter()

    def test_events_of_a_stream_are_sampled_while_it_runs(self):
        """An engine that was far too loaded gave no samples until its streams ended."""
        self.meter.begin("a", Prompt(prompt_tokens=100), 0.0)
        self.assertIsNone(self.meter.progress("a", 1, 0.1))
        self.meter.first_token("a", 0.2)
        self.assertIsNone(self.meter.progress("a", 1, 0.2))
        self.assertIsNone(self.meter.progress("a", 5, 0.4))
        sample = self.meter.progress("a", 11, 0.8)
        self.assertEqual(10.0, sample.work)
        self.assertAlmostEqual(0.6, sample.busy_s)
        self.assertEqual(2.0, self.meter.progress("a", 13, 0.9, ended=True).work)

    def test_pauses_and_slow_callers_are_no_samples(self):
        """A silence or a caller that stopped reading lowered an engine's level."""
        self.meter.begin("a", Prompt(prompt_tokens=100), 0.0)
        self.meter.first_token("a", 0.2)
        self.meter.progress("a", 1, 0.2)
        for disturb, end_s in (
            (self.meter.record_pause, 2.0),
            (self.meter.record_slow_caller, 4.0),
        ):
            disturb("a")
            self.assertIsNone(self.meter.progress("a", int(10 * end_s), end_s))
        self.assertEqual(10.0, self.meter.progress("a", 50, 4.6).work)
