"""Measure the appends of ten claim batchers at several fractions of keyed calls."""

import logging
import random
import threading
import time
from dataclasses import dataclass, field

from cicadapass.claimlog import ClaimLog
from cicadapass.claims import BATCH_WAIT_S
from cicadapass_bench.capacity_output import Output
from cicadapass_bench.capacity_plan import (
    PlannedSize,
    batcher_appends_per_s,
    keyed_fraction_at,
)
from cicadapass_bench.processes import ProcessGroup
from cicadapass_common.events import EventLog
from cicadapass_common.logclient import LogClient
from cicadapass_decisions.claims import (
    CLAIM_ID_BYTES,
    FINGERPRINT_BYTES,
    KEY_HASH_BYTES,
)
from cicadapass_decisions.logrecords import Claim

KEYED_FRACTIONS = (0.01, 0.05, 0.20)
DURATION_S = 6.0
QUICK_DURATION_S = 1.0
WINDOW_S = 3600.0
RETENTION_S = 86_400.0
MAX_CLAIMS = 200_000


@dataclass(slots=True)
class BatcherCounts:
    """Count the work of one batcher; `evaluate_s` has an entry for each append."""

    appends: int = 0
    claims: int = 0
    refused: int = 0
    evaluate_s: list[float] = field(default_factory=list)


def measure_claims(
    output: Output, plan: PlannedSize, group: ProcessGroup, *, quick: bool
) -> None:
    """Run one batcher per data centre against the stand-in log."""
    logging.disable(logging.CRITICAL)
    duration_s = QUICK_DURATION_S if quick else DURATION_S
    for keyed_fraction in KEYED_FRACTIONS:
        # The stand-in has no append limit by default, so it does not limit the result.
        command = ["-m", "cicadapass_standins.log"]
        [log] = group.start_all([(f"log-{keyed_fraction}", command)])
        rate = keyed_fraction * plan.requests_per_s / plan.data_centres
        counts = [BatcherCounts() for _ in range(plan.data_centres)]
        threads = [
            threading.Thread(
                target=_run_batcher,
                args=(
                    str(log.addresses["url"]),
                    number,
                    rate,
                    duration_s,
                    batcher_counts,
                ),
            )
            for number, batcher_counts in enumerate(counts)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        _report(output, plan, f"{keyed_fraction:.0%} keyed", counts, duration_s)


def _report(
    output: Output,
    plan: PlannedSize,
    variant: str,
    counts: list[BatcherCounts],
    duration_s: float,
) -> None:
    appends = sum(batcher.appends for batcher in counts) / duration_s
    claims = sum(batcher.claims for batcher in counts) / duration_s
    refused = sum(batcher.refused for batcher in counts)
    durations_s = [value for batcher in counts for value in batcher.evaluate_s]
    append_s = sum(durations_s) / max(1, len(durations_s))
    output.value("claim_appends_per_s", variant, appends, "appends/s")
    output.value("claims_per_s", variant, claims, "claims/s")
    output.value("claims_refused", variant, refused, "claims")
    output.value("claim_append_and_read", variant, 1e3 * append_s, "ms")
    modelled = batcher_appends_per_s(claims, plan.data_centres, BATCH_WAIT_S, append_s)
    output.value("claim_appends_model", variant, modelled, "appends/s")
    fraction_at_limit = keyed_fraction_at(
        plan.appends_per_s,
        plan.requests_per_s,
        plan.data_centres,
        BATCH_WAIT_S,
        append_s,
    )
    output.value("claim_share_at_append_limit", variant, 100 * fraction_at_limit, "%")


def _run_batcher(
    url: str, number: int, rate_per_s: float, duration_s: float, counts: BatcherCounts
) -> None:
    """Collect claims during the batch wait, append them and read the verdicts."""
    rng = random.Random(number)
    events = EventLog(f"batcher-{number}", lambda: (0, 0))
    client = LogClient(url, "claims")
    log = ClaimLog(client, events, WINDOW_S, RETENTION_S, MAX_CLAIMS)
    timer = threading.Event()
    log.catch_up()
    end_s = time.monotonic() + duration_s
    next_arrival_s = time.monotonic() + rng.expovariate(rate_per_s)
    while next_arrival_s < end_s:
        timer.wait(max(0.0, next_arrival_s + BATCH_WAIT_S - time.monotonic()))
        claims = []
        while next_arrival_s <= time.monotonic():
            claims.append(_claim(rng))
            next_arrival_s += rng.expovariate(rate_per_s)
        started_s = time.monotonic()
        verdicts = log.evaluate(claims)
        counts.evaluate_s.append(time.monotonic() - started_s)
        counts.appends += 1
        counts.claims += len(claims)
        counts.refused += sum(str(verdict.outcome) == "not_run" for verdict in verdicts)
    client.close()


def _claim(rng: random.Random) -> Claim:
    return Claim(
        rng.randbytes(KEY_HASH_BYTES),
        rng.randbytes(FINGERPRINT_BYTES),
        rng.randbytes(CLAIM_ID_BYTES),
        f"entry-01.entry-02.{rng.randbytes(8).hex()}",
        "i-0123456789abcdef",
    )
