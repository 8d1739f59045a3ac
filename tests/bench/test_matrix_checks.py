"""Test that each check of the fault matrix detects its kind of violation."""

import json
from collections import Counter

import testtools

from cicadapass_bench.callerkit import Prompt, Response, StreamedAnswer
from cicadapass_bench.matrix_checks import (
    AcceptedPublish,
    CellOutcome,
    PlannedStop,
    Post,
    ServedVersion,
    broken_guarantees,
)

PROMPT = Prompt("parts", "one bolt", 5)
OTHER = Prompt("parts", "one nut", 5)
PATH = "/payments/7"
NOT_RUN = Response(503, b"", {"Cicadapass-Verdict": "not-run"})
UNKNOWN = Response(502, b"", {"Cicadapass-Verdict": "unknown"})


class MatrixChecksTest(testtools.TestCase):
    def test_right_outcome_passes(self):
        """False alarms on a correct outcome would hide real faults."""
        posts = [Post(PATH, b"{}", "", [UNKNOWN]), Post("/payments/8", b"{}", "")]
        outcome = CellOutcome(
            streams=[streamed_answer(PROMPT, PROMPT.expected)],
            whole_answers=[(PROMPT, whole_answer(PROMPT.expected)), (OTHER, NOT_RUN)],
            posts=posts,
            effects=Counter({PATH: 1}),
            attempted_request_ids=frozenset({"a.b.1"}),
            stops=[PlannedStop("n1", 0, 0)],
            served_versions=[
                ServedVersion("n1", "i", 1),
                ServedVersion("n1", "i", 2),
                ServedVersion("n1", "j", 1),
            ],
            publishes=[AcceptedPublish(2, ())],
            accepted_of_concurrent=[1],
        )
        self.assertEqual({}, broken_guarantees(outcome))

    def test_truncated_stream(self):
        """P1: an accepted stream that ends early is incomplete."""
        truncated = streamed_answer(PROMPT, PROMPT.expected[:4], end="")
        self.assertEqual(["P1"], broken(streams=[truncated]))

    def test_refused_stream_needs_no_answer(self):
        """P1 covers accepted requests only."""
        refused = StreamedAnswer(PROMPT, refusal="503")
        self.assertEqual([], broken(streams=[refused]))

    def test_request_without_a_copy(self):
        """P1: a stream may be lost only if it was "single-node" and nodes were lost."""
        truncated = streamed_answer(PROMPT, "", end="")
        truncated.durability = "single-node"
        self.assertEqual(["P1"], broken(streams=[truncated]))
        self.assertEqual([], broken(streams=[truncated], nodes_lost=True))
        truncated.durability = "peer-copy"
        self.assertEqual(["P1"], broken(streams=[truncated], nodes_lost=True))

    def test_late_return(self):
        """P1: after a kill, a returning caller must not wait beyond the limit."""
        late_return = streamed_answer(PROMPT, PROMPT.expected)
        late_return.longest_return_s = 2.5
        self.assertEqual(["P1"], broken(streams=[late_return], max_return_s=2.0))
        self.assertEqual([], broken(streams=[late_return], max_return_s=3.0))

    def test_answer_of_another_prompt(self):
        """P2: a complete answer to the prompt of another caller is wrong."""
        self.assertEqual(
            ["P2"], broken(streams=[streamed_answer(PROMPT, OTHER.expected)])
        )
        self.assertEqual(
            ["P2"], broken(whole_answers=[(PROMPT, whole_answer(OTHER.expected))])
        )

    def test_short_answer_with_an_end(self):
        """P2: an answer that lacks tokens must not have an end marker."""
        short_answer = streamed_answer(PROMPT, PROMPT.expected[:4])
        self.assertEqual(["P2"], broken(streams=[short_answer]))

    def test_wrong_prefix_of_a_truncated_stream(self):
        """P2 also covers the bytes received before a truncation."""
        wrong = streamed_answer(PROMPT, OTHER.expected[:4], end="")
        self.assertEqual(["P1", "P2"], broken(streams=[wrong]))

    def test_wrong_plain_answers(self):
        """P2: reads and payments must receive the body of their own request."""
        wrong = Response(200, b"another", {})
        self.assertEqual(["P2"], broken(reads=[("/stock/1", wrong)]))
        self.assertEqual(["P2"], broken(posts=[Post(PATH, b"{}", "", [wrong])]))

    def test_not_run_with_an_effect(self):
        """P3: "not run" is false if the ledger contains the call."""
        effects = Counter({PATH: 1})
        for answers in ([NOT_RUN], [NOT_RUN, NOT_RUN]):
            post = Post(PATH, b"{}", "key", answers)
            self.assertEqual(["P3"], broken(posts=[post], effects=effects))
        post = Post(PATH, b"{}", "key", [NOT_RUN, UNKNOWN])
        self.assertEqual([], broken(posts=[post], effects=effects))

    def test_not_run_with_an_attempt(self):
        """P3: "not run" is false if an engine received the request."""
        headers = {
            "Cicadapass-Verdict": "not-run",
            "Cicadapass-Request-Id": "a.b.1",
        }
        whole_answers = [(PROMPT, Response(503, b"", headers))]
        self.assertEqual(
            ["P3"],
            broken(
                whole_answers=whole_answers, attempted_request_ids=frozenset({"a.b.1"})
            ),
        )
        self.assertEqual(
            [],
            broken(
                whole_answers=whole_answers, attempted_request_ids=frozenset({"a.b.2"})
            ),
        )

    def test_repeated_effect(self):
        """P4: a payment that is in the ledger twice took effect twice."""
        self.assertEqual(["P4"], broken(effects=Counter({PATH: 2})))

    def test_late_work(self):
        """P5: an attempt sent late to a leaving upstream is lost with it."""
        self.assertEqual(["P5"], broken(late_attempts=1))

    def test_interrupted_stop(self):
        """P6: a planned stop must not interrupt a request, fail or time out."""
        self.assertEqual(["P6"], broken(stops=[PlannedStop("n1", 0, 1)]))
        self.assertEqual(["P6"], broken(stops=[PlannedStop("n1", -9, 0)]))
        self.assertEqual(["P6"], broken(stops=[PlannedStop("n1", None, 0)]))

    def test_version_reversion(self):
        """P7: a node process must not serve an older version after a newer one."""
        served_versions = [
            ServedVersion("n1", "i", 2),
            ServedVersion("n2", "i", 1),
            ServedVersion("n1", "i", 1),
        ]
        self.assertEqual(["P7"], broken(served_versions=served_versions))

    def test_publish_not_in_force(self):
        """P7: an accepted publish must be in force at all nodes after 16 s."""
        self.assertEqual(["P7"], broken(publishes=[AcceptedPublish(2, ("n1",))]))

    def test_two_accepted_publishes_of_one_base(self):
        """P7: if two publishes on one base are accepted, one overwrites the other."""
        self.assertEqual(["P7"], broken(accepted_of_concurrent=[2]))
        self.assertEqual(["P7"], broken(accepted_of_concurrent=[0]))


def broken(**outcome):
    """Return the names of the guarantees that an outcome breaks."""
    return sorted(broken_guarantees(CellOutcome(**outcome)))


def streamed_answer(prompt, text, end="data: [DONE]\n\n"):
    """Return a stream that has received one event with this text."""
    chunk = {"choices": [{"delta": {"content": text}}]}
    data = f"data: {json.dumps(chunk)}\n\n{end}".encode()
    return StreamedAnswer(prompt, "a.b.1", bytearray(data))


def whole_answer(text):
    """Return the response of a non-streamed model request with this text."""
    message = {"message": {"content": text}}
    return Response(200, json.dumps({"choices": [message]}).encode(), {})
