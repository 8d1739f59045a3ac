"""Find limits of a configuration that are impossible or contradict each other."""

import math
from collections.abc import Iterator
from dataclasses import fields

from cicadapass_decisions.configfindings import (
    Finding,
    FindingKind,
    Path,
    error,
    warning,
)
from cicadapass_decisions.passthrough import (
    CallerLimits,
    Configuration,
    Route,
    Scaling,
    Service,
    Workspace,
)
from cicadapass_decisions.ratelimit import DEMAND_WINDOW_S


def find_contradictions(
    configuration: Configuration, window_s: float = DEMAND_WINDOW_S
) -> tuple[Finding, ...]:
    """Return the findings on limits; `window_s` is the window of the rate limits."""
    findings: list[Finding] = []
    for index, route in enumerate(configuration.routes):
        findings += _route_findings(route, ("routes", index))
        findings += _attempt_findings(configuration, route, ("routes", index))
    for service in configuration.services.values():
        findings += _service_findings(service, ("services", service.name))
    has_plain = any(not each.model_engine for each in configuration.services.values())
    for index, workspace in enumerate(configuration.workspaces):
        path: Path = ("workspaces", index)
        rates = tuple(_rate_findings(workspace, path))
        findings += rates
        # The tokens of calls to model engines are not known here.
        if not rates and (has_plain or not workspace.counts_tokens):
            findings += _burst_findings(workspace, path, window_s)
    findings += _caller_findings(configuration.limits)
    return tuple(findings)


def _route_findings(route: Route, path: Path) -> Iterator[Finding]:
    times = {"timeout_s": route.timeout_s, "target_latency_s": route.target_latency_s}
    if route.max_gap_s is not None:
        times["max_gap_s"] = route.max_gap_s
    for name, value in times.items():
        if not 0 < value < math.inf:
            yield _invalid((*path, name), f"a time of {value:g} s")
    if route.target_latency_s > route.timeout_s:
        yield error(
            FindingKind.TARGET_BEYOND_TIMEOUT,
            (*path, "target_latency_s"),
            f"the target latency of route {route.name!r}, {route.target_latency_s:g} s,"
            f" exceeds its timeout of {route.timeout_s:g} s",
        )
    if route.max_gap_s is not None and route.max_gap_s > route.timeout_s:
        yield error(
            FindingKind.GAP_BEYOND_TIMEOUT,
            (*path, "max_gap_s"),
            f"the longest gap between events of route {route.name!r},"
            f" {route.max_gap_s:g} s, exceeds its timeout of {route.timeout_s:g} s",
        )
    if route.attempts < 1:
        yield _invalid((*path, "attempts"), f"{route.attempts} attempts")


def _attempt_findings(
    configuration: Configuration, route: Route, path: Path
) -> Iterator[Finding]:
    # Calls that must not be repeated run once, whatever the number of attempts.
    attempts = route.attempts if route.repeatable else min(1, route.attempts)
    for weighted in route.services:
        service = configuration.services.get(weighted.service)
        engines = _most_engines(service.scaling) if service else None
        if engines is not None and attempts > engines and weighted.weight > 0:
            yield warning(
                FindingKind.ATTEMPTS_BEYOND_ENGINES,
                (*path, "attempts"),
                f"route {route.name!r} allows {attempts} attempts, and service"
                f" {weighted.service!r} at most {engines} engines",
            )


def _most_engines(scaling: Scaling | None) -> int | None:
    """Return the engines that may be ordered, or None if the number is not known.

    The maximum is that of a data centre. Without prices, engines are ordered in all
    data centres that have some, which the configuration does not name.
    """
    if scaling is None or scaling.maximum < 1:
        # A maximum below 1 is a finding of its own.
        return None
    return scaling.maximum * len(scaling.prices) or None


def _service_findings(service: Service, path: Path) -> Iterator[Finding]:
    if service.tokens_per_event < 1:
        yield _invalid(
            (*path, "tokens_per_event"), f"{service.tokens_per_event} tokens per event"
        )
    scaling = service.scaling
    if scaling is None:
        return
    path = (*path, "scaling")
    if scaling.minimum < 0:
        yield _invalid((*path, "minimum"), f"{scaling.minimum} engines")
    if scaling.maximum < 1:
        yield _invalid((*path, "maximum"), f"{scaling.maximum} engines")
    if scaling.minimum > scaling.maximum:
        yield error(
            FindingKind.MINIMUM_BEYOND_MAXIMUM,
            (*path, "minimum"),
            f"the minimum of service {service.name!r}, {scaling.minimum} engines,"
            f" exceeds its maximum of {scaling.maximum}",
        )
    amounts = {
        "boot_s": scaling.boot_s,
        "reclaimable_price_ratio": scaling.reclaimable_price_ratio,
    }
    for name, value in amounts.items():
        if not 0 <= value < math.inf:
            yield _invalid((*path, name), f"the value {value:g}")
    for data_centre, price in scaling.prices.items():
        if not 0 <= price < math.inf:
            yield _invalid((*path, "prices", data_centre), f"a price of {price:g}")


def _rate_findings(workspace: Workspace, path: Path) -> Iterator[Finding]:
    for name in ("rate_per_s", "burst"):
        value = getattr(workspace, name)
        if not 0 <= value < math.inf:
            yield _invalid((*path, name), f"the value {value:g}")
    if workspace.counts_tokens and workspace.plain_tokens < 1:
        yield _invalid(
            (*path, "plain_tokens"), f"{workspace.plain_tokens} tokens for a call"
        )
    if workspace.rate_per_s == 0 and workspace.burst > 0:
        yield warning(
            FindingKind.BURST_WITHOUT_RATE,
            (*path, "burst"),
            f"workspace {workspace.name!r} has a burst but no rate, so that its"
            " calls are not limited",
        )


def _burst_findings(
    workspace: Workspace, path: Path, window_s: float
) -> Iterator[Finding]:
    """Compare the limits of a workspace with what a call to a plain service costs."""
    rate, burst = workspace.rate_per_s, workspace.burst
    cost, unit = (
        (workspace.plain_tokens, "tokens") if workspace.counts_tokens else (1, "calls")
    )
    call = "a call to a plain service" if workspace.counts_tokens else "a call"
    if 0 < burst < cost:
        yield warning(
            FindingKind.BURST_BELOW_REQUEST,
            (*path, "burst"),
            f"workspace {workspace.name!r} has a burst of {burst:g} {unit}, and {call}"
            f" costs {cost:g}",
        )
    elif 0 < rate * window_s + burst < cost:
        yield warning(
            FindingKind.BURST_BELOW_REQUEST,
            (*path, "rate_per_s"),
            f"workspace {workspace.name!r} may use {rate * window_s + burst:g} {unit}"
            f" in {window_s:g} s, and {call} costs {cost:g}",
        )


def _caller_findings(limits: CallerLimits) -> Iterator[Finding]:
    for each in fields(limits):
        value = getattr(limits, each.name)
        if not 0 < value < math.inf:
            yield _invalid(("limits", each.name), f"the value {value:g}")


def _invalid(path: Path, message: str) -> Finding:
    return error(FindingKind.INVALID_LIMIT, path, f"{message} is out of range")
