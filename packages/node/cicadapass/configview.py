"""The configuration in force, published for all threads of the node."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cicadapass_common.logclient import RawRecord
from cicadapass_decisions.fold import FoldState


@dataclass(frozen=True, slots=True)
class ConfigView:
    """Hold the version that the node serves; `offset` is the last record read."""

    version: int
    offset: int
    inventory: Any
    document: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ConfigFetched:
    """Answer a peer's fetch with consecutive records or an encoded snapshot."""

    records: tuple[RawRecord, ...]
    next_offset: int
    snapshot: bytes | None = None


class CurrentConfig:
    """Let any thread read what the configuration feed last published.

    The holder outlives a restart of the feed, which continues from `state`.
    """

    def __init__(self) -> None:
        self._state = FoldState()
        self._view: ConfigView | None = None

    @property
    def view(self) -> ConfigView | None:
        """Return the configuration in force, or None while there is none."""
        return self._view

    @property
    def state(self) -> FoldState:
        """Return the state that the feed has reached."""
        return self._state

    @property
    def offset(self) -> int:
        """Return the offset that gossip announces to peers."""
        return self._state.next_offset - 1 if self._state.complete else -1

    @property
    def is_ready(self) -> bool:
        """Return whether the node has a configuration to serve."""
        return self._view is not None

    def publish(self, state: FoldState, view: ConfigView | None) -> None:
        """Replace what other threads see; only the feed calls this."""
        self._state = state
        self._view = view
