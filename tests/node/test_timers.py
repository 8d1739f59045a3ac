"""Test the timer service with an injected clock."""

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
        """A late timer must not run before an earlier one."""
        for name, delay_s in (("b", 2.0), ("a", 1.0), ("c", 2.0)):
            self.timers.call_later(lambda name=name: self.calls.append(name), delay_s)
        self.assertEqual(1.0, self._at(0.0))
        self.assertIsNone(self._at(2.0))
        self.assertEqual(["a", "b", "c"], self.calls)

    def test_missed_calls_are_dropped(self):
        """A paused VM must not make up for minutes of timers at once."""
        self.timers.subscribe(lambda: self.calls.append(self.now_s), 1.0)
        self._at(1.0)
        self.assertEqual(1.0, self._at(100.0))
        self.assertEqual([1.0, 100.0], self.calls)

    def test_a_failing_subscriber_does_not_stop_others(self):
        """One part's fault must not stop the timers of the others."""
        logging.getLogger("cicadapass.timers").setLevel(logging.CRITICAL + 1)
        self.timers.subscribe(lambda: 1 / 0, 1.0)
        self.timers.subscribe(lambda: self.calls.append("b"), 1.0)
        self._at(1.0)
        self._at(2.0)
        self.assertEqual(["b", "b"], self.calls)

    def test_a_cancelled_subscription_is_not_called(self):
        """The old actor of a restarted part must not get its ticks."""
        subscription = self.timers.subscribe(lambda: self.calls.append("a"), 1.0)
        self.timers.subscribe(subscription.cancel, 1.0)
        self._at(1.0)
        self._at(2.0)
        self.assertEqual(["a"], self.calls)

    def test_nothing_is_called_after_the_stop(self):
        """A part that is gone would get messages."""
        self.timers.call_later(lambda: self.calls.append("a"), 1.0)
        self.timers.stop()
        self._at(1.0)
        self.assertEqual([], self.calls)

    def test_an_entry_added_before_the_wait_is_not_missed(self):
        """Its notification finds no waiting thread, so the thread slept for ever."""
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
