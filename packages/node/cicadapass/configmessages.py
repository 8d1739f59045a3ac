"""Messages to the configuration feed and what it needs from outside."""

import random
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from expression import Result

from cicadapass.configview import ConfigFetched, ConfigView
from cicadapass.logreader import ReadResult
from cicadapass.timers import TimerService
from cicadapass_common.events import EventLog
from cicadapass_common.exceptions import CicadapassError
from cicadapass_common.logclient import Log

# Asks a peer for a snapshot rather than for records.
NEED_SNAPSHOT = -1

Parse = Callable[[Mapping[str, Any]], Result[Any, Any]]


def run_in_thread(job: Callable[[], None]) -> None:
    """Run a job that blocks on the network beside the actor."""
    threading.Thread(target=job, name="configfeed-job", daemon=True).start()


@dataclass(frozen=True, slots=True)
class ConfigFeedDependencies:
    """Hold what the feed needs from outside.

    `fetch_from_peer(from_offset)` may block; `retention_s` is the log's.
    """

    log: Log
    parse: Parse
    events: EventLog
    timers: TimerService
    fetch_from_peer: Callable[[int], Result[ConfigFetched, Any]]
    on_change: Callable[[ConfigView], None]
    retention_s: float
    rng: random.Random
    clock: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time
    run_in_background: Callable[[Callable[[], None]], None] = field(
        default=run_in_thread
    )


@dataclass(frozen=True, slots=True)
class PageArrived:
    """Bring an answer of the log; `confirm` takes the next offset to read."""

    answer: ReadResult
    confirm: Callable[[int], None]


@dataclass(frozen=True, slots=True)
class OffsetAnnounced:
    """Report the highest offset that gossip announces."""

    offset: int


@dataclass(frozen=True, slots=True)
class FetchRequested:
    """Ask for records from an offset on, or for a snapshot; gives ConfigFetched."""

    from_offset: int


@dataclass(frozen=True, slots=True)
class FetchCompleted:
    """Bring a peer's answer to a fetch."""

    answer: Result[ConfigFetched, Any]


@dataclass(frozen=True, slots=True)
class SnapshotAppendCompleted:
    """Bring the log's answer to the append of a snapshot."""

    answer: Result[int, CicadapassError]
    version: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Ask the feed to look for what is due."""
