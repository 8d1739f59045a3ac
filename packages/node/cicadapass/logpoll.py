"""Read the configuration from the log."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from cicadapass_common.logclient import Log
from cicadapass_common.records import decode_log_record
from cicadapass_decisions.fold import FoldState, fold, skip_to
from cicadapass_decisions.inventory import Inventory, parse_inventory

LONG_POLL_S = 10.0
PAGE_RECORDS = 100
RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class ConfigView:
    """Hold the configuration in force and the state that it was folded from."""

    version: int
    inventory: Inventory
    state: FoldState


class LogPoll:
    """Follow the log in a thread and tell of each new version."""

    def __init__(self, log: Log, on_change: Callable[[ConfigView], object]) -> None:
        self._log = log
        self._on_change = on_change
        self._state = FoldState()
        self._view: ConfigView | None = None
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    @property
    def view(self) -> ConfigView | None:
        """Return the configuration in force, if there is one."""
        return self._view

    @property
    def state(self) -> FoldState:
        """Return the state that was folded so far."""
        return self._state

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread after its present read."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            page = self._log.read(self._state.next_offset, PAGE_RECORDS, LONG_POLL_S)
            if page.is_error():
                self._stopped.wait(RETRY_S)
                continue
            state = skip_to(self._state, page.ok.first_offset)
            for raw in page.ok.records:
                record = decode_log_record(raw.offset, raw.time_s, raw.data)
                state, _ = fold(state, record, parse_inventory)
            self._state = state
            self._publish(state)

    def _publish(self, state: FoldState) -> None:
        if state.document is None:
            return
        if self._view is not None and self._view.version == state.version:
            return
        inventory = parse_inventory(dict(state.document)).ok
        self._view = ConfigView(state.version, inventory, state)
        self._on_change(self._view)
