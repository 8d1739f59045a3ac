"""Test rate limits that several nodes share."""

import collections
import heapq
import math
import random

import testtools

from cicadapass_decisions.ratelimit import (
    PEER_SILENCE_S,
    LimitTolerance,
    OverLimit,
    RateLimiter,
)

WINDOW_S = 8.0
RATE, BURST = 1000.0, 1000.0
LIMIT = RATE * WINDOW_S + BURST
# The platform allows the limit to be exceeded by a tenth, and a slack of 1.4 times the
# rate of a large workspace.
TOLERANCE = LimitTolerance(fraction=0.1, amount=1.4 * RATE)
BOUND = LIMIT * (1 + TOLERANCE.fraction) + TOLERANCE.amount
# Interval of the messages between nodes.
EXCHANGE_S = 0.2
# Time from a request until all other nodes know of it if its use is unexpected.
REPORT_S = 0.05
# Length of a run with callers that return.
LENGTH_S = 60.0


def new_limiter(started_s, seed=0):
    """Return the limiter of a node that started at this time."""
    return RateLimiter(WINDOW_S, started_s, TOLERANCE, random.Random(seed))


def draw_cost(rng):
    """Return the cost of a request; the largest takes over an eighth of the limit."""
    return min(1.2 * RATE, 0.1 * RATE * rng.lognormvariate(0.0, 1.0))


class Nodes:
    """Simulate nodes that exchange totals every 0.2 s, except across a partition.

    Each message goes to one of `round_parts` parts of the nodes in turn. Reports of
    unexpected use reach all nodes after REPORT_S, or are lost with `report_loss`.
    """

    def __init__(self, count, started_s=-100.0, round_parts=1, report_loss=0.0):
        self.limiters = [new_limiter(started_s, seed) for seed in range(count)]
        self.started_s = started_s
        for limiter in self.limiters:
            limiter.set_round(EXCHANGE_S * round_parts)
            limiter.set_node_count(count)
        self.round_parts = round_parts
        self.exchanges = 0
        self.next_exchange_s = 0.0
        self.admitted = []
        self.partitioned = set()
        self._loss_rng, self._report_loss = random.Random(count), report_loss
        # Time of arrival, number and totals of the reports in transit.
        self._reports = collections.deque()
        self.report_count = 0

    def meet(self):
        """Let nodes that run for long hear of each other before 0."""
        for part in range(self.round_parts, 0, -1):
            self.exchange(-part * EXCHANGE_S)

    def exchange_until(self, now_s):
        """Make the exchanges that are due by this time, from 0 on."""
        while self.next_exchange_s <= now_s:
            self.exchange(self.next_exchange_s)
            self.next_exchange_s += EXCHANGE_S

    def exchange(self, now_s):
        self.exchanges += 1
        for sender_number, sender in enumerate(self.limiters):
            sender.tick(now_s, EXCHANGE_S)
            for receiver_number, receiver in enumerate(self.limiters):
                part = (
                    sender_number + receiver_number + self.exchanges
                ) % self.round_parts
                if (
                    part == 0
                    and sender_number != receiver_number
                    and (sender_number in self.partitioned)
                    == (receiver_number in self.partitioned)
                ):
                    receiver.record_peer_totals(
                        f"{sender_number}/{id(sender)}",
                        sender.totals(),
                        now_s - self.started_s,
                        now_s,
                    )

    def _record_report(self, number, totals, now_s):
        for receiver_number, receiver in enumerate(self.limiters):
            if (
                receiver_number != number
                and self._loss_rng.random() >= self._report_loss
                and (number in self.partitioned)
                == (receiver_number in self.partitioned)
            ):
                receiver.record_peer_report(
                    f"{number}/{id(self.limiters[number])}",
                    totals,
                    now_s - self.started_s,
                    now_s,
                )

    def admit_one(self, number, cost, now_s):
        while self._reports and self._reports[0][0] <= now_s:
            arrival_s, sender_number, totals = self._reports.popleft()
            self._record_report(sender_number, totals, arrival_s)
        limiter, unexpected = self.limiters[number], []
        limiter.set_on_unexpected_use(unexpected.append)
        refusal = limiter.admit("w", RATE, BURST, cost, now_s)
        if unexpected:
            self.report_count += 1
            self._reports.append((now_s + REPORT_S, number, limiter.report(unexpected)))
        if refusal is None:
            self.admitted.append((now_s, cost))
        return refusal

    def max_window_usage(self, from_s=0.0):
        return max(
            sum(c for at, c in self.admitted if start <= at < start + WINDOW_S)
            for start, _ in self.admitted
            if start >= from_s
        )

    def simulate(self, start_s, end_s, per_step, cost=100.0):
        now_s = start_s
        while now_s < end_s:
            for number in range(len(self.limiters)):
                for _ in range(per_step):
                    self.admit_one(number, cost, now_s)
            self.exchange(now_s)
            now_s += 0.2


class LimitTest(testtools.TestCase):
    def test_a_hot_workspace_stays_within_the_limit_over_all_nodes(self):
        """Each node admitted the whole limit."""
        nodes = Nodes(7)
        nodes.simulate(0.0, 30.0, per_step=2)
        self.assertLessEqual(nodes.max_window_usage(), BOUND)
        self.assertGreater(nodes.max_window_usage(), LIMIT * 0.9)

    def test_a_workspace_within_its_limit_is_never_refused(self):
        """A token bucket of 1 s refused bursts that are within the window's limit."""
        nodes = Nodes(7)
        for step in range(200):
            cost = 4000.0 if step % 50 == 0 else 40.0
            self.assertIsNone(nodes.admit_one(step % 7, cost, step * 0.2))
            nodes.exchange(step * 0.2)

    def test_both_sides_of_a_partition_stay_within_the_limit(self):
        """Each side of a partition admitted the whole limit."""
        nodes = Nodes(6)
        nodes.simulate(0.0, 12.0, per_step=1)
        nodes.partitioned = {0, 1}
        nodes.simulate(12.0, 30.0, per_step=2)
        late = [each for each in nodes.admitted if each[0] > 12 + WINDOW_S]
        total = sum(cost for at, cost in late if at < 21 + WINDOW_S)
        self.assertLessEqual(total, BOUND)

    def test_a_restart_of_all_nodes_does_not_double_the_window(self):
        """The usage was lost with the nodes, and a second burst was admitted.

        The workspace sends 1.5 times its rate.
        """
        nodes = Nodes(3)
        nodes.simulate(0.0, 30.0, per_step=1)
        nodes.limiters = [new_limiter(31.0, seed) for seed in range(3)]
        nodes.simulate(31.2, 45.0, per_step=1)
        self.assertLessEqual(nodes.max_window_usage(), BOUND)

    def test_usage_before_a_restart_is_restored(self):
        """A workspace used its whole limit again after all nodes had been killed.

        The last record of the usage is 0.8 s old when the nodes are killed, and they
        exchange no messages in their first 0.4 s. The workspace sends four times its
        rate, about the highest load that users describe.
        """
        for killed_s in (24.4, 24.8, 25.2, 25.6, 26.4, 29.0):
            nodes = Nodes(8)
            nodes.simulate(0.0, killed_s - 0.8, per_step=1)
            usage = nodes.limiters[0].recent_usage(killed_s - 0.8)
            nodes.simulate(killed_s - 0.8, killed_s, per_step=1)
            started_s = killed_s + 1.0
            nodes.limiters = [new_limiter(started_s, seed) for seed in range(8)]
            nodes.started_s = started_s
            for limiter in nodes.limiters:
                limiter.restore(usage, recorded_ago_s=1.8, now_s=started_s)
            for now_s in (started_s, started_s + 0.2):
                for number in range(8):
                    nodes.admit_one(number, 100.0, now_s)
            nodes.simulate(started_s + 0.4, started_s + 12.0, per_step=1)
            self.assertLessEqual(nodes.max_window_usage(), BOUND, killed_s)

    def test_retry_after_covers_the_excess(self):
        """Callers retried too early and were refused again."""
        limiter = new_limiter(-100.0)
        self.assertIsNone(limiter.admit("w", RATE, BURST, LIMIT, 0.0))
        refusal = limiter.admit("w", RATE, BURST, 100.0, 3.0)
        self.assertIsInstance(refusal, OverLimit)
        self.assertAlmostEqual(5.0, refusal.retry_after_s)
        self.assertIsNone(limiter.admit("w", RATE, BURST, 100.0, 8.5))

    def test_a_limit_without_room_right_after_the_start(self):
        """Without a burst or a tolerance, the first requests ended with an error."""
        limiter = RateLimiter(WINDOW_S, 0.0, LimitTolerance(), random.Random(0))
        for _ in range(2):
            refusal = limiter.admit("w", RATE, 0.0, 300.0, 0.0)
            self.assertEqual(OverLimit(WINDOW_S), refusal)
        # A request over the whole limit may use it alone.
        self.assertIsNone(limiter.admit("w", RATE, 0.0, 300.0, 0.1))
        self.assertIsInstance(limiter.admit("w", RATE, 0.0, 300.0, 0.1), OverLimit)

    def test_refund_restores_the_charge(self):
        """Requests that did not run counted towards the limit."""
        limiter = new_limiter(-100.0)
        limiter.admit("w", RATE, BURST, LIMIT, 0.0)
        limiter.refund("w", LIMIT, charged_s=0.0)
        self.assertIsNone(limiter.admit("w", RATE, BURST, LIMIT, 0.2))

    def test_a_refund_gives_no_room_beyond_the_limit(self):
        """A charge left the window before its refund, which then counted below 0."""
        limiter = new_limiter(-100.0)
        self.assertIsNone(limiter.admit("w", RATE, BURST, LIMIT, 0.0))
        limiter.refund("w", LIMIT, charged_s=0.0)
        admitted = 0.0
        for step in range(100):
            if limiter.admit("w", RATE, BURST, 300.0, 8.1 + 0.01 * step) is None:
                admitted += 300.0
        self.assertLessEqual(admitted, BOUND)

    def test_a_late_refund_gives_no_room(self):
        """A refund after the charge had left the window was taken from other use."""
        limiter = new_limiter(-100.0)
        self.assertIsNone(limiter.admit("w", RATE, BURST, LIMIT, 0.0))
        self.assertIsNone(limiter.admit("w", RATE, BURST, LIMIT, 8.1))
        limiter.refund("w", LIMIT, charged_s=0.0)
        self.assertEqual(2 * LIMIT, limiter.totals()["w"][0])
        self.assertIsInstance(limiter.admit("w", RATE, BURST, 300.0, 8.2), OverLimit)

    def test_a_refund_at_a_peer_gives_no_room_beyond_the_limit(self):
        """What a peer refunded counted below 0 after the charge had left the window."""
        limiter = new_limiter(-100.0)
        limiter.record_peer_totals("peer", {}, 900.0, 0.0)
        for at_s, total in ((0.2, LIMIT), (5.0, 0.0), (8.6, 0.0)):
            limiter.record_peer_totals("peer", {"w": (total, 0.0)}, 900 + at_s, at_s)
        admitted = 0.0
        for _ in range(100):
            if limiter.admit("w", RATE, BURST, 300.0, 8.7) is None:
                admitted += 300.0
        self.assertLessEqual(admitted, BOUND)

    def test_repeated_totals_count_once(self):
        """The same total was counted again with each message."""
        limiter = new_limiter(-100.0)
        for now_s in (0.0, 0.1, 0.2):
            limiter.record_peer_totals("peer", {"w": (5000.0, 0.0)}, 900.0, now_s)
        self.assertIsNone(limiter.admit("w", RATE, BURST, LIMIT, 0.3))

    def test_an_old_message_does_not_take_use_back(self):
        """A late or duplicated message made room for what was admitted since it."""
        limiter = new_limiter(-100.0)
        limiter.record_peer_totals("peer", {"w": (0.0, 0.0, 0.0, 0.0)}, 900.0, 0.0)
        limiter.record_peer_totals("peer", {"w": (LIMIT, 0.0, LIMIT, 0.1)}, 900.2, 0.2)
        old = {"w": (0.0, 0.0, 0.0, 0.0)}
        limiter.record_peer_totals("peer", old, 900.0, 0.3)
        limiter.record_peer_report("peer", old, 900.1, 0.3)
        refusal = limiter.admit("w", RATE, BURST, 3000.0, 0.4)
        self.assertIsInstance(refusal, OverLimit)

    def test_the_first_use_at_a_known_peer_counts(self):
        """What a peer admitted until it first named a workspace was not counted."""
        limiter = new_limiter(-100.0)
        limiter.record_peer_totals("peer", {}, 900.0, 0.0)
        limiter.record_peer_totals("peer", {"w": (LIMIT, LIMIT)}, 900.2, 0.2)
        self.assertIsInstance(limiter.admit("w", RATE, BURST, 100.0, 0.3), OverLimit)

    def test_the_past_of_a_peer_does_not_count(self):
        """A peer that was not known, or was cut off for long, used the whole limit."""
        limiter = new_limiter(-100.0)
        limiter.record_peer_totals("peer", {}, 900.0, 0.0)
        limiter.tick(60.0, 0.2)
        limiter.record_peer_totals("peer", {"w": (LIMIT, 0.0)}, 960.0, 60.0)
        self.assertIsNone(limiter.admit("w", RATE, BURST, LIMIT, 60.1))

    def test_the_demand_of_a_peer_counts_until_its_past_is_over(self):
        """What peers admitted before they were heard was taken to be nothing."""
        limiter = new_limiter(-100.0)
        limiter.set_node_count(2)
        limiter.record_peer_totals("peer", {"w": (1e6, 0.5 * LIMIT)}, 900.0, 0.0)
        self.assertIsInstance(limiter.admit("w", RATE, BURST, LIMIT, 0.1), OverLimit)
        self.assertIsNone(limiter.admit("w", RATE, BURST, LIMIT, WINDOW_S + 0.1))

    def test_peers_that_were_not_heard_are_taken_to_have_demand(self):
        """A node that had not heard its peers gave the whole limit to its callers."""
        admitted = 0.0
        limiter = new_limiter(-100.0)
        limiter.set_node_count(58)
        for _ in range(58):
            if limiter.admit("w", RATE, BURST, 300.0, 0.0) is None:
                admitted += 300.0
        self.assertLessEqual(admitted, 4 * BOUND / 58)

    def test_a_silent_peer_keeps_its_share_beside_hundreds(self):
        """With 380 nodes, a peer was forgotten before it counted as silent."""
        limiter = new_limiter(-100.0)
        limiter.set_node_count(380)
        limiter.set_round(7.6)
        # The peers from 189 on are on the other side of a partition from 0 s on.
        for peers, at_s, total in ((379, 0.0, 0.0), (189, 18.0, 0.7 * LIMIT / 189)):
            for number in range(peers):
                row = {"w": (0.0, LIMIT / 379, 0.0, 0.0)}
                limiter.record_peer_totals(str(number), row, 900.0 + at_s, at_s)
                row = {"w": (total, LIMIT / 379, total, 0.0)}
                limiter.record_peer_report(str(number), row, 900.0 + at_s, at_s)
            limiter.tick(at_s, 0.5)
        for step in range(1, 13):
            limiter.tick(18.0 + 0.5 * step, 0.5)
        for _ in range(50):
            refusal = limiter.admit("w", RATE, BURST, 30.0, 24.5)
            self.assertIsInstance(refusal, OverLimit)

    def test_a_silent_peer_keeps_its_share(self):
        """The share of a peer that was only disconnected was used by other nodes."""
        limiter = new_limiter(-100.0)
        limiter.record_peer_totals("peer", {"w": (100.0, 900.0)}, 900.0, 0.0)
        limiter.admit("w", RATE, BURST, 100.0, 0.0)
        limiter.tick(0.1, 0.1)
        now_s = PEER_SILENCE_S + 0.1
        self.assertIsNotNone(limiter.admit("w", RATE, BURST, LIMIT * 0.6, now_s))


class ReturningCallers:
    """Simulate callers that ask again when they were told to, at random nodes."""

    def __init__(self, seed, nodes, callers):
        self._rng = random.Random(seed)
        self._nodes = nodes
        self._returns = [
            (self._rng.random() * WINDOW_S, number) for number in range(callers)
        ]
        self._costs = [draw_cost(self._rng) for _ in range(callers)]

    def run(self, end_s):
        """Let the callers ask, and the nodes exchange their totals, until `end_s`."""
        heapq.heapify(self._returns)
        while self._returns[0][0] < end_s:
            at_s, caller = heapq.heappop(self._returns)
            self._nodes.exchange_until(at_s)
            node = self._rng.randrange(len(self._nodes.limiters))
            refusal = self._nodes.admit_one(node, self._costs[caller], at_s)
            if refusal is None:
                self._costs[caller] = draw_cost(self._rng)
                pause_s = self._rng.expovariate(4.0)
            else:
                pause_s = refusal.retry_after_s
            heapq.heappush(self._returns, (at_s + pause_s, caller))


class ReturningCallersTest(testtools.TestCase):
    def simulate(self, seed, count, round_parts=1, checked_from_s=0.0, met=False):
        """Return what was admitted in the busiest window, and in all per second."""
        nodes = Nodes(count, round_parts=round_parts)
        if met:
            nodes.meet()
        ReturningCallers(seed, nodes, callers=60).run(LENGTH_S)
        admitted = sum(cost for _, cost in nodes.admitted)
        return nodes.max_window_usage(checked_from_s), admitted / LENGTH_S

    def test_callers_that_return_together_stay_within_the_limit(self):
        """Each of eight nodes gave the same room to callers who returned at once."""
        for seed in range(10):
            busiest, rate = self.simulate(seed, 8)
            self.assertLessEqual(busiest, BOUND, seed)
            self.assertGreater(rate, 0.9 * RATE, seed)

    def test_the_limit_holds_over_many_nodes(self):
        """Each of 58 nodes gave the same room to callers who returned at once."""
        for seed in range(10):
            busiest, rate = self.simulate(seed, 58, round_parts=6)
            self.assertLessEqual(busiest, BOUND, seed)
            self.assertGreater(rate, 0.9 * RATE, seed)

    def test_the_limit_holds_over_many_nodes_with_other_seeds(self):
        """Callers brought the largest requests before the nodes heard of each other."""
        for seed in (17, 26, 32):
            busiest, _ = self.simulate(seed, 58, round_parts=6)
            self.assertLessEqual(busiest, BOUND, seed)

    def test_sampled_callers_stay_within_the_limit(self):
        """Nodes drew several of the largest requests before they heard of any."""
        cases = ((8, 1, 18), (8, 1, 25), (58, 6, 10), (8, 1, 21), (58, 6, 31))
        for number, round_parts, seed in cases:
            busiest, _ = self.simulate(seed, number, round_parts)
            self.assertLessEqual(busiest, BOUND, (number, seed))

    def test_the_limit_holds_over_many_nodes_that_know_each_other(self):
        """58 nodes that had met before gave the same room to callers at once."""
        for seed in range(10):
            busiest, rate = self.simulate(seed, 58, round_parts=6, met=True)
            self.assertLessEqual(busiest, BOUND, seed)
            self.assertGreater(rate, 0.9 * RATE, seed)

    def test_many_nodes_that_know_the_demand_stay_within_the_limit(self):
        """Each of 58 nodes gave the same room, although all knew of the demand."""
        for seed in range(10):
            busiest, rate = self.simulate(
                seed, 58, round_parts=6, checked_from_s=WINDOW_S
            )
            self.assertLessEqual(busiest, BOUND, seed)
            self.assertGreater(rate, 0.9 * RATE, seed)

    def test_steady_callers_inside_the_limit_are_served(self):
        """Shares of the limit turned away callers who asked for half of it."""
        for count, round_parts in ((8, 1), (58, 6)):
            nodes = Nodes(count, round_parts=round_parts)
            rng = random.Random(count)
            refused = 0
            for step in range(400):
                nodes.exchange(0.2 * step)
                for cost in (50.0, 20.0, 5.0, 25.0):
                    refusal = nodes.admit_one(rng.randrange(count), cost, 0.2 * step)
                    refused += refusal is not None
            self.assertEqual(0, refused, count)


class StartTest(testtools.TestCase):
    """Let a workspace that is new to 80 nodes ask for a multiple of its rate."""

    def simulate(self, seed, load, report_loss=0.0, weights=None):
        """Return the usage in the busiest window and the number of refusals."""
        rng = random.Random(seed)
        nodes = Nodes(80, round_parts=8, report_loss=report_loss)
        nodes.meet()
        mean_cost = 0.1 * RATE * math.exp(0.5)
        refused, at_s = 0, rng.expovariate(load * RATE / mean_cost)
        while at_s < 12.0:
            nodes.exchange_until(at_s)
            (number,) = rng.choices(range(80), weights)
            refusal = nodes.admit_one(number, draw_cost(rng), at_s)
            refused += refusal is not None
            at_s += rng.expovariate(load * RATE / mean_cost)
        # A report goes to 79 nodes; each sends 50 regular messages a second.
        self.assertLess(nodes.report_count, 80 * 2)
        return nodes.max_window_usage(), refused

    def test_a_start_at_many_times_the_rate_stays_within_the_limit(self):
        """80 nodes admitted 3.5 times the bound before they heard of each other."""
        for load in (4.0, 40.0):
            for seed in range(6):
                usage, _ = self.simulate(seed, load)
                self.assertLessEqual(usage, BOUND, (load, seed))

    def test_lost_reports_do_not_break_the_limit(self):
        """The limit held only as long as each report arrived at each node."""
        for seed in range(6):
            usage, _ = self.simulate(seed, 40.0, report_loss=0.05)
            self.assertLessEqual(usage, BOUND, seed)

    def test_a_start_at_few_nodes_stays_within_the_limit(self):
        """Nodes with most of the callers admitted more than their part."""
        weights = [1.0 / (1 + number) for number in range(80)]
        for seed in range(6):
            usage, _ = self.simulate(seed, 10.0, weights=weights)
            self.assertLessEqual(usage, BOUND, seed)

    def test_a_start_with_half_of_the_limit_is_served(self):
        """Nodes that feared the use of others refused callers within the limit."""
        weights = [1.0 / (1 + number) for number in range(80)]
        for each in (None, weights):
            for seed in range(6):
                _, refused = self.simulate(seed, 0.5 * LIMIT / WINDOW_S / RATE, 0, each)
                self.assertEqual(0, refused, seed)


class JumpTest(testtools.TestCase):
    """Let the load of a workspace jump to 7.5 times its usual for 6.5 s."""

    def max_usage(self, seed, count, round_parts, usual_load):
        """Return the usage in the busiest window; the load is a part of the rate."""
        rng = random.Random(seed)
        nodes = Nodes(count, round_parts=round_parts)
        mean_cost = 0.1 * RATE * math.exp(0.5)
        requests, at_s = [], 0.0
        while at_s < 40.0:
            load = usual_load * (7.5 if 15.0 <= at_s < 21.5 else 1.0)
            at_s += rng.expovariate(load * RATE / mean_cost)
            heapq.heappush(requests, (at_s, draw_cost(rng), 0))
        while requests[0][0] < 40.0:
            at_s, cost, tries = heapq.heappop(requests)
            nodes.exchange_until(at_s)
            refusal = nodes.admit_one(rng.randrange(count), cost, at_s)
            if refusal is not None and tries < 3:
                retry_s = at_s + refusal.retry_after_s * (1.0 + 0.1 * rng.random())
                heapq.heappush(requests, (retry_s, cost, tries + 1))
        return nodes.max_window_usage()

    def assert_within(self, usual_load):
        for count, round_parts in ((8, 1), (58, 6)):
            for seed in range(6):
                usage = self.max_usage(seed, count, round_parts, usual_load)
                self.assertLessEqual(usage, BOUND, (count, seed))

    def test_a_jump_of_a_workspace_stays_within_the_limit(self):
        """Each node gave the room of the limit to the first callers of the jump."""
        self.assert_within(0.3)
        self.assert_within(0.5)

    def test_a_jump_of_a_busy_workspace_stays_within_the_limit(self):
        """A workspace near its limit used more than is allowed after a jump."""
        self.assert_within(0.8)
