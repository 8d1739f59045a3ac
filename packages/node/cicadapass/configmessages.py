"""Messages and dependencies of the configuration feed."""

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

# As an offset in a fetch: requests a snapshot instead of records.
NEED_SNAPSHOT = -1

Parse = Callable[[Mapping[str, Any]], Result[Any, Any]]


def run_in_thread(job: Callable[[], None]) -> None:
    """Run a blocking job in a new daemon thread."""
    threading.Thread(target=job, name="configfeed-job", daemon=True).start()


@dataclass(frozen=True, slots=True)
class ConfigFeedDependencies:
    """Bundle the collaborators of the configuration feed.

    `fetch_from_peer(from_offset)` may block; `retention_s` is the retention of the log.
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
    """Deliver a page or an error of the log; `confirm` gets the next offset to read."""

    answer: ReadResult
    confirm: Callable[[int], None]


@dataclass(frozen=True, slots=True)
class OffsetAnnounced:
    """Report the highest offset that peers announce by gossip."""

    offset: int


@dataclass(frozen=True, slots=True)
class FetchRequested:
    """Request records from an offset on, or a snapshot; answered by ConfigFetched."""

    from_offset: int


@dataclass(frozen=True, slots=True)
class FetchCompleted:
    """Deliver a peer's answer to a fetch, or the error."""

    answer: Result[ConfigFetched, Any]


@dataclass(frozen=True, slots=True)
class SnapshotAppendCompleted:
    """Deliver the offset of an appended snapshot, or the error."""

    answer: Result[int, CicadapassError]
    version: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Run the periodic checks of the feed."""
