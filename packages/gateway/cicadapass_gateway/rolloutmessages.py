"""Encode and decode what nodes report of rollouts, and store in the duty record."""

from typing import Any

from cicadapass_decisions.rolloutevidence import Counts, Evidence, Finding, Side
from cicadapass_decisions.rollouts import Rollout, RolloutState
from cicadapass_gateway.cbor import finite_number

# A node has some routes and trial engines; more sides are malformed.
MAX_SIDES = 1000
# A node serves some 100 requests a second, in rollouts of at most a day; more answers
# are malformed, and too large for the verdict's arithmetic.
MAX_ANSWERS = 10**7


def encode_rollout(rollout: Rollout) -> list[Any]:
    """Return a rollout as a row of plain values."""
    return [
        rollout.service,
        rollout.to,
        rollout.duration_s,
        rollout.offset,
        rollout.origin,
        rollout.seen_s,
        rollout.state.value,
        rollout.withdrawn,
        sorted(rollout.trusted),
        sorted(rollout.barred),
        rollout.order_seen_s,
        rollout.decided_before,
    ]


def decode_rollout(row: Any) -> Rollout:
    """Return the rollout of a row; raise ValueError or TypeError."""
    service, to, duration_s, offset, origin, seen_s, state, withdrawn = row[:8]
    return Rollout(
        service=_text(service),
        to=_text(to),
        duration_s=finite_number(duration_s),
        offset=_count(offset),
        origin=_count(origin),
        seen_s=finite_number(seen_s),
        # Rows of earlier builds end before these.
        order_seen_s=finite_number(row[10] if len(row) > 10 else seen_s),
        state=RolloutState(state),
        withdrawn=bool(withdrawn),
        trusted=frozenset(_text(each) for each in row[8]),
        barred=frozenset(_text(each) for each in row[9]),
        decided_before=_offset(row[11] if len(row) > 11 else -1),
    )


def encode_counts(service: str, origin: int, evidence: Evidence) -> list[Any]:
    """Return the counts of a node for a rollout as a row of plain values."""
    sides = [
        [side.route, side.engine, c.sent, c.ended, c.failed, c.timed, c.late]
        for side, c in evidence.items()
    ]
    return [service, origin, sides]


def decode_counts(row: Any) -> tuple[str, int, dict[Side, Counts]]:
    """Return the service, the origin and the counts; raise ValueError or TypeError."""
    service, origin, sides = row
    if len(sides) > MAX_SIDES:
        raise ValueError("too many counts")
    evidence = {
        Side(_text(route), _text(engine)): _counts(numbers)
        for route, engine, *numbers in sides
    }
    return _text(service), _count(origin), evidence


def _counts(numbers: Any) -> Counts:
    """Return the counts of a side; the verdict needs parts that do not exceed sums."""
    counts = Counts(*map(_count, numbers))
    if max(counts.sent, counts.ended, counts.timed) > MAX_ANSWERS:
        raise ValueError("too many answers")
    if counts.failed > counts.ended or counts.late > counts.timed:
        raise ValueError("more bad answers than answers")
    return counts


def encode_finding(finding: Finding) -> dict[str, Any]:
    """Return the field of an event that says why a version is bad."""
    return {
        "rule": finding.rule.value,
        "route": finding.route,
        "new_bad": finding.new_bad,
        "new_total": finding.new_total,
        "old_bad": finding.old_bad,
        "old_total": finding.old_total,
        "left_out": finding.left_out,
    }


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("not a text")
    return value


def _count(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("not an integer")
    if value < 0:
        raise ValueError("a negative count")
    return value


def _offset(value: Any) -> int:
    """Return an offset, or -1 for none."""
    return -1 if value == -1 else _count(value)
