"""Define dataclass fields with ranges, and derive schemas and parsers from them."""

import dataclasses
import types
import typing
from dataclasses import MISSING, dataclass
from enum import StrEnum
from typing import Any, TypeVar

T = TypeVar("T")
# Maximum of numbers whose option has none, so that each converts to a float.
NUMBER_LIMIT = 10**15


@dataclass(frozen=True, slots=True)
class Option:
    """Describe the meaning of a field and its allowed values."""

    meaning: str = ""
    unit: str = ""
    low: float | None = None
    high: float | None = None
    pattern: str | None = None
    allowed: str | None = None
    remedy: str = ""


_OPTION_KEYS = tuple(field.name for field in dataclasses.fields(Option))
# Suffixes of field names that imply a unit.
_UNIT_SUFFIXES = {
    "_per_s": "per second",
    "_ms": "ms",
    "_s": "s",
    "_bytes": "bytes",
    "_tokens": "tokens",
    "_chars": "characters",
    "_ratio": "ratio",
}


def option(
    default: Any = MISSING,
    meaning: str = "",
    *,
    unit: str = "",
    low: float | None = None,
    high: float | None = None,
    pattern: str | None = None,
    allowed: str | None = None,
    remedy: str = "",
) -> Any:
    """Return a dataclass field with option metadata; required without a default."""
    described = Option(meaning, unit, low, high, pattern, allowed, remedy)
    metadata = {key: getattr(described, key) for key in _OPTION_KEYS}
    return dataclasses.field(default=default, metadata=metadata)


def option_of(field: "dataclasses.Field[Any]") -> Option:
    """Return the option in a field's metadata; its unit defaults to the suffix's."""
    values = {key: field.metadata[key] for key in _OPTION_KEYS if key in field.metadata}
    if not values.get("unit"):
        values["unit"] = _unit_of(field.name)
    return Option(**values)


def _unit_of(name: str) -> str:
    suffixes = [suffix for suffix in _UNIT_SUFFIXES if name.endswith(suffix)]
    return _UNIT_SUFFIXES[suffixes[0]] if suffixes else ""


def default_of(field: "dataclasses.Field[Any]") -> Any:
    """Return the default of a field, or MISSING if it is required."""
    if field.default_factory is not MISSING:
        return field.default_factory()
    return field.default


def schema_of(dataclass_type: type[Any], *, strict: bool = True) -> dict[str, Any]:
    """Return the JSON Schema of a dataclass; if strict, it forbids unknown keys."""
    hints = typing.get_type_hints(dataclass_type)
    properties = {}
    required = []
    for field in dataclasses.fields(dataclass_type):
        properties[field.name] = _field_schema(field, hints[field.name], strict)
        if default_of(field) is MISSING:
            required.append(field.name)
    schema: dict[str, Any] = {
        "type": "object",
        "additionalProperties": not strict,
        "properties": properties,
    }
    if required:
        schema["required"] = required
    return schema


def build(dataclass_type: type[T], document: dict[str, Any]) -> T:
    """Return a dataclass from a document that its schema accepts.

    Unknown keys are ignored and missing ones get their defaults.
    """
    hints = typing.get_type_hints(dataclass_type)
    keys = [key for key in document if key in hints]
    return dataclass_type(**{key: _convert(hints[key], document[key]) for key in keys})


def to_document(value: Any) -> Any:
    """Convert a dataclass, or a value of one, to plain JSON values."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = dataclasses.fields(value)
        return {field.name: to_document(getattr(value, field.name)) for field in fields}
    if isinstance(value, tuple | list):
        return [to_document(item) for item in value]
    if isinstance(value, dict):
        return {key: to_document(item) for key, item in value.items()}
    return str(value) if isinstance(value, StrEnum) else value


def _field_schema(
    field: "dataclasses.Field[Any]", hint: Any, strict: bool
) -> dict[str, Any]:
    field_option = option_of(field)
    schema = _type_schema(hint, strict)
    _apply_constraints(schema, field_option)
    if field_option.meaning:
        schema["description"] = field_option.meaning
    if field_option.unit:
        schema["x-unit"] = field_option.unit
    default = default_of(field)
    if default is not MISSING:
        schema["default"] = to_document(default)
    return schema


def _apply_constraints(schema: dict[str, Any], field_option: Option) -> None:
    if "items" in schema:
        _apply_constraints(schema["items"], field_option)
        return
    if field_option.low is not None:
        schema["minimum"] = field_option.low
    if field_option.high is not None:
        schema["maximum"] = field_option.high
    if field_option.pattern is not None:
        schema["pattern"] = field_option.pattern
    if field_option.allowed:
        schema["x-allowed"] = field_option.allowed
    if field_option.remedy:
        schema["x-remedy"] = field_option.remedy


def _type_schema(hint: Any, strict: bool) -> dict[str, Any]:
    optional_type = _optional_type(hint)
    if optional_type is not None:
        schema = _type_schema(optional_type, strict)
        schema["type"] = [schema["type"], "null"]
        return schema
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        return {"type": "array", "items": _type_schema(item, strict)}
    if typing.get_origin(hint) is dict:
        return {"type": "object"}
    if dataclasses.is_dataclass(hint):
        return schema_of(typing.cast("type[Any]", hint), strict=strict)
    return _scalar_schema(hint)


def _scalar_schema(hint: Any) -> dict[str, Any]:
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return {"type": "string", "enum": [str(member) for member in hint]}
    if hint is bool:
        return {"type": "boolean"}
    if hint is str:
        return {"type": "string"}
    if hint in (int, float):
        name = "integer" if hint is int else "number"
        return {"type": name, "minimum": 0, "maximum": NUMBER_LIMIT}
    raise TypeError(
        f"no schema for a field of type {hint}; use a scalar, tuple or dataclass"
    )


def _optional_type(hint: Any) -> Any:
    """Return the other type of a union with None, or None for other types."""
    if typing.get_origin(hint) not in (types.UnionType, typing.Union):
        return None
    other_types = [
        argument for argument in typing.get_args(hint) if argument is not types.NoneType
    ]
    return other_types[0]


def _convert(hint: Any, value: Any) -> Any:
    if value is None:
        return None
    optional_type = _optional_type(hint)
    if optional_type is not None:
        return _convert(optional_type, value)
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        return tuple(_convert(item, element) for element in value)
    if typing.get_origin(hint) is dict:
        return dict(value)
    if dataclasses.is_dataclass(hint):
        return build(typing.cast("type[Any]", hint), value)
    return hint(value)
