"""Test leases and fencing numbers."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass_decisions.lease import (
    MAX_LEASE_S,
    LeaseState,
    LeaseVerdict,
    evaluate_lease,
    held_lease,
    may_act,
    may_take,
    request_lease,
    skip_leases_to,
)
from cicadapass_decisions.logrecords import LeaseRequest, LogRecord

EXAMPLES = 300
NAME = "decider/f/dc-a"
LEASE_S = 10.0
nodes = st.integers(0, 2)
# An attempt reads, requests and is delivered at once; a request stays in flight until
# it is delivered.
actions = st.one_of(
    st.tuples(st.just("advance"), st.sampled_from([0.5, 4.0, 9.9, 10.2, 16.0])),
    st.tuples(st.just("read"), nodes),
    st.tuples(st.just("attempt"), nodes),
    st.tuples(st.just("request"), nodes),
    st.tuples(st.just("release"), nodes),
    st.tuples(st.just("deliver"), st.integers(0, 3)),
    st.tuples(st.sampled_from(["read", "read", "restart"]), nodes),
)


class _Node:
    """Take leases; the clock of every second node runs slightly fast."""

    def __init__(self, number):
        self.name = f"vm-{number}"
        self.rate = 1.0 + 0.009 * (number % 2)
        self.start(0, 0.0)

    def start(self, first_offset, now_s):
        self.incarnation = f"i{now_s}"
        self.state = skip_leases_to(LeaseState(), first_offset, now_s * self.rate)
        self.requests = []
        self.leases = []

    def read(self, log, now_s):
        clock_s = now_s * self.rate
        for record in log[self.state.next_offset :]:
            self.state, verdict = evaluate_lease(self.state, record, clock_s)
            for request, before_s in self.requests:
                if request is record.body and verdict is LeaseVerdict.GRANTED:
                    self.leases = [held_lease(request, record.offset, before_s)]

    def request(self, now_s, duration_s):
        clock_s = now_s * self.rate
        if not may_take(self.state, NAME, self.name, self.incarnation, clock_s):
            return None
        request = request_lease(
            self.state, NAME, self.name, self.incarnation, duration_s
        )
        self.requests.append((request, clock_s))
        return request

    def holds_lease(self, now_s):
        return any(may_act(lease, now_s * self.rate) for lease in self.leases)


class _Simulation:
    def __init__(self):
        self.now_s, self.log, self.in_flight = 100.0, [], []
        self.nodes = [_Node(number) for number in range(3)]

    def step(self, action, value):
        match action:
            case "advance":
                self.now_s += value
            case "read":
                self.nodes[value].read(self.log, self.now_s)
            case "attempt":
                node = self.nodes[value]
                node.read(self.log, self.now_s)
                self.send(node.request(self.now_s, LEASE_S))
                self.step("deliver", -1)
                node.read(self.log, self.now_s)
            case "request":
                self.send(self.nodes[value].request(self.now_s, LEASE_S))
            case "release" if self.nodes[value].leases:
                self.nodes[value].leases = []
                self.send(self.nodes[value].request(self.now_s, 0.0))
            case "deliver" if self.in_flight:
                self.deliver(self.in_flight.pop(value % len(self.in_flight)))
            case "restart":
                self.nodes[value].start(max(0, len(self.log) - 1), self.now_s)

    def send(self, request):
        if request is not None:
            self.in_flight.append(request)

    def deliver(self, request):
        self.log.append(LogRecord(len(self.log), self.now_s, request))


class LeaseTest(testtools.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=2 * EXAMPLES)
    @given(st.lists(actions, min_size=10, max_size=60))
    def test_one_holder_at_a_time(self, steps):
        """Delayed requests, pauses and restarts must not give two valid holders."""
        simulation = _Simulation()
        for step in steps:
            simulation.step(*step)
            acting = [
                node.name
                for node in simulation.nodes
                if node.holds_lease(simulation.now_s)
            ]
            self.assertLessEqual(len(acting), 1, (acting, simulation.log))

    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(
        st.lists(st.tuples(nodes, st.integers(1, 5)), min_size=2, max_size=20),
        st.integers(0, 19),
    )
    def test_readers_that_start_anywhere_agree(self, history, start):
        """A reader without earlier records must agree or return UNDECIDED."""
        log = [
            LogRecord(o, 0.0, LeaseRequest(f"n{n % 2}", f"vm-{n}", "i", 5.0, o - lag))
            for o, (n, lag) in enumerate(history)
        ]
        start %= len(log)
        full, late = LeaseState(), skip_leases_to(LeaseState(), start, 0.0)
        for record in log:
            full, expected = evaluate_lease(full, record, 0.0)
            late, verdict = evaluate_lease(late, record, 0.0)
            if verdict is not None and verdict is not LeaseVerdict.UNDECIDED:
                self.assertEqual(expected, verdict)

    def test_fencing_number_grows(self):
        """An engine must be able to reject the orders of a former holder."""
        state = LeaseState()
        numbers = []
        for offset, holder in enumerate(["vm-1", "vm-2", "vm-3"]):
            request = request_lease(state, NAME, holder, "i", LEASE_S)
            state, verdict = evaluate_lease(state, LogRecord(offset, 0.0, request), 0.0)
            self.assertEqual(LeaseVerdict.GRANTED, verdict)
            numbers.append(state.leases[NAME].fencing_number)
        self.assertEqual([0, 1, 2], numbers)

    def test_new_reader_waits_for_unread_leases(self):
        """A reader whose records expired must wait for the longest lease to expire."""
        state = skip_leases_to(LeaseState(), 7, 100.0)
        self.assertFalse(may_take(state, NAME, "vm-1", "i", 100.0 + MAX_LEASE_S))
        self.assertTrue(may_take(state, NAME, "vm-1", "i", 101.0 + MAX_LEASE_S))

    def test_holder_with_a_gap_waits_before_it_renews(self):
        """A holder that missed records must not renew over another's lease."""
        request = request_lease(LeaseState(), NAME, "vm-1", "i", LEASE_S)
        state, _ = evaluate_lease(LeaseState(), LogRecord(0, 0.0, request), 100.0)
        self.assertTrue(may_take(state, NAME, "vm-1", "i", 100.0))
        state = skip_leases_to(state, 9, 101.0)
        self.assertFalse(may_take(state, NAME, "vm-1", "i", 101.0 + MAX_LEASE_S))

    def test_undecided_release_does_not_shorten_the_wait(self):
        """A release that may have been refused must not end the wait for a lease."""
        state = skip_leases_to(LeaseState(), 5, 100.0)
        for offset, holder, duration_s in [(5, "vm-1", LEASE_S), (6, "vm-2", 0.0)]:
            request = LeaseRequest(NAME, holder, "i", duration_s, 3)
            state, verdict = evaluate_lease(
                state, LogRecord(offset, 0.0, request), 110.0
            )
            self.assertEqual(LeaseVerdict.UNDECIDED, verdict)
        self.assertFalse(may_take(state, NAME, "vm-3", "i", 119.0))
        self.assertTrue(may_take(state, NAME, "vm-3", "i", 121.0))

    def test_lease_longer_than_the_limit_is_not_granted(self):
        """A lease must not outlive the wait of a reader that missed it."""
        request = LeaseRequest(NAME, "vm-1", "i", MAX_LEASE_S + 1, -1)
        _, verdict = evaluate_lease(LeaseState(), LogRecord(0, 0.0, request), 0.0)
        self.assertEqual(LeaseVerdict.LOST, verdict)
