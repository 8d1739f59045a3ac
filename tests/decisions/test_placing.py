"""Test where requests go, by replays of the loads that the rules answer."""

import random

import testtools

from cicadapass_decisions.passthrough import Prompt, PromptPart
from cicadapass_decisions.placing import (
    Candidate,
    Send,
    Unavailable,
    Wait,
    Work,
    choose,
    home_of,
    is_hopeless,
    patience_s,
)

TOKEN_S = 0.00002


def engine(name, backlog_s=0.0, **changes):
    """Return an engine of the caller's data centre."""
    values = {
        "local": True,
        "slots": 64,
        "running": 0,
        "token_s": TOKEN_S,
        "call_s": 0.03,
        "held_tokens": 0,
        "failure_score": 0.0,
        **changes,
    }
    return Candidate(upstream_id=name, backlog_s=backlog_s, **values)


def prompt(tokens, shared=0, key="part"):
    """Return a prompt whose first tokens are shared."""
    parts = (PromptPart(key, shared), PromptPart("own", tokens - shared))
    return Prompt(parts, tokens, 400)


def work(sizes, target_s=0.5, urgent_target_s=None, model=True):
    """Return the work of a request that has just come."""
    return Work(sizes, model, target_s, urgent_target_s, 0.0)


class ReplayTest(testtools.TestCase):
    """Replay arrivals against engines that read one prompt after another."""

    def replay(self, seed, leave_room):
        """Return the share of short requests whose first token came in time.

        Bursts of long requests ask for more than the engines can read, for three of
        every ten seconds.
        """
        rng = random.Random(seed)
        free_at = {f"e{number}": 0.0 for number in range(5)}
        waits, queue, now_s = [], [], 0.0
        while now_s < 60.0:
            long_rate = 24.0 if now_s % 10 < 3 else 9.0
            now_s += rng.expovariate(long_rate + 20.0)
            is_long = rng.random() < long_rate / (long_rate + 20.0)
            tokens = rng.choice((4000, 8000, 12000, 20000)) if is_long else 1800
            queue.append((is_long, now_s, tokens))
            queue = self.send(queue, free_at, now_s, waits, leave_room)
        return sum(1 for wait in waits if wait <= 0.5) / len(waits)

    def send(self, queue, free_at, now_s, waits, leave_room):
        """Send what has room and return the rest."""
        kept = []
        for is_long, arrived_s, tokens in sorted(queue):
            engines = [engine(n, max(0.0, at - now_s)) for n, at in free_at.items()]
            shorter_s = 0.5 if is_long and leave_room else None
            job = work(prompt(tokens), 1.0 if is_long else 0.5, shorter_s)
            choice = choose(job, engines)
            if isinstance(choice, Wait):
                kept.append((is_long, arrived_s, tokens))
                continue
            name = choice.upstream_id
            free_at[name] = max(free_at[name], now_s) + tokens * TOKEN_S
            if not is_long:
                waits.append(free_at[name] - arrived_s)
        return kept

    def test_short_requests_stay_in_time_beside_bursts_of_long_ones(self):
        """A burst of long prompts used up each engine's target for short ones.

        The target is 95 of 100 in time.
        """
        with_room = [self.replay(seed, leave_room=True) for seed in range(5)]
        without = [self.replay(seed, leave_room=False) for seed in range(5)]
        self.assertGreaterEqual(min(with_room), 0.95)
        self.assertGreater(min(with_room), max(without))

    def test_a_hot_part_uses_more_than_its_home_once_that_is_loaded(self):
        """One home alone made every request of a hot part late."""
        hot = prompt(12000, shared=6000, key="hot")
        names = ["e1", "e2", "e3"]
        home = home_of("hot", names)
        idle = [engine(name) for name in names]
        self.assertEqual(home, choose(work(hot, 1.0), idle).upstream_id)
        loaded = [engine(name, 0.4 if name == home else 0.0) for name in names]
        self.assertNotEqual(home, choose(work(hot, 1.0), loaded).upstream_id)


class CrashTest(testtools.TestCase):
    """Replay a crash of engines while the others are busy."""

    def test_a_crashed_engine_does_not_draw_the_load(self):
        """Full engines made a crashed one the only place with room."""
        busy = [engine(f"e{number}", 0.2, running=64) for number in range(3)]
        gone = engine("gone", unreachable=True)
        self.assertIsInstance(choose(work(prompt(2000)), [*busy, gone]), Wait)
        free = engine("free", 0.4, running=10)
        chosen = choose(work(prompt(2000)), [*busy, gone, free])
        self.assertEqual("free", chosen.upstream_id)

    def test_the_last_upstreams_are_not_shunned(self):
        """A moment without connections took the whole service away."""
        engines = [engine(name, unreachable=True) for name in "ab"]
        self.assertIsInstance(choose(work(prompt(2000)), engines), Send)


class ChooseTest(testtools.TestCase):
    def test_no_upstream_is_said_at_once(self):
        """A request for a service without upstreams waited until its deadline."""
        self.assertEqual(Unavailable(), choose(work(prompt(10)), []))

    def test_idle_engines_are_never_left_for_waiting(self):
        """Requests waited at the node while engines were idle."""
        choice = choose(work(prompt(54000), 1.0, 0.5), [engine("e1")])
        self.assertIsInstance(choice, Send)

    def test_failing_upstreams_are_avoided_but_never_all(self):
        """When every upstream failed, none was used and nothing recovered."""
        failing, sound = engine("a", failure_score=0.9), engine("b", backlog_s=0.2)
        self.assertEqual("b", choose(work(prompt(100)), [failing, sound]).upstream_id)
        self.assertEqual("a", choose(work(prompt(100)), [failing]).upstream_id)

    def test_calls_prefer_the_own_data_centre_until_it_is_full(self):
        """Bytes between data centres are dear, but a full service is slower."""
        near = engine("near", slots=6, running=3)
        far = engine("far", slots=6, local=False)
        call = work(Prompt(), 0.1, model=False)
        self.assertEqual("near", choose(call, [near, far]).upstream_id)
        full = engine("near", slots=6, running=8)
        self.assertEqual("far", choose(call, [full, far]).upstream_id)

    def test_prompts_stay_in_the_data_centre_unless_it_is_much_slower(self):
        """Streams across a link are cut when data centres lose each other."""
        near, far = engine("near", 0.05), engine("far", local=False)
        self.assertEqual("near", choose(work(prompt(1000)), [near, far]).upstream_id)
        loaded = engine("near", 0.4)
        self.assertEqual("far", choose(work(prompt(1000)), [loaded, far]).upstream_id)


class PatienceTest(testtools.TestCase):
    def test_patience_is_the_longest_of_the_gaps(self):
        """Requests were kept after their caller had left."""
        self.assertEqual(2.0, patience_s(0.5, 0.25, 15.0))
        self.assertEqual(4.0, patience_s(1.0, 0.25, 15.0))
        self.assertEqual(3.0, patience_s(1.0, 0.25, 3.0))
        self.assertEqual(0.6, patience_s(0.1, None, 0.6))

    def test_hopeless_requests_are_known_at_arrival(self):
        """A request that cannot be served in time waited before it was refused."""
        self.assertTrue(is_hopeless(1.5, 2.0))
        self.assertFalse(is_hopeless(0.5, 2.0))
