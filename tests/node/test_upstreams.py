"""Test the tracking of upstreams and the actor that publishes it."""

import queue
import threading
from dataclasses import replace

import pykka
import testtools

from cicadapass.upstreams import Upstreams
from cicadapass.upstreamtable import (
    AttemptMeasured,
    LoadReading,
    MarkLeaving,
    Outcome,
    PeerCounts,
    SetUpstreams,
    UpstreamConfig,
    UpstreamReaders,
)
from cicadapass.upstreamtracker import PEER_COUNTS_MAX_AGE_S, UpstreamTracker
from cicadapass_common.events import EventLog
from cicadapass_decisions.policy import Policy
from cicadapass_decisions.scoring import InFlight
from cicadapass_decisions.slowness import Health, Timing

WAIT_S = 20.0
POLL_S = 0.05
SERVICE = "f/parts"
CONFIGS = tuple(
    UpstreamConfig(f"f/u{i}", SERVICE, "f/dc-a", f"http://127.0.0.1:{i}", 8)
    for i in range(5)
)
READING = LoadReading(running=1, waiting=0, slots=8, incarnation="one")
FAST, SLOW = Timing(0.1, 0.02), Timing(1.0, 0.2)


class ManualTimers:
    """Call subscribers only when the test calls `fire`."""

    def __init__(self):
        self.actions = []

    def subscribe(self, action, interval_s, first_s=0.0):
        self.actions.append(action)
        return self

    def cancel(self):
        self.actions.clear()

    def fire(self):
        for action in list(self.actions):
            action()


class Candidates:
    """Look up the candidates of a table by number."""

    def __init__(self, table):
        self.by_name = {c.upstream: c for c in table.services[SERVICE].candidates}
        self.panic = table.services[SERVICE].panic

    def __getitem__(self, number):
        return self.by_name[f"f/u{number}"]


class UpstreamTrackerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = UpstreamTracker(Policy())
        self.tracker.configure(CONFIGS, Policy())

    def _candidates(self, now_s=0.0, flag_probes=False):
        self.tracker.update_health()
        return Candidates(self.tracker.table(now_s, flag_probes))

    def test_leaving_mark_is_never_cleared(self):
        """A later report or configuration must not clear a leaving mark."""
        self.tracker.on_report("f/u0", READING, 0.0)
        self.assertTrue(self.tracker.mark_leaving("f/u0", "one"))
        self.assertFalse(self.tracker.mark_leaving("f/u0", "one"))
        self.tracker.on_report("f/u0", READING, 1.0)
        self.tracker.configure(CONFIGS, Policy())
        self.assertTrue(self._candidates()[0].leaving)

    def test_new_incarnation_is_not_leaving(self):
        """A new VM with the same name must not inherit marks or measurements."""
        self.tracker.on_report("f/u0", READING, 0.0)
        self.tracker.mark_leaving("f/u0", "one")
        self.tracker.on_outcome("f/u0", Outcome(SLOW), 0.0)
        self.tracker.on_report("f/u0", replace(READING, incarnation="two"), 1.0)
        candidate = self._candidates()[0]
        self.assertFalse(candidate.leaving)
        self.assertIsNone(candidate.inter_token_s)

    def test_leaving_mark_before_the_first_report(self):
        """A leaving mark that arrives before the first report must be kept."""
        self.tracker.mark_leaving("f/u1", "two")
        self.assertTrue(self._candidates()[1].leaving)
        self.tracker.on_report("f/u0", READING, 0.0)
        self.tracker.mark_leaving("f/u0", "two")
        self.assertFalse(self._candidates()[0].leaving)
        self.tracker.on_report("f/u0", replace(READING, incarnation="two"), 1.0)
        self.assertTrue(self._candidates()[0].leaving)

    def test_slow_upstream_recovers_by_probes(self):
        """An upstream that gets no work must be probed to detect its recovery."""
        for i in range(5):
            for _ in range(4):
                timing = SLOW if i == 0 else FAST
                self.tracker.on_outcome(f"f/u{i}", Outcome(timing), 0.0)
        self.assertEqual(Health.SLOW, self._candidates()[0].health)
        probes = 0
        for now_s in (0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0):
            for config in self.tracker.probes_due(now_s):
                self.assertEqual("f/u0", config.name)
                self.tracker.on_probe(config.name, FAST, now_s)
                probes += 1
            self.tracker.update_health()
        self.assertEqual(Health.GOOD, self._candidates()[0].health)
        self.assertTrue(2 <= probes <= 6, probes)

    def test_failed_reports_make_an_upstream_failing(self):
        """A dead upstream must become failing without any request sent to it."""
        self.assertTrue(self.tracker.on_report_failed("f/u0"))
        self.assertFalse(self.tracker.on_report_failed("f/u0"))
        self.tracker.on_report_failed("f/u0")
        self.assertEqual(Health.FAILING, self._candidates()[0].health)

    def test_report_does_not_clear_failed_attempts(self):
        """An upstream that reports load but fails every request stays failing."""
        for _ in range(3):
            self.tracker.on_outcome("f/u0", Outcome(failed=True), 0.0)
        self.tracker.on_report("f/u0", READING, 0.0)
        self.assertEqual(Health.FAILING, self._candidates()[0].health)

    def test_panic_ignores_leaving_upstreams(self):
        """Leaving upstreams must not hide that most of the others are bad."""
        for i in range(3):
            self.tracker.mark_leaving(f"f/u{i}", "")
        for _ in range(3):
            self.tracker.on_report_failed("f/u3")
        self.assertFalse(self._candidates().panic)
        for _ in range(3):
            self.tracker.on_report_failed("f/u4")
        self.assertTrue(self._candidates().panic)

    def test_peer_counts_expire(self):
        """Counts of a peer that stopped must not occupy slots for ever."""
        for node in ("n1", "n2"):
            self.tracker.on_peer_counts(node, {"f/u0": InFlight(2, 1)}, 0.0)
        self.assertEqual(4, self._candidates(1.0)[0].peers.short)
        later_s = PEER_COUNTS_MAX_AGE_S + 1.0
        self.assertEqual(0, self._candidates(later_s)[0].peers.short)


class UpstreamsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.timers = ManualTimers()
        self.tables = queue.Queue()
        self.read_load = lambda config: READING
        supervisor = _IgnoreActor.start()
        self.addCleanup(supervisor.stop)
        self.ref = Upstreams.start(
            supervisor,
            EventLog("n", lambda: (0, 0)),
            self.timers,
            UpstreamReaders(lambda config: self.read_load(config)),
            self.tables.put,
            lambda: SetUpstreams(CONFIGS, Policy()),
            lambda: self.now_s,
        )
        self.addCleanup(self.ref.stop)

    def _wait_for_table(self, condition):
        """Return the first published table that meets the condition."""
        for _ in range(int(WAIT_S / POLL_S)):
            self.now_s += 1.0
            self.timers.fire()
            try:
                candidates = Candidates(self.tables.get(timeout=POLL_S))
            except queue.Empty:
                # The reads in progress have not ended yet.
                continue
            if condition(candidates):
                return candidates
        return self.fail("no such table was published")

    def _reported(self, candidates):
        return {n for n, c in candidates.by_name.items() if c.report is not None}

    def test_hanging_upstream_does_not_delay_others(self):
        """An upstream that never responds must not delay the reads of the others."""
        release, calls = threading.Event(), []
        self.addCleanup(release.set)

        def read_load(config):
            calls.append(config.name)
            if config.name == "f/u0":
                release.wait(WAIT_S)
            return READING

        self.read_load = read_load
        others = {f"f/u{i}" for i in range(1, 5)}
        self._wait_for_table(lambda c: self._reported(c) >= others)
        self._wait_for_table(lambda c: calls.count("f/u4") > 1)
        self.assertEqual(1, calls.count("f/u0"))

    def test_publishes_leaving_at_once(self):
        """A leaving mark must be published before the next tick."""
        self.tables.get(timeout=WAIT_S)
        self.ref.tell(MarkLeaving("f/u2", "", "notice"))
        # Without a tick, only the mark can have caused this table.
        self.assertTrue(Candidates(self.tables.get(timeout=WAIT_S))[2].leaving)

    def test_publishes_measurements_and_peer_counts(self):
        """Measurements and peers' counts must appear in the published snapshot."""
        self.ref.tell(PeerCounts("n2", {"f/u1": InFlight(3, 0)}))
        for _ in range(3):
            self.ref.tell(AttemptMeasured("f/u1", Outcome(failed=True)))
        candidates = self._wait_for_table(lambda c: c[1].peers.short == 3)
        self.assertEqual(Health.FAILING, candidates[1].health)

    def test_failing_reader_does_not_stop_the_component(self):
        """An exception in a reader must count as a failed report read."""

        def read_load(config):
            raise OSError("connection refused")

        self.read_load = read_load
        self._wait_for_table(lambda c: c[0].health is Health.FAILING)
        self.assertTrue(self.ref.is_alive())


class _IgnoreActor(pykka.ThreadingActor):
    use_daemon_thread = True

    def on_receive(self, message):
        return None
