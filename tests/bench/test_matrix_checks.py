"""Test that each check of the fault matrix sees the outcome it is there for."""

import json
from collections import Counter

import testtools

from cicadapass_bench.callerkit import Called, Prompt, Streamed
from cicadapass_bench.matrix_checks import (
    Accepted,
    CellOutcome,
    PlannedStop,
    Post,
    Seen,
    failures,
)

PROMPT = Prompt("parts", "one bolt", 5)
OTHER = Prompt("parts", "one nut", 5)
PATH = "/payments/7"
NOT_RUN = Called(503, b"", {"Cicadapass-Verdict": "not-run"})
UNKNOWN = Called(502, b"", {"Cicadapass-Verdict": "unknown"})


class MatrixChecksTest(testtools.TestCase):
    def test_right_outcome_passes(self):
        """A check that fails a right outcome would hide the real faults."""
        posts = [Post(PATH, b"{}", "", [UNKNOWN]), Post("/payments/8", b"{}", "")]
        outcome = CellOutcome(
            streams=[streamed(PROMPT, PROMPT.expected)],
            wholes=[(PROMPT, whole(PROMPT.expected)), (OTHER, NOT_RUN)],
            posts=posts,
            effects=Counter({PATH: 1}),
            attempted=frozenset({"a.b.1"}),
            stops=[PlannedStop("n1", 0, 0)],
            seen=[Seen("n1", "i", 1), Seen("n1", "i", 2), Seen("n1", "j", 1)],
            publishes=[Accepted(2, ())],
            races=[1],
        )
        self.assertEqual({}, failures(outcome))

    def test_truncated_stream(self):
        """P1: an accepted stream that ends early is not answered."""
        cut = streamed(PROMPT, PROMPT.expected[:4], end="")
        self.assertEqual(["P1"], found(streams=[cut]))

    def test_refused_stream_is_not_owed(self):
        """P1 covers accepted requests only."""
        refused = Streamed(PROMPT, refusal="503")
        self.assertEqual([], found(streams=[refused]))

    def test_request_without_a_copy(self):
        """P1: only a stream told "single-node" may be lost, and only with nodes."""
        cut = streamed(PROMPT, "", end="")
        cut.durability = "single-node"
        self.assertEqual(["P1"], found(streams=[cut]))
        self.assertEqual([], found(streams=[cut], nodes_lost=True))
        cut.durability = "peer-copy"
        self.assertEqual(["P1"], found(streams=[cut], nodes_lost=True))

    def test_late_return(self):
        """P1: after a kill, a caller that returns is not left waiting."""
        late = streamed(PROMPT, PROMPT.expected)
        late.longest_return_s = 2.5
        self.assertEqual(["P1"], found(streams=[late], return_limit_s=2.0))
        self.assertEqual([], found(streams=[late], return_limit_s=3.0))

    def test_bytes_of_another_caller(self):
        """P2: a whole answer that belongs to another caller is wrong."""
        self.assertEqual(["P2"], found(streams=[streamed(PROMPT, OTHER.expected)]))
        self.assertEqual(["P2"], found(wholes=[(PROMPT, whole(OTHER.expected))]))

    def test_short_answer_that_looks_whole(self):
        """P2: an answer that lacks tokens must not have its end."""
        short = streamed(PROMPT, PROMPT.expected[:4])
        self.assertEqual(["P2"], found(streams=[short]))

    def test_wrong_head_of_a_cut_stream(self):
        """P2 holds also for the bytes before a cut."""
        wrong = streamed(PROMPT, OTHER.expected[:4], end="")
        self.assertEqual(["P1", "P2"], found(streams=[wrong]))

    def test_wrong_plain_answers(self):
        """P2: reads and payments are answered with their own bytes."""
        wrong = Called(200, b"another", {})
        self.assertEqual(["P2"], found(reads=[("/stock/1", wrong)]))
        self.assertEqual(["P2"], found(posts=[Post(PATH, b"{}", "", [wrong])]))

    def test_not_run_with_an_effect(self):
        """P3: "not run" is false when the ledger has the call."""
        effects = Counter({PATH: 1})
        for answers in ([NOT_RUN], [NOT_RUN, NOT_RUN]):
            post = Post(PATH, b"{}", "key", answers)
            self.assertEqual(["P3"], found(posts=[post], effects=effects))
        post = Post(PATH, b"{}", "key", [NOT_RUN, UNKNOWN])
        self.assertEqual([], found(posts=[post], effects=effects))

    def test_not_run_with_an_attempt(self):
        """P3: "not run" is false when an engine got the request."""
        headers = {
            "Cicadapass-Verdict": "not-run",
            "Cicadapass-Request-Id": "a.b.1",
        }
        told = [(PROMPT, Called(503, b"", headers))]
        self.assertEqual(["P3"], found(wholes=told, attempted=frozenset({"a.b.1"})))
        self.assertEqual([], found(wholes=told, attempted=frozenset({"a.b.2"})))

    def test_doubled_effect(self):
        """P4: a payment in the ledger twice took effect twice."""
        self.assertEqual(["P4"], found(effects=Counter({PATH: 2})))

    def test_late_work(self):
        """P5: a leaving upstream that gets an attempt late loses it."""
        self.assertEqual(["P5"], found(late_work=1))

    def test_interrupted_stop(self):
        """P6: a planned stop that cuts a request or fails is not graceful."""
        self.assertEqual(["P6"], found(stops=[PlannedStop("n1", 0, 1)]))
        self.assertEqual(["P6"], found(stops=[PlannedStop("n1", -9, 0)]))
        self.assertEqual(["P6"], found(stops=[PlannedStop("n1", None, 0)]))

    def test_version_goes_back(self):
        """P7: an older version after a newer one is a reversion."""
        seen = [Seen("n1", "i", 2), Seen("n2", "i", 1), Seen("n1", "i", 1)]
        self.assertEqual(["P7"], found(seen=seen))

    def test_publish_is_not_in_force(self):
        """P7: an accepted publish that a node lacks after 16 s is late."""
        self.assertEqual(["P7"], found(publishes=[Accepted(2, ("n1",))]))

    def test_two_accepted_publishes_of_one_base(self):
        """P7: of two publishes on one base, one would undo the other."""
        self.assertEqual(["P7"], found(races=[2]))
        self.assertEqual(["P7"], found(races=[0]))


def found(**outcome):
    """Return the guarantees that an outcome breaks."""
    return sorted(failures(CellOutcome(**outcome)))


def streamed(prompt, text, end="data: [DONE]\n\n"):
    """Return a stream that has received one event with this text."""
    chunk = {"choices": [{"delta": {"content": text}}]}
    data = f"data: {json.dumps(chunk)}\n\n{end}".encode()
    return Streamed(prompt, "a.b.1", bytearray(data))


def whole(text):
    """Return a whole answer with this text."""
    message = {"message": {"content": text}}
    return Called(200, json.dumps({"choices": [message]}).encode(), {})
