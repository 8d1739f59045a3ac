"""Errors of messages to peers."""

from enum import StrEnum

from cicadapass_common.exceptions import CicadapassError


class PeerFault(StrEnum):
    """Classify failures of messages to peers; the values appear in close reasons."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    CLOSED = "closed"
    QUEUE_FULL = "queue-full"
    OVERSIZED = "oversized"
    WRONG_SECRET = "wrong-secret"
    WRONG_VERSION = "wrong-version"
    WRONG_NODE = "wrong-node"
    GARBAGE = "garbage"
    REFUSED = "refused"
    STOPPED = "stopped"


_REMEDIES = {
    PeerFault.UNREACHABLE: "check that the node runs and that its peer port is open",
    PeerFault.TIMEOUT: "retry, or ask another node",
    PeerFault.CLOSED: "retry, or ask another node",
    PeerFault.QUEUE_FULL: "retry later, or ask another node",
    PeerFault.OVERSIZED: "send smaller documents",
    PeerFault.WRONG_SECRET: "give all nodes the same peer secret",
    PeerFault.WRONG_VERSION: "run nodes of compatible versions",
    PeerFault.WRONG_NODE: "use the address of the current incarnation",
    PeerFault.GARBAGE: "check that the peer is a cicadapass node",
    PeerFault.REFUSED: "read the peer's events for the reason",
    PeerFault.STOPPED: "do not send messages while the node stops",
}


class PeerError(CicadapassError):
    """Report that a message got no answer.

    `may_have_arrived` is true if the peer may have received the message.
    """

    def __init__(
        self, fault: PeerFault, detail: str, *, may_have_arrived: bool = False
    ) -> None:
        super().__init__(f"{fault}: {detail}", _REMEDIES[fault])
        self.fault = fault
        self.may_have_arrived = may_have_arrived
