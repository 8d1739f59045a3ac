"""Read settings from JSON documents into frozen dataclasses."""

import dataclasses
import typing
from dataclasses import MISSING
from pathlib import Path
from typing import Any, TypeVar

from expression import Error, Ok, Result
from jsonschema import Draft202012Validator

from cicadapass_decisions.options import (
    build,
    default_of,
    option_of,
    schema_of,
    to_document,
)
from cicadapass_decisions.problems import Problem, parse_json, schema_problems

T = TypeVar("T")
SettingProblem = Problem
_REQUIRED_MARK = "REQUIRED"


def read_settings(
    path: str | Path, spec: type[T]
) -> Result[T, tuple[SettingProblem, ...]]:
    """Return the settings of a file, or all problems found in it."""
    try:
        text = Path(path).read_bytes()
    except (OSError, ValueError) as error:
        # A path with a null character raises ValueError.
        reason = getattr(error, "strerror", None) or str(error)
        remedy = "specify a file that this user can read"
        return Error((Problem(str(path), reason, "a readable file", remedy),))
    return parse_settings(text, spec)


def parse_settings(
    text: str | bytes, spec: type[T]
) -> Result[T, tuple[SettingProblem, ...]]:
    """Return the settings of a JSON text, or all problems found in it."""
    return parse_json(text).bind(
        lambda document: settings_from_document(document, spec)
    )


def settings_from_document(
    document: Any, spec: type[T], *, strict: bool = True
) -> Result[T, tuple[SettingProblem, ...]]:
    """Return the settings of a parsed document, or all problems found in it.

    Unknown keys are ignored unless `strict` is set.
    """
    iter_errors = Draft202012Validator(schema_of(spec, strict=strict)).iter_errors
    problems = schema_problems(iter_errors, document)
    return Error(problems) if problems else Ok(build(spec, document))


def defaults_document(spec: type[Any]) -> dict[str, Any]:
    """Return all defaults; a required setting contains its description instead."""
    hints = typing.get_type_hints(spec)
    document = {}
    for field in dataclasses.fields(spec):
        default = default_of(field)
        if default is not MISSING:
            document[field.name] = to_document(default)
        elif dataclasses.is_dataclass(hints[field.name]):
            section = typing.cast("type[Any]", hints[field.name])
            document[field.name] = defaults_document(section)
        else:
            document[field.name] = f"{_REQUIRED_MARK}: {option_of(field).meaning}"
    return document
