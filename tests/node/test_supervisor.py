"""Test that failed components are restarted at a bounded rate."""

import logging
import threading

import pykka
import testtools

from cicadapass.supervisor import (
    MAX_RESTARTS,
    RESTART_WINDOW_S,
    Component,
    ComponentRef,
    StartComponent,
    StopComponents,
    Supervisor,
)
from cicadapass_common.events import EventLog

WAIT_S = 20.0


class Worker(Component):
    """Reply, fail or block, depending on the message."""

    def __init__(self, supervisor, harness):
        super().__init__(supervisor, "worker")
        self._harness = harness

    def on_start(self):
        self._harness.starts += 1
        self._harness.started.release()
        if self._harness.starts in self._harness.failing_starts:
            raise RuntimeError("bad start")

    def on_stop(self):
        self._harness.stopped.append(self._name)

    def on_receive(self, message):
        if message == "fail":
            raise RuntimeError("failed")
        if message == "block":
            self._harness.blocked.set()
            self._harness.unblock.wait(WAIT_S)
            raise RuntimeError("failed after a while")
        return message


class WorkerHarness:
    """Run one worker under a supervisor."""

    def __init__(self):
        self.now_s = 0.0
        self.starts = 0
        self.started = threading.Semaphore(0)
        self.failing_starts = ()
        self.failing_start_calls = 0
        self.stopped = []
        self.blocked = threading.Event()
        self.unblock = threading.Event()
        self.restart_limit_reached = threading.Semaphore(0)
        self.events = EventLog("n", lambda: (0, 0))
        self.supervisor = Supervisor.start(
            self.events, self.restart_limit_reached.release, lambda: self.now_s
        )
        self.component = ComponentRef("worker")

    def start(self):
        """Start the worker under the supervisor."""
        self.supervisor.ask(StartComponent("worker", self._start), timeout=WAIT_S)

    def _start(self):
        if self.starts and self.failing_start_calls:
            self.failing_start_calls -= 1
            raise OSError("address in use")
        ref = Worker.start(self.supervisor, self)
        self.component.bind(ref)
        return ref

    def wait_for_starts(self, count):
        """Wait for `count` starts of the worker; return whether they happened."""
        return all(self.started.acquire(timeout=WAIT_S) for _ in range(count))


class SupervisorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        logging.getLogger("pykka").setLevel(logging.CRITICAL)
        self.harness = WorkerHarness()
        self.addCleanup(self.harness.supervisor.stop)
        self.addCleanup(self.harness.supervisor.tell, StopComponents())
        self.addCleanup(self.harness.unblock.set)

    def _event_numbers(self):
        return [event.number for event in self.harness.events.recent()]

    def test_a_failed_component_is_restarted(self):
        """A component that raised must be replaced by a working one."""
        self.harness.start()
        self.harness.component.tell("fail")
        self.assertTrue(self.harness.wait_for_starts(2))
        self.assertEqual("a", self.harness.component.ask("a", WAIT_S))

    def test_a_component_that_fails_in_on_start_is_restarted(self):
        """Pykka stops an actor whose `on_start` raises without reporting a failure."""
        self.harness.failing_starts = (1, 2)
        self.harness.start()
        self.assertTrue(self.harness.wait_for_starts(3))
        self.assertEqual("a", self.harness.component.ask("a", WAIT_S))

    def test_a_component_that_cannot_be_started_is_tried_again(self):
        """An exception of the start function must not stop the supervisor."""
        self.harness.start()
        self.harness.failing_start_calls = 2
        self.harness.component.tell("fail")
        self.assertTrue(self.harness.wait_for_starts(2))
        self.assertEqual("a", self.harness.component.ask("a", WAIT_S))

    def test_restarts_are_bounded(self):
        """A component that fails at every start must not be restarted for ever."""
        self.harness.failing_starts = range(1000)
        self.harness.start()
        self.assertTrue(self.harness.restart_limit_reached.acquire(timeout=WAIT_S))
        self.harness.supervisor.ask("barrier", timeout=WAIT_S)
        self.assertEqual(1 + MAX_RESTARTS, self.harness.starts)
        self.assertFalse(self.harness.restart_limit_reached.acquire(blocking=False))
        self.assertEqual([110] * MAX_RESTARTS + [111], self._event_numbers())

    def test_old_restarts_do_not_count(self):
        """Failures that are further apart than the window must not add up."""
        self.harness.start()
        for _ in range(3 * MAX_RESTARTS):
            self.assertTrue(self.harness.wait_for_starts(1))
            self.harness.now_s += RESTART_WINDOW_S
            self.harness.component.ask("a", WAIT_S)
            self.harness.component.tell("fail")
        self.assertTrue(self.harness.wait_for_starts(1))
        self.assertNotIn(111, self._event_numbers())

    def test_message_during_a_restart_gets_a_reply(self):
        """A message to a component that is being restarted must get a reply."""
        self.harness.start()
        self.harness.component.tell("block")
        self.assertTrue(self.harness.blocked.wait(WAIT_S))
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(self.harness.component.ask("a", WAIT_S))
        )
        thread.start()
        self.harness.unblock.set()
        thread.join(WAIT_S)
        self.assertEqual(["a"], answers)

    def test_message_to_a_missing_component_times_out(self):
        """A message to a component that is not running must fail at its timeout."""
        component = ComponentRef("missing")
        self.assertRaises(pykka.ActorDeadError, component.ask, "a", 0.01)
        component.tell("dropped")

    def test_stopped_components_are_not_restarted(self):
        """A component that fails while it is stopped must not be restarted."""
        self.harness.start()
        self.harness.component.tell("block")
        self.assertTrue(self.harness.blocked.wait(WAIT_S))
        self.harness.supervisor.ask(StopComponents(), timeout=WAIT_S)
        self.harness.unblock.set()
        self.harness.supervisor.ask("barrier", timeout=WAIT_S)
        self.assertEqual(1, self.harness.starts)

    def test_components_stop_in_reverse_order(self):
        """A component may use those that were started before it."""
        order = []

        class FakeRef:
            def __init__(self, name):
                self._name = name

            def stop(self, block):
                order.append(self._name)

        for name in ("first", "second"):
            start = lambda name=name: FakeRef(name)  # noqa: E731
            self.harness.supervisor.ask(StartComponent(name, start), timeout=WAIT_S)
        self.harness.supervisor.ask(StopComponents(), timeout=WAIT_S)
        self.assertEqual(["second", "first"], order)


class FailingComponentTest(testtools.TestCase):
    def test_a_failed_component_is_stopped_and_reported(self):
        """Timers and threads of the failed actor must not outlive it."""
        reported = []

        class FakeSupervisor:
            def tell(self, message):
                reported.append(message)
                was_reported.set()

        class FailingComponent(Component):
            def on_stop(self):
                stopped.set()
                raise RuntimeError("cannot stop either")

            def on_receive(self, message):
                raise RuntimeError("failed")

        stopped, was_reported = threading.Event(), threading.Event()
        FailingComponent.start(FakeSupervisor(), "failing").tell("anything")
        self.assertTrue(stopped.wait(WAIT_S))
        self.assertTrue(was_reported.wait(WAIT_S))
        self.assertEqual(["failing"], [message.name for message in reported])
