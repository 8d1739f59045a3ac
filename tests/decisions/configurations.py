"""Parts of configurations for the tests of their findings and differences."""

from cicadapass_decisions.passthrough import (
    CallerLimits,
    CallKind,
    Configuration,
    Route,
    Scaling,
    Service,
    WeightedService,
    Workspace,
)

SCALING = Scaling(1, 2, 4.0, 0.2, {"dc-a": 1.0, "dc-b": 1.0})


def route(name, host="h", prefix="/", weights=(1.0,), **changes):
    """Return a route to the services `s0`, `s1` and so on with these weights."""
    services = tuple(WeightedService(f"s{i}", each) for i, each in enumerate(weights))
    values = {"timeout_s": 3.0, "target_latency_s": 0.5, **changes}
    return Route(name, host, prefix, CallKind.SAFE, services, **values)


def configuration(*entries, version=1):
    """Return a configuration with routes, services, workspaces and limits."""

    def of(kind):
        return tuple(each for each in entries if isinstance(each, kind))

    services = {each.name: each for each in of(Service)}
    limits = (*of(CallerLimits), CallerLimits())[0]
    return Configuration(version, of(Route), services, of(Workspace), limits)
