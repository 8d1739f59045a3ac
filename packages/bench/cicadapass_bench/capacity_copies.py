"""Measure copies, answers and the hand-over of many requests."""

import time
import tracemalloc
from dataclasses import replace

from cicadapass.answers import Answer
from cicadapass.copystore import CopyStore
from cicadapass.render import AnswerFormat, AnswerHead
from cicadapass_bench.capacity_output import Output
from cicadapass_bench.capacity_plan import PlannedSize
from cicadapass_bench.peerfixtures import address
from cicadapass_common.copymessages import (
    Binding,
    CopiedRequest,
    CopyRequest,
    ProgressItem,
)
from cicadapass_common.wire import decode, encode

TOKENS = (0, 250, 1_000)
COPIES = 200
QUICK_COPIES = 20
HAND_OVERS = (100, 400, 1_600)
# The texts of a mean request when the wave comes: half of its tokens.
DOCUMENT = b"x" * 1_000
LARGE_BYTES = 10**9


def measure_copies(output: Output, *, quick: bool) -> None:
    """Measure the memory of a copy and of an answer by their tokens."""
    count = QUICK_COPIES if quick else COPIES
    copies, counted, answers = [], [], []
    for tokens in TOKENS:
        store = CopyStore(LARGE_BYTES)
        tracemalloc.start()
        for n in range(count):
            store.put(_received(n), address(n % 10), 0.0)
            texts = tuple(f" tok{i}" for i in range(tokens))
            if texts:
                store.progress(ProgressItem(f"r-{n}", 1, 0, texts, False), 0.0)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        copies.append((tokens, held / count))
        counted.append((tokens, store.used_bytes / count))
        tracemalloc.start()
        kept = [_answer(n, tokens) for n in range(count)]
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        answers.append((tokens, held / len(kept)))
    output.series("copy_bytes", "tokens", copies, "B")
    output.series("copy_counted_bytes", "tokens", counted, "B")
    output.series("answer_bytes", "tokens", answers, "B")


def measure_hand_over(output: Output, plan: PlannedSize, *, quick: bool) -> None:
    """Measure the copies that are sent when many requests change their owner."""
    sizes = tuple(n // 10 for n in HAND_OVERS) if quick else HAND_OVERS
    tokens = int(plan.tokens_per_request / 2)
    texts = tuple(f" tok{i}" for i in range(tokens))
    spent, sent = [], []
    for count in sizes:
        store = CopyStore(LARGE_BYTES)
        start_s, size = time.process_time(), 0
        for n in range(count):
            data = encode(CopyRequest(replace(_copy(n), texts=texts)), n)
            size += len(data)
            message = decode(data).ok.message
            assert isinstance(message, CopyRequest)
            store.put(message.copy, address(n % 10), 0.0)
        spent.append((count, 1e3 * (time.process_time() - start_s)))
        sent.append((count, float(size)))
    output.series("hand_over_ms", "requests", spent, "ms")
    output.series("hand_over_bytes", "requests", sent, "B")


def _copy(n: int) -> CopiedRequest:
    binding = Binding("grabhandle", "counter", "0" * 64)
    return CopiedRequest(f"r-{n}", 1, binding, 0.0, "parts", DOCUMENT)


def _received(n: int) -> CopiedRequest:
    """Return a copy whose texts are objects of its own."""
    message = decode(encode(CopyRequest(_copy(n)), n)).ok.message
    assert isinstance(message, CopyRequest)
    return message.copy


def _answer(n: int, tokens: int) -> Answer:
    answer = Answer(AnswerHead(f"r-{n}", 0, "parts", AnswerFormat.EVENT_STREAM))
    answer.add_tokens(0, [f" tok{i}" for i in range(tokens)])
    return answer
