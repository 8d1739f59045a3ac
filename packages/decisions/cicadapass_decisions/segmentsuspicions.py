"""Find the prompt segments that crash engines, and block them.

An engine that begins to write an answer on such a segment ends, with all requests in
progress there. The requests that it was beginning when it ended are evidence against
their segments: one event for each start of an engine, whichever nodes saw it. An answer
that is written without harm clears its segments. A suspected segment is tried by one
request at a time; a segment under which several engines ended without a clearance is
blocked.

All nodes exchange their evidence. It merges in any order: the reports on an end are
united, and a clearance voids what was reported before it.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

# Ends of engines after which a segment is tried by one request at a time, and after
# which it is blocked. Familiar segments, on which this or another node saw answers
# before, are likely to be harmless.
TRIAL_ENDS = 1.0
TRIAL_ENDS_FAMILIAR = 2.0
BLOCK_ENDS = 3.0
BLOCK_ENDS_FAMILIAR = 4.0
# Weight of an end for the segments of the requests that waited there. They count if no
# answer had just begun, or once the segments of those that had are cleared.
WAITING_WEIGHT = 0.5
# Ends that are closer together count once: engines that fail together, as with their
# data centre, do so at the same moment.
MIN_END_SPACING_S = 0.1
# Evidence is discarded this long after the last end.
EVIDENCE_LIFETIME_S = 120.0
# A block of familiar segments is released after this time, in which others may turn out
# to be the cause; each time that it is renewed, it lasts twice as long.
FAMILIAR_BLOCK_S = 3.0
# A block is released once no request had its segments for this long.
QUIET_S = 120.0
# A clearance is exchanged for this long, so that it reaches nodes with older evidence.
CLEARANCE_LIFETIME_S = 10.0
# A trial ends after this time if its outcome is not known.
TRIAL_LIFETIME_S = 2.0
# Ends younger than this may lack the report of another node.
COMPLETE_AFTER_S = 0.5
MAX_ENDS = 256
MAX_SUSPECTS = 256
MAX_BLOCKS = 64
# Segments of one end that are kept; those of answers that had begun come first.
MAX_SEGMENTS_PER_END = 32
MAX_FAMILIAR = 4096
# Differences of transit times between two reports of the same block are ignored.
MIN_AGE_DIFFERENCE_S = 0.5


class ChangeKind(Enum):
    """Classify the changes of a segment's state; the values are logged."""

    SUSPECTED = "suspected"
    CLEARED = "cleared"
    BLOCKED = "blocked"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class Change:
    """Report a change of the state of segments."""

    kind: ChangeKind
    segments: tuple[str, ...]
    # The ends of engines that are the evidence, newest last.
    engines: tuple[str, ...]
    # The peer that reported it, or None.
    peer: str | None
    reason: str = ""


Listener = Callable[[Sequence[Change], Sequence[str], str | None], None]


@dataclass(frozen=True, slots=True)
class Blocked:
    """Reject a request whose prompt contains segments that crash engines."""

    segments: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Suspected:
    """Report the segments of a prompt that may crash an engine."""

    segments: tuple[str, ...]
    # Another request with one of the segments is being tried.
    trial_running: bool


@dataclass(frozen=True, slots=True)
class _Entry:
    # The clearance of the segment when it was reported.
    clearance: int
    # A request with the segment had an answer that had just begun.
    writing: bool


@dataclass(slots=True)
class _End:
    at_s: float
    entries: dict[str, _Entry] = field(default_factory=dict)

    @property
    def weight(self) -> float:
        """Return the weight of the end for each of its suspects."""
        return 1.0 if self.has_writing else WAITING_WEIGHT

    @property
    def has_writing(self) -> bool:
        """Return whether a segment of an answer that had just begun is suspected."""
        return any(entry.writing for entry in self.entries.values())


@dataclass(slots=True)
class _Suspect:
    # Counts the clearances; evidence from before the last one is void.
    clearance: int = 0
    changed_s: float = 0.0
    familiar: bool = False
    trial_node: str | None = None
    trial_began_s: float = 0.0
    # Number of blocks that were released because the segment is familiar.
    early_releases: int = 0


@dataclass(slots=True)
class _Block:
    began_s: float
    last_seen_s: float
    # Newest version of the weights that was known when the block began.
    weights: int
    # The clearances of the segments when the block began.
    clearances: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class _Summary:
    """Hold what follows from the evidence."""

    # Engines that ended under each suspected segment, oldest first.
    engines: dict[str, tuple[str, ...]]
    # Weighted number of ends that no block explains.
    scores: dict[str, float]


class SegmentSuspicions:
    """Keep the evidence against prompt segments and the blocks that follow from it."""

    def __init__(self) -> None:
        self._ends: dict[str, _End] = {}
        self._suspects: dict[str, _Suspect] = {}
        self._blocks: dict[tuple[str, ...], _Block] = {}
        self._familiar: OrderedDict[str, None] = OrderedDict()
        self._weights: dict[str, int] = {}
        self._cached_summary: _Summary | None = None
        self._listeners: list[Listener] = []
        self._next_exported = 0

    @property
    def active(self) -> bool:
        """Return whether there is any evidence or block."""
        return bool(self._suspects or self._blocks)

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with the changes, the names of changed rows and the peer."""
        self._listeners.append(listener)

    def verdict(
        self, segments: Sequence[str], now_s: float
    ) -> Blocked | Suspected | None:
        """Return whether a prompt with these segments may be sent; None if it may."""
        if not self.active:
            return None
        for blocked, block in self._blocks.items():
            if set(blocked) <= set(segments):
                block.last_seen_s = now_s
                return Blocked(blocked)
        suspected = tuple(each for each in segments if self._needs_trial(each))
        if not suspected:
            return None
        return Suspected(
            suspected, any(self._has_trial(each, now_s) for each in suspected)
        )

    def begin_trial(self, segments: Iterable[str], node: str, now_s: float) -> None:
        """Record that a request with suspected segments is being sent."""
        changed = []
        for segment in segments:
            suspect = self._suspects.get(segment)
            if suspect is not None:
                suspect.trial_node, suspect.trial_began_s = node, now_s
                changed.append(segment)
        self._notify([], changed, None)

    def end_trial(self, segments: Iterable[str], node: str) -> None:
        """Record that a trial ended without an outcome.

        Peers let the trial expire; local requests that wait for it may go on.
        """
        for segment in segments:
            suspect = self._suspects.get(segment)
            if suspect is not None and suspect.trial_node == node:
                suspect.trial_node = None
        self._notify([], [], None)

    def record_end(
        self,
        engine: str,
        writing: Iterable[str],
        waiting: Iterable[str],
        now_s: float,
    ) -> None:
        """Record the end of an engine and the segments of the requests there.

        `writing` are those of answers that had just begun, `waiting` those of requests
        without any answer.
        """
        before = self._state()
        entries = {each: _Entry(self._clearance(each), False) for each in waiting}
        entries |= {each: _Entry(self._clearance(each), True) for each in writing}
        ordered = sorted(entries, key=lambda each: not entries[each].writing)
        kept = {each: entries[each] for each in ordered[:MAX_SEGMENTS_PER_END]}
        changed = self._add_end(engine, _End(now_s, kept))
        self._finish(before, changed, now_s, None)

    def record_survival(self, segments: Iterable[str], now_s: float) -> None:
        """Record an answer that was written without harm, and clear its segments."""
        cleared = []
        for segment in segments:
            self._familiar[segment] = None
            self._familiar.move_to_end(segment)
            if self._engines(segment) or segment in self._blocked():
                cleared.append(segment)
        while len(self._familiar) > MAX_FAMILIAR:
            self._familiar.popitem(last=False)
        if not cleared:
            return
        before = self._state()
        for segment in cleared:
            self._clear(segment, self._clearance(segment) + 1, now_s, familiar=True)
        self._finish(before, cleared, now_s, None)

    def record_weights(self, service: str, version: int, now_s: float) -> None:
        """Release the blocks of a service whose engines have newer weights."""
        known = self._weights.get(service, -1)
        self._weights[service] = max(known, version)
        if version <= known or not self._blocks:
            return
        before = self._state()
        changed: list[str] = []
        for segments, block in list(self._blocks.items()):
            if _service(segments[0]) == service and block.weights < version:
                changed += self._release(segments, now_s, familiar=False)
        self._finish(before, changed, now_s, None, "new weights")

    def expire(self, now_s: float) -> None:
        """Release quiet blocks, narrow others, and discard old evidence."""
        if not self.active:
            return
        before = self._state()
        changed: list[str] = []
        reason = "quiet"
        for segments, block in list(self._blocks.items()):
            if now_s - block.last_seen_s > QUIET_S:
                changed += self._release(segments, now_s, familiar=False)
            elif now_s - block.began_s > self._familiar_block_s(segments):
                changed += self._release(segments, now_s, familiar=True)
                reason = "familiar"
        for engine, end in list(self._ends.items()):
            if now_s - end.at_s > EVIDENCE_LIFETIME_S:
                del self._ends[engine]
        self._cached_summary = None
        self._narrow_blocks(now_s)
        # Evidence against waiting segments may count later, when others are cleared.
        used = self._blocked().union(*(end.entries for end in self._ends.values()))
        for segment, suspect in list(self._suspects.items()):
            is_old = now_s - suspect.changed_s > CLEARANCE_LIFETIME_S
            if segment not in used and is_old:
                del self._suspects[segment]
        self._finish(before, changed, now_s, None, reason)

    def export(
        self, now_s: float, only: Iterable[str] | None = None, most: int = MAX_ENDS
    ) -> list[Any]:
        """Return evidence and blocks for peers: of `only` some names, or `most` rows.

        Blocks are always included. Calls with a small `most` return all rows in turn.
        """
        names = [*self._ends, *self._suspects]
        if only is not None:
            names = [each for each in dict.fromkeys(only) if each in set(names)]
        elif len(names) > most:
            start = self._next_exported % len(names)
            self._next_exported += most
            names = (names[start:] + names[:start])[:most]
        ends = [self._encode_end(each, now_s) for each in names if each in self._ends]
        suspects = [
            self._encode_suspect(each, now_s)
            for each in names
            if each in self._suspects
        ]
        blocks = [
            [
                [list(pair) for pair in zip(names, block.clearances, strict=True)],
                _age_ms(block.last_seen_s, now_s),
                block.weights,
            ]
            for names, block in self._blocks.items()
        ]
        return [suspects, ends, blocks] if suspects or ends or blocks else []

    def merge(self, exported: Sequence[Any], peer: str | None, now_s: float) -> None:
        """Merge the evidence and the blocks of a peer.

        Raise ValueError or TypeError for malformed rows.
        """
        if not exported:
            return
        before = self._state()
        suspects, ends, blocks = exported
        changed: list[str] = []
        # A new end voids the trial before it; one that is reported with it came later.
        for row in ends:
            changed += self._merge_end(row, now_s)
        for row in suspects:
            changed += self._merge_suspect(row, now_s)
        for row in blocks:
            changed += self._merge_block(row, now_s)
        self._finish(before, changed, now_s, peer)

    def evidence(self, segments: Iterable[str], now_s: float) -> list[list[Any]]:
        """Return each suspected segment, its score and its last end's age in ms."""
        rows: list[list[Any]] = []
        for segment in segments:
            engines = self._engines(segment)
            if engines:
                last_s = self._ends[engines[-1]].at_s
                score = self._summary().scores[segment]
                rows.append([segment, score, _age_ms(last_s, now_s)])
        return rows

    def _add_end(self, engine: str, reported: _End) -> list[str]:
        """Unite a report on an end with what is known; return the changed rows."""
        end = self._ends.get(engine)
        known = end is not None
        if end is None:
            end = _End(reported.at_s)
        changed = False
        for segment, entry in reported.entries.items():
            if entry.clearance < self._clearance(segment):
                continue
            previous = end.entries.get(segment)
            if previous is not None and (
                previous.clearance > entry.clearance
                or (previous.clearance == entry.clearance and previous.writing)
                or previous == entry
            ):
                continue
            if previous is None and len(end.entries) >= MAX_SEGMENTS_PER_END:
                continue
            end.entries[segment] = entry
            self._suspect(segment, end.at_s).trial_node = None
            changed = True
        if not changed:
            return []
        if not known:
            self._ends[engine] = end
            while len(self._ends) > MAX_ENDS:
                del self._ends[min(self._ends, key=lambda each: self._ends[each].at_s)]
        self._cached_summary = None
        return [engine]

    def _suspect(self, segment: str, at_s: float) -> _Suspect:
        suspect = self._suspects.get(segment)
        if suspect is None:
            suspect = self._suspects[segment] = _Suspect(changed_s=at_s)
            suspect.familiar = segment in self._familiar
        return suspect

    def _clear(
        self, segment: str, clearance: int, now_s: float, *, familiar: bool
    ) -> None:
        suspect = self._suspect(segment, now_s)
        suspect.clearance, suspect.changed_s = clearance, now_s
        suspect.familiar = familiar
        suspect.trial_node = None
        for end in self._ends.values():
            entry = end.entries.get(segment)
            if entry is not None and entry.clearance < clearance:
                del end.entries[segment]
        self._cached_summary = None

    def _familiar_block_s(self, segments: tuple[str, ...]) -> float:
        """Return how long a block lasts although its segments are asked for."""
        suspects = [self._suspects[each] for each in segments]
        if not all(suspect.familiar for suspect in suspects):
            return float("inf")
        releases = max(suspect.early_releases for suspect in suspects)
        return FAMILIAR_BLOCK_S * 2.0**releases

    def _release(
        self, segments: tuple[str, ...], now_s: float, *, familiar: bool
    ) -> list[str]:
        """End a block; one more end, or two if familiar, blocks its segments again."""
        del self._blocks[segments]
        for segment in segments:
            clearance = self._clearance(segment) + 1
            self._clear(segment, clearance, now_s, familiar=familiar)
            self._suspects[segment].early_releases += familiar
        entries = {each: _Entry(self._clearance(each), True) for each in segments}
        changed = list(segments)
        for number in range(1, int(BLOCK_ENDS)):
            at_s = now_s - (BLOCK_ENDS - number) * 2 * MIN_END_SPACING_S
            name = f"released-{segments[0]}-{self._clearance(segments[0])}-{number}"
            changed += self._add_end(name, _End(at_s, dict(entries)))
        return changed

    def _finish(
        self,
        before: tuple[set[str], dict[tuple[str, ...], tuple[str, ...]]],
        changed: Sequence[str],
        now_s: float,
        peer: str | None,
        reason: str = "cleared",
    ) -> None:
        """Derive the blocks from the evidence, and notify the listeners."""
        if changed:
            self._shrink_blocks()
            self._add_blocks(now_s)
            self._bound_suspects()
        suspected, blocks = before
        changes = [
            Change(ChangeKind.BLOCKED, segments, self._common_engines(segments), peer)
            for segments in self._blocks
            if segments not in blocks
        ]
        changes += [
            Change(ChangeKind.RELEASED, segments, engines, peer, reason)
            for segments, engines in blocks.items()
            if segments not in self._blocks
        ]
        now_suspected = set(self._summary().engines)
        changes += [
            Change(ChangeKind.SUSPECTED, (each,), self._engines(each), peer)
            for each in sorted(now_suspected - suspected)
        ]
        changes += [
            Change(ChangeKind.CLEARED, (each,), (), peer)
            for each in sorted(suspected - now_suspected)
        ]
        if changed or changes:
            self._notify(changes, changed, peer)

    def _notify(
        self, changes: Sequence[Change], changed: Sequence[str], peer: str | None
    ) -> None:
        for listener in self._listeners:
            listener(changes, changed, peer)

    def _state(self) -> tuple[set[str], dict[tuple[str, ...], tuple[str, ...]]]:
        blocks = {segments: self._common_engines(segments) for segments in self._blocks}
        return set(self._summary().engines), blocks

    def _engines(self, segment: str) -> tuple[str, ...]:
        return self._summary().engines.get(segment, ())

    def _common_engines(self, segments: tuple[str, ...]) -> tuple[str, ...]:
        """Return the engines that ended under all of the segments, oldest first."""
        common = set.intersection(*(set(self._engines(each)) for each in segments))
        return tuple(each for each in self._engines(segments[0]) if each in common)

    def _blocked(self) -> set[str]:
        return {segment for segments in self._blocks for segment in segments}

    def _replace_block(
        self, segments: tuple[str, ...], remaining: tuple[str, ...]
    ) -> None:
        block = self._blocks.pop(segments)
        if remaining and remaining not in self._blocks:
            clearances = tuple(self._clearance(each) for each in remaining)
            self._blocks[remaining] = replace(block, clearances=clearances)
        self._cached_summary = None

    def _shrink_blocks(self) -> None:
        """Remove cleared segments from blocks, and blocks that others cover."""
        for segments, block in list(self._blocks.items()):
            remaining = tuple(
                segment
                for segment, clearance in zip(segments, block.clearances, strict=True)
                if self._clearance(segment) <= clearance
            )
            if remaining != segments:
                self._replace_block(segments, remaining)
        for segments in list(self._blocks):
            if any(set(other) < set(segments) for other in self._blocks):
                self._replace_block(segments, ())

    def _narrow_blocks(self, now_s: float) -> None:
        """Remove segments from a block that lack an end which another one has."""
        complete = {
            engine
            for engine, end in self._ends.items()
            if now_s - end.at_s > COMPLETE_AFTER_S
        }
        for segments in list(self._blocks):
            ends = {each: complete & set(self._engines(each)) for each in segments}
            remaining = tuple(
                each
                for each in segments
                if not any(ends[each] < ends[other] for other in segments)
            )
            if remaining != segments:
                self._replace_block(segments, remaining)

    def _add_blocks(self, now_s: float) -> None:
        """Block the segments that explain most ends, until none explains enough.

        Segments that no evidence tells apart are blocked together: a request with only
        some of them is tried.
        """
        while len(self._blocks) < MAX_BLOCKS:
            scores, blocked = self._summary().scores, self._blocked()
            due = [
                segment
                for segment, score in scores.items()
                if segment not in blocked and score >= self._block_ends(segment)
            ]
            if not due:
                return
            best = max(due, key=scores.__getitem__)
            alike = [
                each
                for each in due
                if set(self._engines(each)) == set(self._engines(best))
            ]
            unfamiliar = [each for each in alike if not self._suspects[each].familiar]
            segments = tuple(sorted(unfamiliar or alike))
            weights = self._weights.get(_service(best), -1)
            clearances = tuple(self._clearance(each) for each in segments)
            self._blocks[segments] = _Block(now_s, now_s, weights, clearances)
            for segment in segments:
                self._familiar.pop(segment, None)
            self._cached_summary = None

    def _bound_suspects(self) -> None:
        excess = len(self._suspects) - MAX_SUSPECTS
        if excess <= 0:
            return
        scores, blocked = self._summary().scores, self._blocked()
        removable = sorted(
            (each for each in self._suspects if each not in blocked),
            key=lambda each: (scores.get(each, 0.0), self._suspects[each].changed_s),
        )
        for segment in removable[:excess]:
            for end in self._ends.values():
                end.entries.pop(segment, None)
            del self._suspects[segment]
        self._cached_summary = None

    def _summary(self) -> _Summary:
        if self._cached_summary is None:
            self._cached_summary = self._summarise()
        return self._cached_summary

    def _summarise(self) -> _Summary:
        engines: dict[str, list[str]] = {}
        for engine, end in sorted(self._ends.items(), key=lambda pair: pair[1].at_s):
            has_writing = end.has_writing
            for segment, entry in end.entries.items():
                if entry.writing or not has_writing:
                    engines.setdefault(segment, []).append(engine)
        explained: set[str] = set()
        for segments in self._blocks:
            explained |= set.intersection(
                *(set(engines.get(each, ())) for each in segments)
            )
        scores = {
            segment: self._score(names, explained) for segment, names in engines.items()
        }
        return _Summary({k: tuple(v) for k, v in engines.items()}, scores)

    def _score(self, engines: Sequence[str], explained: set[str]) -> float:
        """Return the weighted number of ends that no block explains."""
        score, last_s = 0.0, -1e9
        for engine in engines:
            end = self._ends[engine]
            if engine in explained or end.at_s - last_s < MIN_END_SPACING_S:
                continue
            score += end.weight
            last_s = end.at_s
        return score

    def _block_ends(self, segment: str) -> float:
        familiar = self._suspects[segment].familiar
        return BLOCK_ENDS_FAMILIAR if familiar else BLOCK_ENDS

    def _needs_trial(self, segment: str) -> bool:
        score = self._summary().scores.get(segment, 0.0)
        if not score:
            return False
        familiar = self._suspects[segment].familiar
        return score >= (TRIAL_ENDS_FAMILIAR if familiar else TRIAL_ENDS)

    def _has_trial(self, segment: str, now_s: float) -> bool:
        suspect = self._suspects[segment]
        return (
            suspect.trial_node is not None
            and now_s - suspect.trial_began_s < TRIAL_LIFETIME_S
        )

    def _clearance(self, segment: str) -> int:
        suspect = self._suspects.get(segment)
        return 0 if suspect is None else suspect.clearance

    def _encode_suspect(self, segment: str, now_s: float) -> list[Any]:
        suspect = self._suspects[segment]
        trial = None
        if self._has_trial(segment, now_s):
            trial = [suspect.trial_node, _age_ms(suspect.trial_began_s, now_s)]
        changed_ms = _age_ms(suspect.changed_s, now_s)
        return [segment, suspect.clearance, changed_ms, suspect.familiar, trial]

    def _encode_end(self, engine: str, now_s: float) -> list[Any]:
        end = self._ends[engine]
        entries = [
            [segment, entry.clearance, entry.writing]
            for segment, entry in end.entries.items()
        ]
        return [engine, _age_ms(end.at_s, now_s), entries]

    def _merge_suspect(self, row: Sequence[Any], now_s: float) -> list[str]:
        name, clearance, changed_ms, familiar, trial = row
        segment, clearance = str(name), int(clearance)
        changed_s = now_s - float(changed_ms) / 1000
        if clearance < self._clearance(segment) or (
            segment not in self._suspects and now_s - changed_s > EVIDENCE_LIFETIME_S
        ):
            return []
        changed = []
        if clearance > self._clearance(segment):
            self._clear(segment, clearance, changed_s, familiar=bool(familiar))
            changed = [segment]
        suspect = self._suspect(segment, changed_s)
        if familiar and not suspect.familiar:
            suspect.familiar = True
            changed = [segment]
        if trial is not None and not self._has_trial(segment, now_s):
            began_s = now_s - float(trial[1]) / 1000
            if now_s - began_s < TRIAL_LIFETIME_S:
                suspect.trial_node, suspect.trial_began_s = str(trial[0]), began_s
                changed = [segment]
        return changed

    def _merge_end(self, row: Sequence[Any], now_s: float) -> list[str]:
        engine, age_ms, rows = row
        at_s = now_s - float(age_ms) / 1000
        if now_s - at_s > EVIDENCE_LIFETIME_S:
            return []
        entries = {
            str(segment): _Entry(int(clearance), bool(writing))
            for segment, clearance, writing in rows
        }
        return self._add_end(str(engine), _End(at_s, entries))

    def _merge_block(self, row: Sequence[Any], now_s: float) -> list[str]:
        members, age_ms, weights = row
        segments = tuple(str(segment) for segment, _ in members)
        clearances = tuple(int(clearance) for _, clearance in members)
        last_seen_s = now_s - float(age_ms) / 1000
        block = self._blocks.get(segments)
        if block is not None:
            if last_seen_s - block.last_seen_s > MIN_AGE_DIFFERENCE_S:
                block.last_seen_s = last_seen_s
            return []
        outdated = any(
            clearance < self._clearance(segment)
            for segment, clearance in zip(segments, clearances, strict=True)
        )
        covered = any(set(each) < set(segments) for each in self._blocks)
        if outdated or covered or not segments or len(self._blocks) >= MAX_BLOCKS:
            return []
        if int(weights) < self._weights.get(_service(segments[0]), -1):
            return []
        for segment, clearance in zip(segments, clearances, strict=True):
            self._suspect(segment, last_seen_s).clearance = clearance
            self._familiar.pop(segment, None)
        self._blocks[segments] = _Block(now_s, last_seen_s, int(weights), clearances)
        self._cached_summary = None
        return list(segments)


def _service(segment: str) -> str:
    return segment.partition("/")[0]


def _age_ms(at_s: float, now_s: float) -> int:
    return max(0, round(1000 * (now_s - at_s)))
