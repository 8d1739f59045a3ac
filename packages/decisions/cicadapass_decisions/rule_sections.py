"""Map the sections of the document's rules to frozen dataclasses of defaults."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from cicadapass_decisions.options import build, option, schema_of

R = TypeVar("R")


@dataclass(frozen=True, slots=True)
class DurabilityRules:
    """Rule how accepted requests survive the loss of their node."""

    copies: bool = option(True, "Copy each request to a node in another data centre.")
    require_copy: bool = option(
        False, "Refuse a request as not run when no node can hold its copy."
    )
    holder_timeout_s: float = option(
        0.25,
        "How long acceptance waits for a copy holder's acknowledgement.",
        low=0.01,
        high=10,
    )
    copies_limit_bytes: int = option(
        16 * 2**20,
        "How much a node holds in copies for others before it refuses more.",
        low=2**16,
        high=2**34,
    )


@dataclass(frozen=True, slots=True)
class ClaimRules:
    """Rule how calls with an idempotency key take effect at most once."""

    claims: bool = option(
        True, "Claim keyed calls in the log; when off, they are refused as not run."
    )
    window_s: float = option(
        3600.0,
        "How long a key is remembered; must be less than the log's retention.",
        low=60,
        high=86400,
    )
    valid_s: float = option(
        5.0,
        "How long after its append began a winning claim may be sent.",
        low=0.5,
        high=60,
    )


# A section is added by one line here; its class states the defaults and ranges.
RULE_SECTIONS: dict[str, type[Any]] = {
    "durability": DurabilityRules,
    "claims": ClaimRules,
}


@dataclass(frozen=True, slots=True)
class Rules:
    """Hold one filled dataclass for each section."""

    sections: Mapping[str, Any]

    def of(self, kind: type[R]) -> R:
        """Return the section of this class; KeyError when it is not registered."""
        for section in self.sections.values():
            if type(section) is kind:
                return section
        raise KeyError(f"{kind.__name__} is not in RULE_SECTIONS")


def read_rules(document: Mapping[str, Any]) -> Rules:
    """Fill every section from a document that `rules_schema` accepts."""
    sections = RULE_SECTIONS.items()
    return Rules({name: build(kind, document.get(name, {})) for name, kind in sections})


def rules_schema() -> dict[str, Any]:
    """Return the JSON Schema of the document's rules."""
    properties = {}
    for name, kind in RULE_SECTIONS.items():
        properties[name] = schema_of(kind)
        properties[name]["description"] = (kind.__doc__ or "").split("\n")[0]
    return {
        "type": "object",
        "description": "Rules that differ from their defaults.",
        "additionalProperties": False,
        "properties": properties,
    }
