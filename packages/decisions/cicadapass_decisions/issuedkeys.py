"""Evaluate claims of idempotency keys that a node issued, which need no log."""

import hashlib
import hmac
from collections import OrderedDict

from cicadapass_decisions.claims import ClaimOutcome, ClaimVerdict
from cicadapass_decisions.logrecords import Claim

ISSUED_PREFIX = "cp1"
_TAG_BYTES = 16


class IssuedKeys:
    """Issue keys and store the used ones for the claim window.

    The used keys are state of one incarnation of a node. A key is valid only while a
    use of it would still be stored, see `invalidate`.
    """

    def __init__(
        self, node: str, incarnation: str, secret: bytes, window_s: float, limit: int
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._secret = secret
        self._window_s = window_s
        self._limit = limit
        self._used: OrderedDict[bytes, tuple[float, Claim]] = OrderedDict()

    def invalidate(self, nonce: bytes) -> None:
        """Discard the used keys and invalidate all keys issued so far."""
        self._used.clear()
        self._secret = hmac.new(self._secret, nonce, hashlib.sha256).digest()

    def issue(self, scope: str, nonce: bytes, now_s: float) -> str:
        """Return a new key for the scope, such as fleet/workspace."""
        parts = (self._node, self._incarnation, f"{now_s:.3f}", nonce.hex())
        return "~".join((ISSUED_PREFIX, *parts, self._tag(scope, parts)))

    def claim(self, scope: str, key: str, claim: Claim, now_s: float) -> ClaimVerdict:
        """Return the verdict on a claim of an issued key.

        It is NOT_RUN for a key that is foreign, expired or forged, and for a new key
        when the store of used keys is full.
        """
        self._expire(now_s)
        if not self._is_valid(scope, key, now_s):
            return ClaimVerdict(claim.claim_id, ClaimOutcome.NOT_RUN)
        earlier_use = self._used.get(claim.key_hash)
        if earlier_use is None and len(self._used) >= self._limit:
            return ClaimVerdict(claim.claim_id, ClaimOutcome.NOT_RUN)
        _, first = self._used.setdefault(claim.key_hash, (now_s, claim))
        won = first.claim_id == claim.claim_id
        return ClaimVerdict(
            claim.claim_id,
            ClaimOutcome.WON if won else ClaimOutcome.LOST,
            first.request_id,
            first.fingerprint == claim.fingerprint,
        )

    def _is_valid(self, scope: str, key: str, now_s: float) -> bool:
        prefix, *parts = key.split("~")
        if prefix != ISSUED_PREFIX or len(parts) != 5:
            return False
        if not hmac.compare_digest(
            parts[-1].encode(), self._tag(scope, parts[:-1]).encode()
        ):
            return False
        # A valid tag proves that this node formatted the time.
        return now_s - float(parts[2]) < self._window_s

    def _tag(self, scope: str, parts: tuple[str, ...] | list[str]) -> str:
        text = "~".join((scope, *parts)).encode()
        return hmac.new(self._secret, text, hashlib.sha256).hexdigest()[
            : 2 * _TAG_BYTES
        ]

    def _expire(self, now_s: float) -> None:
        while self._used:
            key_hash, (used_s, _) = next(iter(self._used.items()))
            if now_s - used_s < self._window_s:
                return
            del self._used[key_hash]


def issuing_node(key: str) -> tuple[str, str] | None:
    """Return the name and incarnation of the issuing node, None for other keys."""
    prefix, *parts = key.split("~")
    if prefix != ISSUED_PREFIX or len(parts) != 5:
        return None
    return parts[0], parts[1]
