"""Map the sections of the inventory's rules to frozen dataclasses with defaults."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from typing import Any, TypeVar

from cicadapass_decisions.options import build, default_of, option, schema_of
from cicadapass_decisions.policy import (
    AdmissionRules,
    CostRules,
    LimitRules,
    Policy,
    PrefixRules,
    QueueRules,
    RetryRules,
    RoutingRules,
    SlownessRules,
    WorkRules,
)
from cicadapass_decisions.problems import Problem, pointer

R = TypeVar("R")


@dataclass(frozen=True, slots=True)
class DurabilityRules:
    """Control how accepted requests survive the loss of their node."""

    copies: bool = option(True, "Copy each request to a node in another data centre.")
    require_copy: bool = option(
        False, "Refuse a request as not run when no node can store its copy."
    )
    holder_timeout_s: float = option(
        0.25,
        "How long acceptance waits for a copy holder's acknowledgement.",
        low=0.01,
        high=10,
    )
    copies_limit_bytes: int = option(
        16 * 2**20,
        "Memory for copies of other nodes' requests; further copies are refused.",
        low=2**16,
        high=2**34,
    )


@dataclass(frozen=True, slots=True)
class ClaimRules:
    """Control how calls with an idempotency key take effect at most once."""

    claims: bool = option(
        True, "Claim keyed calls in the log; when off, they are refused as not run."
    )
    window_s: float = option(
        3600.0,
        "How long a key is stored; must be less than the log's retention.",
        low=60,
        high=86400,
    )


# The rule sections by key; each class defines its defaults and ranges. A new section
# needs one line here.
RULE_SECTIONS: dict[str, type[Any]] = {
    "work": WorkRules,
    "queue": QueueRules,
    "admission": AdmissionRules,
    "routing": RoutingRules,
    "cost": CostRules,
    "limits": LimitRules,
    "slowness": SlownessRules,
    "retry": RetryRules,
    "prefix": PrefixRules,
    "durability": DurabilityRules,
    "claims": ClaimRules,
}

# Pairs of rules in a section, of which the first must not exceed the second.
RULE_ORDER: tuple[tuple[str, str, str], ...] = (
    ("admission", "min_retry_after_s", "max_retry_after_s"),
    ("admission", "max_wait_s", "max_long_wait_s"),
    ("cost", "refused_backoff_s", "refused_backoff_max_s"),
    ("slowness", "recovered_ratio", "slow_ratio"),
    ("retry", "backoff_s", "backoff_max_s"),
)


@dataclass(frozen=True, slots=True)
class Rules:
    """Contain one dataclass of rules for each section."""

    sections: Mapping[str, Any]

    def of(self, kind: type[R]) -> R:
        """Return the section of this class; KeyError if it is not registered."""
        for section in self.sections.values():
            if type(section) is kind:
                return section
        raise KeyError(f"{kind.__name__} is not in RULE_SECTIONS")

    @property
    def policy(self) -> Policy:
        """Return the rules of the routing, queueing and retry decisions."""
        return Policy(
            **{section.name: self.sections[section.name] for section in fields(Policy)}
        )


def read_rules(document: Mapping[str, Any]) -> Rules:
    """Return all sections from a document that `rules_schema` accepts."""
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


def rule_order_problems(rules: Any) -> Iterator[Problem]:
    """Yield the rules that violate RULE_ORDER; malformed ones are ignored."""
    for name, lower, upper in RULE_ORDER:
        section = rules.get(name) if isinstance(rules, dict) else None
        if not isinstance(section, dict):
            continue
        low, high = (_effective_value(name, section, key) for key in (lower, upper))
        if low is not None and high is not None and low > high:
            path = pointer("rules", name, lower)
            allowed = f"at most {upper}, which is {high}"
            yield Problem(path, str(low), allowed, f"lower {lower} or raise {upper}")


def _effective_value(name: str, section: dict[str, Any], key: str) -> float | None:
    (field,) = (
        candidate for candidate in fields(RULE_SECTIONS[name]) if candidate.name == key
    )
    value = section.get(key, default_of(field))
    return value if type(value) in (int, float) else None
