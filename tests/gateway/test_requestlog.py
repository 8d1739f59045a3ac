"""Test the log lines of requests."""

from types import SimpleNamespace

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_gateway.requestcontext import ResponseProgress
from cicadapass_gateway.requestlog import (
    MAX_REMEMBERED_STARTS,
    MAX_SILENCE_LINES_PER_S,
    RequestLog,
    SilenceOutcome,
)
from tests.gateway.harness import HOST, LoopTest, make_state


def upstream_record(name):
    """Return the registry's record of an upstream that is not running."""
    return UpstreamRecord(
        upstream_id=name,
        service="s",
        host=HOST,
        port=1,
        data_centre="dc-a",
        slots=1,
        leaving=False,
        started_ms=1,
        sequence=1,
    )


class SilenceTest(LoopTest):
    def test_silences_of_a_whole_data_centre_leave_few_lines(self):
        """A thousand upstreams that fell silent together flooded the log."""

        async def scenario():
            state = make_state()
            now_s = 7.0
            state.clock = lambda: now_s
            log = RequestLog(state)
            request = SimpleNamespace(call=SimpleNamespace(request_id="r"))
            reservation = SimpleNamespace(record=upstream_record("i-1"))
            progress = ResponseProgress(silent_s=1.2)
            for _ in range(1000):
                log.log_silence(request, reservation, progress, SilenceOutcome.RESUMED)
            now_s = 8.0
            log.log_silence(request, reservation, progress, SilenceOutcome.LOST)
            lines = [each for each in state.events.recent() if each.number == 816]
            self.assertEqual(MAX_SILENCE_LINES_PER_S + 1, len(lines))
            self.assertEqual(
                1000 - MAX_SILENCE_LINES_PER_S, lines[-1].fields["skipped"]
            )

        self.run_loop(scenario())


class UnreadableLimitTest(LoopTest):
    def test_each_start_of_an_upstream_is_logged_once(self):
        """Two upstreams with malformed limits left a line for each of their answers."""

        async def scenario():
            state = make_state()
            log = RequestLog(state)
            records = [upstream_record(name) for name in ("i-1", "i-2")]
            for _ in range(5):
                for record in records:
                    log.log_unreadable_limit(record, "much")
            lines = [each for each in state.events.recent() if each.number == 853]
            self.assertEqual(2, len(lines))
            log.log_unreadable_limit(records[0], "more")
            lines = [each for each in state.events.recent() if each.number == 853]
            self.assertEqual(3, len(lines))

        self.run_loop(scenario())

    def test_past_starts_are_forgotten(self):
        """Each start of an upstream took memory for ever."""

        async def scenario():
            log = RequestLog(make_state())
            for number in range(2 * MAX_REMEMBERED_STARTS):
                record = upstream_record(f"i-{number}")
                log.log_unreadable_limit(record, "much")
            self.assertLessEqual(len(log._unreadable_limits), MAX_REMEMBERED_STARTS)

        self.run_loop(scenario())
