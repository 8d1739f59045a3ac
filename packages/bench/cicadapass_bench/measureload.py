"""Send seeded model requests to a world and collect the answers."""

import random
import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from cicadapass_bench.callerkit import Caller, Prompt, StreamedAnswer
from cicadapass_bench.histograms import Latencies

SHORT_TOKENS = 16
LONG_TOKENS = 600
CLIENT_THREADS = 192


@dataclass(frozen=True, slots=True)
class Arrivals:
    """Describe two Poisson streams of requests; the warm-up is part of the duration."""

    short_per_s: float = 0.0
    long_per_s: float = 0.0
    duration_s: float = 8.0
    warm_up_s: float = 1.5


@dataclass(frozen=True, slots=True)
class Arrival:
    """Represent one request and its time from the start."""

    at_s: float
    prompt: Prompt


@dataclass(frozen=True, slots=True)
class AnsweredRequests:
    """Store the answers to the requests that arrived after the warm-up."""

    short: Sequence[StreamedAnswer]
    long: Sequence[StreamedAnswer]

    @property
    def all(self) -> Sequence[StreamedAnswer]:
        """Return the answers to short requests, then those to long ones."""
        return [*self.short, *self.long]

    @property
    def incomplete(self) -> int:
        """Return the number of answers that are cut short or have a wrong token."""
        return sum(not answer.verified for answer in self.all)

    def short_ms(self, percentile: float) -> float:
        """Return a percentile of the total time of complete short answers."""
        return _percentile_ms([a.total_s for a in self.short if a.complete], percentile)

    def long_tokens_per_s(self) -> float:
        """Return the mean rate of complete long answers; 0 if there are none."""
        speeds = [a.prompt.tokens / a.total_s for a in self.long if a.complete]
        return sum(speeds) / len(speeds) if speeds else 0.0

    def fraction_within(self, first_token_s: float) -> float:
        """Return the fraction of all requests with a first token within the time."""
        answers = self.all
        in_time = sum((a.first_byte_s or 1e9) <= first_token_s for a in answers)
        return in_time / len(answers) if answers else 0.0


def plan_arrivals(arrivals: Arrivals, service: str, seed: int) -> list[Arrival]:
    """Return the requests in order of time; the same seed gives the same requests."""
    rng = random.Random(seed)
    planned = []
    for content_prefix, rate_per_s, tokens in (
        ("lookup", arrivals.short_per_s, SHORT_TOKENS),
        ("catalogue", arrivals.long_per_s, LONG_TOKENS),
    ):
        at_s = rng.expovariate(rate_per_s) if rate_per_s else arrivals.duration_s
        while at_s < arrivals.duration_s:
            content = f"{content_prefix} {rng.getrandbits(48):012x}"
            planned.append(Arrival(at_s, Prompt(service, content, tokens, seed)))
            at_s += rng.expovariate(rate_per_s)
    return sorted(planned, key=lambda arrival: arrival.at_s)


def send_arrivals(
    caller: Caller,
    arrivals: Arrivals,
    service: str,
    seed: int,
    events: Sequence[tuple[float, Callable[[], None]]] = (),
) -> AnsweredRequests:
    """Send the requests at their times and wait for all answers.

    The action of each event runs in its own thread, at its time from the start.
    """
    planned = plan_arrivals(arrivals, service, seed)
    wait_event = threading.Event()
    started_s = time.monotonic()
    timers = [threading.Timer(at_s, action) for at_s, action in events]
    for timer in timers:
        timer.start()
    with ThreadPoolExecutor(CLIENT_THREADS) as pool:
        pending = []
        for arrival in planned:
            wait_event.wait(max(0.0, started_s + arrival.at_s - time.monotonic()))
            pending.append((arrival, pool.submit(caller.stream, arrival.prompt)))
        answers = [
            (arrival.prompt, future.result())
            for arrival, future in pending
            if arrival.at_s >= arrivals.warm_up_s
        ]
    for timer in timers:
        timer.join()
    return AnsweredRequests(
        [answer for prompt, answer in answers if prompt.tokens == SHORT_TOKENS],
        [answer for prompt, answer in answers if prompt.tokens == LONG_TOKENS],
    )


def _percentile_ms(values_s: Sequence[float], percentile: float) -> float:
    latencies = Latencies()
    for value_s in values_s:
        latencies.add(value_s)
    return latencies.percentile_ms(percentile)
