"""The configuration in force, published for all threads of the node."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cicadapass_common.logclient import RawRecord
from cicadapass_decisions.fold import FoldState


@dataclass(frozen=True, slots=True)
class ConfigView:
    """Represent the version in force; `offset` is that of the last record read."""

    version: int
    offset: int
    inventory: Any
    document: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ConfigFetched:
    """Carry the answer to a fetch: consecutive records or an encoded snapshot."""

    records: tuple[RawRecord, ...]
    next_offset: int
    snapshot: bytes | None = None


class CurrentConfig:
    """Publish the feed's latest state and configuration to all threads.

    It survives a restart of the feed, which then continues from `state`.
    """

    def __init__(self) -> None:
        self._state = FoldState()
        self._view: ConfigView | None = None

    @property
    def view(self) -> ConfigView | None:
        """Return the configuration in force, or None before the first version."""
        return self._view

    @property
    def state(self) -> FoldState:
        """Return the fold state that the feed published last."""
        return self._state

    @property
    def offset(self) -> int:
        """Return the offset to announce to peers; -1 while the state is incomplete."""
        return self._state.next_offset - 1 if self._state.complete else -1

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self._view is not None

    def publish(self, state: FoldState, view: ConfigView | None) -> None:
        """Replace state and view; only the feed calls this."""
        self._state = state
        self._view = view
