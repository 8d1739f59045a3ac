"""Test the shares of workspaces in scarce capacity."""

import collections
import random

import testtools

from cicadapass_decisions.fairshares import (
    FairShares,
    WaitingRequest,
    fair_order,
    mean_weight,
)


def request(workspace, arrived_s, cost=1000.0, weight=1000.0, urgency=(0, 0)):
    """Return a waiting request."""
    return WaitingRequest(urgency, arrived_s, workspace, cost, weight)


def replay(arrivals, capacity, length_s):
    """Send `capacity` tokens a second from a queue; return the tokens of each."""
    shares, waiting, sent, credit = FairShares(), [], collections.Counter(), 0.0
    starts = []
    for step in range(int(length_s * 20)):
        now_s, credit = step / 20, credit + capacity / 20
        while arrivals and arrivals[0].arrived_s <= now_s:
            waiting.append(arrivals.pop(0))
        while waiting and credit > 0:
            first = waiting.pop(fair_order(waiting, shares.times, shares.now)[0])
            shares.record_send(first, mean_weight([*waiting, first]))
            starts.append((now_s - first.arrived_s, first))
            credit -= first.cost
            sent[first.workspace] += first.cost
        if not waiting:
            credit = 0.0
            shares.clear()
    return sent, starts


def draw(rng, workspace, rate, weight, length_s, mean=2000.0):
    """Return arrivals with heavy-tailed costs at a rate in tokens a second."""
    arrivals, at_s = [], rng.expovariate(rate / mean)
    while at_s < length_s:
        cost = min(54_600.0, mean * rng.lognormvariate(-0.5, 1.0))
        arrivals.append(request(workspace, at_s, cost, weight))
        at_s += rng.expovariate(rate / mean)
    return arrivals


class FairSharesTest(testtools.TestCase):
    def test_a_large_workspace_leaves_small_ones_their_share(self):
        """Requests of small workspaces waited behind those of a large one."""
        rng, length_s = random.Random(1), 30.0
        arrivals = draw(rng, "large", 300_000.0, 100_000.0, length_s)
        for number in range(4):
            arrivals += draw(rng, f"small{number}", 8_000.0, 20_000.0, length_s)
        arrivals.sort(key=lambda each: each.arrived_s)
        sent, starts = replay(arrivals, 150_000.0, length_s)
        # Shares that small workspaces don't use go to the large one.
        self.assertGreater(sent["large"], 100_000.0 * length_s)
        small = sorted(wait for wait, each in starts if each.workspace != "large")
        self.assertLess(small[int(0.95 * len(small))], 1.0)

    def test_nothing_starves(self):
        """The least used workspace first starved the largest; so did cost first."""
        rng, length_s = random.Random(2), 30.0
        arrivals = []
        for name in ("a", "b", "c"):
            arrivals += draw(rng, name, 100_000.0, 50_000.0, length_s)
        arrivals.sort(key=lambda each: each.arrived_s)
        costs = sorted(each.cost for each in arrivals)
        large_cost = costs[int(0.9 * len(costs))]
        large_count = sum(each.cost >= large_cost for each in arrivals)
        total = len(arrivals)
        sent, starts = replay(arrivals, 150_000.0, length_s)
        even = sum(sent.values()) / 3
        for name in ("a", "b", "c"):
            self.assertGreater(sent[name], 0.9 * even)
        large_sent = sum(each.cost >= large_cost for _, each in starts)
        self.assertGreater(large_sent / large_count, 0.5 * len(starts) / total)

    def test_urgency_goes_before_shares(self):
        """A less urgent request was sent first because its workspace had used less."""
        requests = [
            request("a", 1.0, urgency=(0, 0)),
            request("b", 0.0, urgency=(1, 0)),
        ]
        self.assertEqual([0, 1], fair_order(requests, {"a": 50.0}, 0.0))

    def test_a_workspace_without_a_limit_weighs_as_much_as_the_mean(self):
        """Its weight of 0 ended the order with an error."""
        requests = [request("a", 0.0), request("b", 0.0, weight=0.0)]
        self.assertEqual(1000.0, mean_weight(requests))
        self.assertEqual([0, 1], fair_order(requests, {}, 0.0))

    def test_an_idle_workspace_has_saved_up_nothing(self):
        """A workspace that came back took all capacity for as long as it was idle."""
        shares = FairShares()
        for _ in range(10):
            shares.record_send(request("a", 0.0), 1.0)
        requests = [request(name, 0.0) for name in "aabb"]
        order = fair_order(requests, shares.times, shares.now)
        self.assertEqual({"a", "b"}, {requests[each].workspace for each in order[:3]})
