"""The JSON Schema of the inventory document."""

from typing import Any

from jsonschema import Draft202012Validator

from cicadapass_decisions.rule_sections import rules_schema
from cicadapass_decisions.schemacompiler import compile_schema

Schema = dict[str, Any]

# Python's `$` also matches before a final newline; the lookahead excludes that.
_END_OF_TEXT = r"$(?!\n)"
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9.-]{0,62}" + _END_OF_TEXT
URL_PATTERN = r"^https?://[A-Za-z0-9.:\[\]-]+(/[A-Za-z0-9._~/-]*)?" + _END_OF_TEXT
PATH_PATTERN = r"^/[^\s?#]*" + _END_OF_TEXT
SHA256_PATTERN = r"^[0-9a-f]{64}" + _END_OF_TEXT
METHODS = ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
_NAME_RULE = "1 to 63 letters, digits, dots or hyphens, first a letter or digit"


def _name(description: str) -> Schema:
    return _string(description, NAME_PATTERN, _NAME_RULE)


def _string(description: str, pattern: str, allowed: str) -> Schema:
    return {
        "type": "string",
        "description": description,
        "pattern": pattern,
        "x-allowed": allowed,
    }


def _number(description: str, low: float, high: float, unit: str = "") -> Schema:
    schema: Schema = {
        "type": "number",
        "description": description,
        "minimum": low,
        "maximum": high,
    }
    return schema | {"x-unit": unit} if unit else schema


def _integer(description: str, low: int, high: int, unit: str = "") -> Schema:
    return _number(description, low, high, unit) | {"type": "integer"}


def _boolean(description: str, default: bool) -> Schema:
    return {"type": "boolean", "description": description, "default": default}


def _object(description: str, properties: Schema, required: tuple[str, ...]) -> Schema:
    return {
        "type": "object",
        "description": description,
        "additionalProperties": False,
        "required": list(required),
        "properties": properties,
    }


def _entries_by_name(description: str, entry: Schema) -> Schema:
    names = {"pattern": NAME_PATTERN, "x-allowed": _NAME_RULE}
    return {
        "type": "object",
        "description": description,
        "propertyNames": names,
        "additionalProperties": entry,
    }


_DATA_CENTRE = _object(
    "A data centre of the fleet.",
    {
        "hop_ms": _number(
            "One-way time to the fleet's other data centres.", 0, 10000, "ms"
        ),
        "client_ms": _number("One-way time to the callers.", 0, 10000, "ms"),
        "region": _name("The region, when it differs from the fleet's."),
    },
    ("hop_ms", "client_ms"),
)

_CALL = _object(
    "Whether a call of a plain service may be repeated.",
    {
        "method": {
            "type": "string",
            "description": "The HTTP method.",
            "enum": list(METHODS),
        },
        "path": _string(
            "The path below the service; a segment `*` stands for any one segment.",
            PATH_PATTERN,
            "a path that starts with / without whitespace, ? or #",
        ),
        "repeatable": _boolean(
            "Whether the call may be sent again when its effect is unknown.", False
        ),
    },
    ("method", "path", "repeatable"),
)

# Equivalent to the schema `false`, whose errors lack the path of the key.
_FORBIDDEN_KEY = {"not": {}, "x-allowed": "no such key", "x-remedy": "remove the key"}

_SERVICE = _object(
    "A model or a plain service.",
    {
        "kind": {
            "type": "string",
            "description": "Whether model engines or plain HTTP upstreams serve it.",
            "enum": ["model", "plain"],
        },
        "model": _name("The model that the engines load; for kind model only."),
        "calls": {
            "type": "array",
            "description": (
                "The calls that differ from the default: GET, HEAD and OPTIONS are "
                "repeatable, all others are not; for kind plain only."
            ),
            "items": _CALL,
            "default": [],
        },
    },
    ("kind",),
) | {
    "if": {"properties": {"kind": {"const": "model"}}},
    "then": {"required": ["model"], "properties": {"calls": _FORBIDDEN_KEY}},
    "else": {"properties": {"model": _FORBIDDEN_KEY}},
}

_UPSTREAM = _object(
    "A model engine or an instance of a plain service.",
    {
        "service": _name("The service of this fleet that it serves."),
        "data_centre": _name("The data centre of this fleet that it runs in."),
        "url": _string(
            "The base URL, unique among all upstreams.",
            URL_PATTERN,
            "an http or https URL without user, query or fragment",
        ),
        "slots": _integer(
            "How many requests it runs concurrently.", 1, 4096, "requests"
        ),
        "class": _name("The machine class.") | {"default": "standard"},
        "reclaimable": _boolean("Whether the platform may reclaim its VM.", False),
        "price_per_hour": _number("The price of its VM.", 0, 10000, "per hour")
        | {"default": 0},
        "checks_fencing": _boolean(
            "Whether it refuses orders with an old fencing number.", False
        ),
        "deduplicates": _boolean(
            "Whether it applies calls with the same idempotency key once.", False
        ),
    },
    ("service", "data_centre", "url", "slots"),
)

_CREDENTIAL = _object(
    "A bearer credential of a workspace.",
    {
        "id": _name("The name of the credential, unique in its workspace."),
        "sha256": _string(
            "The SHA-256 of the credential; unique in the whole document.",
            SHA256_PATTERN,
            "64 lower-case hexadecimal digits, never the credential itself",
        ),
    },
    ("id", "sha256"),
)

_WORKSPACE = _object(
    "A group of callers with a fair share of the fleet.",
    {
        "weight": _number("Its share relative to the other workspaces.", 0.01, 1000),
        "max_priority": _integer(
            "The highest priority that its callers may request.", 0, 9
        ),
        "credentials": {
            "type": "array",
            "description": "The credentials that belong to it.",
            "items": _CREDENTIAL,
        },
    },
    ("weight", "max_priority", "credentials"),
)

_FLEET = _object(
    "A fleet; its names are local to the fleet.",
    {
        "region": _name("The region of its data centres."),
        "data_centres": _entries_by_name("Its data centres by name.", _DATA_CENTRE),
        "services": _entries_by_name("Its services by name.", _SERVICE),
        "upstreams": _entries_by_name("Its upstreams by name.", _UPSTREAM),
        "workspaces": _entries_by_name("Its workspaces by name.", _WORKSPACE),
    },
    ("region", "data_centres", "services", "upstreams", "workspaces"),
)

INVENTORY_SCHEMA: Schema = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    "title": "cicadapass inventory",
} | _object(
    "Everything that operators control.",
    {
        "format": {
            "type": "integer",
            "description": "The format of the document.",
            "const": 1,
        },
        "fleets": _entries_by_name("The fleets by name.", _FLEET)
        | {"minProperties": 1},
        "rules": rules_schema() | {"default": {}},
    },
    ("format", "fleets"),
)

inventory_validator = Draft202012Validator(INVENTORY_SCHEMA)
accepts_inventory = compile_schema(INVENTORY_SCHEMA)
