"""Faults of engines in their answers.

A fault is a function that returns the changed answer of an engine to a request, and
notes in its run what the checks must know. The answers in which it acts are drawn.
"""

from dataclasses import replace
from weakref import WeakKeyDictionary

from tests.soak.answers import (
    CHUNKED,
    STREAM_FIELDS,
    Answer,
    head,
    plain_answer,
    stream_answer,
)

# Fractions of the answers in which an engine falls silent, and for how long.
SILENT_FRACTION_RANGE = (0.2, 0.33)
SILENCE_RANGE_S = (0.8, 1.3)
MOST_LIKELY_SILENCE_S = 1.2
REFUSED_FRACTION = 0.4
STALE_FRACTION = 0.5
# Time after an answer until an earlier refusal follows it.
STALE_DELAY_S = 0.02
BROKEN_FRACTION = 0.4
CUT_HEAD_FRACTION = 0.25
FAILED_FRACTION = 0.5
ENDLESS_FRACTION = 0.5
MAX_ENDLESS_CHUNK_BYTES = 64
EVENTS_PER_CHUNK = 50
ENDINGS = ("closed", "reset")
# Answers to the repeat of a broken stream; "sound" continues it.
REPEATS = (
    "status_500",
    "status_503",
    "error_stream",
    "plain",
    "empty",
    "unmarked_end",
    "from_the_start",
    "cut_head",
    "sound",
)


def silent(rng, names):
    """Fall silent for about a second before or within an answer, and go on."""
    fraction = rng.uniform(*SILENT_FRACTION_RANGE)

    def change(engine, response, run, answer):
        if engine not in names or rng.random() >= fraction:
            return answer
        run.silent_s = rng.triangular(*SILENCE_RANGE_S, MOST_LIKELY_SILENCE_S)
        return _pause(rng, answer, run.silent_s)

    return change


def stale_refusal(rng, names):
    """Refuse some requests, and write a refusal once more on its connection."""
    refusals = WeakKeyDictionary()

    def change(engine, response, run, answer):
        if engine not in names:
            return answer
        earlier = refusals.setdefault(response.connection, {})
        request_id = run.headers["request-id"]
        if earlier and rng.random() < STALE_FRACTION:
            same_request = request_id in earlier
            refusal = earlier[request_id if same_request else rng.choice([*earlier])]
            if rng.random() < 0.5:
                refusal = _refusal()
            if same_request:
                return replace(answer, pieces=((0.0, refusal), *answer.pieces))
            pause_s = rng.choice((0.0, STALE_DELAY_S))
            return replace(answer, pieces=(*answer.pieces, (pause_s, refusal)))
        if rng.random() < REFUSED_FRACTION:
            run.rejected = True
            earlier[request_id] = _refusal(f"request-id: {request_id}\r\n")
            return Answer(((0.0, earlier[request_id]),))
        return answer

    return change


def broken_stream(rng, names):
    """Break some streams; all engines answer most of their repeats wrongly."""
    broken_ids = set()

    def change(engine, response, run, answer):
        if "stream" not in run.target:
            return answer
        request_id = run.headers["request-id"]
        if request_id in broken_ids:
            return _answer_repeat(rng, engine, run, answer)
        if engine not in names or rng.random() >= BROKEN_FRACTION:
            return answer
        broken_ids.add(request_id)
        whole_pieces = rng.randrange(1, len(answer.pieces))
        pieces = answer.pieces[:whole_pieces]
        if rng.random() < 0.5:
            pause_s, data = answer.pieces[whole_pieces]
            pieces += ((pause_s, data[: len(data) // 2]),)
        return replace(
            answer, pieces=pieces, ending=rng.choice(ENDINGS), ends_after=None
        )

    return change


def cut_head(rng, names):
    """End some connections within the head of an answer."""

    def change(engine, response, run, answer):
        if engine not in names or rng.random() >= CUT_HEAD_FRACTION:
            return answer
        return _cut_head(rng, answer)

    return change


def endless(rng, names):
    """Send some answers without end: in a head, a body or a stream, in any parts."""
    shape = rng.choice(list(ENDLESS_SHAPES))
    chunk_bytes = rng.randint(1, MAX_ENDLESS_CHUNK_BYTES)

    def change(engine, response, run, answer):
        if engine not in names or rng.random() >= ENDLESS_FRACTION:
            return answer
        fields = f"request-id: {run.headers['request-id']}\r\nserver-seal: {engine}\r\n"
        run.endless = True
        start, data = ENDLESS_SHAPES[shape](fields, chunk_bytes)
        return Answer(((0.0, start),), ending="closed", endless=data)

    return change


def failing(rng):
    """Answer a part of the requests with 500, as a bad version does."""

    def change(_engine, _response, run, answer):
        if rng.random() >= FAILED_FRACTION:
            return answer
        fields = f"request-id: {run.headers['request-id']}\r\n"
        return plain_answer(500, fields, b"failed")

    return change


ENGINE_FAULTS = {
    "silent": silent,
    "stale_refusal": stale_refusal,
    "broken_stream": broken_stream,
    "cut_head": cut_head,
    "endless": endless,
}


def _chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


# Each returns how an answer begins and what follows without end.
ENDLESS_SHAPES = {
    "head_line": lambda fields, size: (b"", b"x" * size),
    "head_lines": lambda fields, size: (
        b"HTTP/1.1 200 X\r\n",
        b"a: " + b"x" * size + b"\r\n",
    ),
    "informational": lambda fields, size: (b"", b"HTTP/1.1 100 X\r\n\r\n"),
    "body": lambda fields, size: (
        head(200, f"{fields}content-length: {10**12}\r\n"),
        b"x" * size,
    ),
    "chunked_body": lambda fields, size: (
        head(200, fields + CHUNKED),
        _chunk(b"x" * size),
    ),
    "refusal": lambda fields, size: (
        head(503, f"{fields}not-executed: full\r\n{CHUNKED}"),
        _chunk(b"x" * size),
    ),
    "chunk_extension": lambda fields, size: (
        head(200, fields + CHUNKED) + b"1;x=",
        b"x" * size,
    ),
    "trailers": lambda fields, size: (
        head(200, fields + CHUNKED) + b"0\r\n",
        b"a: " + b"x" * size + b"\r\n",
    ),
    "event": lambda fields, size: (
        head(200, fields + STREAM_FIELDS + CHUNKED) + _chunk(b"data: "),
        _chunk(b"x" * size),
    ),
    "comments": lambda fields, size: (
        head(200, fields + STREAM_FIELDS + CHUNKED),
        _chunk(b":" + b"x" * size + b"\n\n"),
    ),
    # A stream that its connection ends would look whole if another fault cut it.
    "small_events": lambda fields, size: (
        head(200, fields + STREAM_FIELDS + CHUNKED),
        _chunk(EVENTS_PER_CHUNK * (b"data: " + b"x" * size + b"\n\n")),
    ),
}


def _pause(rng, answer, pause_s):
    """Pause before the head, between pieces or within a piece of the body."""
    place = rng.choice(("before", "between", "within"))
    number = 0 if place == "before" else rng.randrange(1, len(answer.pieces))
    before, (own_pause_s, data) = answer.pieces[:number], answer.pieces[number]
    cut = rng.randrange(1, len(data)) if place == "within" else 0
    if cut:
        changed = ((own_pause_s, data[:cut]), (pause_s, data[cut:]))
    else:
        changed = ((own_pause_s + pause_s, data),)
    return replace(answer, pieces=(*before, *changed, *answer.pieces[number + 1 :]))


def _cut_head(rng, answer):
    pause_s, data = answer.pieces[0]
    return Answer(
        ((pause_s, data[: rng.randrange(1, len(data))]),), ending=rng.choice(ENDINGS)
    )


def _refusal(fields=""):
    return head(503, f"{fields}not-executed: full\r\ncontent-length: 0\r\n")


def _answer_repeat(rng, engine, run, answer):
    repeat = rng.choice(REPEATS)
    fields = f"request-id: {run.headers['request-id']}\r\nserver-seal: {engine}\r\n"
    if repeat == "sound":
        return answer
    if repeat == "cut_head":
        return _cut_head(rng, answer)
    if repeat.startswith("status_"):
        return plain_answer(int(repeat[-3:]), fields, b"the engine failed", 0.0)
    if repeat == "error_stream":
        return plain_answer(500, fields + STREAM_FIELDS, b"data: failed\n\n", 0.0)
    if repeat == "plain":
        return plain_answer(200, fields, f"whole {run.token}".encode(), 0.0)
    if repeat == "empty":
        return stream_answer(
            fields, run.token, answer.first_event, answer.first_event - 1
        )
    if repeat == "unmarked_end":
        return Answer(
            ((0.0, head(200, fields + STREAM_FIELDS)),),
            ending=rng.choice(ENDINGS),
            first_event=answer.first_event,
        )
    return stream_answer(fields, run.token, 1)
