"""Decide whether a call of a plain service may be repeated."""

from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import unquote

REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_WILDCARD = "*"


@dataclass(frozen=True, slots=True)
class CallRule:
    """Define whether calls that match a method and path pattern may be repeated."""

    method: str
    path: str
    repeatable: bool


def is_repeatable(rules: Iterable[CallRule], method: str, path: str) -> bool:
    """Apply the most specific matching rule, or the default of the method.

    The rule with the fewest wildcards is the most specific. A path that is not in
    canonical form is never repeatable.
    """
    segments = unquote(path.partition("?")[0]).split("/")[1:]
    if not _is_canonical(segments):
        # The upstream may resolve such a path to one that must not be repeated.
        return False
    matching = [rule for rule in rules if _matches(rule, method, segments)]
    if not matching:
        return method in REPEATABLE_METHODS
    fewest_wildcards = min(_wildcard_count(rule) for rule in matching)
    return all(
        rule.repeatable
        for rule in matching
        if _wildcard_count(rule) == fewest_wildcards
    )


def _is_canonical(segments: list[str]) -> bool:
    # Only the last segment may be empty, for a path that ends in a slash.
    return not any(segment in (".", "..") for segment in segments) and all(
        segments[:-1]
    )


def _rule_segments(rule: CallRule) -> list[str]:
    return unquote(rule.path).split("/")[1:]


def _wildcard_count(rule: CallRule) -> int:
    return _rule_segments(rule).count(_WILDCARD)


def _matches(rule: CallRule, method: str, segments: list[str]) -> bool:
    pattern = _rule_segments(rule)
    if rule.method != method or len(pattern) != len(segments):
        return False
    pairs = zip(pattern, segments, strict=True)
    return all(expected in (_WILDCARD, segment) for expected, segment in pairs)
