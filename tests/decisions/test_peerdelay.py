"""Test the delays of datagrams that a node estimates from their senders' uptimes."""

import math

import testtools

from cicadapass_decisions.peerdelay import MAX_DRIFT, PeerDelay


class DelayTest(testtools.TestCase):
    def test_datagrams_of_a_buffer_count_as_new(self):
        """After a freeze of 3 s, states that had waited were taken for new ones."""
        delay = PeerDelay()
        self.assertEqual(math.inf, delay.record(50.0, 100.0))
        for second in range(1, 10):
            self.assertAlmostEqual(0.0, delay.record(50.0 + second, 100.0 + second))
        for waited_s, uptime_s in ((3.0, 59.2), (2.0, 60.2), (0.0, 62.2)):
            self.assertAlmostEqual(
                waited_s, delay.record(uptime_s, 112.2), delta=10 * MAX_DRIFT
            )

    def test_the_first_datagrams_of_a_member_count(self):
        """All states of a member that joined during a freeze had waited."""
        delay = PeerDelay()
        for uptime_s in (0.0, 0.2, 0.4):
            self.assertEqual(math.inf, delay.record(uptime_s, 100.0))
        self.assertAlmostEqual(0.0, delay.record(3.4, 101.1))

    def test_a_clock_that_drifts_delays_all(self):
        """After hours, the drift of two clocks looked like a delay."""
        delay = PeerDelay()
        for minute in range(600):
            delay.record(60.0 * minute, 100.0 + 60.0 * minute * (1 + MAX_DRIFT / 2))
        delayed_s = delay.record(36000.0, 100.0 + 36000.0 * (1 + MAX_DRIFT / 2))
        self.assertAlmostEqual(0.0, delayed_s, places=3)
