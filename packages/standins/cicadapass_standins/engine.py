"""A model engine: continuous batching, prefix cache, resume, cancel, orders."""

import random
import threading
import time
import uuid
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import Any

from cicadapass_standins import cmdline
from cicadapass_standins.answers import answer_key, keyed_text
from cicadapass_standins.exceptions import BadRequest
from cicadapass_standins.faults import FaultControl
from cicadapass_standins.lag import Lagged
from cicadapass_standins.orders import Orders
from cicadapass_standins.prefixcache import BLOCK_WORDS, PrefixCache, block_hashes
from cicadapass_standins.scheduler import Ending, Scheduler, Speed, Stream
from cicadapass_standins.server import (
    NOT_RUN,
    Answer,
    Request,
    error_answer,
    json_answer,
    not_found,
    request_int,
    request_text,
    retry_later,
)
from cicadapass_standins.stats import Stats
from cicadapass_standins.streaming import StreamSender, Transmission

# One thread a stream, and some for reports while many streams run or wait.
THREADS = 600
DEFAULT_MAX_TOKENS = 16


@dataclass(frozen=True)
class EngineFaults:
    """Faults of the engine.

    `hang` stops all tokens while reports go on; `truncate_after` closes the
    connection after that many tokens of an answer; `drop_events` is a share.
    """

    slowdown: float = 1.0
    hang: bool = False
    refuse: bool = False
    truncate_after: int | None = None
    answer_delay_s: float = 0.0
    leaving: bool = False
    report_lag_s: float = 0.0
    event_lag_s: float = 0.0
    drop_events: float = 0.0
    refuse_transfer: bool = False
    checks_fencing: bool = True
    order_s: float = 0.0


@dataclass(frozen=True)
class EngineOptions:
    """Size and speed of the engine; see `Speed` for the formula."""

    slots: int = 8
    tokens_per_s: float = 50.0
    batch_cost: float = 0.02
    prefill_cost: float = 0.02
    cache_blocks: int = 4096
    max_waiting: int = 10_000
    model: str = ""
    version: str = "1"
    weights_url: str = ""
    incarnation: str = field(default_factory=lambda: uuid.uuid4().hex)


class Engine:
    """The engine's streams, cache and orders, and its HTTP interface."""

    def __init__(self, options: EngineOptions | None = None) -> None:
        options = options or EngineOptions()
        self.faults = FaultControl(EngineFaults(), on_change=self._on_fault)
        self._options = options
        self._closing = threading.Event()
        self._stats = Stats()
        self._cache = PrefixCache(options.cache_blocks, random.Random(0))
        self.orders = Orders(options.model, options.version, options.weights_url)
        speed = Speed(options.tokens_per_s, options.batch_cost, options.prefill_cost)
        self._scheduler = Scheduler(
            options.slots, speed, self._slowdown, self._prefill, self._stats
        )
        self._sender = StreamSender()
        self._report_lock = threading.Lock()
        self._sequence = 0
        self._loads: Lagged[dict[str, Any]] = Lagged(self._load())
        self._scheduler.start()

    def answer(self, request: Request) -> Answer:
        """Serve the engine's interface."""
        match (request.method, request.parts):
            case ("POST", ("v1", "generate")):
                return self._generate(request)
            case ("DELETE", ("v1", "generate", request_id, attempt)):
                return self._cancel(request_id, attempt)
            case ("GET", ("v1", "load")):
                self._report()
                lag_s = self.faults.current.report_lag_s
                return json_answer(self._loads.read(time.monotonic(), lag_s))
            case ("GET", ("stats",)):
                return json_answer(
                    self._stats.show(request.query.get("requests") != "0")
                )
            case (_, ("v1", "cache-events" | "cache", *_)):
                return self._answer_cache(request)
            case (_, ("v1", "orders" | "state")):
                return self._answer_orders(request)
        return not_found(request)

    def close(self) -> None:
        """End all streams without completing their answers."""
        self._closing.set()
        self.orders.close()
        self._scheduler.stop()
        self._sender.stop()

    def _answer_cache(self, request: Request) -> Answer:
        faults = self.faults.current
        match (request.method, request.path):
            case ("GET", "/v1/cache"):
                return json_answer(self._cache.snapshot())
            case ("GET", "/v1/cache-events"):
                after = int(request.number("after", 0))
                until_s = time.monotonic() - faults.event_lag_s
                events = self._cache.events_after(after, until_s)
                last = events[-1].sequence if events else after
                shown = [event.show() for event in events]
                return json_answer({"events": shown, "next": last})
            case ("POST", "/v1/cache/export" | "/v1/cache/import"):
                if faults.refuse_transfer:
                    return _refusal("no cache transfer")
                return self._transfer(request)
        return not_found(request)

    def _transfer(self, request: Request) -> Answer:
        if request.path.endswith("export"):
            words = request_text(request.fields, "prompt").split()
            words += _words(_prefix_tokens(request.fields))
            held = self._cache.held(block_hashes(words))
            return json_answer({"block_words": BLOCK_WORDS, "blocks": held})
        blocks = request.fields.get("blocks")
        if not isinstance(blocks, list):
            raise BadRequest("blocks must be a list")
        return json_answer({"imported": self._store([str(block) for block in blocks])})

    def _answer_orders(self, request: Request) -> Answer:
        match (request.method, request.path):
            case ("POST", "/v1/orders"):
                faults = self.faults.current
                return self.orders.accept(
                    request.fields, faults.checks_fencing, faults.order_s
                )
            case ("GET", "/v1/state"):
                return json_answer(self.orders.show())
        return not_found(request)

    def _generate(self, request: Request) -> Answer:
        if self.faults.current.refuse:
            return self._refuse("the engine refuses")
        if self._scheduler.counts[1] >= self._options.max_waiting:
            return self._refuse("too many streams wait")
        model = request_text(request.fields, "model", "")
        if not self.orders.serves(model):
            error = f"model {model} is not loaded"
            return error_answer(HTTPStatus.NOT_FOUND, error, NOT_RUN)
        stream, key = _parse(request.fields)
        if not self._scheduler.submit(stream):
            return error_answer(HTTPStatus.CONFLICT, "the attempt runs already")
        self._report()
        body = partial(self._transmit, request, stream, key)
        return Answer(HTTPStatus.OK, body, content_type="application/x-ndjson")

    def _refuse(self, error: str) -> Answer:
        self._stats.count(refused=1)
        return _refusal(error)

    def _transmit(self, request: Request, stream: Stream, key: bytes) -> None:
        faults = self.faults.current
        transmission = Transmission(
            request, stream, key, faults.truncate_after, self._store_words
        )
        stream.signal = partial(self._sender.signal, transmission)
        outcome = "dropped"
        try:
            self._closing.wait(faults.answer_delay_s)
            transmission.run(stream.signal)
            outcome = "completed" if stream.ending is Ending.DONE else "cancelled"
        finally:
            # Without effect on a stream that has ended.
            self._scheduler.cancel(*stream.key)
            self._stats.count(**{outcome: 1})
            self._report()

    def _cancel(self, request_id: str, attempt: str) -> Answer:
        if not attempt.isdecimal():
            raise BadRequest("the attempt must be a number")
        cancelled = self._scheduler.cancel(request_id, int(attempt))
        return json_answer({"cancelled": cancelled})

    def _prefill(self, stream: Stream) -> int:
        cached = self._cache.match_words(stream.blocks)
        self._store(stream.blocks)
        return cached

    def _store(self, blocks: list[str]) -> int:
        drop_events = self.faults.current.drop_events
        return self._cache.store(blocks, time.monotonic(), drop_events)

    def _store_words(self, stream: Stream) -> None:
        # A stream that only waited has computed nothing that could be cached.
        if stream.attempt_stats is not None:
            stream.blocks = block_hashes(stream.words, stream.blocks)
            self._store(stream.blocks)

    def _slowdown(self) -> float:
        faults = self.faults.current
        return 0.0 if faults.hang else faults.slowdown

    def _on_fault(self) -> None:
        self._scheduler.wake()
        self._report()

    def _report(self) -> None:
        with self._report_lock:
            self._sequence += 1
            self._loads.record(self._load(), time.monotonic())

    def _load(self) -> dict[str, Any]:
        running, waiting = self._scheduler.counts
        return {
            "sequence": self._sequence,
            "running": running,
            "waiting": waiting,
            "slots": self._options.slots,
            "tokens_per_s": self._scheduler.rate,
            "leaving": self.faults.current.leaving,
            "incarnation": self._options.incarnation,
        }


def _refusal(error: str) -> Answer:
    return retry_later(HTTPStatus.SERVICE_UNAVAILABLE, error)


def _parse(fields: dict[str, Any]) -> tuple[Stream, bytes]:
    prompt = request_text(fields, "prompt")
    seed = request_int(fields, "seed", 0)
    first = request_int(fields, "resume_from", 0)
    last = request_int(fields, "max_tokens", DEFAULT_MAX_TOKENS)
    key = answer_key(prompt, seed)
    tokens = _prefix_tokens(fields)
    if len(tokens) != first:
        raise BadRequest(f"prefix_tokens has {len(tokens)} of {first} tokens")
    if not 0 <= first < last:
        raise BadRequest("resume_from must be from 0 to less than max_tokens")
    for index, text in enumerate(tokens):
        # A caller that mixes up answers is told, not served.
        if text != keyed_text(key, index):
            raise BadRequest(f"prefix_tokens[{index}] is not of this answer")
    words = prompt.split() + _words(tokens)
    stream = Stream(
        request_text(fields, "request_id"),
        request_int(fields, "attempt", 1),
        request_int(fields, "priority", 0),
        first,
        last,
        words,
        block_hashes(words),
    )
    return stream, key


def _prefix_tokens(fields: dict[str, Any]) -> list[str]:
    tokens = fields.get("prefix_tokens") or []
    if not isinstance(tokens, list) or not all(isinstance(t, str) for t in tokens):
        raise BadRequest("prefix_tokens must be a list of strings")
    return tokens


def _words(tokens: list[str]) -> list[str]:
    return [text.strip() for text in tokens]


if __name__ == "__main__":
    raise SystemExit(cmdline.run("engine", EngineOptions, Engine, THREADS))
