"""Types that all decisions share."""

from dataclasses import dataclass
from enum import StrEnum


class Verdict(StrEnum):
    """Say what is known about the effect of a request that got no whole answer."""

    NOT_RUN = "not-run"
    RUN = "run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, order=True)
class VmId:
    """Identify one life of a VM: a VM that reuses a name has another incarnation."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """Say where the node of one VM incarnation can be reached by its peers."""

    name: str
    incarnation: str
    fleet: str
    data_centre: str
    host: str
    peer_port: int

    @property
    def vm(self) -> VmId:
        """Return the VM incarnation that the node runs on."""
        return VmId(self.name, self.incarnation)


def qualify(fleet: str, name: str) -> str:
    """Return the name qualified by its fleet."""
    return f"{fleet}/{name}"
