"""Check what callers got and what engines did while engines fell silent."""

import bisect
from collections import Counter

import testtools

from cicadapass_decisions.attempts import MAX_SENDS
from tests.gateway.silence import (
    REPEATABLE_ROUTES,
    STREAM_ROUTES,
    TIME_LIMITS_S,
    play,
)
from tests.gateway.virtualcluster import run_virtual

# The usual size of a cluster.
NODES = 7
ENGINES = 9

# The platform's bounds: two engines may work on one request for this long, and the
# repeats within a window are limited to a ratio of the requests and a slack.
OVERLAP_S = 0.4
RETRY_RATIO = 0.2
RETRY_SLACK = 20
RETRY_WINDOW_S = 10.0
# Runs that each route allows for one request.
MAX_RUNS = 2
# A request ends at its deadline, up to the delays of timers and the network.
DEADLINE_SLACK_S = 0.05
# A play with fewer silences shows nothing.
MIN_SILENCES = 10


def outcomes(cluster):
    """Count the outcomes at callers by route."""
    return Counter((each.route, each.outcome) for each in cluster.exchanges)


def losses(cluster):
    """Return the requests without a whole answer, except for refusals, by route."""
    return {
        f"{route}: {outcome}": count
        for (route, outcome), count in sorted(outcomes(cluster).items())
        if outcome not in ("whole", "503")
    }


def refusals(cluster):
    """Return the number of requests that were answered with 503."""
    return sum(each.outcome == "503" for each in cluster.exchanges)


def broken_rules(cluster):
    """Return what broke the rules on runs and ends, with the number of cases."""
    counts = Counter()
    for exchange in cluster.exchanges:
        request = exchange.request
        runs = cluster.runs[request.request_id]
        limit_s = TIME_LIMITS_S[exchange.route] + DEADLINE_SLACK_S
        if exchange.outcome == "503":
            counts["refused although it ran"] += bool(runs)
        elif exchange.route not in REPEATABLE_ROUTES:
            counts["not run exactly once"] += len(runs) != 1
        # Runs at engines that ended meanwhile do not count towards the route's limit.
        counted = [each for each in runs if each.end != "lost"]
        counts["more runs than its route allows"] += len(counted) > MAX_RUNS
        counts["more sends than a request may have"] += len(runs) > MAX_SENDS
        if request.ended_s is None:
            continue
        counts["ended after its deadline"] += request.ended_s - request.sent_s > limit_s
        counts["an engine worked on it after its end"] += any(
            each.ended_s is None or each.ended_s > request.ended_s + OVERLAP_S
            for each in runs
        )
        if exchange.route in STREAM_ROUTES:
            counts["two engines worked on a stream"] += _overlaps(runs)
    counts["unfinished when its node ended"] = cluster.unfinished_at_stops
    counts["repeats above the limit"] = excess_repeats(cluster)
    return {name: count for name, count in counts.items() if count}


def _overlaps(runs):
    """Return whether two runs went on for too long after the second one wrote."""
    return any(
        second.wrote_s is not None
        and min(_end_s(first), _end_s(second)) > second.wrote_s + OVERLAP_S
        for number, second in enumerate(runs)
        for first in runs[:number]
    )


def _end_s(run):
    return float("inf") if run.ended_s is None else run.ended_s


def excess_repeats(cluster):
    """Return the most repeats by which a window exceeds the limit of the platform."""
    sent_s = sorted(each.request.sent_s for each in cluster.exchanges)
    repeated_s = sorted(
        run.sent_s for runs in cluster.runs.values() for run in runs[1:]
    )
    excess = 0
    for number, end_s in enumerate(repeated_s, 1):
        start_s = end_s - RETRY_WINDOW_S
        repeats = number - bisect.bisect_left(repeated_s, start_s)
        requests = bisect.bisect_right(sent_s, end_s) - bisect.bisect_left(
            sent_s, start_s
        )
        allowed = RETRY_RATIO * requests + RETRY_SLACK
        excess = max(excess, round(repeats - allowed))
    return excess


def judgements(cluster):
    """Return what nodes held against engines and segments, in samples."""
    found = {}
    if cluster.scored_samples:
        found["samples with a failure score"] = cluster.scored_samples
        found["highest failure score"] = round(cluster.highest_score, 2)
    if cluster.suspecting_samples:
        found["samples with suspected segments"] = cluster.suspecting_samples
    return found


def silent_share(cluster):
    """Return the first tries per silent engine relative to those per engine."""
    counts = Counter(runs[0].engine for runs in cluster.runs.values() if runs)
    silent = sum(counts[each] for each in cluster.silent_engines)
    expected = counts.total() * len(cluster.silent_engines) / len(cluster.engines)
    return silent / expected if expected else 1.0


def summary(cluster):
    """Return the figures of a play for the message of a failed check."""
    repeats = sum(len(runs) - 1 for runs in cluster.runs.values() if runs)
    return (
        f"{len(cluster.exchanges)} requests, {cluster.silence_count} silences, "
        f"{repeats} repeats, {refusals(cluster)} refusals, "
        f"{cluster.samples} samples, "
        f"silent engines got {silent_share(cluster):.2f} of their share"
    )


def play_silences(seed, silences, **changes):
    """Play a cluster of the usual size."""
    return run_virtual(play(NODES, ENGINES, seed, silences, **changes))


class SilenceTest(testtools.TestCase):
    """Expect whole answers while engines fall silent and go on."""

    def expect_whole_answers(self, plays):
        """Play named clusters, and expect each request served by the rules."""
        found, figures = {}, []
        for name, cluster in plays:
            figures.append(f"{name}: {summary(cluster)}")
            problems = {**losses(cluster), **broken_rules(cluster)}
            if cluster.silence_count < MIN_SILENCES:
                problems["silences"] = cluster.silence_count
            if refusals(cluster):
                # The engines are far from busy, so none is due.
                problems["refusals"] = refusals(cluster)
            if problems:
                found[name] = problems
        self.assertEqual({}, found, "\n".join(figures))

    def expect_whole_answers_of_seeds(self, seeds, silences, **changes):
        """Play a cluster with each seed, and expect each request served."""
        self.expect_whole_answers(
            (f"seed {seed}", play_silences(seed, silences, **changes)) for seed in seeds
        )
