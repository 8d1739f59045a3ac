"""Tests that faulty engines answer in the ways that the soak is to play."""

import random

import testtools

from tests.soak.answers import CHUNKED, EVENTS, plain_answer, stream_answer
from tests.soak.faultyengines import (
    SILENCE_RANGE_S,
    SILENT_FRACTION_RANGE,
    broken_stream,
    cut_head,
    silent,
    stale_refusal,
)
from tests.soak.records import Run

ANSWERS = 2000
FIELDS = "request-id: r1\r\nserver-seal: i-0\r\n"


class Response:
    """Stand in for the writer of a response; each is on a connection of its own."""

    def __init__(self):
        self.connection = self


def run(request_id="r1", target="/resume/stream"):
    """Return an arrival of a request at an engine."""
    headers = {"request-id": request_id}
    return Run("i-0", 1.0, "POST", target, b"", headers, token="token")


def data_of(answer):
    """Return all bytes of an answer."""
    return b"".join(data for _, data in answer.pieces)


def pause_of(answer):
    """Return the sum of the pauses of an answer."""
    return sum(pause_s for pause_s, _ in answer.pieces)


class FaultyEnginesTest(testtools.TestCase):
    sound = (plain_answer(200, FIELDS, b"body"), stream_answer(FIELDS, "token", 1))

    def test_a_silent_engine_sends_everything_later(self):
        """Silence must change no byte, and occur in a fifth to a third of answers."""
        low, high = SILENT_FRACTION_RANGE
        change = silent(random.Random(1), {"i-0"})
        for answer in self.sound:
            count, places = 0, set()
            for _ in range(ANSWERS):
                arrival = run()
                changed = change("i-0", Response(), arrival, answer)
                self.assertEqual(data_of(answer), data_of(changed))
                self.assertEqual(answer.ends_after, changed.ends_after)
                added_s = pause_of(changed) - pause_of(answer)
                self.assertAlmostEqual(arrival.silent_s, added_s)
                if arrival.silent_s:
                    count += 1
                    sent = [s for s, _ in changed.pieces].index(max(changed.pieces)[0])
                    places.add(sent)
                    self.assertTrue(SILENCE_RANGE_S[0] <= added_s <= SILENCE_RANGE_S[1])
            self.assertTrue(low * 0.8 < count / ANSWERS < high * 1.2, count)
            self.assertIn(0, places)
            self.assertGreater(len(places), 1)
        self.assertIs(self.sound[0], change("i-1", Response(), run(), self.sound[0]))

    def test_only_earlier_refusals_of_a_connection_are_written_again(self):
        """A refusal must not precede the first answer of its connection."""
        change = stale_refusal(random.Random(1), {"i-0"})
        stale, refused = 0, 0
        for _ in range(ANSWERS):
            response, arrival = Response(), run()
            first = change("i-0", response, arrival, self.sound[0])
            if not arrival.rejected:
                self.assertIs(self.sound[0], first)
                continue
            refused += 1
            self.assertEqual(1, data_of(first).count(b"not-executed"))
            second = change("i-0", response, run("r2"), self.sound[0])
            stale += second is not self.sound[0] and data_of(second).startswith(
                data_of(self.sound[0])
            )
        self.assertGreater(refused, ANSWERS / 4)
        self.assertGreater(stale, refused / 4)

    def test_a_repeated_request_gets_its_refusal_before_its_answer(self):
        """The refusal with the same id must come where the answer is expected."""
        change = stale_refusal(random.Random(1), {"i-0"})
        seen = set()
        for _ in range(ANSWERS):
            response, arrival = Response(), run()
            change("i-0", response, arrival, self.sound[0])
            answer = change("i-0", response, run(), self.sound[0])
            if arrival.rejected and data_of(answer).endswith(data_of(self.sound[0])):
                stale = data_of(answer).removesuffix(data_of(self.sound[0]))
                seen.add(b"request-id: r1" in stale if stale else None)
        self.assertEqual({None, True, False}, seen)

    def test_a_cut_head_ends_before_its_last_byte(self):
        """The connection must end within the head, by a close or a reset."""
        change = cut_head(random.Random(1), {"i-0"})
        endings, lengths = set(), set()
        head = self.sound[0].pieces[0][1]
        for _ in range(ANSWERS):
            changed = change("i-0", Response(), run(), self.sound[0])
            if changed is not self.sound[0]:
                self.assertTrue(head.startswith(data_of(changed)))
                self.assertIsNone(changed.body)
                endings.add(changed.ending)
                lengths.add(len(data_of(changed)))
        self.assertEqual({"closed", "reset"}, endings)
        self.assertEqual(set(range(1, len(head))), lengths)

    def test_the_repeat_of_a_broken_stream_is_answered_wrongly(self):
        """All wrong answers to a repeat must occur, and only to repeats."""
        change = broken_stream(random.Random(1), {"i-0"})
        whole = self.sound[1]
        starts, marked = set(), set()
        for number in range(ANSWERS):
            broken = change("i-0", Response(), run(f"r{number}"), whole)
            if broken is whole:
                continue
            self.assertTrue(data_of(whole).startswith(data_of(broken)))
            self.assertIsNone(broken.ends_after)
            resumed = stream_answer(FIELDS, "token", 4)
            repeat = change("i-1", Response(), run(f"r{number}"), resumed)
            starts.add(data_of(repeat)[:12])
            marked.add((repeat.status, repeat.first_event, repeat.ends_after))
            if repeat.ends_after is None and repeat.body is None:
                self.assertNotIn(CHUNKED.encode() + b"\r\n", data_of(repeat))
        self.assertTrue({b"HTTP/1.1 500", b"HTTP/1.1 503"} < starts)
        self.assertTrue({(200, 4, 3), (200, 1, EVENTS), (200, 4, EVENTS)} < marked)
        plain = change("i-0", Response(), run(target="/safe/call"), self.sound[0])
        self.assertIs(self.sound[0], plain)
