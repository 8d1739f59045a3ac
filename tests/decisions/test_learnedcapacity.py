"""Test what is learnt of upstreams, with drawn ones behind many nodes."""

import random

import testtools

from cicadapass_decisions.learnedcapacity import (
    MAX_PEER_SILENCE_S,
    MAX_ROWS,
    MIN_SHARE,
    PRESENT_S,
    EngineLevel,
    LearnedCapacity,
    Totals,
    balanced_shares,
    bounded_report,
    next_level,
)
from cicadapass_decisions.passthrough import Prompt
from cicadapass_decisions.placement import (
    Candidate,
    PlacementRequest,
    Send,
    place_request,
)
from cicadapass_decisions.upstreammeter import PeerLoad, UpstreamMeter
from tests.decisions.drawnupstreams import STEP_S, Upstream, Work

CALL_S, TARGET_S, SLOTS, NODES = 0.045, 0.22, 6, 20
ROUND_S, TICK_S, END_S = 1.6, 0.5, 16.0
CALL = PlacementRequest(Prompt(), False, TARGET_S, None, 0.0)


class Gateways:
    """Send calls through many nodes to drawn upstreams of a plain service."""

    def __init__(self, seed, learns, nodes=NODES, load=0.5):
        rng, self._rng = random.Random(seed), random.Random(seed + 1)
        self.upstreams = [Upstream(rng, f"u{n}@1", SLOTS, 0.0) for n in range(6)]
        self._names = {each.name: each for each in self.upstreams}
        self._learns, self._load = learns, load
        self.learned = [LearnedCapacity(f"n{n}") for n in range(nodes)]
        self._meters = [{n: UpstreamMeter() for n in self._names} for _ in self.learned]
        for each in self.learned:
            each.keep(self._names)
        self.arrived, self.timely = [], []

    def run(self, changes_s=None):
        """Serve until the end; redraw a third of the upstreams at `changes_s`."""
        now_s, next_s, sent = 0.0, 0.0, 0
        rate_per_s = self._rate_per_s()
        while now_s < END_S:
            now_s += STEP_S
            if changes_s is not None and now_s >= changes_s:
                for each in self.upstreams[:2]:
                    each.draw()
                rate_per_s, changes_s = self._rate_per_s(), None
            while next_s < now_s:
                next_s += self._rng.expovariate(rate_per_s)
                sent += 1
                self._send(str(sent), next_s, now_s)
            self._advance(now_s)
            self._exchange(round(now_s / STEP_S), now_s)
        return self

    def timely_share(self, first_s, last_s):
        """Return the part of the calls of a time that were answered in time."""
        arrived = sum(first_s <= each < last_s for each in self.arrived)
        return sum(first_s <= each < last_s for each in self.timely) / arrived

    def _rate_per_s(self):
        """Return part of what the upstreams that can be in time do at their knees."""
        able = [each for each in self.upstreams if CALL_S / each.speed < 0.6 * TARGET_S]
        return self._load * sum(each.knee * each.speed for each in able) / CALL_S

    def _send(self, key, arrived_s, now_s):
        node = self._rng.randrange(len(self.learned))
        self.arrived.append(arrived_s)
        decision = place_request(CALL, self._candidates(node, now_s))
        if not isinstance(decision, Send):
            return
        name = decision.upstream_id
        run_s = CALL_S * self._rng.uniform(0.7, 1.3)
        work = Work(node, arrived_s, 0, run_s, key, now_s)
        self._meters[node][name].begin(key, Prompt(), now_s)
        self.learned[node].record_send(name)
        self._names[name].begin(work)

    def _candidates(self, node, now_s):
        learned = self.learned[node]
        return [
            Candidate(
                upstream_id=name,
                data_centre="dc",
                local=True,
                slots=SLOTS,
                running=meter.running(now_s),
                backlog_s=0.0,
                prefill_s_per_token=1e-5,
                call_s=meter.call_s,
                cached_tokens=0,
                failure_score=0.0,
                sends_per_share=learned.sends_per_share("s", name)
                if self._learns
                else None,
            )
            for name, meter in self._meters[node].items()
        ]

    def _advance(self, now_s):
        for upstream in self.upstreams:
            for work in upstream.advance(now_s)[1]:
                meter = self._meters[work.node][upstream.name]
                meter.record_reported_load(upstream.load + 1, now_s)
                sample = meter.sample(work.key, 0, now_s)
                meter.end(work.key, now_s, succeeded=True)
                total = Totals(sample.work, sample.busy_s)
                self.learned[work.node].record_work(upstream.name, total, now_s)
                if now_s - work.arrived_s <= TARGET_S:
                    self.timely.append(work.arrived_s)

    def _exchange(self, step, now_s):
        for node, learned in enumerate(self.learned):
            if (step + node) % round(TICK_S / STEP_S) == 0:
                learned.tick(TICK_S)
                learned.balance("s", self._names, TARGET_S, TICK_S)
            turn = node * round(ROUND_S / STEP_S) // len(self.learned)
            if step % round(ROUND_S / STEP_S) == turn:
                self._report(node, learned.export(now_s), now_s)

    def _report(self, node, rows, now_s):
        for other, learned in enumerate(self.learned):
            if other == node:
                continue
            learned.merge(f"n{node}", rows, now_s)
            for name, meter in self._meters[node].items():
                load = PeerLoad(meter.local_running, 0.0, now_s)
                self._meters[other][name].record_peer_load(f"n{node}", load)


class DrawnUpstreamsTest(testtools.TestCase):
    def test_calls_are_in_time_at_drawn_upstreams(self):
        """Nodes sent their calls to one upstream after the other, all at once."""
        shares = [
            Gateways(seed, learns=True).run().timely_share(4.0, 14.0)
            for seed in (0, 2, 3)
        ]
        self.assertGreater(sum(shares) / len(shares), 0.8)


class SharesTest(testtools.TestCase):
    def test_a_slow_upstream_loses_and_keeps_a_little(self):
        """An upstream that had recovered was never tried again."""
        present = {"a": Totals(100, 5.0), "b": Totals(100, 50.0)}
        shares = {"a": 1.0, "b": 1.0}
        for _ in range(60):
            shares = balanced_shares(shares, present, 0.1, 0.5)
        self.assertEqual({"a": 1.0, "b": MIN_SHARE}, shares)
        recovered = {"a": Totals(100, 20.0), "b": Totals(2, 0.1)}
        self.assertLess(0.02, balanced_shares(shares, recovered, 0.1, 0.5)["b"])

    def test_all_slow_alike_changes_nothing(self):
        """A load that was too high for all upstreams moved their shares."""
        present = {"a": Totals(100, 90.0), "b": Totals(50, 45.0)}
        shares = {"a": 1.0, "b": 0.5}
        self.assertEqual(shares, balanced_shares(shares, present, 0.1, 0.5))

    def test_nodes_that_send_little_follow_the_shares_together(self):
        """All nodes with few calls sent them to the upstream with the largest share."""
        counts = {"a@1": 0, "b@1": 0}
        for number in range(300):
            node = LearnedCapacity(f"n{number}")
            node.keep(counts)
            node.record_work("a@1", Totals(75, 3.0), 0.0)
            node.record_work("b@1", Totals(25, 1.0), 0.0)
            node.tick(0.5)
            node.balance("s", counts, 0.2, 0.5)
            counts[min(counts, key=lambda key: node.sends_per_share("s", key))] += 1
        self.assertAlmostEqual(0.75, counts["a@1"] / 300, delta=0.08)


class LevelTest(testtools.TestCase):
    def test_the_level_falls_below_a_load_that_slows_and_recovers(self):
        """An engine that slows long before it is full was filled, or never again."""
        level = next_level(None, Totals(1000, 20.0), 64, 0.5)
        self.assertEqual(EngineLevel(64.0, 0.02), level)
        for _ in range(4):
            level = next_level(level, Totals(800, 40.0 * PRESENT_S), 64, 0.5)
        self.assertLess(level.runs, 40)
        for _ in range(60):
            level = next_level(level, Totals(1000, 10.0), 64, 0.5)
        self.assertEqual(64.0, level.runs)


class ExchangeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.node, self.peer = LearnedCapacity("n"), LearnedCapacity("p")
        self.other = LearnedCapacity("o")
        for each in (self.node, self.peer, self.other):
            each.keep(["a@1"])

    def send(self, now_s=0.0):
        """Pass the peer's totals to the node."""
        self.node.merge("p/1", self.peer.export(now_s), now_s)

    def present(self):
        """Return what the node knows of the upstream at present."""
        return self.node._upstreams["a@1"].unseen

    def test_lost_and_doubled_messages_change_nothing(self):
        """Samples counted twice, or were lost with a datagram."""
        self.peer.record_work("a@1", Totals(1, 0.1), 0.0)
        self.send()
        for _ in range(3):
            self.peer.record_work("a@1", Totals(1, 0.1), 0.0)
        late = self.peer.export(0.0)
        self.peer.record_work("a@1", Totals(1, 0.1), 0.0)
        self.send()
        self.send()
        self.node.merge("p/1", late, 0.0)
        self.assertEqual(4, self.present().work)
        self.assertAlmostEqual(0.4, self.present().busy_s)

    def test_old_totals_do_not_count(self):
        """A node that returned from a partition reported minutes as one moment."""
        self.peer.record_work("a@1", Totals(9, 0.9), 0.0)
        self.send()
        self.peer.record_work("a@1", Totals(9, 0.9), 0.0)
        self.send(MAX_PEER_SILENCE_S + 0.1)
        self.assertEqual(Totals(), self.present())
        # The rows also lapse at the sender.
        self.assertEqual([], self.peer.export(60.0))

    def test_a_false_report_is_bounded(self):
        """One node's wrong clock took all traffic from an upstream."""
        report = bounded_report(Totals(1e9, 1e12), Totals(100, 5.0))
        self.assertEqual(150, report.work)
        self.assertAlmostEqual(0.2, report.unit_s)

    def test_other_starts_and_malformed_rows(self):
        """Samples of an earlier start counted for the next one, or a row ended all."""
        self.node.merge("p/1", [["a@0", 5, 500]], 0.0)
        self.assertEqual(Totals(), self.present())
        for rows in ([["a@1", float("nan"), 1]], [["a@1"]], 7, [["a@1", "x", 1]]):
            self.assertRaises((TypeError, ValueError), self.node.merge, "p", rows, 0.0)

    def test_rows_are_bounded(self):
        """Datagrams grew with the number of upstreams."""
        names = [f"i-{number}@1" for number in range(60)]
        self.peer.keep(names)
        for name in names:
            self.peer.record_work(name, Totals(1, 0.1), 0.0)
        self.assertEqual(names[-MAX_ROWS:], [row[0] for row in self.peer.export(1.0)])
