"""Claims in the log: load the window, append batches and read them back."""

import time
from collections.abc import Callable, Sequence

from expression import Error, Ok, Result

from cicadapass_common.events import EventLog
from cicadapass_common.exceptions import CicadapassError
from cicadapass_common.logclient import Log, LogError, Page, RawRecord
from cicadapass_common.records import decode_log_record, encode_record
from cicadapass_decisions.claims import (
    CLAIM_HISTORY_WINDOWS,
    ClaimIndex,
    ClaimOutcome,
    ClaimVerdict,
    not_run_verdicts,
)
from cicadapass_decisions.logrecords import Claim, ClaimBatch

# A page of full batches takes about 5 MB.
PAGE_RECORDS = 200
# While the index is full, an empty batch is appended this often, so that claims expire.
EMPTY_BATCH_INTERVAL_S = 10.0


class ClaimLog:
    """Own the claim index; methods block on the log and must run in one actor.

    The index stays valid during an outage of the log: claims of keys that are already
    claimed get their verdict without the log.
    """

    def __init__(
        self,
        log: Log,
        events: EventLog,
        window_s: float,
        retention_s: float,
        max_claims: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._log = log
        self._events = events
        self._window_s = window_s
        self._retention_s = retention_s
        self._max_claims = max_claims
        self._clock = clock
        self._index = ClaimIndex(window_s)
        self._last_read_s: float | None = None
        self._refuse_until_s = clock()
        self._empty_batch_at_s: float | None = None

    @property
    def is_loaded(self) -> bool:
        """Return whether the window has been read."""
        return self._last_read_s is not None

    def catch_up(self) -> Result[None, LogError]:
        """Read to the end of the log; the first call reads from the window's start."""
        try:
            if not self.is_loaded:
                self._load()
            else:
                self._read_to_end()
        except LogError as error:
            return Error(error)
        return Ok(None)

    def evaluate(self, claims: Sequence[Claim]) -> tuple[ClaimVerdict, ...]:
        """Return one verdict per claim; append those whose key is not in the index."""
        if not self.is_loaded:
            loaded = self.catch_up()
            if loaded.is_error():
                return self._refuse(claims, str(loaded.error))
        unclaimed = [claim for claim in claims if self._index.find(claim) is None]
        reason = self._append(unclaimed) if unclaimed else ""
        return self._verdicts(claims, reason)

    def _append(self, claims: Sequence[Claim]) -> str:
        """Append and read back; return the reason for missing verdicts, or ""."""
        if not self._has_room(len(claims)):
            return f"the claim index is full: {len(self._index)} claims"
        if self._has_gap():
            return "claims of the window expired from the log before they were read"
        appended = self._append_batch(ClaimBatch(tuple(claims)))
        if appended.is_error():
            error = appended.error
            if not getattr(error, "may_have_taken_effect", False):
                return str(error)
            self._events.emit(602, reason=str(error))
        caught_up = self.catch_up()
        if caught_up.is_error():
            return str(caught_up.error)
        if self._has_gap():
            return "claims of the window expired from the log before they were read"
        return "" if appended.is_ok() else str(appended.error)

    def _has_gap(self) -> bool:
        return self._clock() < self._refuse_until_s

    def _has_room(self, count: int) -> bool:
        if len(self._index) + count <= self._max_claims:
            return True
        now_s = self._clock()
        last_s = self._empty_batch_at_s
        if last_s is None or now_s - last_s >= EMPTY_BATCH_INTERVAL_S:
            # Claims expire by the timestamps of the log, which only advance with new
            # records.
            self._empty_batch_at_s = now_s
            self._append_batch(ClaimBatch(()))
            self.catch_up()
        return len(self._index) + count <= self._max_claims

    def _append_batch(self, batch: ClaimBatch) -> Result[int, CicadapassError]:
        payload = encode_record(batch)
        if payload.is_error():
            return Error(payload.error)
        appended = self._log.append(payload.ok)
        return Ok(appended.ok) if appended.is_ok() else Error(appended.error)

    def _verdicts(
        self, claims: Sequence[Claim], reason: str
    ) -> tuple[ClaimVerdict, ...]:
        verdicts = [self._find(claim) for claim in claims]
        refused = sum(verdict is None for verdict in verdicts)
        if refused:
            self._events.emit(
                601, count=refused, reason=reason or "claims were not read back"
            )
        pairs = zip(claims, verdicts, strict=True)
        return tuple(
            verdict or not_run_verdicts([claim])[0] for claim, verdict in pairs
        )

    def _find(self, claim: Claim) -> ClaimVerdict | None:
        verdict = self._index.find(claim)
        if verdict is None or verdict.outcome is ClaimOutcome.LOST:
            return verdict
        # After a gap, an earlier claim of the same key may be missing from the index.
        return None if self._has_gap() else verdict

    def _refuse(self, claims: Sequence[Claim], reason: str) -> tuple[ClaimVerdict, ...]:
        self._events.emit(601, count=len(claims), reason=reason)
        return not_run_verdicts(claims)

    def _load(self) -> None:
        self._index = ClaimIndex(self._window_s)
        self._index.skip_to(self._find_start())
        self._read_to_end()
        offset = self._index.next_offset
        self._events.emit(600, offset=offset, claims=len(self._index))

    def _read_to_end(self) -> None:
        while True:
            page = self._read(self._index.next_offset, PAGE_RECORDS)
            if page.first_offset > self._index.next_offset:
                self._on_gap(page.first_offset)
            for raw in page.records:
                record = decode_log_record(raw.offset, raw.time_s, raw.data)
                self._index.evaluate(record)
            self._last_read_s = self._clock()
            if not page.records:
                return

    def _on_gap(self, first_offset: int) -> None:
        next_offset = self._index.next_offset
        self._index.skip_to(first_offset)
        now_s = self._clock()
        if self._last_read_s is None or now_s - self._last_read_s >= self._retention_s:
            # The expired records are older than the retention, hence than the window.
            return
        self._events.emit(603, next_offset=next_offset, first_offset=first_offset)
        self._refuse_until_s = now_s + self._window_s

    def _find_start(self) -> int:
        """Return the first offset to read so that the loaded windows are covered."""
        page = self._read(0, 1)
        if not page.records:
            return page.next_offset
        first = page.records[0]
        last = self._find_last(first)
        cutoff_s = last.time_s - CLAIM_HISTORY_WINDOWS * self._window_s
        low, high = first.offset - 1, last.offset
        while high - low > 1:
            middle = (low + high) // 2
            record = self._read_record(middle)
            if record is not None and record.time_s < cutoff_s:
                low = middle
            else:
                high = middle
        return high

    def _find_last(self, first: RawRecord) -> RawRecord:
        last, step = first, 1
        while (record := self._read_record(last.offset + step)) is not None:
            last, step = record, 2 * step
        while step > 1:
            step //= 2
            last = self._read_record(last.offset + step) or last
        return last

    def _read_record(self, offset: int) -> RawRecord | None:
        records = self._read(offset, 1).records
        return records[0] if records else None

    def _read(self, from_offset: int, limit: int) -> Page:
        result = self._log.read(from_offset, limit, 0.0)
        if result.is_error():
            raise result.error
        return result.ok
