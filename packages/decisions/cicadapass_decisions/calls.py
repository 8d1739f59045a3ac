"""Decide whether a call of a plain service may be repeated."""

from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import unquote

REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_ANY_SEGMENT = "*"


@dataclass(frozen=True, slots=True)
class CallRule:
    """Say whether the calls of one method and path pattern may be repeated."""

    method: str
    path: str
    repeatable: bool


def is_repeatable(rules: Iterable[CallRule], method: str, path: str) -> bool:
    """Apply the most specific rule; without one, the default of the method."""
    wanted = unquote(path.partition("?")[0]).split("/")[1:]
    if not _is_canonical(wanted):
        # An upstream may read such a path as one that must not be repeated.
        return False
    matching = [rule for rule in rules if _matches(rule, method, wanted)]
    if not matching:
        return method in REPEATABLE_METHODS
    fewest = min(_wildcards(rule) for rule in matching)
    return all(rule.repeatable for rule in matching if _wildcards(rule) == fewest)


def _is_canonical(segments: list[str]) -> bool:
    # Only the last segment may be empty, as in a path with a final slash.
    return not any(segment in (".", "..") for segment in segments) and all(
        segments[:-1]
    )


def _segments(rule: CallRule) -> list[str]:
    return unquote(rule.path).split("/")[1:]


def _wildcards(rule: CallRule) -> int:
    return _segments(rule).count(_ANY_SEGMENT)


def _matches(rule: CallRule, method: str, wanted: list[str]) -> bool:
    pattern = _segments(rule)
    if rule.method != method or len(pattern) != len(wanted):
        return False
    pairs = zip(pattern, wanted, strict=True)
    return all(each in (_ANY_SEGMENT, segment) for each, segment in pairs)
