"""Test the timer service on a simulated clock."""

import logging
import threading

import testtools

from cicadapass.timers import TimerService

WAIT_S = 20.0


class TimerServiceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.calls = []
        self.timers = TimerService(lambda: self.now_s)

    def _at(self, now_s):
        self.now_s = now_s
        return self.timers.run_due()

    def test_calls_come_in_the_order_of_their_times(self):
        """Due timers run in the order of their due times."""
        for name, delay_s in (("b", 2.0), ("a", 1.0), ("c", 2.0)):
            self.timers.call_later(lambda name=name: self.calls.append(name), delay_s)
        self.assertEqual(1.0, self._at(0.0))
        self.assertIsNone(self._at(2.0))
        self.assertEqual(["a", "b", "c"], self.calls)

    def test_missed_calls_are_dropped(self):
        """After a pause, an interval timer must run once and not catch up."""
        self.timers.subscribe(lambda: self.calls.append(self.now_s), 1.0)
        self._at(1.0)
        self.assertEqual(1.0, self._at(100.0))
        self.assertEqual([1.0, 100.0], self.calls)

    def test_a_failing_subscriber_does_not_stop_others(self):
        """An exception of one subscriber must not stop the others' timers."""
        logging.getLogger("cicadapass.timers").setLevel(logging.CRITICAL + 1)
        self.timers.subscribe(lambda: 1 / 0, 1.0)
        self.timers.subscribe(lambda: self.calls.append("b"), 1.0)
        self._at(1.0)
        self._at(2.0)
        self.assertEqual(["b", "b"], self.calls)

    def test_a_cancelled_subscription_is_not_called(self):
        """After a restart, the timers of the failed actor must not be called."""
        subscription = self.timers.subscribe(lambda: self.calls.append("a"), 1.0)
        self.timers.subscribe(subscription.cancel, 1.0)
        self._at(1.0)
        self._at(2.0)
        self.assertEqual(["a"], self.calls)

    def test_nothing_is_called_after_the_stop(self):
        """Stopped components must not get messages from timers."""
        self.timers.call_later(lambda: self.calls.append("a"), 1.0)
        self.timers.stop()
        self._at(1.0)
        self.assertEqual([], self.calls)

    def test_an_entry_added_before_the_wait_is_not_missed(self):
        """An entry added between `run_due` and the wait must wake the thread.

        Its notification finds no waiting thread, so the thread once waited for ever.
        """
        called = threading.Event()

        class LateEntryTimers(TimerService):
            added = False

            def run_due(self):
                result = super().run_due()
                if not self.added:
                    self.added = True
                    self.call_later(called.set, 0.0)
                return result

        timers = LateEntryTimers()
        timers.start()
        self.addCleanup(timers.stop)
        self.assertTrue(called.wait(WAIT_S))
