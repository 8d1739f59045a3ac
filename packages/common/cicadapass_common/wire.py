"""Frames between nodes: one CBOR map per frame."""

import io
from dataclasses import dataclass
from typing import Any

import cbor2
from expression import Error, Ok, Result

from cicadapass_common import copymessages, outcomemessages
from cicadapass_common.exceptions import FrameError
from cicadapass_common.messages import MESSAGE_KINDS, Message
from cicadapass_common.wirefields import (
    FieldCodec,
    FieldError,
    field_codecs,
    required_fields,
)

# Frames of another major version are refused. A higher minor version only adds
# optional fields, which older readers ignore.
MAJOR_VERSION = 1
MINOR_VERSION = 0
# Fits a copied request with a long document and its tokens. Decoding keeps a frame in
# memory twice.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# The deepest nesting is a member's address in an entry of a list in the body.
MAX_DEPTH = 12


class OversizedFrame(FrameError):
    """The frame is over the size limit."""


class MalformedFrame(FrameError):
    """The frame is not a CBOR map of the expected form."""


class WrongVersion(FrameError):
    """The frame has a major version that this node does not support."""


class UnknownKind(FrameError):
    """The frame has an unknown kind; `newer` marks a newer minor version."""

    def __init__(self, problem: str, remedy: str, *, newer: bool) -> None:
        super().__init__(problem, remedy)
        self.newer = newer


class InvalidField(FrameError):
    """A field of the message is missing, unknown or of the wrong type."""


@dataclass(frozen=True, slots=True)
class Frame:
    """Pair a message with its correlation number and hybrid clock stamp."""

    message: Message
    correlation: int | None = None
    stamp: tuple[int, int] = (0, 0)
    minor_version: int = MINOR_VERSION


@dataclass(frozen=True, slots=True)
class _BodyCodec:
    fields: dict[str, FieldCodec]
    required: frozenset[str]


_BODY_CODECS = {
    kind: _BodyCodec(field_codecs(message), required_fields(message))
    for kind, message in MESSAGE_KINDS.items()
}
# Importing these modules registers their message kinds.
assert copymessages.CopyRequest.KIND in _BODY_CODECS
assert outcomemessages.OutcomeRead.KIND in _BODY_CODECS
_VERSION_REMEDY = "run nodes of compatible versions"
_PEER_REMEDY = "check that the peer is a cicadapass node"


def encode(
    message: Message,
    correlation: int | None = None,
    stamp: tuple[int, int] = (0, 0),
) -> bytes:
    """Return the frame of a message; raise OversizedFrame over MAX_FRAME_BYTES."""
    body = {
        name: codec.pack(getattr(message, name))
        for name, codec in _BODY_CODECS[message.KIND].fields.items()
    }
    envelope: dict[str, Any] = {
        "v": MAJOR_VERSION,
        "k": message.KIND,
        "id": correlation,
        "b": body,
        "t": stamp,
    }
    if MINOR_VERSION:
        envelope["m"] = MINOR_VERSION
    data = cbor2.dumps(envelope)
    if len(data) > MAX_FRAME_BYTES:
        raise _oversized(len(data))
    return data


def decode(data: bytes) -> Result[Frame, FrameError]:
    """Return the frame, or an error that states what is wrong with the data."""
    try:
        return Ok(_decode(data))
    except FrameError as error:
        return Error(error)
    except FieldError as error:
        return Error(InvalidField(str(error), _VERSION_REMEDY))


def _decode(data: bytes) -> Frame:
    if len(data) > MAX_FRAME_BYTES:
        raise _oversized(len(data))
    envelope = _load_envelope(data)
    newer = _check_version(envelope)
    kind = envelope.get("k")
    if type(kind) is not str:
        raise MalformedFrame("the frame has no kind", _PEER_REMEDY)
    if kind not in _BODY_CODECS:
        raise UnknownKind(f"unknown kind {kind[:40]!r}", _VERSION_REMEDY, newer=newer)
    message = _decode_message(kind, envelope.get("b"), newer)
    return Frame(
        message,
        _decode_correlation(envelope),
        _decode_stamp(envelope),
        envelope.get("m", 0),
    )


def _load_envelope(data: bytes) -> dict[str, Any]:
    stream = io.BytesIO(data)
    try:
        envelope = cbor2.load(
            stream,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except cbor2.CBORError as error:
        raise MalformedFrame(
            f"invalid CBOR ({type(error).__name__})", _PEER_REMEDY
        ) from None
    if type(envelope) is not dict:
        raise MalformedFrame("the frame is not a map", _PEER_REMEDY)
    if stream.tell() != len(data):
        raise MalformedFrame("the frame is followed by extra bytes", _PEER_REMEDY)
    return envelope


def _check_version(envelope: dict[str, Any]) -> bool:
    """Return whether the writer is of a higher minor version."""
    major, minor = envelope.get("v"), envelope.get("m", 0)
    if type(major) is not int or type(minor) is not int:
        raise MalformedFrame("the frame has no version", _PEER_REMEDY)
    if major != MAJOR_VERSION:
        raise WrongVersion(f"version {str(major)[:20]}", _VERSION_REMEDY)
    if not (
        envelope.keys() <= {"v", "k", "id", "b", "t", "m"} or minor > MINOR_VERSION
    ):
        raise MalformedFrame("the frame has unknown keys", _PEER_REMEDY)
    return minor > MINOR_VERSION


def _decode_message(kind: str, body: Any, newer: bool) -> Message:
    if type(body) is not dict:
        raise MalformedFrame("the frame has no body", _PEER_REMEDY)
    codec = _BODY_CODECS[kind]
    missing = codec.required - body.keys()
    unknown = body.keys() - codec.fields.keys()
    if missing:
        raise FieldError(f"{kind} lacks {', '.join(sorted(missing))}")
    if unknown and not newer:
        raise FieldError(f"{kind} has {len(unknown)} unknown fields")
    values = {
        name: field.unpack(body[name], newer)
        for name, field in codec.fields.items()
        if name in body
    }
    return MESSAGE_KINDS[kind](**values)


def _decode_correlation(envelope: dict[str, Any]) -> int | None:
    value = envelope.get("id")
    if value is not None and (type(value) is not int or not 0 <= value < 2**63):
        raise MalformedFrame("the correlation number is invalid", _PEER_REMEDY)
    return value


def _decode_stamp(envelope: dict[str, Any]) -> tuple[int, int]:
    value = envelope.get("t")
    if type(value) is not list or len(value) != 2:
        raise MalformedFrame("the frame has no clock stamp", _PEER_REMEDY)
    if not all(type(n) is int and 0 <= n < 2**63 for n in value):
        raise MalformedFrame("the clock stamp is out of range", _PEER_REMEDY)
    return value[0], value[1]


def _oversized(size: int) -> OversizedFrame:
    remedy = "send smaller documents or raise the limit on all nodes"
    return OversizedFrame(f"frame of {size} bytes, limit {MAX_FRAME_BYTES}", remedy)
