"""Measure the appends of ten claim batchers at several shares of keyed calls."""

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
    keyed_share_at,
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

SHARES = (0.01, 0.05, 0.20)
DURATION_S = 6.0
QUICK_DURATION_S = 1.0
WINDOW_S = 3600.0
RETENTION_S = 86_400.0
MAX_CLAIMS = 200_000


@dataclass(slots=True)
class Counts:
    """Count what one batcher did."""

    appends: int = 0
    claims: int = 0
    refused: int = 0
    judging_s: list[float] = field(default_factory=list)


def measure_claims(
    output: Output, plan: PlannedSize, group: ProcessGroup, *, quick: bool
) -> None:
    """Run a batcher for each data centre against the stand-in of the log."""
    logging.disable(logging.CRITICAL)
    duration_s = QUICK_DURATION_S if quick else DURATION_S
    for share in SHARES:
        # The stand-in has no append limit by default, so it does not hide the demand.
        command = ["-m", "cicadapass_standins.log"]
        [log] = group.start_all([(f"log-{share}", command)])
        rate = share * plan.requests_per_s / plan.data_centres
        counts = [Counts() for _ in range(plan.data_centres)]
        threads = [
            threading.Thread(
                target=_batch, args=(str(log.addresses["url"]), n, rate, duration_s, c)
            )
            for n, c in enumerate(counts)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        _report(output, plan, f"{share:.0%} keyed", counts, duration_s)


def _report(
    output: Output,
    plan: PlannedSize,
    variant: str,
    counts: list[Counts],
    duration_s: float,
) -> None:
    appends = sum(each.appends for each in counts) / duration_s
    claims = sum(each.claims for each in counts) / duration_s
    refused = sum(each.refused for each in counts)
    judging = [value for each in counts for value in each.judging_s]
    append_s = sum(judging) / max(1, len(judging))
    output.value("claim_appends_per_s", variant, appends, "appends/s")
    output.value("claims_per_s", variant, claims, "claims/s")
    output.value("claims_refused", variant, refused, "claims")
    output.value("claim_append_and_read", variant, 1e3 * append_s, "ms")
    model = batcher_appends_per_s(claims, plan.data_centres, BATCH_WAIT_S, append_s)
    output.value("claim_appends_model", variant, model, "appends/s")
    share = keyed_share_at(
        plan.appends_per_s,
        plan.requests_per_s,
        plan.data_centres,
        BATCH_WAIT_S,
        append_s,
    )
    output.value("claim_share_at_append_limit", variant, 100 * share, "%")


def _batch(
    url: str, number: int, rate_per_s: float, duration_s: float, counts: Counts
) -> None:
    """Collect claims for the batch wait, append them and read them back."""
    rng = random.Random(number)
    events = EventLog(f"batcher-{number}", lambda: (0, 0))
    client = LogClient(url, "claims")
    log = ClaimLog(client, events, WINDOW_S, RETENTION_S, MAX_CLAIMS)
    pause = threading.Event()
    log.catch_up()
    end_s = time.monotonic() + duration_s
    due_s = time.monotonic() + rng.expovariate(rate_per_s)
    while due_s < end_s:
        pause.wait(max(0.0, due_s + BATCH_WAIT_S - time.monotonic()))
        claims = []
        while due_s <= time.monotonic():
            claims.append(_claim(rng))
            due_s += rng.expovariate(rate_per_s)
        start_s = time.monotonic()
        verdicts = log.evaluate(claims)
        counts.judging_s.append(time.monotonic() - start_s)
        counts.appends += 1
        counts.claims += len(claims)
        counts.refused += sum(str(each.outcome) == "not_run" for each in verdicts)
    client.close()


def _claim(rng: random.Random) -> Claim:
    return Claim(
        rng.randbytes(KEY_HASH_BYTES),
        rng.randbytes(FINGERPRINT_BYTES),
        rng.randbytes(CLAIM_ID_BYTES),
        f"entry-01.entry-02.{rng.randbytes(8).hex()}",
        "i-0123456789abcdef",
    )
