"""Answers of engines as pieces of bytes, which faults of engines may change."""

import asyncio
from dataclasses import dataclass

# Duration of a plain call and interval between the events of a stream; long enough
# that some requests are in progress at each fault.
CALL_S = 0.15
EVENT_S = 0.03
EVENTS = 8
STREAM_FIELDS = "content-type: text/event-stream\r\n"
# Rate at which an answer without end is sent, and the pause between its blocks.
ENDLESS_BYTES_PER_S = 3_000_000
ENDLESS_PAUSE_S = 0.01
CHUNKED = "transfer-encoding: chunked\r\n"


@dataclass(frozen=True, slots=True)
class Answer:
    """Represent an answer; the first piece is its head."""

    # Pairs of the pause before a piece, in seconds, and its bytes.
    pieces: tuple
    # How the connection goes on: "kept", "closed" or "reset".
    ending: str = "kept"
    status: int = 200
    # The body of an answer that is not a stream, if it is sent whole.
    body: bytes | None = None
    # The number of the first event, and of the event after which a stream is marked
    # as complete.
    first_event: int = 1
    ends_after: int | None = None
    # Follows the pieces without end, until the connection is closed.
    endless: bytes = b""


def head(status, fields):
    """Return the head of a response with these header lines."""
    return f"HTTP/1.1 {status} X\r\n{fields}\r\n".encode()


def plain_answer(status, fields, body, pause_s=CALL_S):
    """Return an answer with a length."""
    length = f"content-length: {len(body)}\r\n"
    pieces = ((pause_s, head(status, fields + length)), (0.0, body))
    return Answer(pieces, status=status, body=body)


def stream_answer(fields, token, first, last=EVENTS):
    """Return an event stream; each event contains the token of its run."""
    pieces = [(0.0, head(200, fields + STREAM_FIELDS + CHUNKED))]
    pause_s = 0.0
    for number in range(first, last + 1):
        event = f"id: {number}\ndata: {token}\n\n".encode()
        pieces.append((pause_s, f"{len(event):x}\r\n".encode() + event + b"\r\n"))
        pause_s = EVENT_S
    pieces.append((pause_s, b"0\r\n\r\n"))
    return Answer(tuple(pieces), first_event=first, ends_after=last)


async def send(response, answer):
    """Send the pieces, unless the connection ends before."""
    unsent = b""
    for pause_s, data in answer.pieces:
        if pause_s:
            response.send(unsent)
            unsent = b""
            await asyncio.sleep(pause_s)
        if response.closed:
            return
        unsent += data
    response.send(unsent)
    if answer.endless:
        await _send_without_end(response, answer.endless)
    if answer.ending == "closed":
        response.close()
    elif answer.ending == "reset":
        response.reset()


async def _send_without_end(response, data):
    block = data * (1 + int(ENDLESS_BYTES_PER_S * ENDLESS_PAUSE_S / len(data)))
    while not response.closed:
        response.send(block)
        await response.drain()
        await asyncio.sleep(ENDLESS_PAUSE_S)
