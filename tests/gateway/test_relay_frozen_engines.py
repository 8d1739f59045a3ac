"""Test that engines that never go on are left in time."""

import asyncio
from collections import Counter

import testtools

from tests.gateway.silence import (
    REPEATABLE_ROUTES,
    TIME_LIMITS_S,
    Silences,
    end_engines,
)
from tests.gateway.silencechecks import broken_rules, play_silences, summary

SEEDS = (1, 2)
FREEZE_S = 5.0
# A repeatable request leaves a frozen engine early enough to end within this fraction
# of its time.
LEFT_FRACTION = 0.85
# This long after an engine froze, it gets at most this fraction of an equal share.
FOUND_S = 5.0
KEPT_SHARE = 0.25


def play_quiet(seed, disturb):
    """Play a cluster without passing silences."""
    return play_silences(seed, Silences(0.0), disturb=disturb)


async def freeze_engine(cluster):
    """Freeze the engine with the most requests for good."""
    await asyncio.sleep(FREEZE_S)
    cluster.freeze(1)


async def freeze_all(cluster):
    """Freeze all engines for good."""
    await asyncio.sleep(FREEZE_S)
    cluster.freeze(len(cluster.engines))


def runs_of(cluster, exchange):
    """Return the runs of a caller's request."""
    return cluster.runs[exchange.request.request_id]


def resumed_elsewhere(cluster):
    """Count the whole streams that a frozen engine had begun."""
    return sum(
        exchange.outcome == "whole"
        and any(
            run.engine in cluster.frozen and run.wrote_s and run.end == "aborted"
            for run in runs_of(cluster, exchange)
        )
        for exchange in cluster.exchanges
        if exchange.route == "resume"
    )


def late_share(cluster):
    """Return the share of late first tries at frozen engines, relative to others."""
    from_s = cluster.started_s + FREEZE_S + FOUND_S
    engines = [
        runs[0].engine
        for runs in cluster.runs.values()
        if runs and runs[0].sent_s > from_s
    ]
    at_frozen = sum(each in cluster.frozen for each in engines)
    return at_frozen * len(cluster.engines) / (len(engines) * len(cluster.frozen))


class FrozenEnginesTest(testtools.TestCase):
    def expect_whole(self, cluster, exchange):
        """Expect a whole answer well before the deadline."""
        self.assertEqual("whole", exchange.outcome, exchange.route)
        request = exchange.request
        limit_s = LEFT_FRACTION * TIME_LIMITS_S[exchange.route]
        self.assertLess(request.ended_s - request.sent_s, limit_s)

    def test_a_frozen_engine_is_left_in_time(self):
        """Repeatable requests waited until their deadline for a frozen engine."""
        for seed in SEEDS:
            cluster = play_quiet(seed, freeze_engine)
            for exchange in cluster.exchanges:
                at_frozen = any(
                    run.engine in cluster.frozen for run in runs_of(cluster, exchange)
                )
                if exchange.route in REPEATABLE_ROUTES or not at_frozen:
                    self.expect_whole(cluster, exchange)
            self.assertGreater(resumed_elsewhere(cluster), 0)
            self.assertLess(late_share(cluster), KEPT_SHARE)
            self.assertEqual({}, broken_rules(cluster), summary(cluster))

    def test_requests_leave_engines_that_end(self):
        """Repeatable requests were lost with the connections to an ended engine."""
        for seed in SEEDS:
            cluster = play_quiet(seed, end_engines)
            for exchange in cluster.exchanges:
                lost = any(run.end == "lost" for run in runs_of(cluster, exchange))
                if exchange.route in REPEATABLE_ROUTES or not lost:
                    self.expect_whole(cluster, exchange)
            self.assertEqual({}, broken_rules(cluster), summary(cluster))

    def test_requests_end_at_their_deadline_if_all_engines_freeze(self):
        """A safe call ended early with 502, or hung after its deadline."""
        cluster = play_quiet(1, freeze_all)
        outcomes = Counter()
        for exchange in cluster.exchanges:
            request = exchange.request
            if exchange.route == "safe" and request.sent_s > self.frozen_s(cluster):
                took_s = round(request.ended_s - request.sent_s, 1)
                ran = "ran" if runs_of(cluster, exchange) else "not run"
                outcomes[exchange.outcome, ran, took_s] += ran == "ran" or (
                    exchange.outcome != "503"
                )
        self.assertEqual({("504", "ran", 3.0)}, set(+outcomes), outcomes)
        self.assertEqual({}, broken_rules(cluster), summary(cluster))

    def frozen_s(self, cluster):
        """Return when the engines froze."""
        return cluster.started_s + FREEZE_S
