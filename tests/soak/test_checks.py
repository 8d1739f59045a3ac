"""Tests that each check of the soak detects the violation it is meant for."""

import testtools

from tests.soak.answers import EVENTS
from tests.soak.checks import (
    CONTACT_S,
    DRAIN_S,
    RECOVERY_S,
    UNDISTURBED_S,
    violations,
)
from tests.soak.records import Call, OrderedRollout, Records, Run, Span

FAULTS_ENDED_S = 100.0


def call(request_id="r1", kind="unsafe", **changes):
    """Return a call that was served correctly; `changes` replace its values."""
    stream = kind in ("stream", "resume")
    values = {
        "node": "n0",
        "method": "POST",
        "target": f"/{kind}/stream" if stream else f"/{kind}/call",
        "body": b"ask",
        "key": "k",
        "timeout_s": 3.0,
        "sent_s": 50.0,
        "ended_s": 50.2,
        "status": 200,
        "sealed": True,
        "complete": True,
        "event_stream": stream,
        "answer": events(request_id) if stream else b"done",
        **changes,
    }
    return Call(request_id, kind, **values)


def run(kind="unsafe", **changes):
    """Return the run at the engine that matches such a call."""
    stream = kind in ("stream", "resume")
    values = {
        "engine": "i-0",
        "arrived_s": 50.1,
        "method": "POST",
        "target": f"/{kind}/stream" if stream else f"/{kind}/call",
        "body": b"ask",
        "headers": {"tenant": "w"},
        "answer": None if stream else b"done",
        "status": 200,
        "ends_after": EVENTS if stream else None,
        **changes,
    }
    return Run(**values)


def events(request_id, numbers=range(1, EVENTS + 1), run_name="a"):
    """Return the events of a stream as the caller receives them."""
    return b"".join(
        f"id: {n}\ndata: {run_name} {request_id}\n\n".encode() for n in numbers
    )


def records(calls, runs, **changes):
    """Return the records of a run without faults."""
    result = Records(calls=calls, runs=runs, faults_ended_s=FAULTS_ENDED_S)
    result.recovered_at_s = FAULTS_ENDED_S
    for name, value in changes.items():
        setattr(result, name, value)
    return result


class ChecksTest(testtools.TestCase):
    def assert_one_violation(self, run_records, expected):
        """Assert that there is one violation and that its text contains `expected`."""
        reported = violations(run_records)
        self.assertEqual(1, len(reported), reported)
        self.assertIn(expected, reported[0])

    def test_a_correct_run_has_no_violations(self):
        """Guards against false alarms on a run without violations."""
        calls = [call(), call("r2", "stream"), call("r3", "resume")]
        runs = {"r1": [run()], "r2": [run("stream")], "r3": [run("resume")] * 2}
        self.assertEqual([], violations(records(calls, runs)))

    def test_a_request_that_ran_twice_is_reported(self):
        """A payment that ran twice must be reported."""
        self.assert_one_violation(
            records([call()], {"r1": [run(), run()]}), "ran 2 times"
        )

    def test_a_refused_request_that_ran_is_reported(self):
        """A call that ran but was answered as not run must be reported."""
        refused = call(status=503, answer=b"", sealed=False)
        self.assert_one_violation(
            records([refused], {"r1": [run()]}), "got 503 and ran"
        )
        rejected = {"r1": [run(rejected=True)]}
        self.assertEqual([], violations(records([refused], rejected)))

    def test_an_answer_of_another_request_is_reported(self):
        """An answer of another run, or one without a seal, must be reported."""
        mixed = call(answer=b"other")
        self.assert_one_violation(records([mixed], {"r1": [run()]}), "no engine sent")
        unsealed = call(sealed=False)
        self.assert_one_violation(
            records([unsealed], {"r1": [run()]}), "without the server-seal"
        )

    def test_broken_streams_are_reported(self):
        """Gaps, early ends and mixed runs of a stream must be reported."""
        cases = {
            "got the events": events("r1", [1, 3]),
            "looks complete": events("r1", [1, 2]),
            "events of 2 runs": events("r1", [1, 2, 3])
            + events("r1", range(4, EVENTS + 1), "b"),
            "another request": events("r9"),
        }
        for expected, answer in cases.items():
            broken_call = call(
                kind="stream", answer=answer, complete=expected != "got the events"
            )
            self.assert_one_violation(
                records([broken_call], {"r1": [run("stream")]}), expected
            )

    def test_rollouts_that_end_wrongly_are_reported(self):
        """An order without a state, and a bad version in use, must be reported."""
        for bad, state, new, expected in (
            (False, None, 0, "no final state"),
            (True, "succeeded", 0, "succeeded"),
            (True, "rolled_back", 60, "got 60 requests beside 90"),
        ):
            versions = ["v2"] * new + ["v1"] * (90 - new)
            calls = [call(f"r{number}") for number in range(90)]
            runs = {
                each.request_id: [run(version=version)]
                for each, version in zip(calls, versions, strict=True)
            }
            run_records = records(calls, runs)
            run_records.rollouts.append(OrderedRollout("v2", bad, 49.0, 8.0, state))
            self.assert_one_violation(run_records, expected)
            run_records.rollouts[0] = OrderedRollout(
                "v2", False, 49.0, 8.0, "succeeded"
            )
            self.assertEqual([], violations(run_records))

    def test_a_stream_of_two_versions_is_reported(self):
        """A resumed stream that went on at another version must be reported."""
        answer = events("r1", [1, 2, 3]) + events("r1", range(4, EVENTS + 1), "b")
        resumed = call(kind="resume", answer=answer)
        parts = answer.decode().split("data: ")[1:]
        tokens = sorted({each.partition("\n")[0] for each in parts})
        self.assertEqual(2, len(tokens))
        for versions, expected in ((("v1", "v1"), 0), (("v1", "v2"), 1)):
            runs = [
                run("resume", token=token, version=version, first_event=first)
                for token, version, first in zip(tokens, versions, (1, 4), strict=True)
            ]
            reported = violations(records([resumed], {"r1": runs}))
            self.assertEqual(expected, len(reported), reported)

    def test_a_stream_that_no_engine_ended_is_reported(self):
        """A stream must look complete only where an engine marked its end."""
        ended = call(kind="resume", answer=events("r1", [1, 2]))
        runs = [run("resume", ends_after=None), run("resume", ends_after=2)]
        self.assertEqual([], violations(records([ended], {"r1": runs})))
        runs[1].ends_after = None
        self.assert_one_violation(records([ended], {"r1": runs}), "looks complete")
        ended.answer = events("r1")
        self.assertEqual([], violations(records([ended], {"r1": runs})))

    def test_a_plain_answer_to_a_stream_must_be_whole(self):
        """A 200 in place of a stream must be the whole body of an engine's success."""
        plain = call(kind="resume", answer=b"whole", event_stream=False)
        for status, answer, expected in (
            (200, b"whole", 0),
            (500, b"whole", 1),
            (200, b"whole body", 1),
            (200, None, 1),
        ):
            runs = [run("resume", status=status, answer=answer, ends_after=None)]
            reported = violations(records([plain], {"r1": runs}))
            self.assertEqual(expected, len(reported), reported)

    def test_text_within_a_stream_that_is_no_event_is_reported(self):
        """The text of an error must not appear in the middle of a stream."""
        for kind in ("stream", "resume"):
            answer = events("r1", [1, 2]) + b"HTTP/1.1 500 r1\n\n"
            broken = call(kind=kind, answer=answer, complete=False)
            reported = violations(records([broken], {"r1": [run(kind)]}))
            self.assertIn("got the events [1, 2, None]", reported[0])

    def test_only_a_cut_stream_may_end_within_an_answer_without_end(self):
        """Parts of an answer without end must not be taken for a whole stream."""
        answer = events("r1", [1, 2]) + b"data: x\n\n"
        for endless, complete, expected in (
            (True, False, False),
            (True, True, True),
            (False, False, True),
        ):
            caller = call(kind="stream", answer=answer, complete=complete)
            runs = {"r1": [run("stream", endless=endless)]}
            reported = violations(records([caller], runs))
            self.assertEqual(expected, bool(reported), reported)

    def test_comments_are_no_events(self):
        """A comment of an engine was reported as a foreign event."""
        answer = events("r1", [1, 2]) + b": waiting\n\n"
        answer += events("r1", range(3, EVENTS + 1))
        caller = call(kind="stream", answer=answer)
        self.assertEqual([], violations(records([caller], {"r1": [run("stream")]})))

    def test_events_of_a_run_that_started_again_are_reported(self):
        """Events of a run from the start must not follow those of an earlier run."""
        answer = events("r1", [1, 2, 3]) + events("r1", range(4, EVENTS + 1), "b")
        resumed = call(kind="resume", answer=answer)
        runs = [
            run("resume", token="a r1", ends_after=None),
            run("resume", token="b r1", first_event=4),
        ]
        self.assertEqual([], violations(records([resumed], {"r1": runs})))
        runs[1].first_event = 1
        self.assert_one_violation(records([resumed], {"r1": runs}), "another run's")

    def test_altered_requests_are_reported(self):
        """A request that was altered or that no caller sent must be reported."""
        cases = {
            "was altered": run(body=b"other"),
            "wrong tenant": run(headers={"tenant": "other"}),
            "header for the node": run(headers={"tenant": "w", "authorization": "k"}),
        }
        for expected, changed in cases.items():
            self.assert_one_violation(records([call()], {"r1": [changed]}), expected)
        self.assert_one_violation(records([], {"r7": [run()]}), "no caller sent")

    def test_a_move_of_an_unknown_run_is_reported(self):
        """A move of a run that the engine does not have must be reported."""
        runs = {"r1": [run()]}
        self.assertEqual([], violations(records([call()], runs, moves=[("i-0", "r1")])))
        for moves in ([("i-1", "r1")], [("i-0", "")]):
            self.assert_one_violation(
                records([call()], runs, moves=moves), "asked to move"
            )

    def test_a_request_sent_to_a_leaving_engine_is_reported(self):
        """A request to an engine that left seconds ago must be reported.

        It is allowed while the node was disturbed and could not know.
        """
        leaving = {"leaving": {"i-0": 50.1 - DRAIN_S - 0.1}}
        run_records = records([call()], {"r1": [run()]}, **leaving)
        self.assert_one_violation(run_records, "marked as leaving")
        disturbances = [Span("n0", 50.0 - UNDISTURBED_S, 48.0)]
        run_records = records(
            [call()], {"r1": [run()]}, disturbances=disturbances, **leaving
        )
        self.assertEqual([], violations(run_records))

    def test_a_run_with_a_dropped_key_is_reported(self):
        """A run with a key that is no longer valid must be reported."""
        run_records = records([call()], {"r1": [run()]}, dropped_keys={"k": 40.0})
        self.assert_one_violation(run_records, "with a dropped key")

    def test_a_stream_cut_by_a_planned_stop_is_reported(self):
        """A request that a planned stop cut off must be reported."""
        cut = call(kind="stream", complete=False, answer=events("r1", [1]))
        stops = [Span("n0", 50.1, 52.0)]
        run_records = records([cut], {"r1": [run("stream")]}, planned_stops=stops)
        self.assert_one_violation(run_records, "planned stop")

    def test_a_request_lost_in_a_silence_is_reported(self):
        """A request that failed while its engine was only silent must be reported."""
        silent = {"r1": [run("safe", silent_s=1.2), run("safe", arrived_s=51.1)]}
        lost = call(kind="safe", status=504, ended_s=53.0, answer=b"", sealed=False)
        cut = call(kind="resume", complete=False, answer=events("r1", [1]))
        for failed in (lost, cut, call(status=0, complete=False, answer=b"")):
            run_records = records([failed], {"r1": [run(failed.kind, silent_s=1.2)]})
            self.assert_one_violation(run_records, "was lost")
        self.assert_one_violation(records([lost], silent), "was lost")

    def test_a_failure_that_another_fault_may_explain_is_not_lost(self):
        """Guards against false alarms where not only a silence disturbed a request."""
        lost = call(kind="safe", status=504, ended_s=53.0, answer=b"", sealed=False)
        silent = {"r1": [run("safe", silent_s=1.2)]}
        explanations = [
            {name: [Span(each, 49.0, 49.5)]}
            for name, each in (
                ("disturbances", "n0"),
                ("disturbances", "store"),
                ("disturbances", "i-7"),
                ("planned_stops", "n0"),
                ("engine_faults", "i-7"),
            )
        ]
        for changes in (*explanations, {"limits": [("i-7", 1.0, 40.0, 52.0)]}):
            self.assertEqual([], violations(records([lost], silent, **changes)))
        for runs in (
            [run("safe")],
            [run("safe", arrived_s=51.5, silent_s=1.2)],
            [run("safe", silent_s=1.2, rejected=True)],
        ):
            self.assertEqual([], violations(records([lost], {"r1": runs})))
        other_node = records([lost], silent, disturbances=[Span("n1", 49.0, 49.5)])
        other_node.calls.append(call("r2", node="n1"))
        other_node.runs["r2"] = [run()]
        self.assert_one_violation(other_node, "was lost")

    def test_denied_valid_requests_are_reported(self):
        """Valid requests that got 401 must be reported."""
        denied = [call(f"r{n}", status=401, answer=b"") for n in range(7)]
        self.assert_one_violation(records(denied, {}), "were rejected")

    def test_answers_past_the_deadline_are_reported(self):
        """Requests that ended seconds after their deadline must be reported."""
        late = [call(f"r{n}", status=504, ended_s=54.0) for n in range(8)]
        self.assert_one_violation(records(late, {}), "after their deadline")

    def test_conflicting_duty_calls_are_reported(self):
        """Two holders of a fencing number, or two counts of a window, are reported."""
        first = ("/usage", "n0", 1, {"windowId": 5, "counts": {"w": 1}})
        other = ("/usage", "n1", 1, {"windowId": 6, "counts": {"w": 1}})
        self.assert_one_violation(records([], {}, duties=[first, other]), "both sent")
        recounted = ("/usage", "n1", 2, {"windowId": 5, "counts": {"w": 2}})
        self.assert_one_violation(
            records([], {}, duties=[first, recounted]), "was reported"
        )

    def test_a_missing_recovery_is_reported(self):
        """Nodes that recover too late or never must be reported."""
        for recovered_at_s in (None, FAULTS_ENDED_S + RECOVERY_S + 1):
            self.assert_one_violation(
                records([], {}, recovered_at_s=recovered_at_s), "no recovery"
            )

    def crashing_runs(self, count, arrived_s):
        """Return calls and runs with a prompt that crashes engines."""
        calls = [call(f"r{n}", "stream", status=503, answer=b"") for n in range(count)]
        runs = {
            each.request_id: [
                run("stream", arrived_s=arrived_s, crashing_segment="bad1", status=0)
            ]
            for each in calls
        }
        return calls, runs

    def test_prompts_sent_on_after_five_crashes_are_reported(self):
        """Requests with a segment that had ended five engines must be reported."""
        crashes = [("bad1", f"i-{n}", 40.0 + n) for n in range(5)]
        calls, runs = self.crashing_runs(4, 44.0 + CONTACT_S + 0.1)
        result = records(calls, runs, prompt_crashes=crashes)
        lines = [each for each in violations(result) if "bad1" in each]
        self.assertEqual(1, len(lines))
        for few in (
            records(*self.crashing_runs(3, 47.1), prompt_crashes=crashes),
            records(*self.crashing_runs(9, 46.9), prompt_crashes=crashes),
            records(*self.crashing_runs(9, 47.1), prompt_crashes=crashes[:4]),
        ):
            self.assertEqual([], [each for each in violations(few) if "bad1" in each])

    def test_requests_beyond_a_named_limit_are_reported(self):
        """More requests than an engine's limit allows must be reported."""
        for count, expected in ((12, 0), (13, 1)):
            calls = [call(f"r{n}") for n in range(count)]
            runs = {
                each.request_id: [run(arrived_s=50.0 + 0.3 * n)]
                for n, each in enumerate(calls)
            }
            result = records(calls, runs, limits=[("i-0", 1.3, 40.0, 60.0)])
            lines = [each for each in violations(result) if "named" in each]
            self.assertEqual(expected, len(lines))

    def test_a_node_that_takes_too_much_memory_is_reported(self):
        """A node that kept answers without end in memory must be reported."""
        result = records([], {}, peak_memory_mb={"n0": 40.0, "n1": 101.0})
        lines = [each for each in violations(result) if "memory" in each]
        self.assertEqual(["n1 took 101 MB of memory"], lines)

    def test_failed_components_are_reported(self):
        """A component that ended with an error must be reported."""
        failures = [("n0", "upstreams: OverflowError")]
        result = records([], {}, component_failures=failures)
        lines = [each for each in violations(result) if "OverflowError" in each]
        self.assertEqual(1, len(lines))
