"""Evaluate claims of idempotency keys: the first claim in log order wins."""

import hashlib
import struct
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from cicadapass_decisions.logrecords import Claim, ClaimBatch, LogRecord

# A winner that has not sent its call within this time must not send it.
CLAIM_VALIDITY_S = 5.0
# A bytes object of 15 bytes fills an allocation of 48 bytes; with a million keys the
# probability of a collision is below 1e-24.
KEY_HASH_BYTES = 15
FINGERPRINT_BYTES = 8
CLAIM_ID_BYTES = 8
# A new reader reads this many windows of the log. A verdict depends on the claims of
# two windows, because a claim that is appended again wins only if it was the first; the
# third covers steps of the log's clock.
CLAIM_HISTORY_WINDOWS = 3.0

# Offset of the latest claim of the key; log time, claim id and fingerprint of the
# first claim. The request id follows.
_ENTRY = struct.Struct(f">Qd{CLAIM_ID_BYTES}s{FINGERPRINT_BYTES}s")


class ClaimOutcome(StrEnum):
    """Enumerate the outcomes of a claim; only a winner may send its call."""

    WON = "won"
    LOST = "lost"
    # The claim was not evaluated; the claimant must not send.
    NOT_RUN = "not-run"


@dataclass(frozen=True, slots=True)
class ClaimVerdict:
    """Report the outcome of one claim, with the winner's request for a loser."""

    claim_id: bytes
    outcome: ClaimOutcome
    winner_request_id: str = ""
    same_payload: bool = True


@dataclass(frozen=True, slots=True)
class TimedClaim:
    """Pair a claim with its expiry on the claimant's monotonic clock."""

    claim: Claim
    valid_until_s: float


class ClaimIndex:
    """Index the keys that were claimed within the window.

    The index is mutable, because copying it for each batch would cost more than
    evaluating the batch. Entries are packed to save memory.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._next_offset = 0
        self._log_time_s = 0.0
        self._entries: dict[bytes, bytes] = {}
        self._batches: deque[tuple[float, int, tuple[bytes, ...]]] = deque()

    @property
    def next_offset(self) -> int:
        """Return the offset of the first record that has not been evaluated."""
        return self._next_offset

    @property
    def log_time_s(self) -> float:
        """Return the highest log time of the records evaluated so far, in seconds."""
        return self._log_time_s

    def __len__(self) -> int:
        return len(self._entries)

    def skip_to(self, first_offset: int) -> None:
        """Skip records before the offset that can no longer be read."""
        self._next_offset = max(self._next_offset, first_offset)

    def find(self, claim: Claim) -> ClaimVerdict | None:
        """Return the verdict if the key has been claimed, None if it is unclaimed.

        A key may still count as claimed shortly after its expiry, which is safe.
        """
        entry = self._entries.get(claim.key_hash)
        return None if entry is None else self._compare(entry, claim)

    def evaluate(self, record: LogRecord[object]) -> tuple[ClaimVerdict, ...]:
        """Return the verdicts on the claims of the next record in log order.

        A record that was evaluated before yields no verdicts.
        """
        if record.offset < self._next_offset:
            return ()
        self._next_offset = record.offset + 1
        # When the log's clock steps back, a reader that has not yet removed expired
        # claims must not treat them as valid again.
        self._log_time_s = max(self._log_time_s, record.time_s)
        self._expire()
        if not isinstance(record.body, ClaimBatch):
            return ()
        claims = record.body.claims
        keys = tuple(claim.key_hash for claim in claims)
        verdicts = tuple(self._evaluate_claim(claim, record.offset) for claim in claims)
        self._batches.append((self._log_time_s, record.offset, keys))
        return verdicts

    def _evaluate_claim(self, claim: Claim, offset: int) -> ClaimVerdict:
        entry = self._entries.get(claim.key_hash)
        if entry is None:
            entry = _pack_entry(claim, offset, self._log_time_s)
        # A losing claim extends the retention of its key. Whether a key is claimed then
        # depends only on the records of one window, so readers that start at different
        # records agree.
        self._entries[claim.key_hash] = offset.to_bytes(8, "big") + entry[8:]
        return self._compare(entry, claim)

    def _compare(self, entry: bytes, claim: Claim) -> ClaimVerdict:
        _, first_claim_s, claim_id, fingerprint = _ENTRY.unpack_from(entry)
        request_id = entry[_ENTRY.size :].decode()
        # The same claim is in the log twice if the response to its append was lost and
        # it was appended again. A reader that started later may not have read an older
        # claim that was first.
        recent = self._log_time_s - first_claim_s < self._window_s
        won = claim_id == claim.claim_id and recent
        outcome = ClaimOutcome.WON if won else ClaimOutcome.LOST
        same_payload = fingerprint == claim.fingerprint
        return ClaimVerdict(claim.claim_id, outcome, request_id, same_payload)

    def _expire(self) -> None:
        cutoff_s = self._log_time_s - self._window_s
        while self._batches and self._batches[0][0] <= cutoff_s:
            _, offset, keys = self._batches.popleft()
            for key in keys:
                self._expire_key(key, offset)

    def _expire_key(self, key: bytes, offset: int) -> None:
        entry = self._entries.get(key)
        if entry is not None and int.from_bytes(entry[:8], "big") == offset:
            del self._entries[key]


def evaluate_claims(
    index: ClaimIndex, records: Iterable[LogRecord[object]]
) -> tuple[ClaimVerdict, ...]:
    """Return the verdicts on all claims of the records, in log order."""
    return tuple(verdict for record in records for verdict in index.evaluate(record))


def not_run_verdicts(claims: Iterable[Claim]) -> tuple[ClaimVerdict, ...]:
    """Return a NOT_RUN verdict for each claim."""
    return tuple(ClaimVerdict(c.claim_id, ClaimOutcome.NOT_RUN) for c in claims)


def timed_claim(
    claim: Claim, before_append_s: float, validity_s: float = CLAIM_VALIDITY_S
) -> TimedClaim:
    """Return the claim with a validity that starts before its append."""
    return TimedClaim(claim, before_append_s + validity_s)


def may_send(claim: TimedClaim, now_s: float) -> bool:
    """Return whether a winner may still send its call."""
    return now_s < claim.valid_until_s


def hash_key(fleet: str, workspace: str, service: str, key: str) -> bytes:
    """Return the hash of an idempotency key within its scope."""
    parts = (fleet, workspace, service, key)
    return _digest([part.encode() for part in parts], KEY_HASH_BYTES)


def hash_payload(method: str, path: str, body: bytes) -> bytes:
    """Return the fingerprint that detects a different payload under the same key."""
    return _digest([method.encode(), path.encode(), body], FINGERPRINT_BYTES)


def _digest(parts: Iterable[bytes], size: int) -> bytes:
    digest = hashlib.blake2b(digest_size=size)
    for part in parts:
        # The length prefix distinguishes ("ab", "c") from ("a", "bc").
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _pack_entry(claim: Claim, offset: int, log_time_s: float) -> bytes:
    head = _ENTRY.pack(offset, log_time_s, claim.claim_id, claim.fingerprint)
    return head + claim.request_id.encode()
