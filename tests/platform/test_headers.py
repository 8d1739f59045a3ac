"""Test the decoding and encoding of headers."""

from dataclasses import replace

import testtools

from cicadapass_decisions.passthrough import PromptSegment, UpstreamRecord
from cicadapass_gateway.adapterapi import Attempt
from cicadapass_platform.headers import (
    decode_call,
    decode_response,
    encode_attempt,
    encode_refusal,
)

CALL = [
    (b"Host", b"FICU95.example"),
    (b"Request-Id", b"9c41"),
    (b"Model", b"m"),
    (b"Token-Usage", b"1460,80"),
    (b"Length-Hint", b"60"),
    (b"Prefix-Hash", b"5c1e:800,91bd:410,e440:250"),
    (b"Request-Deadline", b"15000"),
    (b"Authorization", b"Token 3d3z"),
]
FIRST = Attempt("i-1", "w", 1.5, 1, None)


def names(headers):
    """Return the lower-case names."""
    return [name.lower() for name, _ in headers]


class CallTest(testtools.TestCase):
    def test_a_call_is_decoded(self):
        """A size or limit of a request was decoded incorrectly."""
        call = decode_call(CALL)
        self.assertEqual(("9c41", "3d3z"), (call.request_id, call.api_key))
        self.assertEqual("ficu95.example", call.host)
        self.assertEqual(15.0, call.time_limit_s)
        self.assertEqual(1540, call.prompt.total_tokens)
        self.assertEqual(60, call.prompt.expected_tokens)
        self.assertEqual(
            (PromptSegment("5c1e", 800), PromptSegment("91bd", 410)),
            call.prompt.shared_segments,
        )

    def test_the_request_that_began_a_stream_is_decoded(self):
        """A stream that was taken up went on at any version."""
        call = decode_call([(b"Resumes", b"r1"), (b"Last-Event-Id", b"3")])
        self.assertEqual(("r1", "3"), (call.resumes, call.last_event_id))
        self.assertIn((b"Resumes", b"r1"), call.headers)

    def test_malformed_sizes_are_ignored(self):
        """A malformed optional header made the request fail."""
        malformed = [
            (b"Token-Usage", b"many"),
            (b"Prefix-Hash", b"a:1,:,b"),
            (b"x", b"y"),
        ]
        call = decode_call([*malformed, (b"Request-Deadline", b"soon")])
        self.assertEqual(0, call.prompt.prompt_tokens)
        self.assertEqual((PromptSegment("a", 1),), call.prompt.segments)
        self.assertIsNone(call.time_limit_s)

    def test_system_headers_of_callers_are_dropped(self):
        """A caller could choose its workspace, or reserve memory at an engine."""
        forged = (
            b"Tenant",
            b"Kv-Hold",
            b"Kv-From",
            b"Kv-Backup",
            b"Kv-Fetch",
            b"Pin-Ms",
            b"Request-Priority",
            b"Expect-Instance",
            b"Expect-Version",
        )
        call = decode_call([*CALL, *((name, b"forged") for name in forged)])
        sent = encode_attempt(call, FIRST, 0)
        self.assertNotIn(b"forged", [value for _, value in sent])

    def test_connection_headers_are_not_forwarded(self):
        """A caller's connection options were sent to an upstream."""
        extra = [(b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"), (b"TE", b"x")]
        sent = names(encode_attempt(decode_call([*CALL, *extra]), FIRST, 0))
        for name in (b"connection", b"x-hop", b"te"):
            self.assertNotIn(name, sent)


class AttemptTest(testtools.TestCase):
    def test_attempt_has_the_system_headers(self):
        """An upstream received the credential, or too long a time limit."""
        sent = dict(encode_attempt(decode_call(CALL), FIRST, 5))
        self.assertEqual(b"1500", sent[b"Request-Deadline"])
        self.assertEqual(b"i-1", sent[b"Expect-Instance"])
        self.assertEqual(b"w", sent[b"Tenant"])
        self.assertEqual(b"5", sent[b"Content-Length"])
        self.assertEqual(b"9c41", sent[b"Request-Id"])
        self.assertNotIn(b"Authorization", sent)

    def test_source_of_shared_segments_is_sent(self):
        """An engine did not receive the address to copy a cached segment from."""
        source = UpstreamRecord("i-2", "s", "h2", 81, "dc-a", 64, False, 1, 1)
        attempt = replace(FIRST, cache_source=source)
        sent = dict(encode_attempt(decode_call(CALL), attempt, 0))
        self.assertEqual(b"h2:81", sent[b"Kv-Fetch"])

    def test_resumed_stream_has_one_last_event_id(self):
        """The caller's own resume point was sent in addition to the later one."""
        call = decode_call([*CALL, (b"Last-Event-Id", b"3")])
        fresh = encode_attempt(call, FIRST, 0)
        self.assertIn((b"Last-Event-Id", b"3"), fresh)
        resumed = encode_attempt(call, Attempt("i-1", "w", 1.5, 1, "7", "h:1/2"), 0)
        self.assertEqual(1, names(resumed).count(b"last-event-id"))
        self.assertIn((b"Last-Event-Id", b"7"), resumed)
        self.assertIn((b"Kv-From", b"h:1/2"), resumed)


class AnswerTest(testtools.TestCase):
    def test_an_answer_is_decoded(self):
        """A rejection was treated as a run, or the seal was dropped."""
        seal = (b"Server-Seal", b"3e1b.07")
        facts = decode_response(503, [seal, (b"Not-Executed", b"1")])
        self.assertTrue(facts.not_executed)
        self.assertIn(seal, facts.headers)
        self.assertFalse(decode_response(503, []).not_executed)
        valid_and_invalid = (b"3,2,8,150", b"3,2,8"), (b"many", b"3")
        for value in valid_and_invalid[0]:
            self.assertEqual(5, decode_response(200, [(b"Engine-Load", value)]).load)
        for value in valid_and_invalid[1]:
            self.assertIsNone(decode_response(200, [(b"Engine-Load", value)]).load)
        self.assertTrue(decode_response(421, []).wrong_instance)
        stream = decode_response(200, [(b"Content-Type", b"text/event-stream")])
        self.assertTrue(stream.event_stream)

    def test_an_answer_that_names_several_requests_has_no_id(self):
        """The head of a refusal, joined with that of an answer, had the answer's id."""
        for count, expected in ((0, None), (1, "9c41"), (2, None)):
            headers = [(b"Request-Id", b"9c41")] * count
            self.assertEqual(expected, decode_response(503, headers).request_id)

    def test_a_limit_is_read_only_if_it_is_one_decimal_number(self):
        """A malformed limit raised an error, or stopped all requests to an upstream."""
        for text, rate in ((b"1.3", 1.3), (b" 0 ", 0.0), (b".5", 0.5), (b"20.", 20.0)):
            info = decode_response(200, [(b"Server-Limit", text)])
            self.assertEqual((rate, None), (info.limit_per_s, info.unreadable_limit))
        for text in (b"", b"nan", b"inf", b"-1", b"1e9", b"1,5", b"\xb2", b"9" * 400):
            info = decode_response(200, [(b"Server-Limit", text)])
            self.assertIsNone(info.limit_per_s)
            self.assertIsNotNone(info.unreadable_limit)
            self.assertLessEqual(len(info.unreadable_limit), 40)
        twice = [(b"Server-Limit", b"1"), (b"server-limit", b"2")]
        info = decode_response(200, twice)
        self.assertEqual((None, "1, 2"), (info.limit_per_s, info.unreadable_limit))
        info = decode_response(200, [])
        self.assertEqual((None, None), (info.limit_per_s, info.unreadable_limit))

    def test_the_version_of_the_weights_is_read(self):
        """New weights did not release the blocks of prompt segments."""
        for text, version in ((b"12", 12), (b"x", None), (b"9" * 30, None)):
            info = decode_response(200, [(b"Weight-Versions", text)])
            self.assertEqual(version, info.weights)

    def test_refusal_has_retry_after(self):
        """A refused caller did not receive a time to retry."""
        headers = dict(encode_refusal("9c41", 0.25))
        self.assertEqual(b"0.250", headers[b"Retry-After"])
        self.assertEqual(b"9c41", headers[b"Request-Id"])
        self.assertEqual([], encode_refusal(None, None))


class UpstreamSignsTest(testtools.TestCase):
    def test_a_leaving_upstream_says_so(self):
        """The mark was not read, or went on to the caller."""
        info = decode_response(200, [(b"Server-Leaving", b"1"), (b"X", b"y")])
        self.assertTrue(info.leaving)
        self.assertEqual([(b"X", b"y")], list(info.headers))
        for value in (b"0", b"", b"yes", b"11"):
            info = decode_response(200, [(b"Server-Leaving", value)])
            self.assertFalse(info.leaving, value)

    def test_a_refusal_may_ask_for_a_pause(self):
        """Seconds were not read, or the answer to another status was."""
        for values, expected in (
            ([b"2"], (2.0, None)),
            ([b"0"], (0.0, None)),
            ([b"1.5"], (1.5, None)),
            ([b"2", b"3"], (3.0, None)),
            ([b"nan"], (None, "nan")),
            ([b"inf", b"1"], (1.0, "inf")),
            ([b"-1"], (None, "-1")),
            ([b"9" * 400], (None, "9" * 40)),
            (
                [b"Sat, 05 Dec 2026 10:00:00 GMT"],
                (None, "Sat, 05 Dec 2026 10:00:00 GMT"),
            ),
            ([], (None, None)),
        ):
            info = decode_response(503, [(b"Retry-After", each) for each in values])
            self.assertEqual(expected, (info.pause_s, info.unreadable_pause), values)
        info = decode_response(429, [(b"Retry-After", b"2")])
        self.assertIsNone(info.pause_s)
