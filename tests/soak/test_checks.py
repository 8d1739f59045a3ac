"""Test that each check of the soak finds the broken promise that it is there for."""

import testtools

from tests.soak.checks import CONTACT_S, DRAIN_S, RECOVERY_S, violations
from tests.soak.engines import EVENTS
from tests.soak.records import Call, Records, Run, Span

CALM_S = 100.0


def call(request_id="r1", kind="unsafe", **changes):
    """Return a call that was served well."""
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
        "answer": events(request_id) if stream else b"done",
        **changes,
    }
    return Call(request_id, kind, **values)


def run(kind="unsafe", **changes):
    """Return the run that belongs to such a call."""
    stream = kind in ("stream", "resume")
    values = {
        "engine": "i-0",
        "began_s": 50.1,
        "method": "POST",
        "target": f"/{kind}/stream" if stream else f"/{kind}/call",
        "body": b"ask",
        "headers": {"tenant": "w"},
        "answer": b"done",
        "status": 200,
        **changes,
    }
    return Run(**values)


def events(request_id, numbers=range(1, EVENTS + 1), run_name="a"):
    """Return the events of a stream."""
    return b"".join(
        f"id: {n}\ndata: {run_name} {request_id}\n\n".encode() for n in numbers
    )


def records(calls, runs, **changes):
    """Return the records of a run without faults."""
    found = Records(calls=calls, runs=runs, calm_from_s=CALM_S)
    found.served_again_s = CALM_S
    for name, value in changes.items():
        setattr(found, name, value)
    return found


class ChecksTest(testtools.TestCase):
    def assert_broken(self, found, part):
        """Assert that one promise was broken, and which."""
        broken = violations(found)
        self.assertEqual(1, len(broken), broken)
        self.assertIn(part, broken[0])

    def test_a_sound_run_passes(self):
        """A check called a sound run broken."""
        calls = [call(), call("r2", "stream"), call("r3", "resume")]
        runs = {"r1": [run()], "r2": [run("stream")], "r3": [run("resume")] * 2}
        self.assertEqual([], violations(records(calls, runs)))

    def test_a_second_run(self):
        """A payment that ran twice was not found."""
        self.assert_broken(records([call()], {"r1": [run(), run()]}), "ran 2 times")

    def test_a_refusal_that_is_not_true(self):
        """A call that ran and was answered as not run was not found."""
        refused = call(status=503, answer=b"", sealed=False)
        self.assert_broken(records([refused], {"r1": [run()]}), "got 503 and ran")
        rejected = {"r1": [run(rejected=True)]}
        self.assertEqual([], violations(records([refused], rejected)))

    def test_an_answer_of_another_request(self):
        """A mixed answer was not found."""
        mixed = call(answer=b"other")
        self.assert_broken(records([mixed], {"r1": [run()]}), "no engine gave")
        bare = call(sealed=False)
        self.assert_broken(records([bare], {"r1": [run()]}), "without an engine's")

    def test_streams(self):
        """A stream with a gap, a false end or two runs joined was not found."""
        cases = {
            "got the events": events("r1", [1, 3]),
            "looks complete": events("r1", [1, 2]),
            "pieces of 2 runs": events("r1", [1, 2, 3])
            + events("r1", range(4, EVENTS + 1), "b"),
            "another request": events("r9"),
        }
        for part, answer in cases.items():
            broken = call(
                kind="stream", answer=answer, complete=part != "got the events"
            )
            self.assert_broken(records([broken], {"r1": [run("stream")]}), part)

    def test_changed_requests(self):
        """A request that was changed or forged was not found."""
        cases = {
            "was changed": run(body=b"other"),
            "came for": run(headers={"tenant": "other"}),
            "not the engine's": run(headers={"tenant": "w", "authorization": "k"}),
        }
        for part, changed in cases.items():
            self.assert_broken(records([call()], {"r1": [changed]}), part)
        self.assert_broken(records([], {"r7": [run()]}), "nobody sent")

    def test_work_for_an_engine_that_left(self):
        """A send to an engine that had left for seconds was not found."""
        left = {"leaving": {"i-0": 50.1 - DRAIN_S - 0.1}}
        found = records([call()], {"r1": [run()]}, **left)
        self.assert_broken(found, "left")
        troubles = [Span("n0", 50.0 - CONTACT_S, 48.0)]
        found = records([call()], {"r1": [run()]}, troubles=troubles, **left)
        self.assertEqual([], violations(found))

    def test_a_dropped_key(self):
        """A run with a key that was no longer valid was not found."""
        found = records([call()], {"r1": [run()]}, dropped_keys={"k": 40.0})
        self.assert_broken(found, "was dropped")

    def test_a_stream_cut_by_a_planned_stop(self):
        """A request that a planned stop broke off was not found."""
        cut = call(kind="stream", complete=False, answer=events("r1", [1]))
        stops = [Span("n0", 50.1, 52.0)]
        found = records([cut], {"r1": [run("stream")]}, stops=stops)
        self.assert_broken(found, "planned stop")

    def test_denied_requests(self):
        """Proper requests that got 401 were not found."""
        denied = [call(f"r{n}", status=401, answer=b"") for n in range(7)]
        self.assert_broken(records(denied, {}), "were denied")

    def test_requests_held_past_their_time(self):
        """Requests that were held for seconds were not found."""
        held = [call(f"r{n}", status=504, ended_s=54.0) for n in range(8)]
        self.assert_broken(records(held, {}), "were held")

    def test_duties(self):
        """Two holders, or two counts of a window, were not found."""
        first = ("/usage", "n0", 1, {"windowId": 5, "counts": {"w": 1}})
        other = ("/usage", "n1", 1, {"windowId": 6, "counts": {"w": 1}})
        self.assert_broken(records([], {}, duties=[first, other]), "both sent")
        again = ("/usage", "n1", 2, {"windowId": 5, "counts": {"w": 2}})
        self.assert_broken(records([], {}, duties=[first, again]), "was reported")

    def test_recovery(self):
        """Nodes that never served again were not found."""
        for again_s in (None, CALM_S + RECOVERY_S + 1):
            self.assert_broken(records([], {}, served_again_s=again_s), "not served")
