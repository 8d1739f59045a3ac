"""Encode and decode log records: versioned CBOR maps with writer and kind."""

import json
import math
import zlib
from collections.abc import Callable, Mapping
from typing import Any

import cbor2
from expression import Error, Ok, Result

from cicadapass_common.exceptions import RecordError
from cicadapass_decisions.claims import (
    CLAIM_ID_BYTES,
    FINGERPRINT_BYTES,
    KEY_HASH_BYTES,
)
from cicadapass_decisions.logrecords import (
    Claim,
    ClaimBatch,
    LeaseRequest,
    LogRecord,
    Publish,
    PublishOutcome,
    PublishVerdict,
    RecordBody,
    Snapshot,
    Unreadable,
)

WRITER = "cicadapass"
# Readers skip records of a newer major version and ignore the fields that a newer
# minor version added.
MAJOR_VERSION = 1
MINOR_VERSION = 0
MAX_RECORD_BYTES = 1024 * 1024
# Limits the size to which a small record can decompress in a reader.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024


class MalformedRecord(RecordError):
    """The record does not have the expected form."""


class ForeignRecord(RecordError):
    """Another program wrote the record."""


class NewerRecord(RecordError):
    """A newer version of this system wrote the record."""


def encode_record(body: RecordBody) -> Result[bytes, RecordError]:
    """Return the bytes to append; an error if they exceed the limit."""
    kind, fields = _encode_body(body)
    envelope = {"w": WRITER, "v": [MAJOR_VERSION, MINOR_VERSION], "k": kind}
    data = cbor2.dumps(envelope | {"b": fields})
    if len(data) > MAX_RECORD_BYTES:
        problem = f"the {kind} record has {len(data)} bytes"
        return Error(RecordError(problem, f"keep it under {MAX_RECORD_BYTES} bytes"))
    return Ok(data)


def decode_record(data: bytes) -> Result[RecordBody, RecordError]:
    """Return the body of a record, or an error for any unusable bytes."""
    if len(data) > MAX_RECORD_BYTES:
        return Error(_malformed(f"{len(data)} bytes exceed {MAX_RECORD_BYTES}"))
    try:
        envelope = cbor2.loads(data)
        return _decode_envelope(envelope)
    except Exception as error:
        # The log may contain arbitrary bytes, and no record may stop its readers.
        return Error(_malformed(repr(error)))


def decode_log_record(
    offset: int, time_s: float, data: bytes
) -> LogRecord[RecordBody | Unreadable]:
    """Return the record; the body of an unusable one is Unreadable with the reason."""
    result = decode_record(data)
    body = result.ok if result.is_ok() else Unreadable(str(result.error))
    return LogRecord(offset, time_s, body)


def _malformed(problem: str) -> RecordError:
    return MalformedRecord(
        f"malformed record: {problem[:200]}",
        "check what else writes to the log",
    )


def _decode_envelope(envelope: object) -> Result[RecordBody, RecordError]:
    if not isinstance(envelope, dict) or "w" not in envelope:
        return Error(_malformed("no envelope"))
    if envelope["w"] != WRITER:
        problem = f"record written by {str(envelope['w'])[:80]!r}"
        return Error(ForeignRecord(problem, "use a separate stream for that program"))
    major, minor = _check_int(envelope["v"][0]), _check_int(envelope["v"][1])
    decode_body = _BODY_DECODERS.get(_check_str(envelope["k"]))
    is_newer_kind = decode_body is None and minor > MINOR_VERSION
    if major > MAJOR_VERSION or is_newer_kind:
        problem = f"record of version {major}.{minor}"
        return Error(NewerRecord(problem, "update this program"))
    if decode_body is None or major != MAJOR_VERSION:
        return Error(_malformed(f"kind {envelope['k']!r} of version {major}.{minor}"))
    return Ok(decode_body(envelope["b"]))


def _encode_body(body: RecordBody) -> tuple[str, Mapping[str, Any]]:
    match body:
        case Publish():
            return "publish", {
                "id": body.publish_id,
                "base": body.base_offset,
                "author": body.author,
                "document": _compress_document(body.document),
            }
        case Snapshot():
            return "snapshot", _encode_snapshot(body)
        case ClaimBatch():
            return "claims", {"claims": [_encode_claim(claim) for claim in body.claims]}
        case _:
            return "lease", _encode_lease(body)


def _encode_snapshot(body: Snapshot) -> Mapping[str, Any]:
    document = None if body.document is None else _compress_document(body.document)
    verdicts = [
        [
            publish_id,
            verdict.outcome.value,
            verdict.offset,
            verdict.version,
            verdict.author,
        ]
        for publish_id, verdict in body.verdicts.items()
    ]
    return {
        "version": body.version,
        "id": body.publish_id,
        "author": body.author,
        "document": document,
        "through": body.folded_through,
        "verdicts": verdicts,
    }


def _encode_lease(body: LeaseRequest) -> Mapping[str, Any]:
    return {
        "name": body.name,
        "holder": body.holder,
        "incarnation": body.incarnation,
        "duration_s": body.duration_s,
        "seen": body.read_through,
    }


def _encode_claim(claim: Claim) -> list[bytes | str]:
    return [
        claim.key_hash,
        claim.fingerprint,
        claim.claim_id,
        claim.request_id,
        claim.incarnation,
    ]


def _decode_publish(fields: Mapping[str, Any]) -> Publish:
    return Publish(
        _check_str(fields["id"]),
        _check_int(fields["base"]),
        _check_str(fields["author"]),
        _decompress_document(fields["document"]),
    )


def _decode_snapshot(fields: Mapping[str, Any]) -> Snapshot:
    text = fields["document"]
    verdicts = {
        _check_str(values[0]): _decode_verdict(values) for values in fields["verdicts"]
    }
    return Snapshot(
        _check_int(fields["version"]),
        _check_str(fields["id"]),
        _check_str(fields["author"]),
        None if text is None else _decompress_document(text),
        _check_int(fields["through"]),
        verdicts,
    )


def _decode_verdict(values: list[Any]) -> PublishVerdict:
    outcome = PublishOutcome(_check_str(values[1]))
    return PublishVerdict(
        outcome, _check_int(values[2]), _check_int(values[3]), _check_str(values[4])
    )


def _decode_claims(fields: Mapping[str, Any]) -> ClaimBatch:
    return ClaimBatch(tuple(_decode_claim(values) for values in fields["claims"]))


def _decode_claim(values: list[Any]) -> Claim:
    return Claim(
        _check_bytes(values[0], KEY_HASH_BYTES),
        _check_bytes(values[1], FINGERPRINT_BYTES),
        _check_bytes(values[2], CLAIM_ID_BYTES),
        _check_str(values[3]),
        _check_str(values[4]),
    )


def _decode_lease(fields: Mapping[str, Any]) -> LeaseRequest:
    duration_s = fields["duration_s"]
    if not isinstance(duration_s, float | int) or not math.isfinite(duration_s):
        raise TypeError(f"duration_s is {duration_s!r}")
    return LeaseRequest(
        _check_str(fields["name"]),
        _check_str(fields["holder"]),
        _check_str(fields["incarnation"]),
        float(duration_s),
        _check_int(fields["seen"]),
    )


_BODY_DECODERS: dict[str, Callable[[Mapping[str, Any]], RecordBody]] = {
    "publish": _decode_publish,
    "snapshot": _decode_snapshot,
    "claims": _decode_claims,
    "lease": _decode_lease,
}


def _compress_document(document: Mapping[str, Any]) -> bytes:
    # JSON text excludes types that only CBOR has. It is compressed because every node
    # reads every publish.
    text = json.dumps(document, ensure_ascii=False, allow_nan=False)
    return zlib.compress(text.encode())


def _decompress_document(value: object) -> Mapping[str, Any]:
    if not isinstance(value, bytes):
        raise TypeError("the document is not bytes")
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(value, MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise ValueError(f"the document is cut off or over {MAX_DOCUMENT_BYTES} bytes")
    document = json.loads(text, parse_constant=_reject_constant)
    if not isinstance(document, dict):
        raise TypeError("the document is not a JSON object")
    return document


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _check_str(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected str, got {type(value).__name__}")
    return value


def _check_int(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"expected int, got {type(value).__name__}")
    return value


def _check_bytes(value: object, size: int) -> bytes:
    if not isinstance(value, bytes) or len(value) != size:
        raise TypeError(f"expected {size} bytes")
    return value
