"""Tests of the engine's scheduler with a simulated clock."""

import testtools

from cicadapass_standins.scheduler import Ending, Scheduler, Speed, Stream
from cicadapass_standins.stats import Stats, recomputed_tokens


class SchedulerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.slowdown = 1.0
        self.stats = Stats()
        self.scheduler = self.build(Speed(10.0, 0.0, 0.0))

    def build(self, speed: Speed, slots: int = 2) -> Scheduler:
        return Scheduler(
            slots,
            speed,
            lambda: self.slowdown,
            lambda stream: 0,
            self.stats,
            clock=lambda: self.now_s,
        )

    def submit(
        self,
        name: str,
        end_index: int,
        priority: int = 0,
        first_index: int = 0,
        words=0,
    ):
        stream = Stream(name, 1, priority, first_index, end_index, ["w"] * words, [])
        self.assertTrue(self.scheduler.submit(stream))
        self.scheduler.advance()
        return stream

    def run_for(self, seconds: float) -> None:
        self.now_s += seconds
        self.scheduler.advance()

    def test_slots_go_to_the_highest_priority_first(self):
        """A waiting stream of higher priority must start before older ones."""
        self.scheduler = self.build(Speed(10.0, 0.0, 0.0), slots=1)
        first = self.submit("first", 10)
        low, high = self.submit("low", 10), self.submit("high", 10, priority=9)
        self.assertEqual((1, 2), self.scheduler.counts)
        self.run_for(1.05)
        self.assertEqual((Ending.DONE, (1, 1)), (first.ending, self.scheduler.counts))
        self.run_for(0.25)
        self.assertEqual((2, 0), (high.computed, low.computed))
        self.assertTrue(self.scheduler.cancel("high", 1))
        self.run_for(0.0)
        self.run_for(0.25)
        self.assertEqual((2, 2), (high.computed, low.computed))

    def test_rate_falls_with_the_batch(self):
        """Each of two streams must be slower than a single one by the batch cost."""
        self.scheduler = self.build(Speed(10.0, 1.0, 0.0))
        streams = [self.submit(name, 100) for name in "ab"]
        self.run_for(2.05)
        self.assertEqual([10, 10], [stream.computed for stream in streams])

    def test_prefill_delays_the_first_token(self):
        """Uncached prompt words must delay the first token by the prefill cost."""
        self.scheduler = self.build(Speed(10.0, 0.0, 0.5))
        stream = self.submit("a", 100, words=20)
        self.run_for(1.05)
        self.assertEqual(0, stream.computed)
        self.run_for(0.1)
        self.assertEqual(1, stream.computed)

    def test_hang_stops_all_tokens(self):
        """An engine must make no progress during a hang and not catch up after it."""
        stream = self.submit("a", 100)
        self.slowdown = 0.0
        self.run_for(50.0)
        self.slowdown = 1.0
        self.run_for(1.05)
        self.assertEqual(10, stream.computed)

    def test_recomputed_tokens_are_counted(self):
        """Tokens that several attempts or engines computed must count as recomputed."""
        self.submit("a", 10)
        self.run_for(2.0)
        self.submit("a", 12, first_index=7)
        self.run_for(2.0)
        engine_stats = self.stats.as_dict(with_requests=True)
        self.assertEqual(
            (15, 3),
            (engine_stats["tokens_computed"], engine_stats["tokens_recomputed"]),
        )
        self.assertEqual(3, recomputed_tokens([engine_stats]))
        self.assertEqual(18, recomputed_tokens([engine_stats, engine_stats]))

    def test_running_attempt_is_not_started_twice(self):
        """A second submission of a running attempt must be refused."""
        stream = self.submit("a", 10)
        self.assertFalse(self.scheduler.submit(stream))
