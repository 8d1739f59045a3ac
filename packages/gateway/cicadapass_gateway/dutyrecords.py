"""Encode and decode the record of the duties that the platform's log stores."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import unquote

import cbor2

from cicadapass_decisions.dutylease import DutyRecord, EngineClass
from cicadapass_decisions.rollouts import Rollout
from cicadapass_gateway.cbor import decode_cbor
from cicadapass_gateway.exceptions import DECODE_ERRORS, PlatformUnavailable
from cicadapass_gateway.rolloutmessages import decode_rollout, encode_rollout

# Separates the parts of the key of an order; it is escaped within them.
SEPARATOR = "|"
_ESCAPES = str.maketrans({"%": "%25", SEPARATOR: "%7C"})
_RECLAIMABLE_BY_KIND = {"reclaimable": True, "on-demand": False}
_KIND_BY_RECLAIMABLE = {value: key for key, value in _RECLAIMABLE_BY_KIND.items()}
MAX_LOGGED_CHARACTERS = 200

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class DecodedRecord:
    """Store a record and descriptions of the items that could not be read."""

    record: DutyRecord
    skipped: tuple[str, ...]


def encode_record(record: DutyRecord) -> bytes:
    """Return the record in the form in which the log stores it."""
    return cbor2.dumps(
        [
            record.holder,
            record.fence,
            record.renewal,
            {window: dict(counts) for window, counts in record.reports.items()},
            {_order_key(engines): count for engines, count in record.orders.items()},
            {
                name: [list(step) for step in use]
                for name, use in record.recent_usage.items()
            },
            record.usage_recorded_s,
            record.segment_blocks,
            *_rollout_rows(record),
        ]
    )


def decode_record(data: bytes) -> DecodedRecord:
    """Return a record without its unreadable orders and items of usage.

    Raise PlatformUnavailable if the holder, its fence or a report is unreadable: a
    holder without these could contradict what was sent before.
    """
    try:
        return _decode_fields(decode_cbor(data))
    except DECODE_ERRORS as error:
        raise PlatformUnavailable(f"unreadable duty record: {error!r}") from error


def _decode_fields(fields: Any) -> DecodedRecord:
    holder, fence, renewal, reports, orders, usage, recorded_s = fields[:7]
    skipped: list[str] = []
    record = DutyRecord(
        holder=_text(holder),
        fence=_integer(fence),
        renewal=_integer(renewal),
        reports={
            _integer(window): {_text(n): _integer(c) for n, c in counts.items()}
            for window, counts in reports.items()
        },
        orders=_readable_items(orders, _order, skipped),
        recent_usage=_readable_items(usage, _usage, skipped),
        usage_recorded_s=float(recorded_s),
        # Records of earlier builds have no blocks.
        segment_blocks=bytes(fields[7]) if len(fields) > 7 else b"",
        # Nor do those of platforms without rollouts have any.
        rollouts=_rollouts(fields[8] if len(fields) > 8 else [], skipped),
    )
    return DecodedRecord(record, tuple(skipped))


def _rollout_rows(record: DutyRecord) -> list[Any]:
    """Return the field of the rollouts, which only a record with some of them has."""
    if not record.rollouts:
        return []
    return [[encode_rollout(each) for each in record.rollouts.values()]]


def _rollouts(rows: Any, skipped: list[str]) -> dict[str, Rollout]:
    """Return the readable rollouts by service."""
    if not isinstance(rows, list):
        skipped.append(f"rollouts: {rows!r}"[:MAX_LOGGED_CHARACTERS])
        return {}
    return _readable_items(dict(enumerate(rows)), _rollout, skipped)


def _rollout(_position: Any, row: Any) -> tuple[str, Rollout]:
    rollout = decode_rollout(row)
    return rollout.service, rollout


def _readable_items(
    items: Mapping[Any, Any],
    decode: Callable[[Any, Any], tuple[Any, Item]],
    skipped: list[str],
) -> dict[Any, Item]:
    """Return the decoded items; describe the unreadable ones in `skipped`."""
    decoded = {}
    for key, value in items.items():
        try:
            decoded_key, item = decode(key, value)
        except DECODE_ERRORS as error:
            skipped.append(f"{key!r}: {error!r}"[:MAX_LOGGED_CHARACTERS])
            continue
        decoded[decoded_key] = item
    return decoded


def _order(key: Any, count: Any) -> tuple[EngineClass, int]:
    service, data_centre, kind = _text(key).split(SEPARATOR)
    engines = EngineClass(
        unquote(service), unquote(data_centre), _RECLAIMABLE_BY_KIND[kind]
    )
    return engines, _integer(count)


def _order_key(engines: EngineClass) -> str:
    parts = (
        engines.service.translate(_ESCAPES),
        engines.data_centre.translate(_ESCAPES),
        _KIND_BY_RECLAIMABLE[engines.reclaimable],
    )
    return SEPARATOR.join(parts)


def _usage(name: Any, steps: Any) -> tuple[str, tuple[tuple[float, float], ...]]:
    return _text(name), tuple((float(age_s), float(used)) for age_s, used in steps)


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("not a text")
    return value


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("not an integer")
    return value
