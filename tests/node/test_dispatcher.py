"""Test the granting of upstreams and the dispatcher that maintains the queues."""

import random
import threading
from dataclasses import replace

import pykka
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cicadapass.dispatcher import (
    Dispatcher,
    DispatcherClient,
    SetRules,
    StartDraining,
)
from cicadapass.grantmanager import GrantManager
from cicadapass.grants import AcquireRequest, Grant
from cicadapass.upstreamtable import Outcome, ServiceTable, UpstreamTable
from cicadapass_common.events import EventLog
from cicadapass_decisions.admission import Refusal, RefusalReason
from cicadapass_decisions.policy import AdmissionRules, Policy, QueueRules
from cicadapass_decisions.retry import (
    Abandon,
    Attempt,
    Failure,
    FailureKind,
    Hedge,
    RetryRequest,
)
from cicadapass_decisions.scoring import Candidate, InFlight
from cicadapass_decisions.work import WorkClass, WorkKind, WorkRequest

WAIT_S = 20.0
POLL_S = 0.005
SERVICE = "f/parts"
SHORT = WorkClass(WorkKind.SHORT, 20, 20.0)
LONG = WorkClass(WorkKind.LONG, 5000, 5000.0)
# Long waits that a test causes on purpose must not shed requests.
NO_SHED_POLICY = Policy(
    admission=AdmissionRules(max_wait_s=600.0, max_long_wait_s=3600.0)
)


def _table(upstreams=2, limit=4, nodes=1, **fields):
    candidates = tuple(
        Candidate(f"f/u{i}", "f/dc-a", limit, **fields) for i in range(upstreams)
    )
    return UpstreamTable({SERVICE: ServiceTable(candidates, nodes=nodes)})


def _request(name, work=SHORT, **fields):
    fields = {"deadline_s": 1000.0, "workspace": "f/w"} | fields
    return AcquireRequest(name, SERVICE, work=work, **fields)


class GrantManagerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self._reset_state()

    def _reset_state(self):
        self.now_s = 0.0
        self.settled = {}
        self.measured = []
        self.grant_manager = GrantManager(
            random.Random(1), lambda: self.now_s, self.measured.append
        )
        self.grant_manager.set_rules(NO_SHED_POLICY, {})
        self.grant_manager.set_table(_table())

    def _submit(self, request):
        name = request.request_id

        def settle(result):
            self.assertNotIn(name, self.settled)
            self.settled[name] = result

        result = self.grant_manager.submit(request, settle)
        if result is not None:
            settle(result)
        return result

    def _fill(self, work, count):
        return [self._submit(_request(f"{work.kind}{i}", work)) for i in range(count)]

    def test_short_work_is_granted_beside_queued_long_work(self):
        """Short work must get a slot while long work fills its share and the queue."""
        grants = self._fill(LONG, 50)
        self.assertEqual(6, sum(isinstance(grant, Grant) for grant in grants))
        self.assertIsInstance(self._submit(_request("lookup")), Grant)

    def test_reserve_follows_recent_short_work(self):
        """Long work must not take slots that short work has used recently."""
        table = _table(1, 16)
        self.grant_manager.set_table(table)
        lookups = self._fill(SHORT, 9)
        self.grant_manager.set_table(table)
        for lookup in lookups:
            self.grant_manager.release(lookup, Outcome())
        jobs = self._fill(LONG, 16)
        self.assertEqual(4, sum(isinstance(job, Grant) for job in jobs))
        self.now_s = 60.0
        self.grant_manager.set_table(table)
        self.assertEqual(12, self.grant_manager.in_flight()["f/u0"].long)

    def test_reclassified_work_frees_the_reserved_slot(self):
        """Work wrongly predicted as short must not occupy a slot reserved for short."""
        self.grant_manager.set_table(_table(1, 4))
        grants = self._fill(SHORT, 4)
        self.grant_manager.record_progress(grants[0], Outcome(tokens=5000))
        self.assertEqual(1, self.grant_manager.in_flight()["f/u0"].long)
        self.assertFalse(self.measured[0].outcome.finished)
        for grant in grants:
            self.grant_manager.release(grant, Outcome())
        self.assertEqual({}, self.grant_manager.in_flight())

    def test_second_release_does_nothing(self):
        """Releasing a slot twice would admit more requests than the limit."""
        grants = self._fill(SHORT, 8)
        self.assertIsNone(self._submit(_request("waits")))
        for _ in range(2):
            self.grant_manager.release(grants[0], Outcome())
        self.assertIsInstance(self.settled["waits"], Grant)
        self.assertIsNone(self._submit(_request("still full")))

    def test_leaving_upstream_gets_no_queued_requests(self):
        """Queued requests must not be sent to an upstream that was marked leaving."""
        grants = self._fill(SHORT, 8)
        self._submit(_request("waits"))
        self.grant_manager.set_table(_table(leaving=True))
        for grant in grants:
            self.grant_manager.release(grant, Outcome())
        self.assertNotIn("waits", self.settled)
        self.grant_manager.set_table(_table())
        self.assertIsInstance(self.settled["waits"], Grant)

    def test_refuses_at_once_without_upstreams(self):
        """New requests must not wait when all upstreams are leaving."""
        self.grant_manager.set_table(_table(leaving=True))
        refused = self._submit(_request("a"))
        self.assertEqual(RefusalReason.NO_UPSTREAM, refused.reason)
        self.assertIsNone(self._submit(_request("b", accepted=True)))

    def test_sheds_the_lowest_waiting_priority(self):
        """A full queue must shed lower-priority requests for a higher-priority one."""
        self.grant_manager.set_rules(
            replace(NO_SHED_POLICY, queue=QueueRules(max_queued=2)), {}
        )
        self._fill(SHORT, 8)
        self._submit(_request("low", priority=1))
        self._submit(_request("accepted", priority=0, accepted=True))
        self.assertIsNone(self._submit(_request("high", priority=2)))
        self.assertEqual(RefusalReason.OVERLOAD, self.settled["low"].reason)
        self.assertNotIn("accepted", self.settled)
        self.assertIsInstance(self._submit(_request("also low", priority=1)), Refusal)

    def test_sheds_at_once_when_the_wait_is_too_long(self):
        """Requests with too long an expected wait are refused at arrival."""
        self.grant_manager.set_rules(Policy(), {})
        results = self._fill(SHORT, 400)
        refused = [r for r in results if isinstance(r, Refusal)]
        self.assertTrue(refused)
        self.assertEqual({RefusalReason.OVERLOAD}, {r.reason for r in refused})

    def test_expires_at_the_deadline(self):
        """A queued request must not be run after its deadline."""
        self._fill(SHORT, 8)
        self._submit(_request("late", deadline_s=5.0))
        self.now_s = 5.0
        self.grant_manager.expire()
        self.assertEqual(RefusalReason.DEADLINE, self.settled["late"].reason)

    def test_work_that_cannot_finish_is_not_started(self):
        """Slots must not be used for answers that would end after the deadline."""
        grants = self._fill(SHORT, 8)
        self._submit(_request("late", deadline_s=5.0))
        self.now_s = 4.8
        self.grant_manager.expire()
        self.grant_manager.release(grants[0], Outcome())
        self.assertEqual(RefusalReason.DEADLINE, self.settled["late"].reason)

    def test_overload_sheds_only_the_workspace_above_its_share(self):
        """A workspace within its share must not be shed for another's overload."""
        self.grant_manager.set_rules(Policy(), {})
        for i in range(300):
            self.now_s += 0.01
            self._submit(_request(f"flood{i}", workspace="f/flood"))
        others = [self._submit(_request(f"calm{i}", workspace="f/calm")) for i in "ab"]
        self.assertIsInstance(
            self._submit(_request("flood", workspace="f/flood")), Refusal
        )
        self.assertEqual([None, None], others)

    def test_hedge_is_refused_without_another_upstream(self):
        """A hedge must not be queued or sent to the upstream that is late."""
        hedge = _request("h", attempt=2, hedge=True, avoid=frozenset(["f/u0"]))
        self.assertEqual("f/u1", self._submit(hedge).upstream)
        self.grant_manager.set_table(_table(1))
        self.assertIsInstance(self._submit(replace(hedge, request_id="i")), Refusal)

    def test_retry_does_not_block_the_queue(self):
        """A retry that avoids the only free upstream must not block the queue."""
        grants = self._fill(SHORT, 8)
        self._submit(_request("retry", attempt=2, avoid=frozenset(["f/u0"])))
        self._submit(_request("other"))
        for grant in grants:
            if grant.upstream == "f/u0":
                self.grant_manager.release(grant, Outcome())
        self.assertIsInstance(self.settled["retry"], Grant)
        self.assertIsInstance(self.settled["other"], Grant)

    def test_node_gets_its_share_when_peers_use_all_slots(self):
        """A node without requests in flight gets its share of slots that peers use."""
        self.grant_manager.set_table(_table(2, 4, nodes=4, peers=InFlight(short=4)))
        grants = self._fill(SHORT, 5)
        self.assertEqual(2, sum(isinstance(grant, Grant) for grant in grants))
        jobs = self._fill(LONG, 3)
        self.assertEqual(1, sum(isinstance(job, Grant) for job in jobs))

    def test_one_probe_at_a_time(self):
        """A slow upstream must not get a burst of requests as probes."""
        slow = {"probe_due": True, "health": "slow"}
        self.grant_manager.set_table(_table(1, **slow))
        probe = self._submit(_request("probe"))
        self.assertTrue(probe.probe)
        self.grant_manager.set_table(_table(1, **slow))
        self.assertIsNone(self._submit(_request("next")))

    def test_retries_and_hedges_share_the_budget(self):
        """Retries and hedges together must not exceed the service's retry budget."""
        request = RetryRequest(repeatable=True, deadline_s=100.0)
        late = Attempt("f/u0", True, FailureKind.LATE, running=True)
        lost = Attempt("f/u0", True, FailureKind.BROKEN)
        first = self.grant_manager.next_step(
            SERVICE, [late], Failure(FailureKind.LATE, True), request
        )
        second = self.grant_manager.next_step(
            SERVICE, [lost], Failure(FailureKind.BROKEN, True), request
        )
        self.assertIsInstance(first, Hedge)
        self.assertIsInstance(second, Abandon)

    def test_sends_the_same_prompt_to_the_same_upstream(self):
        """Requests with a common prefix share an engine before cache events arrive."""
        self.grant_manager.set_table(_table(20, 8))
        blocks = ("b1", "b2")
        names = set()
        for i in range(20):
            request = _request(str(i), blocks=blocks, prompt_tokens=2000)
            grant = self._submit(request)
            self.grant_manager.release(grant, Outcome())
            names.add(grant.upstream)
        self.assertEqual(1, len(names))

    def test_observed_answers_change_predictions(self):
        """Recorded answer lengths must change the predicted work class."""
        request = WorkRequest(SERVICE, "f/w", max_tokens=5000)
        for _ in range(8):
            self.grant_manager.observe_answer(request, 10)
        self.assertEqual(WorkKind.SHORT, self.grant_manager.predict(request).kind)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["submit", "submit", "release", "expire", "cancel"]),
                st.sampled_from([SHORT, LONG]),
                st.integers(0, 9),
                st.booleans(),
            ),
            max_size=60,
        )
    )
    def test_every_request_gets_one_result(self, steps):
        """No slot may leak, and each request gets exactly one result."""
        self._reset_state()
        self.grant_manager.set_rules(
            replace(NO_SHED_POLICY, queue=QueueRules(max_queued=4)), {}
        )
        self.grant_manager.set_table(_table(1, 2))
        waiting, released = [], set()
        for i, (step, work, number, accepted) in enumerate(steps):
            self.now_s += 1.0
            granted = [g for n, g in self.settled.items() if n not in released]
            granted = [g for g in granted if isinstance(g, Grant)]
            if step == "submit":
                deadline_s = self.now_s + number
                fields = {"deadline_s": deadline_s, "priority": number}
                request = _request(str(i), work, accepted=accepted, **fields)
                self._submit(request)
                waiting.append(request)
            elif step == "release" and granted:
                grant = granted[number % len(granted)]
                released.add(grant.request.request_id)
                self.grant_manager.release(grant, Outcome())
            elif step == "expire":
                self.grant_manager.expire()
            elif step == "cancel" and waiting:
                self.grant_manager.cancel(waiting[number % len(waiting)])
            for in_flight in self.grant_manager.in_flight().values():
                self.assertTrue(
                    in_flight.short + in_flight.long <= 2 and in_flight.long <= 1
                )
        self.now_s += 1000.0
        self.grant_manager.expire()
        self.assertEqual({r.request_id for r in waiting}, set(self.settled))
        for name, grant in self.settled.items():
            if isinstance(grant, Grant) and name not in released:
                self.grant_manager.release(grant, Outcome())
        self.assertEqual({}, self.grant_manager.in_flight())


class DispatcherTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.events = EventLog("n", lambda: (0, 0))
        self.grant_manager = GrantManager(random.Random(1), lambda: self.now_s)
        self.client = DispatcherClient(
            self.grant_manager, self.events, lambda: self.now_s
        )
        self.actions = []
        supervisor = _IgnoreActor.start()
        self.addCleanup(supervisor.stop)
        self.ref = Dispatcher.start(supervisor, self, self.grant_manager)
        self.addCleanup(self.ref.stop)

    def subscribe(self, action, interval_s, first_s=0.0):
        """Act as the timer service: record the action."""
        self.actions.append(action)
        return self

    def cancel(self):
        """Act as the subscription; nothing to cancel."""

    def _acquire_in_thread(self, request):
        results, done = [], threading.Event()

        def run():
            results.append(self.client.acquire(request))
            done.set()

        threading.Thread(target=run, daemon=True).start()
        return results, done

    def _wait_until_queued(self, count):
        pause = threading.Event()
        for _ in range(int(WAIT_S / POLL_S)):
            if sum(e.number == 511 for e in self.events.recent()) >= count:
                return
            pause.wait(POLL_S)
        self.fail("the request was not queued")

    def test_waiting_thread_gets_the_released_slot(self):
        """A thread waiting in `acquire` must return when a slot is released."""
        self.ref.ask(_table(1, 1))
        grant = self.client.acquire(_request("first"))
        results, done = self._acquire_in_thread(_request("second"))
        self._wait_until_queued(1)
        self.client.release(grant, Outcome())
        self.assertTrue(done.wait(WAIT_S))
        self.assertEqual("second", results[0].request.request_id)

    def test_timer_expires_waiting_requests(self):
        """A request that waits in the queue is refused at its deadline."""
        self.ref.ask(_table(1, 1))
        self.client.acquire(_request("first"))
        results, done = self._acquire_in_thread(_request("second", deadline_s=500.0))
        self._wait_until_queued(1)
        self.now_s = 500.0
        self.actions[0]()
        self.assertTrue(done.wait(WAIT_S))
        self.assertEqual(RefusalReason.DEADLINE, results[0].reason)
        self.assertEqual(512, self.events.recent()[-1].number)

    def test_thread_expires_its_request_without_the_dispatcher(self):
        """A waiting thread must return at its deadline without a running dispatcher."""
        self.ref.ask(_table(1, 1))
        self.client.acquire(_request("first"))
        self.ref.stop()
        results, done = self._acquire_in_thread(
            _request("second", WorkClass(WorkKind.SHORT, 1, 1.0), deadline_s=1.0)
        )
        self._wait_until_queued(1)
        self.now_s = 1.0
        self.assertTrue(done.wait(WAIT_S))
        self.assertEqual(RefusalReason.DEADLINE, results[0].reason)

    def test_draining_keeps_accepted_requests(self):
        """A drain must refuse new requests and still grant accepted ones."""
        self.ref.ask(_table())
        self.ref.ask(SetRules(NO_SHED_POLICY, {}))
        self.ref.ask(StartDraining())
        refused = self.client.acquire(_request("new"))
        self.assertEqual(RefusalReason.DRAINING, refused.reason)
        accepted = self.client.acquire(_request("old", accepted=True))
        self.assertIsInstance(accepted, Grant)


class _IgnoreActor(pykka.ThreadingActor):
    use_daemon_thread = True

    def on_receive(self, message):
        return None
