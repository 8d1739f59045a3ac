"""Hold back engines of a version until it is known whether there is an order for it.

An order is in the operator's topic before the engines of its version start. So a read
of that topic that began after an engine was seen shows the order, if there is one.
"""

from collections.abc import Collection, Mapping

from cicadapass_decisions.rollouts import Rollout, Trust, trust

NEVER_S = -1e9


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
