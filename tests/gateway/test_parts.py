"""Test the small parts: event streams, usage counts, metrics, logs, supervision."""

import asyncio
import logging
import sys
import threading
from io import StringIO

import testtools

from cicadapass_gateway.eventstream import EventSplitter
from cicadapass_gateway.logoutput import MAX_LINES, QueuedOutput
from cicadapass_gateway.metrics import Metrics
from cicadapass_gateway.supervisor import MAX_RESTARTS, Supervisor
from cicadapass_gateway.usage import KEPT_WINDOWS, TOLD_WINDOWS, UsageCounter
from tests.gateway.kit import TIMEOUT_S, LoopTest, quiet_events


class EventSplitterTest(testtools.TestCase):
    def test_events_are_whole_wherever_the_pieces_are_cut(self):
        """An event that was cut between two reads was passed on in halves."""
        data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"
        for cut in range(len(data)):
            splitter = EventSplitter()
            events = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
            self.assertEqual(data, b"".join(each.data for each in events))
            self.assertEqual(["1", "2", None], [each.event_id for each in events])
            self.assertFalse(splitter.partial)

    def test_the_rest_of_a_cut_event_is_known(self):
        """A stream that ended within an event looked complete."""
        splitter = EventSplitter()
        splitter.feed(b"id: 1\n\nid: 2\nda")
        self.assertTrue(splitter.partial)


class UsageTest(testtools.TestCase):
    def test_counts_only_grow(self):
        """A late datagram took counts back."""
        usage = UsageCounter(5.0, lambda: 1000.0)
        usage.hear("p/1", {200: {"w": 5}})
        usage.hear("p/1", {200: {"w": 3}})
        self.assertEqual({"w": 5}, usage.total(200))

    def test_a_restarted_peer_adds_to_its_former_counts(self):
        """The counts of a process that was killed were lost."""
        usage = UsageCounter(5.0, lambda: 1000.0)
        usage.hear("p/1", {200: {"w": 5}})
        usage.hear("p/2", {200: {"w": 1}})
        self.assertEqual({"w": 6}, usage.total(200))

    def test_old_windows_are_dropped(self):
        """The counts grew for as long as the process ran."""
        now = [0.0]
        usage = UsageCounter(5.0, lambda: now[0])
        for window in range(30):
            now[0] = window * 5.0
            usage.count("w")
        kept = [window for window in range(30) if usage.total(window)]
        self.assertEqual(list(range(30 - KEPT_WINDOWS, 30)), kept)

    def test_peers_are_told_the_windows_that_may_still_be_reported(self):
        """Each datagram carried counts that nobody needed any more."""
        now = [0.0]
        usage = UsageCounter(5.0, lambda: now[0])
        for window in range(30):
            now[0] = window * 5.0
            usage.count("w")
        self.assertEqual(list(range(30 - TOLD_WINDOWS, 30)), sorted(usage.own()))


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
        """A blocked standard output stopped the node, or lines were lost unseen."""
        writing, going = threading.Event(), threading.Event()

        class Blocked(StringIO):
            def write(self, text):
                writing.set()
                going.wait(TIMEOUT_S)
                return super().write(text)

        written = Blocked()
        self.patch(sys, "stdout", written)
        output = QueuedOutput()
        output.emit(self.record("first"))
        self.assertTrue(writing.wait(TIMEOUT_S))
        for number in range(MAX_LINES + 500):
            output.emit(self.record(f"line {number}"))
        # The process ends while the output is still blocked.
        output.stop(0.01)
        going.set()
        output.stop(TIMEOUT_S)
        lines = written.getvalue().splitlines()
        self.assertEqual(["first", "line 0"], lines[:2])
        self.assertEqual(f"line {MAX_LINES - 1}", lines[-2])
        self.assertIn('"count":500', lines[-1])


class SupervisorTest(LoopTest):
    def test_a_failed_part_starts_again(self):
        """A fault in one part ended its work for good."""

        async def scenario():
            runs, done = [], asyncio.Event()

            async def part():
                runs.append(1)
                if len(runs) < 3:
                    raise ValueError("a fault")
                done.set()

            supervisor = Supervisor(quiet_events(), lambda: None)
            supervisor.start("part", part)
            await done.wait()
            await supervisor.stop()

        self.run_loop(scenario())

    def test_a_part_that_always_fails_ends_the_process(self):
        """A node without a working part kept taking requests."""

        async def scenario():
            runs, given_up = [], asyncio.Event()

            async def part():
                runs.append(1)
                raise ValueError("a fault")

            supervisor = Supervisor(quiet_events(), given_up.set)
            supervisor.start("part", part)
            await given_up.wait()
            self.assertEqual(MAX_RESTARTS + 1, len(runs))

        self.run_loop(scenario())
