"""Fault settings that the control address changes at run time."""

import threading
from collections.abc import Callable, Mapping
from dataclasses import asdict, fields, replace
from typing import Any, Generic, TypeVar

from cicadapass_standins.exceptions import BadRequest

SettingsT = TypeVar("SettingsT")
Command = Callable[[Any], object]


class FaultControl(Generic[SettingsT]):
    """Manage the fault settings of one stand-in, a frozen dataclass.

    A command is called once with the value given for its name. `on_change` is
    called after every successful change.
    """

    def __init__(
        self,
        initial: SettingsT,
        commands: Mapping[str, Command] | None = None,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._lock = threading.Lock()
        self._initial = initial
        self._current = initial
        self._commands = dict(commands or {})
        self._on_change = on_change

    @property
    def current(self) -> SettingsT:
        """The settings in force; an immutable snapshot."""
        return self._current

    def as_dict(self) -> dict[str, Any]:
        """Return the settings in force by field name."""
        return asdict(self._current)  # type: ignore[call-overload]

    def merge(self, changes: Mapping[str, Any]) -> None:
        """Change settings, then run commands.

        An unknown name or a value of the wrong type raises `BadRequest` and changes
        nothing. `{"reset": true}` restores the initial settings first.
        """
        settings = dict(changes)
        commands = {
            name: settings.pop(name) for name in changes if self._is_command(name)
        }
        reset = settings.pop("reset", False)
        for name, value in settings.items():
            self._validate(name, value)
        with self._lock:
            previous = self._initial if reset else self._current
            self._current = replace(previous, **settings)  # type: ignore[type-var]
        for name, value in commands.items():
            self._commands[name](value)
        self._on_change()

    def consume(self, name: str) -> bool:
        """Decrement a counted fault; return False if its count is already 0."""
        with self._lock:
            remaining = getattr(self._current, name)
            if remaining <= 0:
                return False
            self._current = replace(self._current, **{name: remaining - 1})  # type: ignore[type-var]
            return True

    def _is_command(self, name: str) -> bool:
        return name in self._commands

    def _validate(self, name: str, value: object) -> None:
        known_names = [field.name for field in fields(self._initial)]  # type: ignore[arg-type]
        if name not in known_names:
            allowed = ", ".join(sorted([*known_names, *self._commands, "reset"]))
            raise BadRequest(f"unknown fault {name}; use one of {allowed}")
        default = getattr(self._initial, name)
        if not _has_type_of(value, default):
            kind = "number or null" if default is None else type(default).__name__
            raise BadRequest(f"{name} must be of type {kind}")


def _has_type_of(value: object, default: object) -> bool:
    if default is None:
        return value is None or _is_number(value)
    if isinstance(default, bool) or not isinstance(default, int | float):
        return isinstance(
            value, type(default) if not isinstance(default, tuple) else list
        )
    if isinstance(default, int):
        return _is_number(value) and not isinstance(value, float)
    return _is_number(value)


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)
