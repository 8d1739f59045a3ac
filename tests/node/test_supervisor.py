"""Test that failed parts are restarted at a bounded rate."""

import logging
import threading

import pykka
import testtools

from cicadapass.supervisor import (
    MAX_RESTARTS,
    RESTART_WINDOW_S,
    Part,
    PartRef,
    StartPart,
    StopParts,
    Supervisor,
)
from cicadapass_common.events import EventLog

WAIT_S = 20.0


class Worker(Part):
    """Answer, fail, or hold up the mailbox as told."""

    def __init__(self, supervisor, world):
        super().__init__(supervisor, "worker")
        self._world = world

    def on_start(self):
        self._world.starts += 1
        self._world.started.release()
        if self._world.starts in self._world.bad_starts:
            raise RuntimeError("bad start")

    def on_stop(self):
        self._world.stopped.append(self._name)

    def on_receive(self, message):
        if message == "fail":
            raise RuntimeError("failed")
        if message == "hold":
            self._world.held.set()
            self._world.go.wait(WAIT_S)
            raise RuntimeError("failed after a while")
        return message


class World:
    """Keep one worker under a supervisor."""

    def __init__(self):
        self.now_s = 0.0
        self.starts = 0
        self.started = threading.Semaphore(0)
        self.bad_starts = ()
        self.failing_calls = 0
        self.stopped = []
        self.held = threading.Event()
        self.go = threading.Event()
        self.given_up = threading.Semaphore(0)
        self.events = EventLog("n", lambda: (0, 0))
        self.supervisor = Supervisor.start(
            self.events, self.given_up.release, lambda: self.now_s
        )
        self.part = PartRef("worker")

    def start(self):
        """Start the worker."""
        self.supervisor.ask(StartPart("worker", self._start), timeout=WAIT_S)

    def _start(self):
        if self.starts and self.failing_calls:
            self.failing_calls -= 1
            raise OSError("address in use")
        ref = Worker.start(self.supervisor, self)
        self.part.bind(ref)
        return ref

    def wait_for_starts(self, count):
        """Return whether the worker was started that often, after waiting."""
        return all(self.started.acquire(timeout=WAIT_S) for _ in range(count))


class SupervisorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        logging.getLogger("pykka").setLevel(logging.CRITICAL)
        self.world = World()
        self.addCleanup(self.world.supervisor.stop)
        self.addCleanup(self.world.supervisor.tell, StopParts())
        self.addCleanup(self.world.go.set)

    def _numbers(self):
        return [event.number for event in self.world.events.recent()]

    def test_a_failed_part_is_restarted(self):
        """A node without one of its parts serves nobody."""
        self.world.start()
        self.world.part.tell("fail")
        self.assertTrue(self.world.wait_for_starts(2))
        self.assertEqual("a", self.world.part.ask("a", WAIT_S))

    def test_a_part_that_fails_in_on_start_is_restarted(self):
        """Its actor is dead, but nothing reported it."""
        self.world.bad_starts = (1, 2)
        self.world.start()
        self.assertTrue(self.world.wait_for_starts(3))
        self.assertEqual("a", self.world.part.ask("a", WAIT_S))

    def test_a_part_that_cannot_be_started_again_is_tried_again(self):
        """An exception of the start function must not kill the supervisor."""
        self.world.start()
        self.world.failing_calls = 2
        self.world.part.tell("fail")
        self.assertTrue(self.world.wait_for_starts(2))
        self.assertEqual("a", self.world.part.ask("a", WAIT_S))

    def test_restarts_are_bounded(self):
        """A part that fails at once would use up the processor."""
        self.world.bad_starts = range(1000)
        self.world.start()
        self.assertTrue(self.world.given_up.acquire(timeout=WAIT_S))
        self.world.supervisor.ask("barrier", timeout=WAIT_S)
        self.assertEqual(1 + MAX_RESTARTS, self.world.starts)
        self.assertFalse(self.world.given_up.acquire(blocking=False))
        self.assertEqual([110] * MAX_RESTARTS + [111], self._numbers())

    def test_old_restarts_are_forgotten(self):
        """A failure now and then must not stop the node after months."""
        self.world.start()
        for _ in range(3 * MAX_RESTARTS):
            self.assertTrue(self.world.wait_for_starts(1))
            self.world.now_s += RESTART_WINDOW_S
            self.world.part.ask("a", WAIT_S)
            self.world.part.tell("fail")
        self.assertTrue(self.world.wait_for_starts(1))
        self.assertNotIn(111, self._numbers())

    def test_an_ask_survives_a_restart(self):
        """A caller's request must not fail while a part is being restarted."""
        self.world.start()
        self.world.part.tell("hold")
        self.assertTrue(self.world.held.wait(WAIT_S))
        answers = []
        asker = threading.Thread(
            target=lambda: answers.append(self.world.part.ask("a", WAIT_S))
        )
        asker.start()
        self.world.go.set()
        asker.join(WAIT_S)
        self.assertEqual(["a"], answers)

    def test_an_ask_of_a_dead_part_ends(self):
        """A caller must not wait for a part that does not come back."""
        part = PartRef("missing")
        self.assertRaises(pykka.ActorDeadError, part.ask, "a", 0.01)
        part.tell("dropped")

    def test_stopped_parts_are_not_restarted(self):
        """A part that fails during the stop must stay stopped, without an error."""
        self.world.start()
        self.world.part.tell("hold")
        self.assertTrue(self.world.held.wait(WAIT_S))
        self.world.supervisor.ask(StopParts(), timeout=WAIT_S)
        self.world.go.set()
        self.world.supervisor.ask("barrier", timeout=WAIT_S)
        self.assertEqual(1, self.world.starts)

    def test_parts_stop_in_reverse_order(self):
        """A part may use those that were started before it."""
        order = []

        class Ref:
            def __init__(self, name):
                self._name = name

            def stop(self, block):
                order.append(self._name)

        for name in ("first", "second"):
            start = lambda name=name: Ref(name)  # noqa: E731
            self.world.supervisor.ask(StartPart(name, start), timeout=WAIT_S)
        self.world.supervisor.ask(StopParts(), timeout=WAIT_S)
        self.assertEqual(["second", "first"], order)


class FailingPartTest(testtools.TestCase):
    def test_a_part_that_fails_is_stopped_and_reported(self):
        """Timers and threads of the failed part would run beside the new one's."""
        reported = []

        class Reporter:
            def tell(self, message):
                reported.append(message)
                told.set()

        class Failing(Part):
            def on_stop(self):
                stopped.set()
                raise RuntimeError("cannot stop either")

            def on_receive(self, message):
                raise RuntimeError("failed")

        stopped, told = threading.Event(), threading.Event()
        Failing.start(Reporter(), "failing").tell("anything")
        self.assertTrue(stopped.wait(WAIT_S))
        self.assertTrue(told.wait(WAIT_S))
        self.assertEqual(["failing"], [message.name for message in reported])
