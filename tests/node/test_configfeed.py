"""Test the configuration feed."""

import logging
import queue
import random
import threading

import pykka
import testtools
from expression import Error, Ok
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass import configfeed, recentrecords
from cicadapass.configfeed import ConfigFeed
from cicadapass.configmessages import (
    NEED_SNAPSHOT,
    ConfigFeedDependencies,
    FetchCompleted,
    FetchRequested,
    OffsetAnnounced,
    PageArrived,
    Tick,
)
from cicadapass.configview import ConfigFetched, CurrentConfig
from cicadapass.recentrecords import RecentRecords
from cicadapass.supervisor import StartComponent, StopComponents, Supervisor
from cicadapass.timers import TimerService
from cicadapass_common.events import LOGGER_NAME, EventLog
from cicadapass_common.logclient import LogUnreachable, RawRecord
from cicadapass_common.publish import read_to_end
from cicadapass_common.records import decode_log_record, encode_record
from cicadapass_decisions.fold import FoldState, fold, skip_to, to_snapshot
from cicadapass_decisions.logrecords import Publish
from tests.common.memorylog import MemoryLog

RETENTION_S = 1200.0
WAIT_S = 30.0
EXAMPLES = 200


def _parse(document):
    return Ok(document["n"]) if "n" in document else Error(("no n",))


def _publish(base, number, **document):
    body = Publish(f"p{number}", base, "op", {"n": number} | document)
    return encode_record(body).ok


class _Events(EventLog):
    """Put each event's number into a queue, so that tests can wait for it."""

    def __init__(self):
        super().__init__("vm-1", lambda: (0, 0))
        self.numbers = queue.SimpleQueue()

    def emit(self, number, **fields):
        event = super().emit(number, **fields)
        self.numbers.put(number)
        return event

    def wait_for(self, number):
        while self.numbers.get(timeout=WAIT_S) != number:
            pass


class _Node:
    """Run one feed without its threads."""

    def __init__(self, test, log, seed=0):
        self.log = log
        self.reachable = True
        self.now_s = 0.0
        self.events = _Events()
        self.current_config = CurrentConfig()
        self.changes = []
        self.peers = []
        self.fetched = []
        self.rng = random.Random(seed)
        self.parse = _parse
        self.feeds_by_urn = test.feeds_by_urn
        self.restart()

    def restart(self):
        """Start a feed as the supervisor does after a crash."""
        dependencies = ConfigFeedDependencies(
            log=self.log,
            parse=lambda document: self.parse(document),
            events=self.events,
            timers=None,
            fetch_from_peer=self.fetch,
            on_change=self.changes.append,
            retention_s=RETENTION_S,
            rng=self.rng,
            clock=lambda: self.now_s,
            wall=lambda: self.now_s,
            run_in_background=lambda job: job(),
        )
        self.feed = ConfigFeed(None, "configfeed", dependencies, self.current_config)
        self.feeds_by_urn[self.feed.actor_urn] = self.feed

    def poll(self, limit=3):
        answer = Error(LogUnreachable("cut off", "wait", False))
        if self.reachable:
            answer = self.log.read(self.current_config.state.next_offset, limit, 0.0)
        self.feed.on_receive(PageArrived(answer, lambda offset: None))
        return answer

    def poll_to_end(self):
        while self.poll().ok.records:
            pass

    def tick(self, seconds=1.0):
        self.now_s += seconds
        self.feed.on_receive(Tick())

    def fetch(self, from_offset):
        self.fetched.append(from_offset)
        for peer in sorted(self.peers, key=lambda p: -p.current_config.offset):
            return Ok(peer.feed.on_receive(FetchRequested(from_offset)))
        return Error("no peer")

    def receive_announcements(self):
        """Receive the offsets that the peers announce by gossip."""
        for peer in self.peers:
            self.feed.on_receive(OffsetAnnounced(peer.current_config.offset))


class FeedTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(logging.getLogger(LOGGER_NAME), "disabled", True)
        self.feeds_by_urn = {}
        self.patch(configfeed, "tell_if_alive", self._tell)
        self.log = MemoryLog()
        self.node = _Node(self, self.log)

    def _tell(self, ref, message):
        self.feeds_by_urn[ref.actor_urn].on_receive(message)

    def test_accepted_publish_reaches_all_threads(self):
        """A node must serve a version once it was read, and report it once."""
        self.assertFalse(self.node.current_config.is_ready)
        self.log.put(_publish(-1, 1))
        self.log.put(_publish(0, 2))
        self.log.put(b"junk")
        self.node.poll_to_end()
        view = self.node.current_config.view
        self.assertEqual((1, 2, 2, {"n": 2}), (*_view(view), view.document))
        self.assertEqual([1], [change.version for change in self.node.changes])

    def test_unusable_version_leaves_the_older_one_in_force(self):
        """A node of an older release must not fail on a document it cannot parse."""
        self.log.put(_publish(-1, 1))
        self.node.poll_to_end()
        self.log.put(_publish(0, 2))
        state = skip_to(FoldState(), 0)
        for raw in self.log.records:
            record = decode_log_record(raw.offset, raw.time_s, raw.data)
            state, _ = fold(state, record, _parse)
        self.node.parse = lambda document: 1 / 0
        self.log.expire(2)
        self.log.put(encode_record(to_snapshot(state)).ok)
        self.node.poll_to_end()
        self.assertEqual(0, self.node.current_config.view.version)
        self.assertEqual(1, self.node.current_config.state.version)
        self.assertIn(211, [event.number for event in self.node.events.recent()])

    def test_node_without_configuration_is_not_ready(self):
        """A node that has neither log nor peers must report it once."""
        self.node.reachable = False
        for _ in range(3):
            self.node.poll()
            self.node.tick()
        self.assertFalse(self.node.current_config.is_ready)
        numbers = [event.number for event in self.node.events.recent()]
        self.assertEqual((1, 1), (numbers.count(206), numbers.count(207)))

    def test_isolated_node_gets_a_snapshot_from_a_peer(self):
        """A new node must become ready although it cannot reach the log."""
        self.log.put(_publish(-1, 1))
        peer = _Node(self, self.log)
        peer.poll_to_end()
        self.node.peers = [peer]
        self.node.reachable = False
        self.node.poll()
        self.node.tick()
        self.assertEqual([NEED_SNAPSHOT], self.node.fetched)
        self.assertEqual((0, 0, 1), _view(self.node.current_config.view))

    def test_silent_log_does_not_delay_the_peers_answer(self):
        """Dropped packets to the log must not keep a node behind for long."""
        self.log.put(_publish(-1, 1))
        peer = _Node(self, self.log)
        self.node.poll_to_end()
        self.log.put(_publish(0, 2))
        peer.poll_to_end()
        self.node.peers = [peer]
        self.node.receive_announcements()
        self.node.tick()
        self.assertEqual([], self.node.fetched)
        self.node.tick(2.0)
        self.assertEqual([1], self.node.fetched)
        self.assertEqual(1, self.node.current_config.view.version)

    def test_failed_fetch_is_repeated(self):
        """A fetch that raises an exception must not prevent further fetches."""
        self.node.reachable = False
        self.node.peers = [None]
        self.node.poll()
        self.node.tick()
        self.node.tick()
        self.assertEqual(2, len(self.node.fetched))

    def test_peers_get_records_or_a_snapshot(self):
        """A peer that is a few records behind must not cost a whole snapshot."""
        self.log.put(_publish(-1, 1))
        self.log.put(_publish(0, 2))
        empty = ConfigFetched((), 0)
        self.assertEqual(empty, self.node.feed.on_receive(FetchRequested(0)))
        self.node.poll_to_end()
        serve = self.node.feed.on_receive
        self.assertEqual(tuple(self.log.records[1:]), serve(FetchRequested(1)).records)
        self.assertIsNone(serve(FetchRequested(1)).snapshot)
        self.assertIsNotNone(serve(FetchRequested(NEED_SNAPSHOT)).snapshot)
        self.assertEqual(ConfigFetched((), 2), serve(FetchRequested(2)))

    def test_gap_in_a_peers_answer_is_not_a_log_gap(self):
        """A peer that skips records must not make the node lose its state."""
        self.log.put(_publish(-1, 1))
        self.node.poll_to_end()
        for number in range(3):
            self.log.put(_publish(0, number))
        answer = Ok(ConfigFetched(tuple(self.log.records[2:]), 4))
        self.node.feed.on_receive(FetchCompleted(answer))
        self.assertTrue(self.node.current_config.state.complete)
        self.assertEqual(1, self.node.current_config.state.next_offset)

    def test_recent_records_are_consecutive_and_bounded(self):
        """Records sent to a peer must have no gap, and their number must be bounded."""
        recent = RecentRecords()
        for offset in [3, 5, 6]:
            recent.add(RawRecord(offset, 0.0, b"x"))
        self.assertEqual([], [r.offset for r in recent.since(3)])
        self.assertEqual([6], [r.offset for r in recent.since(6)])
        recent.add(RawRecord(7, 0.0, bytes(recentrecords.MAX_BYTES)))
        self.assertEqual([], [r.offset for r in recent.since(6)])

    def test_snapshot_that_expired_early_is_replaced_soon(self):
        """New readers must not wait for hours if the log has lost its snapshot."""
        self.log.put(_publish(-1, 1))
        self.node.poll_to_end()
        self.log.expire(1)
        self.assertFalse(read_to_end(self.log, FoldState(), _parse).ok.complete)
        for _ in range(31):
            self.node.poll_to_end()
            self.node.tick()
        self.assertEqual(2, self.log.end_offset)
        reader = read_to_end(self.log, FoldState(), _parse).ok
        self.assertEqual((True, 0), (reader.complete, reader.version))

    def test_one_node_appends_a_due_snapshot(self):
        """Exactly one node must append a snapshot before the retention ends."""
        self.log.put(_publish(-1, 1))
        nodes = [self.node, _Node(self, self.log, seed=1)]
        for second in range(0, int(RETENTION_S / 2), 5):
            self.log.now_s = float(second)
            for node in nodes:
                node.poll_to_end()
            for node in nodes:
                node.tick(5.0)
        self.assertEqual(2, self.log.end_offset)
        self.assertLess(self.log.records[1].time_s, RETENTION_S / 2)


def _view(view):
    return view.version, view.offset, view.inventory


nodes = st.integers(0, 2)
# The number selects a node, or how many versions a publish's base is behind.
ACTIONS = """publish publish poll poll poll tick cut heal listen expire junk
    replace crash age"""
step_lists = st.tuples(st.sampled_from(ACTIONS.split()), nodes)


class AgreementTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(logging.getLogger(LOGGER_NAME), "disabled", True)
        self.feeds_by_urn = {}
        self.patch(configfeed, "tell_if_alive", self._tell)

    def _tell(self, ref, message):
        self.feeds_by_urn[ref.actor_urn].on_receive(message)

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(st.lists(step_lists, min_size=10, max_size=60))
    def test_nodes_agree_and_never_revert(self, chosen):
        """Outages, expiry, crashes and new VMs must not split or revert nodes."""
        self.log, self.states = MemoryLog(), [skip_to(FoldState(), 0)]
        self.nodes = [_Node(self, self.log, seed) for seed in range(3)]
        for node in self.nodes:
            node.peers = [peer for peer in self.nodes if peer is not node]
        for action, number in chosen:
            configs = [node.current_config for node in self.nodes]
            versions = [current_config.state.version for current_config in configs]
            self.step(action, number)
            for current_config, version in zip(configs, versions, strict=True):
                self.check(current_config, version)
        self.check_convergence()

    def step(self, action, number):
        match action:
            case "publish":
                base = self.reference()[max(0, len(self.states) - 1 - number)].version
                self.log.put(_publish(base, self.log.end_offset // 2))
            case "junk":
                self.log.put(b"junk")
            case "expire":
                self.reference()
                self.log.expire(self.log.end_offset - number)
            case "age":
                self.log.now_s += RETENTION_S / 4
                for node in self.nodes:
                    node.now_s = self.log.now_s
            case _:
                self.step_node(action, self.nodes[number])

    def step_node(self, action, node):
        match action:
            case "poll":
                node.poll()
            case "tick":
                node.tick(2.0)
            case "cut" | "heal":
                node.reachable = action == "heal"
            case "listen":
                node.receive_announcements()
            case "crash":
                node.restart()
            case "replace":
                node.current_config = CurrentConfig()
                node.restart()

    def reference(self):
        """Return the states after each record that was ever appended."""
        for raw in self.log.records:
            if raw.offset == len(self.states) - 1:
                record = decode_log_record(raw.offset, raw.time_s, raw.data)
                self.states.append(fold(self.states[-1], record, _parse)[0])
        return self.states

    def check(self, current_config, version):
        self.assertGreaterEqual(current_config.state.version, version)
        if current_config.view is not None:
            self.assertEqual(current_config.state.version, current_config.view.version)
        if current_config.state.complete:
            expected = self.reference()[current_config.state.next_offset]
            self.assertEqual(to_snapshot(expected), to_snapshot(current_config.state))

    def check_convergence(self):
        """Check that all nodes reach the same offset after the faults end."""
        states = [node.current_config.state for node in self.nodes]
        first = self.log.first_offset
        recoverable = any(s.complete and s.next_offset >= first for s in states)
        for _ in range(3):
            for node in self.nodes:
                node.reachable = True
                node.poll_to_end()
                node.receive_announcements()
                node.tick(3.0)
        for node in self.nodes:
            node.poll_to_end()
        offsets = {node.current_config.offset for node in self.nodes}
        if recoverable:
            self.assertEqual({self.log.end_offset - 1}, offsets)
        else:
            self.assertEqual(1, len(offsets))


def _reader_threads():
    return [t for t in threading.enumerate() if t.name == "logreader"]


class ActorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(logging.getLogger(LOGGER_NAME), "disabled", True)
        self.previous_readers = set(_reader_threads())
        self.log, self.events = MemoryLog(), _Events()
        self.current_config = CurrentConfig()
        self.timers = TimerService()
        self.supervisor = Supervisor.start(self.events, lambda: None)
        self.addCleanup(self.stop)
        self.on_change = lambda view: None
        self.supervisor.ask(
            StartComponent("configfeed", self.start_feed), timeout=WAIT_S
        )

    def start_feed(self):
        dependencies = ConfigFeedDependencies(
            log=self.log,
            parse=_parse,
            events=self.events,
            timers=self.timers,
            fetch_from_peer=lambda offset: Error("no peer"),
            on_change=lambda view: self.on_change(view),
            retention_s=RETENTION_S,
            rng=random.Random(0),
        )
        return ConfigFeed.start(
            self.supervisor, "configfeed", dependencies, self.current_config
        )

    def stop(self):
        self.supervisor.ask(StopComponents(), timeout=WAIT_S)
        self.supervisor.stop()
        self.log.set_down(True)

    def test_reader_thread_delivers_new_versions(self):
        """The feed must follow the log through an outage."""
        self.log.put(_publish(-1, 1))
        self.events.wait_for(200)
        self.log.set_down(True)
        self.events.wait_for(207)
        self.log.put(_publish(0, 2))
        self.log.set_down(False)
        self.events.wait_for(200)
        self.assertEqual(1, self.current_config.view.version)

    def test_reader_thread_survives_a_client_exception(self):
        """An unexpected exception must not stop the reading of the log."""
        self.log.put(_publish(-1, 1))
        self.events.wait_for(200)
        read, self.log.read = self.log.read, None
        self.log.put(b"ends the waiting read")
        self.events.wait_for(207)
        self.log.read = read
        self.log.put(_publish(0, 2))
        self.events.wait_for(200)

    def test_restarted_feed_continues_from_its_version(self):
        """A crash of the feed must not lose or revert the configuration."""
        self.log.put(_publish(-1, 1))
        self.events.wait_for(200)
        readers = set(_reader_threads())
        self.on_change = lambda view: 1 / 0
        self.log.put(_publish(0, 2))
        self.events.wait_for(110)
        self.on_change = lambda view: None
        self.log.put(_publish(1, 3))
        self.events.wait_for(200)
        self.assertEqual((2, 2, 3), _view(self.current_config.view))
        self.assertEqual(1, len(pykka.ActorRegistry.get_by_class(ConfigFeed)))
        self.assertEqual(1, len(set(_reader_threads()) - readers))
        for thread in readers - self.previous_readers:
            thread.join(WAIT_S)
            self.assertFalse(thread.is_alive())
