"""Check the outcome of a cell of the fault matrix against each guarantee."""

import json
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cicadapass_bench.callerkit import Prompt, Response, StreamedAnswer, expected_plain

NOT_RUN_VERDICT = "not-run"
SINGLE_NODE_DURABILITY = "single-node"


@dataclass(slots=True)
class Post:
    """Represent a call with an effect and its answers; only keyed calls are retried."""

    path: str
    body: bytes
    key: str
    answers: list[Response] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ServedVersion:
    """Represent the inventory version that a node process served at one time."""

    node: str
    incarnation: str
    version: int


@dataclass(frozen=True, slots=True)
class AcceptedPublish:
    """Represent an accepted publish and the nodes that lacked it at the time limit."""

    version: int
    lagging: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Represent a planned stop during which no other process was lost."""

    node: str
    exit_code: int | None
    interrupted: int


@dataclass(slots=True)
class CellOutcome:
    """Collect the observations that the checks evaluate."""

    streams: list[StreamedAnswer] = field(default_factory=list)
    whole_answers: list[tuple[Prompt, Response]] = field(default_factory=list)
    posts: list[Post] = field(default_factory=list)
    reads: list[tuple[str, Response]] = field(default_factory=list)
    effects: "Counter[str]" = field(default_factory=Counter)
    attempted_request_ids: frozenset[str] = frozenset()
    # Whether nodes were lost without notice; requests without a copy may be lost too.
    nodes_lost: bool = False
    # Maximum time until a returning caller receives more bytes; 0 for no limit.
    max_return_s: float = 0.0
    late_attempts: int = 0
    stops: list[PlannedStop] = field(default_factory=list)
    served_versions: list[ServedVersion] = field(default_factory=list)
    publishes: list[AcceptedPublish] = field(default_factory=list)
    # Accepted publishes of each concurrent pair on one base version; must be 1.
    accepted_of_concurrent: list[int] = field(default_factory=list)


def broken_guarantees(outcome: CellOutcome) -> Mapping[str, tuple[str, ...]]:
    """Return the violations of each broken guarantee, by its name."""
    violations = {
        "P1": [*_incomplete_streams(outcome), *_late_returns(outcome)],
        "P2": [*_wrong_streams(outcome), *_wrong_answers(outcome)],
        "P3": [*_false_not_run(outcome)],
        "P4": _repeated_effects(outcome),
        "P5": [f"{outcome.late_attempts} late attempts"]
        if outcome.late_attempts
        else [],
        "P6": _ungraceful_stops(outcome.stops),
        "P7": [
            *_version_reversions(outcome.served_versions),
            *_publish_violations(outcome),
        ],
    }
    return {
        guarantee: tuple(violations_of_guarantee)
        for guarantee, violations_of_guarantee in violations.items()
        if violations_of_guarantee
    }


def _incomplete_streams(outcome: CellOutcome) -> list[str]:
    return [
        f"{stream.request_id}: {len(stream.data)} bytes, {stream.refusal or 'no end'}"
        for stream in outcome.streams
        if stream.request_id
        and not stream.complete
        # The response header announced that no other node had a copy.
        and not (outcome.nodes_lost and stream.durability == SINGLE_NODE_DURABILITY)
    ]


def _late_returns(outcome: CellOutcome) -> list[str]:
    max_return_s = outcome.max_return_s
    return [
        f"{stream.request_id}: resumed {stream.longest_return_s:.1f} s after the break"
        for stream in outcome.streams
        if max_return_s and stream.longest_return_s > max_return_s
    ]


def _wrong_streams(outcome: CellOutcome) -> list[str]:
    return [
        f"{stream.request_id}: wrong text for the prompt {stream.prompt.content!r}"
        for stream in outcome.streams
        if not _is_correct_so_far(stream)
    ]


def _is_correct_so_far(stream: StreamedAnswer) -> bool:
    """Return whether the text is correct, or a correct prefix of the answer."""
    if stream.complete:
        return stream.verified
    return stream.prompt.expected.startswith(stream.text())


def _wrong_answers(outcome: CellOutcome) -> list[str]:
    wrong_answers = [
        f"GET {path}: wrong body"
        for path, response in outcome.reads
        if response.status == 200 and response.body != expected_plain("GET", path)
    ]
    wrong_answers += [
        f"POST {post.path}: wrong body"
        for post in outcome.posts
        for response in post.answers
        if response.status == 200
        and response.body != expected_plain("POST", post.path, post.body)
    ]
    wrong_answers += [
        f"{prompt.content!r}: wrong answer"
        for prompt, response in outcome.whole_answers
        if response.status == 200 and _whole_answer_text(response) != prompt.expected
    ]
    return wrong_answers


def _whole_answer_text(response: Response) -> str:
    try:
        return str(json.loads(response.body)["choices"][0]["message"]["content"])
    except (ValueError, KeyError, IndexError):
        return ""


def _false_not_run(outcome: CellOutcome) -> Iterable[str]:
    for post in outcome.posts:
        # Calls with one key are one call: "not run" of one does not cover the others.
        all_not_run = bool(post.answers) and all(
            response.verdict == NOT_RUN_VERDICT for response in post.answers
        )
        if all_not_run and outcome.effects[post.path]:
            yield f"POST {post.path} was answered not-run but had an effect"
    for prompt, response in outcome.whole_answers:
        request_id = response.headers.get("Cicadapass-Request-Id", "")
        if (
            response.verdict == NOT_RUN_VERDICT
            and request_id in outcome.attempted_request_ids
        ):
            yield f"{prompt.content!r} was answered not-run but was attempted"


def _repeated_effects(outcome: CellOutcome) -> list[str]:
    return [
        f"POST {path} took effect {count} times"
        for path, count in outcome.effects.items()
        if count > 1
    ]


def _ungraceful_stops(stops: Iterable[PlannedStop]) -> list[str]:
    return [
        f"{stop.node}: {stop.interrupted} interrupted, exit code {stop.exit_code}"
        for stop in stops
        if stop.interrupted or stop.exit_code != 0
    ]


def _version_reversions(served_versions: Iterable[ServedVersion]) -> Iterable[str]:
    newest_versions: dict[tuple[str, str], int] = {}
    for served in served_versions:
        node_process = served.node, served.incarnation
        if served.version < newest_versions.get(node_process, served.version):
            yield (
                f"{served.node} reverted from version {newest_versions[node_process]}"
                f" to {served.version}"
            )
        newest_versions[node_process] = max(
            served.version, newest_versions.get(node_process, served.version)
        )


def _publish_violations(outcome: CellOutcome) -> Iterable[str]:
    for publish in outcome.publishes:
        if publish.lagging:
            yield (
                f"version {publish.version} not in force"
                f" on {', '.join(publish.lagging)}"
            )
    for accepted_count in outcome.accepted_of_concurrent:
        if accepted_count != 1:
            yield f"{accepted_count} of the publishes on one base version were accepted"
