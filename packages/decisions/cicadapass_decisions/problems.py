"""Report all mistakes of a document with their paths, allowed values and remedies."""

import difflib
import json
import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from jsonschema.exceptions import ValidationError

MAX_DEPTH = 32
_MAX_VALUE_CHARS = 80
# Python raises ValueError when it formats much longer integers.
_MAX_INTEGER = 10**300
_HIDDEN_TEXT = "(hidden)"


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """Describe one mistake: its path, the value, the allowed values and a remedy."""

    path: str
    value: str
    allowed: str
    remedy: str

    def __str__(self) -> str:
        """Return the mistake as one line for operators."""
        return f"{self.path}: {self.value}; allowed: {self.allowed}; {self.remedy}"


def _printable(text: str) -> str:
    # Lone surrogates, which JSON can contain as \ud800, cannot be encoded as UTF-8.
    return text.encode(errors="backslashreplace").decode()


Checker = Callable[[Any], Iterable[ValidationError]]


def pointer(*parts: object) -> str:
    """Return the JSON Pointer (RFC 6901) of a path in a document."""
    escaped = (str(part).replace("~", "~0").replace("/", "~1") for part in parts)
    return _printable("".join(f"/{part}" for part in escaped) or "/")


def format_value(value: object, path: str = "") -> str:
    """Return a value as truncated JSON; credentials and secrets are hidden by path."""
    if "/credential" in path or "/operator_credential" in path or "secret" in path:
        return _HIDDEN_TEXT
    if isinstance(value, dict | list):
        kind = "an object" if isinstance(value, dict) else "a list"
        return f"{kind} of {len(value)} entries"
    if isinstance(value, int) and abs(value) > _MAX_INTEGER:
        return f"a number of {value.bit_length()} bits"
    text = _printable(json.dumps(value, default=repr, ensure_ascii=False))
    return text if len(text) <= _MAX_VALUE_CHARS else text[:_MAX_VALUE_CHARS] + "…"


def parse_json(text: str | bytes) -> Result[Any, tuple[Problem, ...]]:
    """Parse JSON; a repeated key is a mistake, because one entry would be lost."""
    repeated: set[str] = set()

    def pairs(items: list[tuple[str, Any]]) -> dict[str, Any]:
        result = dict(items)
        if len(result) < len(items):
            counts = Counter(key for key, _ in items)
            repeated.update(key for key, count in counts.items() if count > 1)
        return result

    try:
        document = json.loads(text, object_pairs_hook=pairs)
    except RecursionError:
        return Error((_too_deep("/"),))
    except ValueError as error:
        return Error((_not_json(error),))
    if repeated:
        return Error(tuple(_repeated_key(key) for key in sorted(repeated)))
    return Ok(document)


def json_value_problems(document: object) -> tuple[Problem, ...]:
    """Return the values that a schema check cannot handle.

    These are too deep nesting, values without a JSON form, NaN and huge integers.
    """
    problems = []
    stack: list[tuple[tuple[object, ...], object]] = [((), document)]
    while stack:
        path, value = stack.pop()
        if len(path) > MAX_DEPTH:
            return (_too_deep(pointer(*path)),)
        problem = _json_value_problem(path, value)
        if problem is not None:
            problems.append(problem)
        elif isinstance(value, dict):
            stack.extend(((*path, key), item) for key, item in value.items())
        elif isinstance(value, list):
            stack.extend(((*path, index), item) for index, item in enumerate(value))
    return tuple(sorted(problems))


def schema_problems(checker: Checker, document: object) -> tuple[Problem, ...]:
    """Return all mistakes that a schema check finds, sorted by path."""
    value_problems = json_value_problems(document)
    if value_problems:
        return value_problems
    problems = {
        problem for error in checker(document) for problem in _error_problems(error)
    }
    return tuple(sorted(problems))


def describe_allowed(schema: dict[str, Any]) -> str:
    """Describe the values that a schema allows, for operators."""
    if "x-allowed" in schema:
        return str(schema["x-allowed"])
    if "const" in schema:
        return format_value(schema["const"])
    if "enum" in schema:
        return "one of " + ", ".join(format_value(value) for value in schema["enum"])
    if "items" in schema and "x-allowed" in schema["items"]:
        return "a list, each " + describe_allowed(schema["items"])
    type_names = schema.get("type", "any value")
    alternatives = [type_names] if isinstance(type_names, str) else type_names
    text = " or ".join(_TYPE_NAMES.get(name, name) for name in alternatives)
    return text + _describe_range(schema)


_TYPE_NAMES = {
    "integer": "a whole number",
    "number": "a number",
    "string": "a string",
    "boolean": "true or false",
    "object": "an object",
    "array": "a list",
    "null": "null",
}


def _describe_range(schema: dict[str, Any]) -> str:
    low, high = schema.get("minimum"), schema.get("maximum")
    unit = f" {schema['x-unit']}" if "x-unit" in schema else ""
    if low is None or high is None:
        return unit
    return f" from {low} to {high}{unit}"


def _error_problems(error: ValidationError) -> Iterator[Problem]:
    path = tuple(error.absolute_path)
    schema = error.schema if isinstance(error.schema, dict) else {}
    if "propertyNames" in error.absolute_schema_path:
        location = pointer(*path, error.instance)
        name = format_value(error.instance)
        yield Problem(location, name, describe_allowed(schema), "rename the entry")
    elif error.validator == "additionalProperties":
        yield from _unknown_keys(path, error.instance, schema)
    elif error.validator == "required":
        yield from _missing_keys(path, error.instance, schema)
    else:
        location = pointer(*path)
        remedy = schema.get("x-remedy", "use an allowed value")
        yield Problem(
            location,
            format_value(error.instance, location),
            describe_allowed(schema),
            remedy,
        )


def _unknown_keys(
    path: tuple[Any, ...], instance: dict[str, Any], schema: dict[str, Any]
) -> Iterator[Problem]:
    known = sorted(schema["properties"])
    for key in instance:
        if key in known:
            continue
        similar = difflib.get_close_matches(key, known, 1)
        remedy = f"did you mean {similar[0]}?" if similar else "remove the unknown key"
        allowed = "one of " + ", ".join(known) if known else "no keys"
        yield Problem(pointer(*path, key), "an unknown key", allowed, remedy)


def _missing_keys(
    path: tuple[Any, ...], instance: dict[str, Any], schema: dict[str, Any]
) -> Iterator[Problem]:
    for key in schema["required"]:
        if key not in instance:
            allowed = describe_allowed(schema.get("properties", {}).get(key, {}))
            location = pointer(*path, key)
            yield Problem(location, "missing", allowed, "add the key")


def _json_value_problem(path: tuple[object, ...], value: object) -> Problem | None:
    if isinstance(value, float) and not math.isfinite(value):
        allowed = "a finite number"
    elif isinstance(value, int) and abs(value) > _MAX_INTEGER:
        allowed = "a number of at most 300 digits"
    elif isinstance(value, dict) and not all(isinstance(key, str) for key in value):
        allowed = "an object with string keys"
    elif not isinstance(value, str | int | float | dict | list | None):
        allowed = "a JSON value"
    else:
        return None
    return Problem(pointer(*path), format_value(value), allowed, "use an allowed value")


def _too_deep(path: str) -> Problem:
    allowed = f"at most {MAX_DEPTH} levels"
    return Problem(path, "nested too deeply", allowed, "remove inner levels")


def _not_json(error: ValueError) -> Problem:
    remedy = f"correct the document: {error}"
    return Problem("/", "not valid JSON", "one JSON document in UTF-8", remedy)


def _repeated_key(key: str) -> Problem:
    remedy = f"rename or remove one of the keys {format_value(key)}"
    return Problem("/", "a repeated key", "each key once in an object", remedy)
