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


class FieldError(Exception):
    """A value does not match the type of its field."""


@dataclass(frozen=True, slots=True)
class FieldCodec:
    """Convert one type; `unpack` takes the value and whether the writer is newer."""

    pack: Callable[[Any], Any]
    unpack: Callable[[Any, bool], Any]


def codec_of(field_type: Any) -> FieldCodec:
    """Return the codec of a type; raise TypeError if it cannot be sent."""
    if field_type in _SCALARS:
        return _scalar(_SCALARS[field_type])
    origin = typing.get_origin(field_type)
    arguments = typing.get_args(field_type)
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return _sequence(codec_of(arguments[0]), arguments[0])
    if origin in (types.UnionType, typing.Union) and type(None) in arguments:
        (inner,) = (argument for argument in arguments if argument is not type(None))
        return _optional(codec_of(inner))
    if isinstance(field_type, type) and issubclass(field_type, IntEnum):
        return _enumeration(field_type)
    if dataclasses.is_dataclass(field_type):
        return _array(typing.cast(type, field_type))
    raise TypeError(f"fields of type {field_type} cannot be sent to peers")


def field_codecs(data_class: type) -> dict[str, FieldCodec]:
    """Return the codecs of a dataclass by field name."""
    hints = typing.get_type_hints(data_class)
    names = [field.name for field in dataclasses.fields(data_class)]
    return {name: codec_of(hints[name]) for name in names}


def required_fields(data_class: type) -> frozenset[str]:
    """Return the names of the fields that have no default."""
    missing = dataclasses.MISSING
    return frozenset(
        field.name
        for field in dataclasses.fields(data_class)
        if field.default is missing and field.default_factory is missing
    )


def _check_text(value: Any) -> Any:
    if type(value) is not str:
        raise FieldError(f"expected a string, got {type(value).__name__}")
    return value


def _check_bytes(value: Any) -> Any:
    if type(value) is not bytes:
        raise FieldError(f"expected bytes, got {type(value).__name__}")
    return value


def _check_integer(value: Any) -> Any:
    if type(value) is not int or not -MAX_INTEGER <= value < MAX_INTEGER:
        raise FieldError(f"expected a 64-bit integer, got {type(value).__name__}")
    return value


def _check_number(value: Any) -> Any:
    # A float with a whole value may be encoded as an integer.
    if type(value) not in (int, float) or not math.isfinite(value):
        raise FieldError(f"expected a finite number, got {type(value).__name__}")
    return float(value)


def _check_boolean(value: Any) -> Any:
    if type(value) is not bool:
        raise FieldError(f"expected true or false, got {type(value).__name__}")
    return value


_SCALARS: dict[Any, Callable[[Any], Any]] = {
    str: _check_text,
    bytes: _check_bytes,
    int: _check_integer,
    float: _check_number,
    bool: _check_boolean,
}


def _identity(value: Any) -> Any:
    return value


def _scalar(check: Callable[[Any], Any]) -> FieldCodec:
    return FieldCodec(_identity, lambda value, _newer: check(value))


def _sequence(inner: FieldCodec, item_type: Any) -> FieldCodec:
    is_scalar = item_type in _SCALARS
    pack, unpack = inner.pack, inner.unpack

    def pack_all(values: Any) -> Any:
        return list(values) if is_scalar else [pack(v) for v in values]

    def unpack_all(values: Any, newer: bool) -> Any:
        if type(values) is not list:
            raise FieldError(f"expected an array, got {type(values).__name__}")
        return tuple(unpack(v, newer) for v in values)

    return FieldCodec(pack_all, unpack_all)


def _optional(inner: FieldCodec) -> FieldCodec:
    def pack(value: Any) -> Any:
        return None if value is None else inner.pack(value)

    def unpack(value: Any, newer: bool) -> Any:
        return None if value is None else inner.unpack(value, newer)

    return FieldCodec(pack, unpack)


def _enumeration(enum_class: type[IntEnum]) -> FieldCodec:
    def unpack(value: Any, newer: bool) -> Any:
        _check_integer(value)
        try:
            return enum_class(value)
        except ValueError:
            raise FieldError(f"{value} is not a valid {enum_class.__name__}") from None

    return FieldCodec(int, unpack)


def _array(data_class: type) -> FieldCodec:
    """Encode nested data as an array because field names would double its size."""
    codecs = tuple(field_codecs(data_class).items())
    min_values = len(required_fields(data_class))

    def pack(value: Any) -> Any:
        return [codec.pack(getattr(value, name)) for name, codec in codecs]

    def unpack(values: Any, newer: bool) -> Any:
        if type(values) is not list:
            raise FieldError(f"expected an array, got {type(values).__name__}")
        if len(values) < min_values or (len(values) > len(codecs) and not newer):
            raise FieldError(f"{data_class.__name__} has {len(values)} fields")
        pairs = zip(codecs, values, strict=False)
        return data_class(*(codec.unpack(v, newer) for (_, codec), v in pairs))

    return FieldCodec(pack, unpack)
