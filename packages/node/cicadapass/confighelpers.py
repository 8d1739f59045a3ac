"""Helpers of the configuration feed that do not access its state."""

import random
from collections.abc import Callable, Mapping
from typing import Any

from expression import Error, Ok, Result

from cicadapass_common.events import EventLog
from cicadapass_common.exceptions import CicadapassError
from cicadapass_common.logclient import Log
from cicadapass_common.records import encode_record
from cicadapass_decisions.fold import (
    Adopted,
    EvaluatedPublish,
    FoldState,
    RecordVerdict,
    to_snapshot,
)
from cicadapass_decisions.logrecords import PublishOutcome, PublishVerdict

# Nodes delay a due snapshot at random within this fraction of the retention, so that
# usually one node appends it before the others.
SPREAD_RETENTION_FRACTION = 1 / 12
# Shorter spread while the log has no snapshot and new readers cannot start from it;
# several nodes may then append one.
LOST_SNAPSHOT_SPREAD_S = 30.0


class SnapshotSchedule:
    """Choose a random time for a due snapshot, and keep it between calls."""

    def __init__(self, retention_s: float, rng: random.Random) -> None:
        self._spread_s = retention_s * SPREAD_RETENTION_FRACTION
        self._rng = rng
        self._append_at_s: float | None = None

    def should_append(self, due: bool, lost: bool, now_s: float) -> bool:
        """Return whether to append a snapshot now; `due` or `lost` must be set."""
        if not due and not lost:
            self._append_at_s = None
            return False
        spread_s = (
            min(LOST_SNAPSHOT_SPREAD_S, self._spread_s) if lost else self._spread_s
        )
        if self._append_at_s is None or self._append_at_s - now_s > spread_s:
            self._append_at_s = now_s + self._rng.uniform(0.0, spread_s)
        return now_s >= self._append_at_s

    def reset(self) -> None:
        """Clear the chosen time, so that the next snapshot gets a new one."""
        self._append_at_s = None


def append_snapshot(log: Log, state: FoldState) -> Result[int, CicadapassError]:
    """Append a snapshot of the state and return its offset."""
    payload = encode_record(to_snapshot(state))
    if payload.is_error():
        return Error(payload.error)
    appended = log.append(payload.ok)
    return Ok(appended.ok) if appended.is_ok() else Error(appended.error)


def parse_safely(
    parse: Callable[[Mapping[str, Any]], Result[Any, Any]], document: Mapping[str, Any]
) -> Result[Any, Any]:
    """Return the parsed document; an exception of the parser becomes an error."""
    try:
        return parse(document)
    except Exception as error:
        # A defect in a check must not stop the node.
        return Error((repr(error),))


def report_verdict(
    events: EventLog, verdict: RecordVerdict, version: int, caught_up: bool
) -> None:
    """Emit the event of a verdict; `version` is the one after folding the record."""
    match verdict:
        case Adopted():
            events.emit(204, version=version)
        case EvaluatedPublish(publish_id, verdict=publish_verdict, duplicate=False) if (
            caught_up
        ):
            # Until caught up, a starting node would repeat the events of old verdicts.
            _report_publish_verdict(events, publish_id, publish_verdict)


def _report_publish_verdict(
    events: EventLog, publish_id: str, verdict: PublishVerdict
) -> None:
    author = verdict.author
    if verdict.outcome is PublishOutcome.REJECTED:
        events.emit(201, publish_id=publish_id, version=verdict.version)
    if verdict.outcome is PublishOutcome.CONFLICT:
        version = verdict.version
        events.emit(202, publish_id=publish_id, version=version, author=author)
