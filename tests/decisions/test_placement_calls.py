"""Replay short calls of many nodes that hear of each other's calls a round late."""

import heapq
from collections import Counter, deque
from dataclasses import replace
from random import Random

import testtools

from cicadapass_decisions.passthrough import Prompt
from cicadapass_decisions.placement import (
    Candidate,
    PlacementRequest,
    Send,
    place_request,
)

NODES, UPSTREAMS, SLOTS, QUEUE = 82, 3, 6, 24
ROUND_S, CALL_S, TARGET_S = 1.6, 0.075, 0.347
# Three quarters of what the upstreams can do.
CALLS_PER_S = 0.75 * UPSTREAMS * SLOTS / CALL_S
SECONDS = 20.0
RECHECK_S = 0.03


class Upstream:
    """Answer calls in the order of their arrival."""

    def __init__(self):
        self.running = 0
        self.waiting = deque()


class Nodes:
    """Place calls by the product's decision, with counts that are up to a round old."""

    def __init__(self, counts_age_s, seed):
        self.rng = Random(seed)
        self.counts_age_s = counts_age_s
        self.upstreams = [Upstream() for _ in range(UPSTREAMS)]
        self.own = [[0] * UPSTREAMS for _ in range(NODES)]
        self.told = [[0] * UPSTREAMS for _ in range(NODES)]
        self.events, self.number = [], 0
        self.in_time = self.calls = 0

    def at(self, time_s, action, *arguments):
        """Run an action at a time."""
        self.number += 1
        heapq.heappush(self.events, (time_s, self.number, action, arguments))

    def run(self):
        """Return the share of calls that are answered within their target."""
        for node in range(NODES):
            self.at(self.rng.uniform(0, ROUND_S), self.tell, node)
        self.at(0.0, self.arrive)
        while self.events:
            time_s, _, action, arguments = heapq.heappop(self.events)
            if time_s > SECONDS:
                break
            action(time_s, *arguments)
        return self.in_time / self.calls

    def tell(self, now_s, node):
        """Tell all nodes what one has in progress."""
        self.told[node] = list(self.own[node])
        self.at(now_s + ROUND_S, self.tell, node)

    def arrive(self, now_s):
        """Take a call at some node."""
        self.calls += 1
        self.place(now_s, self.rng.randrange(NODES), now_s)
        self.at(now_s + self.rng.expovariate(CALLS_PER_S), self.arrive)

    def place(self, now_s, node, arrived_s):
        """Send a call, or let it wait at its node."""
        candidates = [
            Candidate(
                upstream_id=f"u{index}",
                data_centre="dc",
                local=True,
                slots=SLOTS,
                running=self.own[node][index]
                + sum(told[index] for told in self.told)
                - self.told[node][index],
                backlog_s=0.0,
                prefill_s_per_token=0.0,
                call_s=CALL_S,
                cached_tokens=0,
                failure_score=0.0,
            )
            for index in range(UPSTREAMS)
        ]
        request = PlacementRequest(
            Prompt(),
            for_model=False,
            target_s=TARGET_S,
            shorter_target_s=None,
            waited_s=now_s - arrived_s,
            counts_age_s=self.counts_age_s,
            draw=self.rng.random(),
        )
        decision = place_request(request, candidates)
        if not isinstance(decision, Send):
            self.at(now_s + RECHECK_S, self.place, node, arrived_s)
            return
        index = int(decision.upstream_id[1:])
        self.own[node][index] += 1
        self.begin(now_s, index, (node, arrived_s))

    def begin(self, now_s, index, call):
        """Run a call at an upstream, or queue it there."""
        upstream = self.upstreams[index]
        if upstream.running >= SLOTS:
            upstream.waiting.append(call)
            return
        upstream.running += 1
        self.at(now_s + self.rng.expovariate(1 / CALL_S), self.end, index, call)

    def end(self, now_s, index, call):
        """Answer a call, and begin the next one."""
        node, arrived_s = call
        upstream = self.upstreams[index]
        upstream.running -= 1
        self.own[node][index] -= 1
        self.in_time += now_s - arrived_s <= TARGET_S
        if upstream.waiting:
            self.begin(now_s, index, upstream.waiting.popleft())


class StaleCountsTest(testtools.TestCase):
    def test_calls_are_in_time_though_counts_are_a_round_old(self):
        """Nodes sent their calls to one upstream for a round, and the others idled."""
        for seed in range(3):
            self.assertGreater(Nodes(ROUND_S, seed).run(), 0.9, seed)

    def test_few_nodes_keep_to_the_counts(self):
        """Nodes that know the counts filled the queues of upstreams."""
        for age_s, sent in ((0.2, False), (ROUND_S, True)):
            request = PlacementRequest(
                Prompt(), False, TARGET_S, None, 0.0, counts_age_s=age_s
            )
            busy = Candidate("u", "dc", True, SLOTS, 14, 0.0, 0.0, CALL_S, 0, 0.0)
            decision = place_request(request, [busy])
            self.assertEqual(sent, isinstance(decision, Send))

    def test_slow_and_failing_upstreams_get_fewer_calls(self):
        """An upstream that had become slow got as many calls as the others."""
        usual = Candidate("u", "dc", True, SLOTS, 3, 0.0, 0.0, CALL_S, 0, 0.0)
        slow = replace(usual, upstream_id="slow", call_s=4 * CALL_S)
        failing = replace(usual, upstream_id="failing", failure_score=0.6)
        counts = Counter()
        for number in range(1000):
            request = PlacementRequest(
                Prompt(),
                False,
                TARGET_S,
                None,
                0.0,
                counts_age_s=ROUND_S,
                draw=number / 1000,
            )
            counts[place_request(request, [usual, slow, failing]).upstream_id] += 1
        self.assertGreater(counts["slow"], 100)
        self.assertLess(counts["slow"], counts["u"] / 3)
        self.assertLess(counts["failing"], counts["u"] / 5)
