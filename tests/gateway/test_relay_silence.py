"""Test that silent engines cost no answers, and that frozen ones are left."""

import asyncio

import testtools

from tests.gateway.silence import (
    ALL_PLACES,
    BETWEEN_EVENTS,
    REPEATABLE_ROUTES,
    TIME_LIMITS_S,
    WITHIN_BODY,
    WITHIN_EVENT,
    Silences,
    broken_rules,
    change_configurations,
    judgements,
    losses,
    play,
    refusals,
    reload_nodes,
    silent_share,
    stop_nodes,
    summary,
    use_up_retries,
)
from tests.gateway.virtualcluster import run_virtual

NODES = 7
ENGINES = 9
SEEDS = (1, 2)
QUIET = Silences(fraction=0.0)
# What a silent engine keeps of the requests that it gets without silences.
KEPT_SHARE = 0.75
# A repeatable request leaves a frozen engine early enough to end within this fraction
# of its time.
LEFT_FRACTION = 0.85


def play_silences(seed, silences, **changes):
    """Play a cluster of the usual size."""
    return run_virtual(play(NODES, ENGINES, seed, silences, **changes))


class SilenceTest(testtools.TestCase):
    """Expect whole answers while engines fall silent and go on."""

    def expect_whole_answers(self, plays):
        """Play clusters, and expect each request served by the rules."""
        found, figures = {}, []
        for name, cluster in plays:
            figures.append(f"{name}: {summary(cluster)}")
            problems = {**losses(cluster), **broken_rules(cluster)}
            if refusals(cluster):
                # Half of the engines' capacity is free, so none is due.
                problems["refusals"] = refusals(cluster)
            if problems:
                found[name] = problems
        self.assertEqual({}, found, "\n".join(figures))

    def expect_whole_answers_of_seeds(self, silences, **changes):
        """Play a cluster with each seed."""
        self.expect_whole_answers(
            (f"seed {seed}", play_silences(seed, silences, **changes)) for seed in SEEDS
        )


class SilentEnginesTest(SilenceTest):
    def test_silences_of_one_engine_cost_no_answer(self):
        """Answers of the only silent engine were given up and ended with 502."""
        self.expect_whole_answers_of_seeds(Silences(engines=1 / ENGINES))

    def test_silences_of_a_third_of_the_engines_cost_no_answer(self):
        """Answers were given up while other engines were free."""
        self.expect_whole_answers_of_seeds(Silences(engines=1 / 3))

    def test_silences_of_all_engines_cost_no_answer(self):
        """Calls ended with 502, and streams were cut, although all engines went on."""
        self.expect_whole_answers_of_seeds(Silences())

    def test_a_refused_repeat_costs_no_answer_at_any_place(self):
        """An answer was given up first, and then no repeat was allowed."""
        self.expect_whole_answers(
            (
                place,
                play_silences(
                    3,
                    Silences(places=frozenset([place])),
                    length_s=10.0,
                    disturb=use_up_retries,
                ),
            )
            for place in sorted(ALL_PLACES)
        )

    def test_silences_beside_new_configurations_cost_no_answer(self):
        """A new configuration every 0.7 s came beside the silences."""
        self.expect_whole_answers_of_seeds(Silences(), disturb=change_configurations)

    def test_silences_beside_reloads_cost_no_answer(self):
        """Nodes read their settings and a configuration beside the silences."""
        self.expect_whole_answers_of_seeds(Silences(), disturb=reload_nodes)

    def test_silences_at_stopping_nodes_cost_no_answer(self):
        """Requests in progress at a stopping node were cut at a silence."""
        self.expect_whole_answers_of_seeds(Silences(), disturb=stop_nodes)


class JudgementTest(testtools.TestCase):
    def test_a_silence_is_held_against_no_engine_and_no_segment(self):
        """Engines that went on after a silence got the score of failed ones."""
        cluster = play_silences(1, Silences())
        self.assertEqual({}, judgements(cluster), summary(cluster))

    def test_engines_that_fall_silent_keep_their_share(self):
        """Engines that fell silent after they had read the prompt were shunned."""
        places = frozenset([BETWEEN_EVENTS, WITHIN_EVENT, WITHIN_BODY])
        before = silent_share(play_silences(1, Silences(0.0, engines=1 / 3)))
        after = silent_share(play_silences(1, Silences(engines=1 / 3, places=places)))
        self.assertGreater(after, KEPT_SHARE * before)


async def freeze_engine(cluster):
    """Freeze the engine with the most requests for good."""
    await asyncio.sleep(5.0)
    cluster.freeze(1)


async def freeze_all(cluster):
    """Freeze all engines for good."""
    await asyncio.sleep(5.0)
    cluster.freeze(len(cluster.engines))


async def end_engines(cluster):
    """End an engine without notice every few seconds."""
    for _ in range(4):
        await asyncio.sleep(4.0)
        await cluster.end_engines(1)


class LeftEnginesTest(testtools.TestCase):
    """Expect that engines that never go on are left in time."""

    def test_a_frozen_engine_is_left_in_time(self):
        """Repeatable requests waited until their deadline for a frozen engine."""
        for seed in SEEDS:
            cluster = play_silences(seed, QUIET, disturb=freeze_engine)
            for exchange in cluster.exchanges:
                runs = cluster.runs[exchange.request.request_id]
                at_frozen = any(run.engine in cluster.frozen for run in runs)
                if exchange.route in REPEATABLE_ROUTES or not at_frozen:
                    self.assertEqual("whole", exchange.outcome, exchange.route)
                    limit_s = LEFT_FRACTION * TIME_LIMITS_S[exchange.route]
                    request = exchange.request
                    self.assertLess(request.ended_s - request.sent_s, limit_s)
            self.assertEqual({}, broken_rules(cluster), summary(cluster))

    def test_requests_end_at_their_deadline_if_all_engines_freeze(self):
        """A request hung after its deadline while no engine answered."""
        cluster = play_silences(1, QUIET, length_s=10.0, disturb=freeze_all)
        self.assertEqual({}, broken_rules(cluster), summary(cluster))
        late = {
            exchange.outcome
            for exchange in cluster.exchanges
            if exchange.route == "safe"
            and exchange.request.sent_s > cluster.started_s + 5.0
        }
        self.assertLessEqual(late, {"504", "503"})
        self.assertIn("504", late)

    def test_requests_leave_engines_that_end(self):
        """Repeatable requests were lost with the connections to an ended engine."""
        for seed in SEEDS:
            cluster = play_silences(seed, QUIET, disturb=end_engines)
            self.assertEqual({}, broken_rules(cluster), summary(cluster))
            for exchange in cluster.exchanges:
                runs = cluster.runs[exchange.request.request_id]
                lost = any(run.end == "lost" for run in runs)
                if exchange.route in REPEATABLE_ROUTES or not lost:
                    self.assertEqual("whole", exchange.outcome, exchange.route)
