"""Measure memory and time per claim and per publish id; print JSON lines."""

import argparse
import json
import os
import random
import time
import tracemalloc
from collections.abc import Iterator, Sequence
from pathlib import Path

from expression import Ok

from cicadapass_common.records import decode_record, encode_record
from cicadapass_decisions import fold as fold_module
from cicadapass_decisions.claims import (
    CLAIM_ID_BYTES,
    FINGERPRINT_BYTES,
    KEY_HASH_BYTES,
    ClaimIndex,
)
from cicadapass_decisions.fold import FoldState, fold, skip_to
from cicadapass_decisions.logrecords import Claim, ClaimBatch, LogRecord, Publish

SIZES = (10_000, 50_000, 200_000)
PUBLISH_IDS = (64, 256, 512)
UPSTREAMS = (20, 350, 1_400)
BATCH_CLAIMS = 64
WINDOW_S = 3600.0


def main(argv: Sequence[str] | None = None) -> None:
    """Print all measures with one seed."""
    parser = argparse.ArgumentParser(prog="slopes_claims")
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args(argv).seed
    # The largest index is built first: later, the process would reuse freed memory and
    # its resident size would not grow.
    before_bytes = _resident_bytes()
    index = _fill(max(SIZES), random.Random(seed))
    grown_bytes = _resident_bytes() - before_bytes
    variant = f"{max(SIZES)} claims, resident"
    _print("index bytes per claim", variant, grown_bytes / len(index), "B", seed)
    del index
    for size in SIZES:
        _measure_index(size, seed)
    _measure_codec(seed)
    for upstreams in UPSTREAMS:
        _measure_document(upstreams, seed)
    for count in PUBLISH_IDS:
        _measure_fold(count, seed)


def _measure_index(size: int, seed: int) -> None:
    tracemalloc.start()
    index = _fill(size, random.Random(seed))
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    variant = f"{size} claims"
    per_claim = traced_bytes / len(index)
    _print("index bytes per claim", f"{variant}, traced", per_claim, "B", seed)
    # The same number of new claims, during which the first ones expire.
    records = list(_records(size, random.Random(seed + 1), first_offset=size))
    start_s = time.perf_counter()
    for record in records:
        index.evaluate(record)
    per_item_us = (time.perf_counter() - start_s) / size * 1e6
    _print("time per judged claim", variant, per_item_us, "us", seed)


def _measure_codec(seed: int) -> None:
    records = list(_records(10_000, random.Random(seed), 0))
    start_s = time.perf_counter()
    payloads = [encode_record(record.body).ok for record in records]
    middle_s = time.perf_counter()
    for payload in payloads:
        decode_record(payload)
    end_s = time.perf_counter()
    size = sum(len(payload) for payload in payloads)
    variant = f"batches of {BATCH_CLAIMS}"
    _print("record bytes per claim", variant, size / 10_000, "B", seed)
    _print("encode time per claim", variant, (middle_s - start_s) * 100, "us", seed)
    _print("decode time per claim", variant, (end_s - middle_s) * 100, "us", seed)


def _measure_document(upstreams: int, seed: int) -> None:
    rng = random.Random(seed)
    entries = {f"parts-{n}": _upstream(rng) for n in range(upstreams)}
    document = {"format": 1, "fleets": {"grabhandle": {"upstreams": entries}}}
    start_s = time.perf_counter()
    payload = encode_record(Publish("id", 0, "op", document)).ok
    middle_s = time.perf_counter()
    decode_record(payload)
    end_s = time.perf_counter()
    variant = f"{upstreams} upstreams"
    text_bytes = len(json.dumps(document))
    _print("document bytes as JSON", variant, text_bytes, "B", seed)
    _print("record bytes per publish", variant, len(payload), "B", seed)
    _print("encode time per publish", variant, (middle_s - start_s) * 1e3, "ms", seed)
    _print("decode time per publish", variant, (end_s - middle_s) * 1e3, "ms", seed)


def _upstream(rng: random.Random) -> dict[str, object]:
    host = ".".join(str(rng.randrange(256)) for _ in range(4))
    return {
        "service": "parts",
        "data_centre": f"dc-{rng.choice('abcdefghij')}",
        "url": f"http://{host}:{rng.randrange(1024, 65536)}",
        "slots": rng.choice([4, 8, 16]),
        "class": rng.choice(["l4", "a100", "h100"]),
        "reclaimable": rng.random() < 0.59,
        "price_per_hour": round(rng.uniform(0.5, 4.0), 2),
        "checks_fencing": rng.random() < 0.5,
        "deduplicates": rng.random() < 0.5,
    }


def _measure_fold(count: int, seed: int) -> None:
    rng = random.Random(seed)
    tracemalloc.start()
    state = skip_to(FoldState(), 0)
    before_bytes, _ = tracemalloc.get_traced_memory()
    start_s = time.perf_counter()
    for offset in range(count):
        # The same format as the publish ids of the command line.
        publish_id = rng.randbytes(16).hex()
        body = Publish(publish_id, state.version, f"op-{offset % 7}", {})
        state, _ = fold(state, LogRecord(offset, float(offset), body), Ok)
    per_item_us = (time.perf_counter() - start_s) / count * 1e6
    del body
    bytes_used = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    assert len(state.verdicts) == min(count, fold_module.MAX_PUBLISH_IDS)
    per_id = bytes_used / len(state.verdicts)
    variant = f"{count} ids"
    _print("state bytes per publish id", f"{variant}, traced", per_id, "B", seed)
    _print(
        "time per folded publish", f"{variant}, while tracing", per_item_us, "us", seed
    )


def _fill(size: int, rng: random.Random) -> ClaimIndex:
    index = ClaimIndex(WINDOW_S)
    for record in _records(size, rng, first_offset=0):
        index.evaluate(record)
    return index


def _records(
    size: int, rng: random.Random, first_offset: int
) -> Iterator[LogRecord[ClaimBatch]]:
    """Yield batches with the claims spread over one window, starting at the offset."""
    for start in range(0, size, BATCH_CLAIMS):
        count = min(BATCH_CLAIMS, size - start)
        claims = tuple(_claim(rng) for _ in range(count))
        time_s = (first_offset + start) * WINDOW_S / size
        yield LogRecord(first_offset + start, time_s, ClaimBatch(claims))


def _claim(rng: random.Random) -> Claim:
    owner, holder = (
        f"grabhandle-{rng.choice('abc')}-{rng.randrange(99):02}" for _ in "ab"
    )
    return Claim(
        rng.randbytes(KEY_HASH_BYTES),
        rng.randbytes(FINGERPRINT_BYTES),
        rng.randbytes(CLAIM_ID_BYTES),
        f"{owner}.{holder}.{rng.randbytes(8).hex()}",
        "i-0123456789abcdef",
    )


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _print(measure: str, variant: str, value: float, unit: str, seed: int) -> None:
    line = {
        "measure": measure,
        "variant": variant,
        "value": round(value, 2),
        "unit": unit,
        "seed": seed,
    }
    print(json.dumps(line))


if __name__ == "__main__":
    main()
