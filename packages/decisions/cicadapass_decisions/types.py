"""Types shared by the decision modules."""

from dataclasses import dataclass
from enum import StrEnum


class Verdict(StrEnum):
    """Classify whether a request without a complete answer may have taken effect."""

    NOT_RUN = "not-run"
    RUN = "run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, order=True)
class VmId:
    """Identify a VM incarnation; a VM that reuses a name has another one."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """Locate the node of a VM incarnation for its peers."""

    name: str
    incarnation: str
    fleet: str
    data_centre: str
    host: str
    peer_port: int

    @property
    def vm(self) -> VmId:
        """Return the id of the VM incarnation that the node runs on."""
        return VmId(self.name, self.incarnation)


def qualify(fleet: str, name: str) -> str:
    """Return the name in the form `fleet/name`."""
    return f"{fleet}/{name}"
