"""Keep the limits that upstreams name for the requests of all nodes together.

An answer names the limit in force when it was written, or none. The newest one counts,
whichever node received it.
"""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """Store the last word of one start of an upstream on its limit."""

    # Requests per second of all nodes together; None if there is no limit any more.
    rate_per_s: float | None
    # When an answer with it arrived at some node.
    heard_s: float


class UpstreamLimits:
    """Keep the newest limit of each upstream that ever named one."""

    def __init__(self) -> None:
        self._limits: dict[str, NamedLimit] = {}

    def limit(self, start_key: str) -> NamedLimit | None:
        """Return the limit in force of one start of an upstream, or None."""
        named = self._limits.get(start_key)
        return None if named is None or named.rate_per_s is None else named

    def record_answer(
        self, start_key: str, rate_per_s: float | None, sent_s: float, now_s: float
    ) -> bool:
        """Record the limit of an answer to a request; return whether it is a change.

        An answer without a limit ends it only if its request was sent after the limit
        was heard, since answers may overtake each other.
        """
        known = self._limits.get(start_key)
        if rate_per_s is None and (
            known is None or known.rate_per_s is None or sent_s <= known.heard_s
        ):
            return False
        self._limits[start_key] = NamedLimit(rate_per_s, now_s)
        return known is None or known.rate_per_s != rate_per_s

    def keep(self, start_keys: Iterable[str]) -> None:
        """Forget the limits of all other starts of upstreams."""
        kept = set(start_keys)
        for start_key in [each for each in self._limits if each not in kept]:
            del self._limits[start_key]
