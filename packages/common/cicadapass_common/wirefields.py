"""Convert typed fields of messages to and from plain CBOR values."""

import dataclasses
import math
import types
import typing
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

MAX_INTEGER = 2**63


class FieldFault(Exception):
    """A value does not fit the type of its field."""


@dataclass(frozen=True, slots=True)
class FieldCodec:
    """Convert one type; `unpack` takes the value and whether the writer is newer."""

    pack: Callable[[Any], Any]
    unpack: Callable[[Any, bool], Any]


def codec_of(kind: Any) -> FieldCodec:
    """Return the codec of a type; raise TypeError if it cannot be sent."""
    if kind in _SCALARS:
        return _scalar(_SCALARS[kind])
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _sequence(codec_of(arguments[0]), arguments[0])
    if origin in (types.UnionType, typing.Union) and type(None) in arguments:
        (inner,) = (a for a in arguments if a is not type(None))
        return _optional(codec_of(inner))
    if isinstance(kind, type) and issubclass(kind, IntEnum):
        return _enumeration(kind)
    if dataclasses.is_dataclass(kind):
        return _positional(typing.cast(type, kind))
    raise TypeError(f"fields of type {kind} cannot be sent to peers")


def field_codecs(kind: type) -> dict[str, FieldCodec]:
    """Return the codecs of a dataclass by field name."""
    hints = typing.get_type_hints(kind)
    names = [f.name for f in dataclasses.fields(kind)]
    return {name: codec_of(hints[name]) for name in names}


def required_fields(kind: type) -> frozenset[str]:
    """Return the names of the fields that have no default."""
    missing = dataclasses.MISSING
    return frozenset(
        f.name
        for f in dataclasses.fields(kind)
        if f.default is missing and f.default_factory is missing
    )


def _check_text(value: Any) -> Any:
    if type(value) is not str:
        raise FieldFault(f"expected a text, got {type(value).__name__}")
    return value


def _check_bytes(value: Any) -> Any:
    if type(value) is not bytes:
        raise FieldFault(f"expected bytes, got {type(value).__name__}")
    return value


def _check_integer(value: Any) -> Any:
    if type(value) is not int or not -MAX_INTEGER <= value < MAX_INTEGER:
        raise FieldFault(f"expected a 64-bit integer, got {type(value).__name__}")
    return value


def _check_number(value: Any) -> Any:
    # Counts and times that happen to be whole may be ints.
    if type(value) not in (int, float) or not math.isfinite(value):
        raise FieldFault(f"expected a finite number, got {type(value).__name__}")
    return float(value)


def _check_flag(value: Any) -> Any:
    if type(value) is not bool:
        raise FieldFault(f"expected true or false, got {type(value).__name__}")
    return value


_SCALARS: dict[Any, Callable[[Any], Any]] = {
    str: _check_text,
    bytes: _check_bytes,
    int: _check_integer,
    float: _check_number,
    bool: _check_flag,
}


def _same(value: Any) -> Any:
    return value


def _scalar(check: Callable[[Any], Any]) -> FieldCodec:
    return FieldCodec(_same, lambda value, _newer: check(value))


def _sequence(inner: FieldCodec, kind: Any) -> FieldCodec:
    plain = kind in _SCALARS
    pack, unpack = inner.pack, inner.unpack

    def pack_all(values: Any) -> Any:
        return list(values) if plain else [pack(v) for v in values]

    def unpack_all(values: Any, newer: bool) -> Any:
        if type(values) is not list:
            raise FieldFault(f"expected an array, got {type(values).__name__}")
        return tuple(unpack(v, newer) for v in values)

    return FieldCodec(pack_all, unpack_all)


def _optional(inner: FieldCodec) -> FieldCodec:
    def pack(value: Any) -> Any:
        return None if value is None else inner.pack(value)

    def unpack(value: Any, newer: bool) -> Any:
        return None if value is None else inner.unpack(value, newer)

    return FieldCodec(pack, unpack)


def _enumeration(kind: type[IntEnum]) -> FieldCodec:
    def unpack(value: Any, newer: bool) -> Any:
        _check_integer(value)
        try:
            return kind(value)
        except ValueError:
            raise FieldFault(f"{value} is no {kind.__name__}") from None

    return FieldCodec(int, unpack)


def _positional(kind: type) -> FieldCodec:
    """Send nested data as an array, because its field names would double its size."""
    codecs = tuple(field_codecs(kind).items())
    at_least = len(required_fields(kind))

    def pack(value: Any) -> Any:
        return [codec.pack(getattr(value, name)) for name, codec in codecs]

    def unpack(values: Any, newer: bool) -> Any:
        if type(values) is not list:
            raise FieldFault(f"expected an array, got {type(values).__name__}")
        if len(values) < at_least or (len(values) > len(codecs) and not newer):
            raise FieldFault(f"{kind.__name__} has {len(values)} fields")
        pairs = zip(codecs, values, strict=False)
        return kind(*(codec.unpack(v, newer) for (_, codec), v in pairs))

    return FieldCodec(pack, unpack)
