"""Model engine stand-in: batching, prefix cache, resume, cancellation, orders."""

import random
import threading
import time
import uuid
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import Any

from cicadapass_standins import cmdline
from cicadapass_standins.answers import answer_key, token_text_from_key
from cicadapass_standins.exceptions import BadRequest
from cicadapass_standins.faults import FaultControl
from cicadapass_standins.lag import LaggedValue
from cicadapass_standins.orders import Orders
from cicadapass_standins.prefixcache import BLOCK_WORDS, PrefixCache, block_hashes
from cicadapass_standins.scheduler import Ending, Scheduler, Speed, Stream
from cicadapass_standins.server import (
    NOT_RUN,
    Request,
    Response,
    error_response,
    int_field,
    json_response,
    not_found_response,
    retry_later_response,
    string_field,
)
from cicadapass_standins.stats import Stats
from cicadapass_standins.streaming import StreamSender, Transmission

# One thread per stream, and spare threads for load reports under a full load.
THREADS = 600
DEFAULT_MAX_TOKENS = 16


@dataclass(frozen=True)
class EngineFaults:
    """Fault settings of the engine.

    `hang` stops all tokens while load reports are still served. `truncate_after`
    closes the connection after that number of tokens of an answer. `drop_events` is
    the fraction of cache events that are dropped.
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
    """Size and speed of the engine; `Speed` describes how the costs apply."""

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
    """Serve the engine's HTTP interface on top of its scheduler, cache and orders."""

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
            options.slots, speed, self._slowdown, self._prefill_prompt, self._stats
        )
        self._sender = StreamSender()
        self._load_lock = threading.Lock()
        self._sequence = 0
        self._load_history: LaggedValue[dict[str, Any]] = LaggedValue(
            self._load_report()
        )
        self._scheduler.start()

    def handle(self, request: Request) -> Response:
        """Serve generation, cancellation, load, statistics, cache and orders."""
        match (request.method, request.path_segments):
            case ("POST", ("v1", "generate")):
                return self._generate(request)
            case ("DELETE", ("v1", "generate", request_id, attempt)):
                return self._cancel(request_id, attempt)
            case ("GET", ("v1", "load")):
                self._record_load()
                lag_s = self.faults.current.report_lag_s
                return json_response(self._load_history.read(time.monotonic(), lag_s))
            case ("GET", ("stats",)):
                return json_response(
                    self._stats.as_dict(request.query.get("requests") != "0")
                )
            case (_, ("v1", "cache-events" | "cache", *_)):
                return self._handle_cache(request)
            case (_, ("v1", "orders" | "state")):
                return self._handle_orders(request)
        return not_found_response(request)

    def close(self) -> None:
        """Abort all streams; their answers stay incomplete."""
        self._closing.set()
        self.orders.close()
        self._scheduler.stop()
        self._sender.stop()

    def _handle_cache(self, request: Request) -> Response:
        faults = self.faults.current
        match (request.method, request.path):
            case ("GET", "/v1/cache"):
                return json_response(self._cache.snapshot())
            case ("GET", "/v1/cache-events"):
                after = int(request.query_number("after", 0))
                until_s = time.monotonic() - faults.event_lag_s
                events = self._cache.events_after(after, until_s)
                last_sequence = events[-1].sequence if events else after
                event_dicts = [event.as_dict() for event in events]
                return json_response({"events": event_dicts, "next": last_sequence})
            case ("POST", "/v1/cache/export" | "/v1/cache/import"):
                if faults.refuse_transfer:
                    return _refusal_response(
                        "cache transfer is refused by a fault setting"
                    )
                return self._transfer(request)
        return not_found_response(request)

    def _transfer(self, request: Request) -> Response:
        if request.path.endswith("export"):
            words = string_field(request.fields, "prompt").split()
            words += _strip_tokens(_prefix_tokens(request.fields))
            cached_blocks = self._cache.cached_prefix(block_hashes(words))
            return json_response({"block_words": BLOCK_WORDS, "blocks": cached_blocks})
        blocks = request.fields.get("blocks")
        if not isinstance(blocks, list):
            raise BadRequest("blocks must be a list")
        return json_response(
            {"imported": self._store([str(block) for block in blocks])}
        )

    def _handle_orders(self, request: Request) -> Response:
        match (request.method, request.path):
            case ("POST", "/v1/orders"):
                faults = self.faults.current
                return self.orders.accept(
                    request.fields, faults.checks_fencing, faults.order_s
                )
            case ("GET", "/v1/state"):
                return json_response(self.orders.as_dict())
        return not_found_response(request)

    def _generate(self, request: Request) -> Response:
        if self.faults.current.refuse:
            return self._refuse("requests are refused by a fault setting")
        if self._scheduler.counts[1] >= self._options.max_waiting:
            return self._refuse(
                f"the limit of {self._options.max_waiting} waiting streams is reached"
            )
        model = string_field(request.fields, "model", "")
        if not self.orders.serves(model):
            error = f"model {model} is not loaded"
            return error_response(HTTPStatus.NOT_FOUND, error, NOT_RUN)
        stream, key = _parse_stream(request.fields)
        if not self._scheduler.submit(stream):
            return error_response(HTTPStatus.CONFLICT, "the attempt is already running")
        self._record_load()
        body = partial(self._transmit, request, stream, key)
        return Response(HTTPStatus.OK, body, content_type="application/x-ndjson")

    def _refuse(self, error: str) -> Response:
        self._stats.add(refused=1)
        return _refusal_response(error)

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
            # No effect if the stream has already ended.
            self._scheduler.cancel(*stream.key)
            self._stats.add(**{outcome: 1})
            self._record_load()

    def _cancel(self, request_id: str, attempt: str) -> Response:
        if not attempt.isdecimal():
            raise BadRequest("attempt must be a non-negative integer")
        cancelled = self._scheduler.cancel(request_id, int(attempt))
        return json_response({"cancelled": cancelled})

    def _prefill_prompt(self, stream: Stream) -> int:
        cached = self._cache.match_words(stream.blocks)
        self._store(stream.blocks)
        return cached

    def _store(self, blocks: list[str]) -> int:
        drop_events = self.faults.current.drop_events
        return self._cache.store(blocks, time.monotonic(), drop_events)

    def _store_words(self, stream: Stream) -> None:
        # A stream that never left the queue has computed nothing to cache.
        if stream.attempt_stats is not None:
            stream.blocks = block_hashes(stream.words, stream.blocks)
            self._store(stream.blocks)

    def _slowdown(self) -> float:
        faults = self.faults.current
        return 0.0 if faults.hang else faults.slowdown

    def _on_fault(self) -> None:
        self._scheduler.wake()
        self._record_load()

    def _record_load(self) -> None:
        with self._load_lock:
            self._sequence += 1
            self._load_history.record(self._load_report(), time.monotonic())

    def _load_report(self) -> dict[str, Any]:
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


def _refusal_response(error: str) -> Response:
    return retry_later_response(HTTPStatus.SERVICE_UNAVAILABLE, error)


def _parse_stream(fields: dict[str, Any]) -> tuple[Stream, bytes]:
    prompt = string_field(fields, "prompt")
    seed = int_field(fields, "seed", 0)
    first_index = int_field(fields, "resume_from", 0)
    end_index = int_field(fields, "max_tokens", DEFAULT_MAX_TOKENS)
    key = answer_key(prompt, seed)
    tokens = _prefix_tokens(fields)
    if len(tokens) != first_index:
        raise BadRequest(
            f"prefix_tokens has {len(tokens)} tokens, expected {first_index}"
        )
    if not 0 <= first_index < end_index:
        raise BadRequest("resume_from must be at least 0 and less than max_tokens")
    for index, text in enumerate(tokens):
        # Rejects a resume that mixes up two answers.
        if text != token_text_from_key(key, index):
            raise BadRequest(f"prefix_tokens[{index}] does not match this answer")
    words = prompt.split() + _strip_tokens(tokens)
    stream = Stream(
        string_field(fields, "request_id"),
        int_field(fields, "attempt", 1),
        int_field(fields, "priority", 0),
        first_index,
        end_index,
        words,
        block_hashes(words),
    )
    return stream, key


def _prefix_tokens(fields: dict[str, Any]) -> list[str]:
    tokens = fields.get("prefix_tokens") or []
    if not isinstance(tokens, list) or not all(isinstance(t, str) for t in tokens):
        raise BadRequest("prefix_tokens must be a list of strings")
    return tokens


def _strip_tokens(tokens: list[str]) -> list[str]:
    return [text.strip() for text in tokens]


if __name__ == "__main__":
    raise SystemExit(cmdline.run("engine", EngineOptions, Engine, THREADS))
