"""Judge what a cell of the fault matrix has left behind, guarantee by guarantee."""

import json
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cicadapass_bench.callerkit import Called, Prompt, Streamed, expected_plain

NOT_RUN = "not-run"
SINGLE_NODE = "single-node"


@dataclass(slots=True)
class Post:
    """Hold a call with an effect and all its answers; without a key one is sent."""

    path: str
    body: bytes
    key: str
    answers: list[Called] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Seen:
    """Hold the version that a node process served at a time."""

    node: str
    incarnation: str
    version: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """Hold a publish that was accepted and the nodes that had it in time."""

    version: int
    lagging: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Hold a planned stop without another fault."""

    node: str
    exit_code: int | None
    interrupted: int


@dataclass(slots=True)
class CellOutcome:
    """Hold everything that the checks look at."""

    streams: list[Streamed] = field(default_factory=list)
    wholes: list[tuple[Prompt, Called]] = field(default_factory=list)
    posts: list[Post] = field(default_factory=list)
    reads: list[tuple[str, Called]] = field(default_factory=list)
    effects: "Counter[str]" = field(default_factory=Counter)
    attempted: frozenset[str] = frozenset()
    # Whether nodes were lost without notice, and with them requests without a copy.
    nodes_lost: bool = False
    # Within this time of its return, a caller gets more of its answer; 0 for no limit.
    return_limit_s: float = 0.0
    late_work: int = 0
    stops: list[PlannedStop] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
    publishes: list[Accepted] = field(default_factory=list)
    # Publishes of one base that were all told "accepted"; one is right.
    races: list[int] = field(default_factory=list)


def failures(outcome: CellOutcome) -> Mapping[str, tuple[str, ...]]:
    """Return what breaks each guarantee; a guarantee that holds is left out."""
    found = {
        "P1": [*_unanswered(outcome), *_late_returns(outcome)],
        "P2": [*_wrong_streams(outcome), *_wrong_answers(outcome)],
        "P3": [*_run_after_all(outcome)],
        "P4": _doubled(outcome),
        "P5": [f"{outcome.late_work} late attempts"] if outcome.late_work else [],
        "P6": _interrupted(outcome.stops),
        "P7": [*_reverted(outcome.seen), *_not_in_force(outcome)],
    }
    return {name: tuple(each) for name, each in found.items() if each}


def _unanswered(outcome: CellOutcome) -> list[str]:
    return [
        f"{each.request_id}: {len(each.data)} bytes, {each.refusal or 'no end'}"
        for each in outcome.streams
        if each.request_id
        and not each.complete
        # The answer said that no other node had a copy.
        and not (outcome.nodes_lost and each.durability == SINGLE_NODE)
    ]


def _late_returns(outcome: CellOutcome) -> list[str]:
    limit_s = outcome.return_limit_s
    return [
        f"{each.request_id}: went on {each.longest_return_s:.1f} s after the return"
        for each in outcome.streams
        if limit_s and each.longest_return_s > limit_s
    ]


def _wrong_streams(outcome: CellOutcome) -> list[str]:
    return [
        f"{each.request_id}: the text differs from that of {each.prompt.content!r}"
        for each in outcome.streams
        if not _right_so_far(each)
    ]


def _right_so_far(stream: Streamed) -> bool:
    """Return whether the text is right, or the right head of a cut answer."""
    if stream.complete:
        return stream.verified
    return stream.prompt.expected.startswith(stream.text())


def _wrong_answers(outcome: CellOutcome) -> list[str]:
    wrong = [
        f"GET {path}: wrong body"
        for path, called in outcome.reads
        if called.status == 200 and called.body != expected_plain("GET", path)
    ]
    wrong += [
        f"POST {post.path}: wrong body"
        for post in outcome.posts
        for called in post.answers
        if called.status == 200
        and called.body != expected_plain("POST", post.path, post.body)
    ]
    wrong += [
        f"{prompt.content!r}: wrong answer"
        for prompt, called in outcome.wholes
        if called.status == 200 and _text(called) != prompt.expected
    ]
    return wrong


def _text(called: Called) -> str:
    try:
        return str(json.loads(called.body)["choices"][0]["message"]["content"])
    except (ValueError, KeyError, IndexError):
        return ""


def _run_after_all(outcome: CellOutcome) -> Iterable[str]:
    for post in outcome.posts:
        # A key's calls are one call: "not run" of one of them says nothing of others.
        told = bool(post.answers) and all(a.verdict == NOT_RUN for a in post.answers)
        if told and outcome.effects[post.path]:
            yield f"POST {post.path} was told not-run and has an effect"
    for prompt, called in outcome.wholes:
        request_id = called.headers.get("Cicadapass-Request-Id", "")
        if called.verdict == NOT_RUN and request_id in outcome.attempted:
            yield f"{prompt.content!r} was told not-run and was attempted"


def _doubled(outcome: CellOutcome) -> list[str]:
    return [
        f"POST {path} took effect {count} times"
        for path, count in outcome.effects.items()
        if count > 1
    ]


def _interrupted(stops: Iterable[PlannedStop]) -> list[str]:
    return [
        f"{stop.node}: {stop.interrupted} interrupted, exit code {stop.exit_code}"
        for stop in stops
        if stop.interrupted or stop.exit_code != 0
    ]


def _reverted(seen: Iterable[Seen]) -> Iterable[str]:
    newest: dict[tuple[str, str], int] = {}
    for each in seen:
        key = each.node, each.incarnation
        if each.version < newest.get(key, each.version):
            yield f"{each.node} went back from {newest[key]} to {each.version}"
        newest[key] = max(each.version, newest.get(key, each.version))


def _not_in_force(outcome: CellOutcome) -> Iterable[str]:
    for each in outcome.publishes:
        if each.lagging:
            yield f"version {each.version} not in force on {', '.join(each.lagging)}"
    for accepted in outcome.races:
        if accepted != 1:
            yield f"{accepted} publishes of one base were accepted"
