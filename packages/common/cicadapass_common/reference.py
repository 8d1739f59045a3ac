"""Render schemas as reference tables for pages and the command line."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from cicadapass_decisions.problems import describe_allowed

_REQUIRED = "required"
_OPTIONAL = "optional"


@dataclass(frozen=True, slots=True)
class ReferenceRow:
    """Describe one key: its path, allowed values, default and meaning."""

    path: str
    allowed: str
    default: str
    meaning: str


def reference_rows(schema: dict[str, Any], path: str = "") -> Iterator[ReferenceRow]:
    """Return a row for each key of a schema; `NAME` stands for a user-chosen name."""
    required = schema.get("required", ())
    for key, key_schema in schema.get("properties", {}).items():
        yield from _key_rows(key_schema, f"{path}{key}", key in required)


def to_markdown(rows: Iterator[ReferenceRow]) -> str:
    """Return the rows as a table of a Markdown page."""
    lines = ["| key | values | default | meaning |", "| --- | --- | --- | --- |"]
    for row in rows:
        allowed = row.allowed.replace("|", "\\|")
        cells = (f"`{row.path}`", allowed, row.default, row.meaning)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _key_rows(
    schema: dict[str, Any], path: str, required: bool
) -> Iterator[ReferenceRow]:
    yield ReferenceRow(
        path,
        describe_allowed(schema),
        _default_text(schema, required),
        _meaning_text(schema),
    )
    yield from reference_rows(schema, f"{path}.")
    value_schema = schema.get("additionalProperties")
    if isinstance(value_schema, dict):
        yield from reference_rows(value_schema, f"{path}.NAME.")
    if "items" in schema:
        yield from reference_rows(schema["items"], f"{path}[].")


def _default_text(schema: dict[str, Any], required: bool) -> str:
    if required:
        return _REQUIRED
    return json.dumps(schema["default"]) if "default" in schema else _OPTIONAL


def _meaning_text(schema: dict[str, Any]) -> str:
    text = schema.get("description", "")
    text = text[:1].upper() + text[1:]
    return text if not text or text.endswith(".") else f"{text}."
