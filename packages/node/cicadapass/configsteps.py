"""Steps of the configuration feed that need none of its state."""

import random
from collections.abc import Callable, Mapping
from typing import Any

from expression import Error, Result

from cicadapass_common.events import EventLog
from cicadapass_decisions.fold import Adopted, Judged, RecordVerdict
from cicadapass_decisions.logrecords import PublishOutcome, PublishVerdict

# Spreads the nodes' snapshots, so that usually one node appends before the others.
SPREAD_SHARE_OF_RETENTION = 1 / 12


class SnapshotSchedule:
    """Delay a due snapshot at random; this is a class because the delay is kept."""

    def __init__(self, retention_s: float, rng: random.Random) -> None:
        self._spread_s = retention_s * SPREAD_SHARE_OF_RETENTION
        self._rng = rng
        self._at_s: float | None = None

    def is_time(self, due: bool, now_s: float) -> bool:
        """Return whether to append now a snapshot that is due."""
        if not due:
            self._at_s = None
            return False
        if self._at_s is None:
            self._at_s = now_s + self._rng.uniform(0.0, self._spread_s)
        return now_s >= self._at_s

    def restart(self) -> None:
        """Draw another delay for the next snapshot."""
        self._at_s = None


def parse_safely(
    parse: Callable[[Mapping[str, Any]], Result[Any, Any]], document: Mapping[str, Any]
) -> Result[Any, Any]:
    """Return the parsed document; an exception counts as a problem."""
    try:
        return parse(document)
    except Exception as error:
        # A check that fails by an exception must not stop the node.
        return Error((repr(error),))


def report_verdict(
    events: EventLog, verdict: RecordVerdict, version: int, caught_up: bool
) -> None:
    """Emit the event of a verdict; `version` is the one after the record."""
    match verdict:
        case Adopted():
            events.emit(204, version=version)
        case Judged(publish_id, verdict=first, duplicate=False) if caught_up:
            # A node that has just started would repeat all old verdicts.
            _report_judged(events, publish_id, first)


def _report_judged(events: EventLog, publish_id: str, verdict: PublishVerdict) -> None:
    author = verdict.author
    if verdict.outcome is PublishOutcome.REJECTED:
        events.emit(201, publish_id=publish_id, version=verdict.version)
    if verdict.outcome is PublishOutcome.CONFLICT:
        version = verdict.version
        events.emit(202, publish_id=publish_id, version=version, author=author)
