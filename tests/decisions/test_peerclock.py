"""Test the estimate of the true time."""

import testtools

from cicadapass_decisions.peerclock import READING_MAX_AGE_S, PeerClock


class PeerClockTest(testtools.TestCase):
    def test_one_clock_jump_does_not_change_the_estimate(self):
        """After a clock had jumped, requests were counted in the wrong usage window."""
        clock = PeerClock()
        for name, wall_s in (("a", 1000.0), ("b", 1000.1), ("c", 1002.4)):
            clock.record_reading(name, wall_s, 0.0)
        self.assertAlmostEqual(1000.1, clock.true_time(997.0, 0.0), delta=0.2)

    def test_estimate_advances_between_readings(self):
        """The estimate did not advance while no datagram arrived."""
        clock = PeerClock()
        clock.record_reading("a", 1000.0, 0.0)
        clock.record_reading("b", 1000.0, 0.0)
        self.assertAlmostEqual(1002.0, clock.true_time(1002.0, 2.0))

    def test_old_readings_do_not_count(self):
        """The clock of a stopped node still affected the estimate."""
        clock = PeerClock()
        clock.record_reading("a", 0.0, 0.0)
        clock.record_reading("b", 0.0, 0.0)
        self.assertEqual(50.0, clock.true_time(50.0, READING_MAX_AGE_S))
