"""Test event streams, usage counts, metrics, the log output and supervision."""

import asyncio
import logging
import random
import sys
import threading
from collections import Counter
from io import StringIO
from itertools import pairwise

import testtools

from cicadapass_gateway.eventstream import MAX_EVENT_BYTES, EventSplitter
from cicadapass_gateway.logoutput import MAX_QUEUED_LINES, QueuedOutput
from cicadapass_gateway.metrics import Metrics
from cicadapass_gateway.supervisor import (
    MAX_RESTART_PAUSE_S,
    MIN_RESTART_PAUSE_S,
    Supervisor,
)
from cicadapass_gateway.usage import RETAINED_WINDOWS, SENT_WINDOWS, UsageCounter
from tests.gateway.harness import TIMEOUT_S, LoopTest, quiet_events
from tests.gateway.virtualcluster import run_virtual


class EventSplitterTest(testtools.TestCase):
    def test_an_event_of_single_bytes_ends_at_its_bound(self):
        """Each byte of an event without end had the whole event searched again.

        At a megabyte, that took hours; it is too large before the test's time limit.
        """
        splitter = EventSplitter()
        with self.assertRaises(ValueError):
            for _ in range(MAX_EVENT_BYTES + 1):
                splitter.feed(b"x")

    def test_events_are_whole_wherever_the_data_is_split(self):
        """An event that arrived in two reads was forwarded in two parts."""
        data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"
        for cut in range(len(data)):
            splitter = EventSplitter()
            events = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
            self.assertEqual(data, b"".join(each.data for each in events))
            self.assertEqual(["1", "2", None], [each.event_id for each in events])
            self.assertFalse(splitter.partial)

    def test_mixed_terminators_split_alike_in_chunks_and_in_single_bytes(self):
        """A search over whole chunks cut events elsewhere than one byte by byte."""
        for seed in range(300):
            rng = random.Random(seed)
            pieces = [b"\n", b"\r\n", b"\r", b"id: 7", b"data: x", b": c", b"y"]
            data = b"".join(rng.choices(pieces, k=40))
            singly, chunked = EventSplitter(), EventSplitter()
            expected = [e for byte in data for e in singly.feed(bytes((byte,)))]
            events, start = [], 0
            while start < len(data):
                end = start + rng.randrange(1, 30)
                events += chunked.feed(data[start:end])
                start = end
            self.assertEqual(expected, events)
            self.assertEqual(singly.partial, chunked.partial)
            self.assertTrue(data.startswith(b"".join(each.data for each in events)))

    def test_a_partial_event_is_reported(self):
        """A stream that ended within an event looked complete."""
        splitter = EventSplitter()
        splitter.feed(b"id: 1\n\nid: 2\nda")
        self.assertTrue(splitter.partial)


class UsageTest(testtools.TestCase):
    def test_counts_only_grow(self):
        """A late datagram decreased the counts."""
        usage = UsageCounter(5.0, lambda: 1000.0)
        usage.merge("p/1", {200: {"w": 5}})
        usage.merge("p/1", {200: {"w": 3}})
        self.assertEqual({"w": 5}, usage.total(200))

    def test_window_that_changed_beside_an_unchanged_one_counts(self):
        """A message with one unchanged window was taken for unchanged as a whole."""
        usage = UsageCounter(5.0, lambda: 1000.0)
        usage.merge("p/1", {199: {"w": 4}, 200: {"w": 5, "v": 1}})
        usage.merge("p/1", {199: {"w": 4}, 200: {"w": 6, "v": 1}})
        self.assertEqual({"w": 6, "v": 1}, usage.total(200))
        usage.merge("p/1", {199: {"w": 5, "x": 1}, 200: {"w": 6, "v": 1}})
        self.assertEqual({"w": 5, "x": 1}, usage.total(199))
        usage.merge("p/2", {199: {"w": 5, "x": 1}, 200: {"w": 6, "v": 1}})
        self.assertEqual({"w": 12, "v": 2}, usage.total(200))

    def test_merged_counts_are_the_highest_of_each_incarnation(self):
        """A window that was taken for merged lacked a count in a later message.

        Messages arrive late and twice, peers restart, and windows that were dropped
        come again.
        """
        for seed in range(40):
            rng = random.Random(seed)
            usage, plain = UsageCounter(5.0, lambda: 1000.0), {}
            for _ in range(60):
                peer = f"p/{rng.randrange(2)}"
                first = rng.randrange(12)
                counts = {
                    first + each: {
                        f"w{number}": rng.randrange(1, 4)
                        for number in range(rng.randrange(3))
                    }
                    for each in range(3)
                }
                kept = plain.setdefault(peer, {})
                for _ in range(rng.choice((1, 2))):
                    usage.merge(peer, counts)
                    for window, received in counts.items():
                        stored = kept.setdefault(window, {})
                        for name, number in received.items():
                            stored[name] = max(stored.get(name, 0), number)
                    for window in sorted(kept)[:-RETAINED_WINDOWS]:
                        del kept[window]
                for window in range(15):
                    expected = Counter()
                    for each in plain.values():
                        expected.update(each.get(window, {}))
                    self.assertEqual(dict(expected), usage.total(window))

    def test_a_restarted_peer_adds_to_its_former_counts(self):
        """The counts of a killed process were lost."""
        usage = UsageCounter(5.0, lambda: 1000.0)
        usage.merge("p/1", {200: {"w": 5}})
        usage.merge("p/2", {200: {"w": 1}})
        self.assertEqual({"w": 6}, usage.total(200))

    def test_old_windows_are_dropped(self):
        """The counts grew for as long as the process ran."""
        now = [0.0]
        usage = UsageCounter(5.0, lambda: now[0])
        for window in range(30):
            now[0] = window * 5.0
            usage.count("w")
        retained = [window for window in range(30) if usage.total(window)]
        self.assertEqual(list(range(30 - RETAINED_WINDOWS, 30)), retained)

    def test_only_windows_that_may_still_be_reported_are_sent(self):
        """Each datagram carried counts of windows that had been reported."""
        now = [0.0]
        usage = UsageCounter(5.0, lambda: now[0])
        for window in range(30):
            now[0] = window * 5.0
            usage.count("w")
        self.assertEqual(
            list(range(30 - SENT_WINDOWS, 30)), sorted(usage.local_counts())
        )


class MetricsTest(testtools.TestCase):
    def test_counters_and_histograms_are_rendered(self):
        """A dashboard could not read the metrics."""
        metrics = Metrics()
        metrics.count("requests", "answered")
        metrics.gauge("waiting", 3)
        metrics.observe("request", "safe", 0.07)
        lines = metrics.render().splitlines()
        self.assertIn('cicadapass_requests_total{kind="answered"} 1', lines)
        self.assertIn("cicadapass_waiting 3", lines)
        bucket = "cicadapass_request_seconds_bucket"
        self.assertIn(f'{bucket}{{kind="safe",le="0.05"}} 0', lines)
        self.assertIn(f'{bucket}{{kind="safe",le="0.1"}} 1', lines)
        self.assertIn(f'{bucket}{{kind="safe",le="+Inf"}} 1', lines)


class LogOutputTest(testtools.TestCase):
    def record(self, text):
        """Return a log record."""
        return logging.LogRecord("n", logging.INFO, "", 0, text, None, None)

    def test_a_blocked_output_loses_a_counted_number_of_lines(self):
        """A blocked standard output stopped the node or lost lines without a count."""
        writing, released = threading.Event(), threading.Event()

        class Blocked(StringIO):
            def write(self, text):
                writing.set()
                released.wait(TIMEOUT_S)
                return super().write(text)

        output_text = Blocked()
        self.patch(sys, "stdout", output_text)
        output = QueuedOutput()
        output.emit(self.record("first"))
        self.assertTrue(writing.wait(TIMEOUT_S))
        for number in range(MAX_QUEUED_LINES + 500):
            output.emit(self.record(f"line {number}"))
        # The process ends while the output is still blocked.
        output.stop(0.01)
        released.set()
        output.stop(TIMEOUT_S)
        lines = output_text.getvalue().splitlines()
        self.assertEqual(["first", "line 0"], lines[:2])
        self.assertEqual(f"line {MAX_QUEUED_LINES - 1}", lines[-2])
        self.assertIn('"count":500', lines[-1])


class SupervisorTest(LoopTest):
    def test_a_failed_component_is_restarted(self):
        """A failed component stayed stopped."""

        async def scenario():
            runs, done = [], asyncio.Event()

            async def component():
                runs.append(1)
                if len(runs) < 3:
                    raise ValueError("a fault")
                done.set()

            supervisor = Supervisor(quiet_events())
            supervisor.start("part", component)
            await done.wait()
            await supervisor.stop()

        self.run_loop(scenario())

    def test_a_component_that_always_fails_does_not_end_the_process(self):
        """One record that failed a component each time ended node after node.

        It is restarted after growing pauses, and reported; the others go on.
        """

        async def scenario():
            starts, beats, events = [], [], []
            log = quiet_events()
            log.emit = lambda number, **fields: events.append((number, fields))
            clock = asyncio.get_running_loop().time

            async def failing():
                starts.append(clock())
                raise ValueError("a fault")

            async def beating():
                while True:
                    beats.append(clock())
                    await asyncio.sleep(1.0)

            supervisor = Supervisor(log)
            supervisor.start("part", failing)
            supervisor.start("other", beating)
            await asyncio.sleep(600.0)
            pauses = [later - earlier for earlier, later in pairwise(starts)]
            self.assertAlmostEqual(MIN_RESTART_PAUSE_S, pauses[0], places=3)
            self.assertEqual(sorted(pauses), pauses)
            self.assertAlmostEqual(MAX_RESTART_PAUSE_S, pauses[-1], places=3)
            # It goes on to be restarted, at a bounded rate.
            self.assertLess(600.0 - starts[-1], 2 * MAX_RESTART_PAUSE_S)
            self.assertGreater(len(beats), 500)
            number, fields = events[-1]
            self.assertEqual((806, len(starts)), (number, fields["failures"]))
            await supervisor.stop()

        run_virtual(scenario())
