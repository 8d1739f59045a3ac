"""Fold the records of the log into the configuration in force."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from expression import Result

from cicadapass_decisions.logrecords import (
    NO_VERSION,
    LogRecord,
    Publish,
    PublishOutcome,
    PublishVerdict,
    Snapshot,
)

# At 3,800 publishes a day this covers retries within about three hours. A publish
# whose id has been dropped cannot be accepted again, because its base is no longer in
# force.
MAX_PUBLISH_IDS = 512
# A snapshot is appended within seconds of the last record that it covers, so a reader
# without state needs only the latest records before it. A document of 1,400 upstreams
# takes several megabytes of memory.
MAX_BUFFERED_RECORDS = 8
# Leaves time to append two more snapshots before the first one expires.
REAPPEND_RETENTION_FRACTION = 1 / 3

Validate = Callable[[Mapping[str, Any]], Result[Any, Any]]


@dataclass(frozen=True, slots=True)
class FoldState:
    """Represent the configuration in force and the position in the log.

    While `complete` is false, records before `buffer_start` are missing, and later
    publishes cannot be evaluated until a snapshot covers the gap.
    """

    complete: bool = False
    version: int = NO_VERSION
    publish_id: str = ""
    author: str = ""
    document: Mapping[str, Any] | None = None
    verdicts: Mapping[str, PublishVerdict] = field(default_factory=dict)
    next_offset: int = 0
    snapshot_time_s: float | None = None
    snapshot_offset: int = -1
    buffer_start: int = 0
    buffer: tuple[LogRecord[Publish], ...] = ()


@dataclass(frozen=True, slots=True)
class EvaluatedPublish:
    """Report the verdict on a publish; a duplicate gets the verdict on the first."""

    publish_id: str
    verdict: PublishVerdict
    duplicate: bool


@dataclass(frozen=True, slots=True)
class Adopted:
    """Report that a snapshot became the state, and the buffered publishes after it."""

    evaluated: tuple[EvaluatedPublish, ...]


@dataclass(frozen=True, slots=True)
class Buffered:
    """Report that a publish is buffered until a snapshot is read."""


@dataclass(frozen=True, slots=True)
class Skipped:
    """Report that a record does not change the configuration."""

    reason: str


RecordVerdict = EvaluatedPublish | Adopted | Buffered | Skipped


def fold(
    state: FoldState, record: LogRecord[object], validate: Validate
) -> tuple[FoldState, RecordVerdict]:
    """Return the state after the record and the result for the record."""
    if record.offset < state.next_offset:
        return _record_snapshot(state, record), Skipped("already folded")
    state = _record_snapshot(skip_to(state, record.offset), record)
    state = replace(state, next_offset=record.offset + 1)
    match record.body:
        case Publish() as publish if state.complete:
            return _evaluate(state, record.offset, publish, validate)
        case Publish():
            return _buffer(state, record), Buffered()
        case Snapshot() as snapshot:
            return adopt(state, snapshot, validate)
        case _:
            return state, Skipped("no configuration record")


def skip_to(state: FoldState, first_offset: int) -> FoldState:
    """Return the state of a reader that cannot read records before the offset."""
    if first_offset > state.next_offset:
        return replace(
            state,
            complete=False,
            next_offset=first_offset,
            buffer_start=first_offset,
            buffer=(),
        )
    if first_offset == 0 and state.next_offset == 0:
        # The log is read from its origin, so nothing is missing.
        return replace(state, complete=True)
    return state


def adopt(
    state: FoldState, snapshot: Snapshot, validate: Validate
) -> tuple[FoldState, RecordVerdict]:
    """Return the state of the snapshot, unless it is older or leaves a gap."""
    if snapshot.version < state.version:
        return state, Skipped("snapshot is older than the configuration in force")
    if state.complete and snapshot.folded_through < state.next_offset:
        return state, Skipped("snapshot covers only records that were already folded")
    if snapshot.folded_through + 1 < state.buffer_start:
        return state, Skipped("records between the snapshot and this reader expired")
    restored = FoldState(
        complete=True,
        version=snapshot.version,
        publish_id=snapshot.publish_id,
        author=snapshot.author,
        document=snapshot.document,
        verdicts=snapshot.verdicts,
        next_offset=max(snapshot.folded_through + 1, state.next_offset),
        snapshot_time_s=state.snapshot_time_s,
        snapshot_offset=state.snapshot_offset,
    )
    evaluated = []
    for record in state.buffer:
        if record.offset > snapshot.folded_through:
            restored, verdict = _evaluate(
                restored, record.offset, record.body, validate
            )
            evaluated.append(verdict)
    return restored, Adopted(tuple(evaluated))


def to_snapshot(state: FoldState) -> Snapshot:
    """Return the snapshot of a state, which must be complete."""
    return Snapshot(
        version=state.version,
        publish_id=state.publish_id,
        author=state.author,
        document=state.document,
        folded_through=state.next_offset - 1,
        verdicts=state.verdicts,
    )


def needs_reappend(state: FoldState, now_s: float, retention_s: float) -> bool:
    """Return whether the newest snapshot is older than a third of the retention.

    Publishes do not count, because a reader without state cannot evaluate them.
    """
    if not state.complete or state.next_offset == 0:
        return False
    if state.snapshot_time_s is None:
        # The state comes from a peer, and no record has been read yet.
        return True
    age_s = now_s - state.snapshot_time_s
    return age_s >= retention_s * REAPPEND_RETENTION_FRACTION


def has_lost_snapshot(state: FoldState, first_offset: int) -> bool:
    """Return whether a reader without state can no longer start from the log."""
    # A log that still contains its first record needs no snapshot.
    return state.complete and first_offset > max(state.snapshot_offset, 0)


def _record_snapshot(state: FoldState, record: LogRecord[object]) -> FoldState:
    newest_s = state.snapshot_time_s
    if isinstance(record.body, Snapshot):
        newest_s = max(record.time_s, newest_s or record.time_s)
        offset = max(record.offset, state.snapshot_offset)
        return replace(state, snapshot_time_s=newest_s, snapshot_offset=offset)
    # Before the first snapshot, the age counts from the first record that was read.
    return (
        state if newest_s is not None else replace(state, snapshot_time_s=record.time_s)
    )


def _evaluate(
    state: FoldState, offset: int, publish: Publish, validate: Validate
) -> tuple[FoldState, EvaluatedPublish]:
    earlier = first_verdict(state, publish.publish_id)
    if earlier is not None:
        return state, EvaluatedPublish(publish.publish_id, earlier, duplicate=True)
    outcome = _outcome(state, publish, validate)
    if outcome is PublishOutcome.ACCEPTED:
        state = replace(
            state,
            version=offset,
            publish_id=publish.publish_id,
            author=publish.author,
            document=publish.document,
        )
    verdict = PublishVerdict(outcome, offset, state.version, state.author)
    verdicts = _with_verdict(state.verdicts, publish.publish_id, verdict)
    evaluated = EvaluatedPublish(publish.publish_id, verdict, duplicate=False)
    return replace(state, verdicts=verdicts), evaluated


def first_verdict(state: FoldState, publish_id: str) -> PublishVerdict | None:
    """Return the verdict on an earlier publish of this id, or None if unknown."""
    if publish_id in state.verdicts:
        return state.verdicts[publish_id]
    if state.version == NO_VERSION or publish_id != state.publish_id:
        return None
    return PublishVerdict(
        PublishOutcome.ACCEPTED, state.version, state.version, state.author
    )


def _outcome(state: FoldState, publish: Publish, validate: Validate) -> PublishOutcome:
    if publish.base_offset != state.version:
        return PublishOutcome.CONFLICT
    try:
        valid = validate(publish.document).is_ok()
    except Exception:
        # A document that crashes the validation must not stop every reader.
        valid = False
    return PublishOutcome.ACCEPTED if valid else PublishOutcome.REJECTED


def _with_verdict(
    verdicts: Mapping[str, PublishVerdict], publish_id: str, verdict: PublishVerdict
) -> Mapping[str, PublishVerdict]:
    updated = dict(verdicts)
    updated[publish_id] = verdict
    if len(updated) > MAX_PUBLISH_IDS:
        del updated[next(iter(updated))]
    return updated


def _buffer(state: FoldState, record: LogRecord[Any]) -> FoldState:
    buffer = (*state.buffer, record)
    if len(buffer) <= MAX_BUFFERED_RECORDS:
        return replace(state, buffer=buffer)
    return replace(state, buffer=buffer[1:], buffer_start=buffer[0].offset + 1)
