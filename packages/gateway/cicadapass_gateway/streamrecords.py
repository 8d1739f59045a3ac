"""Encode and decode the records by which nodes know the versions of streams."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

import cbor2

from cicadapass_decisions.streamlimits import whole_ms
from cicadapass_decisions.streamversions import Stream
from cicadapass_decisions.topicreplica import Document
from cicadapass_gateway.cbor import decode_cbor, finite_number
from cicadapass_gateway.exceptions import DECODE_ERRORS

# Longer ids are not recorded; callers choose them.
MAX_ID_CHARACTERS = 64
# Streams in one record or datagram; an id of the usual length takes 18 bytes.
MAX_STREAMS_PER_RECORD = 1500

# The record of a service's time limit has this in front of the service in its key.
# Builds that do not know it find no versions in it.
LIMIT_KEY_PREFIX = "limit:"

# A service, a version and the ids of the requests that began streams there.
Row = list[Any]


def is_recordable(stream: Stream) -> bool:
    """Return whether a stream has an id that a record may contain."""
    return 0 < len(stream.request_id) <= MAX_ID_CHARACTERS


def group_rows(streams: Iterable[tuple[Stream, str]]) -> list[Row]:
    """Return rows of streams, grouped by service and version."""
    ids: dict[tuple[str, str], list[str]] = {}
    for stream, version in streams:
        ids.setdefault((stream.service, version), []).append(stream.request_id)
    return [[service, version, names] for (service, version), names in ids.items()]


def read_rows(rows: Any) -> list[tuple[Stream, str]]:
    """Return the streams of rows; raise one of DECODE_ERRORS if they are malformed."""
    streams = []
    for service, version, names in rows:
        for name in names:
            stream = Stream(_text(service), _text(name))
            if is_recordable(stream):
                streams.append((stream, _text(version)))
    return streams


def encode_streams(streams: Sequence[tuple[Stream, str]]) -> bytes:
    """Return the record of streams."""
    return cbor2.dumps(group_rows(streams))


def decode_streams(data: bytes) -> list[tuple[Stream, str]] | None:
    """Return the streams of a record, or None if it cannot be read."""
    try:
        return read_rows(decode_cbor(data))
    except DECODE_ERRORS:
        return None


@dataclass(frozen=True, slots=True)
class VersionsRecord:
    """Store the versions of a service that are in use, and the era of the record.

    The registry may return the record from a copy, in a later era.
    """

    versions: frozenset[str]
    era: int = 0


def encode_versions(record: VersionsRecord) -> bytes:
    """Return the record of the versions of a service that are in use."""
    return cbor2.dumps([*sorted(record.versions), record.era])


def decode_versions(data: bytes) -> VersionsRecord | None:
    """Return a record of versions, or None if it cannot be read.

    Records of earlier builds name no era.
    """
    try:
        *versions, last = decode_cbor(data)
        if isinstance(last, int):
            return VersionsRecord(frozenset(_text(each) for each in versions), last)
        return VersionsRecord(frozenset(_text(each) for each in (*versions, last)))
    except DECODE_ERRORS:
        return None


@dataclass(frozen=True, slots=True)
class LimitRecord:
    """Store how long the streams of a service may last, and the era of the record."""

    limit_s: float
    era: int = 0


def encode_limit(record: LimitRecord) -> bytes:
    """Return the record of the time limit of a service's streams."""
    return cbor2.dumps([whole_ms(record.limit_s), record.era])


def decode_limit(data: bytes) -> LimitRecord | None:
    """Return the record of a time limit, or None if it cannot be read."""
    try:
        limit_ms, era = decode_cbor(data)
        return LimitRecord(max(0.0, finite_number(limit_ms) / 1000), int(era))
    except DECODE_ERRORS:
        return None


def decode_records(
    documents: Sequence[Document],
) -> tuple[dict[str, VersionsRecord], dict[str, LimitRecord]]:
    """Return the records of versions and of time limits that can be read."""
    versions: dict[str, VersionsRecord] = {}
    limits: dict[str, LimitRecord] = {}
    for each in documents:
        if each.key.startswith(LIMIT_KEY_PREFIX):
            limit = decode_limit(each.value)
            if limit is not None:
                limits[each.key.removeprefix(LIMIT_KEY_PREFIX)] = limit
        elif (record := decode_versions(each.value)) is not None:
            versions[each.key] = record
    return versions, limits


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("not a text")
    return value
