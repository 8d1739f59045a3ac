"""Measure the memory of copies and answers, and the hand-over of many requests."""

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

TOKEN_COUNTS = (0, 250, 1_000)
COPY_COUNT = 200
QUICK_COPY_COUNT = 20
HAND_OVER_SIZES = (100, 400, 1_600)
DOCUMENT = b"x" * 1_000
STORE_LIMIT_BYTES = 10**9


def measure_copies(output: Output, *, quick: bool) -> None:
    """Measure the memory of a copy and of an answer by the number of tokens."""
    count = QUICK_COPY_COUNT if quick else COPY_COUNT
    copy_bytes, accounted_bytes, answer_bytes = [], [], []
    for tokens in TOKEN_COUNTS:
        store = CopyStore(STORE_LIMIT_BYTES)
        tracemalloc.start()
        for n in range(count):
            store.put(_decoded_copy(n), address(n % 10), 0.0)
            texts = tuple(f" tok{i}" for i in range(tokens))
            if texts:
                store.progress(ProgressItem(f"r-{n}", 1, 0, texts, False), 0.0)
        traced_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        copy_bytes.append((tokens, traced_bytes / count))
        accounted_bytes.append((tokens, store.used_bytes / count))
        tracemalloc.start()
        answer_objects = [_answer(n, tokens) for n in range(count)]
        traced_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        answer_bytes.append((tokens, traced_bytes / len(answer_objects)))
    output.series("copy_bytes", "tokens", copy_bytes, "B")
    output.series("copy_counted_bytes", "tokens", accounted_bytes, "B")
    output.series("answer_bytes", "tokens", answer_bytes, "B")


def measure_hand_over(output: Output, plan: PlannedSize, *, quick: bool) -> None:
    """Measure the copies that are sent when many requests change owner."""
    counts = tuple(n // 10 for n in HAND_OVER_SIZES) if quick else HAND_OVER_SIZES
    # On average a request has half of its tokens when its owner changes.
    tokens = int(plan.tokens_per_request / 2)
    texts = tuple(f" tok{i}" for i in range(tokens))
    times_ms, sent_bytes = [], []
    for count in counts:
        store = CopyStore(STORE_LIMIT_BYTES)
        start_s, total_bytes = time.process_time(), 0
        for n in range(count):
            data = encode(CopyRequest(replace(_copy(n), texts=texts)), n)
            total_bytes += len(data)
            message = decode(data).ok.message
            assert isinstance(message, CopyRequest)
            store.put(message.copy, address(n % 10), 0.0)
        times_ms.append((count, 1e3 * (time.process_time() - start_s)))
        sent_bytes.append((count, float(total_bytes)))
    output.series("hand_over_ms", "requests", times_ms, "ms")
    output.series("hand_over_bytes", "requests", sent_bytes, "B")


def _copy(n: int) -> CopiedRequest:
    binding = Binding("grabhandle", "counter", "0" * 64)
    return CopiedRequest(f"r-{n}", 1, binding, 0.0, "parts", DOCUMENT)


def _decoded_copy(n: int) -> CopiedRequest:
    """Return a copy that shares no text with another one, as received from a peer."""
    message = decode(encode(CopyRequest(_copy(n)), n)).ok.message
    assert isinstance(message, CopyRequest)
    return message.copy


def _answer(n: int, tokens: int) -> Answer:
    answer = Answer(AnswerHead(f"r-{n}", 0, "parts", AnswerFormat.EVENT_STREAM))
    answer.add_tokens(0, [f" tok{i}" for i in range(tokens)])
    return answer
