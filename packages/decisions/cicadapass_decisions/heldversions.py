"""Hold back engines of a version until it is known whether there is an order for it.

An order is in the operator's topic before the engines of its version start. So a read
of that topic that began after an engine was seen shows the order, if there is one.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from cicadapass_decisions.passthrough import UpstreamRecord
from cicadapass_decisions.rollouts import Rollout, Trust, trust

NEVER_S = -1e9
# Weight of an engine of the version of an undecided order; others count 1. If the order
# was rolled back, some engines of the old version may have ended; after a success, none
# of them is left.
UNDECIDED_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class VersionEngines:
    """Store the number of registered engines of a version and their first start."""

    engines: int
    first_start_ms: int


def engines_by_version(records: Iterable[UpstreamRecord]) -> dict[str, VersionEngines]:
    """Return the engines of a service by version."""
    found: dict[str, VersionEngines] = {}
    for record in records:
        known = found.get(record.version, VersionEngines(0, record.started_ms))
        found[record.version] = VersionEngines(
            known.engines + 1, min(known.first_start_ms, record.started_ms)
        )
    return found


def provisional_version(
    present: Mapping[str, VersionEngines], rollout: Rollout | None, *, must_serve: bool
) -> str | None:
    """Return the version that gets requests while the verdicts are not known.

    A version is newer than another if an order names it whose verdict is not known, or
    if its first engine started later. With `must_serve`, the verdicts cannot be read,
    and the version of most engines is returned.
    """
    allowed = {
        version: engines
        for version, engines in present.items()
        if trust(rollout, version) is not Trust.BARRED
    }
    undecided = rollout.to if rollout is not None and rollout.running else None
    if must_serve:
        return _version_of_most_engines(allowed, undecided)
    allowed = {key: each for key, each in allowed.items() if key != undecided}
    first_ms = min((each.first_start_ms for each in allowed.values()), default=0)
    oldest = [
        (each.engines, version)
        for version, each in allowed.items()
        if each.first_start_ms == first_ms
    ]
    oldest.sort(reverse=True)
    if not oldest or (len(oldest) > 1 and oldest[0][0] == oldest[1][0]):
        # The record is likely to be read before long, and shows which one is bad.
        return None
    return oldest[0][1]


def _version_of_most_engines(
    present: Mapping[str, VersionEngines], undecided: str | None
) -> str | None:
    """Return the version of most engines; of equal ones, one without an order."""

    def rank(version: str) -> tuple[float, bool, int, str]:
        engines, is_undecided = present[version], version == undecided
        weight = UNDECIDED_WEIGHT if is_undecided else 1.0
        return -weight * engines.engines, is_undecided, engines.first_start_ms, version

    return min(present, key=rank, default=None)


class HeldVersions:
    """Track the versions that wait for a read, and those that do not need one."""

    def __init__(self) -> None:
        self._confirmed_s = NEVER_S
        # Versions that were used before, and when others were first seen, by service.
        self._released: dict[str, set[str]] = {}
        self._held: dict[tuple[str, str], float] = {}

    @property
    def confirmed_s(self) -> float:
        """Return when the newest read of the operator's topic began."""
        return self._confirmed_s

    @property
    def held(self) -> frozenset[tuple[str, str]]:
        """Return the services and versions that wait."""
        return frozenset(self._held)

    def was_used(self, service: str, version: str) -> bool:
        """Return whether engines of a version were used without an order."""
        return version in self._released.get(service, ())

    def longest_s(self, now_s: float) -> float:
        """Return for how long a version has waited."""
        return max((now_s - since_s for since_s in self._held.values()), default=0.0)

    def confirm(self, read_s: float) -> bool:
        """Record a read that began then; return whether a version waits no longer."""
        self._confirmed_s = max(self._confirmed_s, read_s)
        return any(self._confirmed_s >= since_s for since_s in self._held.values())

    def update(
        self,
        versions: Mapping[str, Collection[str]],
        rollouts: Mapping[str, Rollout],
        now_s: float,
    ) -> None:
        """Apply the versions of the engines of all services."""
        self._held = {
            (service, version): self._held.get((service, version), now_s)
            for service, present in versions.items()
            for version in self._unknown(service, present, rollouts.get(service), now_s)
        }

    def _unknown(
        self,
        service: str,
        present: Collection[str],
        rollout: Rollout | None,
        now_s: float,
    ) -> set[str]:
        """Return the versions of a service that wait; the others are used from now on.

        The first versions of a service are used at once: nothing could be compared
        with them, and no order can precede the engines of a new deployment.
        """
        released = self._released.setdefault(service, set())
        if not released:
            released |= set(present) - ({rollout.to} if rollout is not None else set())
        unknown = set()
        for version in set(present) - released:
            if trust(rollout, version) is not Trust.TRUSTED:
                # The order decides.
                continue
            is_known = rollout is not None and version in (rollout.to, *rollout.trusted)
            first_s = self._held.get((service, version), now_s)
            if is_known or self._confirmed_s >= first_s:
                released.add(version)
            else:
                unknown.add(version)
        return unknown
