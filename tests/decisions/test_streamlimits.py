"""Test for how long the streams of a service count as lasting."""

from dataclasses import replace

import testtools

from cicadapass_decisions.streamlimits import (
    KEPT_S,
    LIFE_MARGIN_S,
    MAX_CALLER_LIMIT_S,
    MAX_LIMITS,
    ResumableRoutes,
    StreamLimits,
    caller_limit_s,
    longest_time_limits_s,
    whole_ms,
)
from tests.gateway.harness import configuration


def recorded(*rows):
    """Return limits that were recorded: pairs of a limit and a time."""
    limits = StreamLimits()
    for limit_s, now_s in rows:
        limits.record("s", limit_s, now_s)
    return limits


class StreamLimitsTest(testtools.TestCase):
    def test_a_limit_counts_after_the_last_configuration_that_had_it(self):
        """A lower limit counted at once, or the earlier one for ever."""
        limits = recorded((15.0, 0.0), (15.0, 100.0), (3.0, 100.5), (3.0, 1000.0))
        ends_s = 100.0 + KEPT_S + 15.0 + LIFE_MARGIN_S
        self.assertEqual(15.0, limits.longest_s("s", ends_s - 0.1))
        self.assertEqual(3.0, limits.longest_s("s", ends_s))
        self.assertEqual(["s"], limits.services(ends_s))

    def test_a_higher_limit_counts_at_once(self):
        """Streams of a higher limit were forgotten by the life of the lower one."""
        limits = recorded((3.0, 0.0), (60.0, 1.0), (3.0, 2.0))
        self.assertEqual(60.0, limits.longest_s("s", 2.0))
        self.assertIsNone(limits.longest_s("other", 2.0))

    def test_a_service_without_a_limit_is_forgotten(self):
        """A service that is gone took memory and records for ever."""
        limits = recorded((3.0, 0.0))
        self.assertEqual([], limits.services(KEPT_S + 3.0 + LIFE_MARGIN_S))

    def test_many_limits_take_no_more_memory(self):
        """Each limit that a caller states took memory for an hour."""
        falling = [(100.0 - 0.1 * number, float(number)) for number in range(300)]
        limits = recorded(*falling)
        in_force = limits.in_force("s", 300.0)
        self.assertEqual(MAX_LIMITS, len(in_force))
        # None counts for a shorter time than it was recorded for.
        for limit_s, recorded_s in falling:
            ends_s = recorded_s + KEPT_S + limit_s + LIFE_MARGIN_S
            self.assertGreaterEqual(limits.longest_s("s", ends_s - 0.01), limit_s)


class WholeMsTest(testtools.TestCase):
    def test_a_limit_that_was_recorded_differs_from_itself(self):
        """A limit with a fraction of a millisecond was recorded again each second."""
        for limit_s in (15.0, 2.5004, 16.1, 8.2, 1.005, 0.57):
            limit_ms = whole_ms(limit_s)
            self.assertGreaterEqual(limit_ms / 1000, limit_s)
            self.assertEqual(limit_ms, whole_ms(limit_ms / 1000))


class RoutesTest(testtools.TestCase):
    def test_only_resumable_streams_count(self):
        """The time-outs of routes whose streams cannot be taken up counted."""
        usual, longer = configuration(), configuration(timeout_s=60.0)
        routes = [each for each in usual.routes if each.resumable]
        self.assertEqual({"s": 10.0}, longest_time_limits_s(routes))
        self.assertEqual(
            {"s": 60.0}, longest_time_limits_s(longer.routes[:1] + usual.routes)
        )

    def test_a_route_that_was_resumable_lately_counts(self):
        """Streams of a route that is resumable again soon were not recorded."""
        routes, before = ResumableRoutes(), configuration()
        routes.record(before, 10.0)
        now_resumable = {each.name: each for each in before.routes}
        stream, other = now_resumable["resume"], now_resumable["stream"]
        for route, now_s, expected in (
            (stream, 10.0 + 2 * KEPT_S, True),
            (_not_resumable(stream), 10.0 + KEPT_S - 1, True),
            (_not_resumable(stream), 10.0 + KEPT_S, False),
            (other, 11.0, False),
            (now_resumable["safe"], 11.0, False),
        ):
            self.assertIs(expected, routes.was_resumable(route, now_s), route.name)

    def test_a_caller_counts_for_what_it_states(self):
        """A caller was taken to leave at its route's time-out, or never to leave."""
        for timeout_s, stated_s, expected_s in (
            (15.0, None, 15.0),
            (15.0, 3.0, 3.0),
            (3.0, 15.0, 15.0),
            (3.0, 86_400.0, MAX_CALLER_LIMIT_S),
            (600.0, 86_400.0, 600.0),
        ):
            self.assertEqual(expected_s, caller_limit_s(timeout_s, stated_s))


def _not_resumable(route):
    return replace(route, resumable=False)
