"""Judge whether a service has used a single version for the life of a stream.

That a version is the only one is true of a moment. A node knows it as of the last read
of the registry on which its view rests; since then, engines of another version may have
joined and begun streams at other nodes. A stream cannot begin before the entry of its
engine is in the registry, so a view that was read after the caller asked lacks none of
the versions. Where the registry is silent, the other nodes answer for what they began.
"""

import math
from dataclasses import dataclass
from enum import Enum

# Longest time from the last report of a peer until it is found to have ended.
MAX_UNHEARD_S = 2.5


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Store what this node knows of another one, by this node's clock."""

    # When the other node sent the last state that arrived.
    sent_s: float
    # When its process was found to have ended; it has begun no stream since then.
    ended_s: float = math.inf


@dataclass(frozen=True, slots=True)
class VersionEvidence:
    """Store what a node knows of the versions of a service when a caller asks."""

    asked_s: float
    # The versions at which a stream that still lasts may have begun.
    in_use: frozenset[str]
    # Whether this node, or the record of the versions, covers the life of a stream.
    covers_life: bool
    # The time of the read of the registry on which the view rests.
    confirmed_s: float
    # Earlier reads may lack entries that the registry lost when it returned from a
    # copy, and that are not written again yet.
    settled_s: float
    # All nodes that may have begun streams.
    peers: tuple[PeerReport, ...]
    # For this long before the question, a peer that sent nothing new began no stream
    # at a version that it had not reported.
    report_age_s: float = 0.0


class Finding(Enum):
    """Name what the evidence shows of the versions of a service."""

    # Several versions: only the records of streams tell at which one a stream began.
    SEVERAL = "several"
    # A single one, by a read of the registry or by all nodes.
    SOLE_BY_REGISTRY = "sole_by_registry"
    SOLE_BY_PEERS = "sole_by_peers"
    # Another version may have been in use without the knowledge of this node.
    UNPROVEN = "unproven"

    @property
    def is_sole(self) -> bool:
        """Return whether a single version is in use."""
        return self in (Finding.SOLE_BY_REGISTRY, Finding.SOLE_BY_PEERS)


def judge_versions(evidence: VersionEvidence) -> Finding:
    """Return what the evidence shows of the versions since a life before the question.

    The load pattern is a release beside a node that stands still or is cut off: callers
    of streams at the new version, which broke, come to this node.
    """
    if len(evidence.in_use) > 1:
        return Finding.SEVERAL
    if not evidence.in_use or not evidence.covers_life:
        return Finding.UNPROVEN
    if evidence.confirmed_s >= max(evidence.asked_s, evidence.settled_s):
        return Finding.SOLE_BY_REGISTRY
    if all(_vouches(each, evidence) for each in evidence.peers):
        return Finding.SOLE_BY_PEERS
    return Finding.UNPROVEN


def _vouches(peer: PeerReport, evidence: VersionEvidence) -> bool:
    """Return whether a peer has begun no stream that its reports do not show.

    One that was cut off for long before its end may have.
    """
    if peer.sent_s >= evidence.asked_s - evidence.report_age_s:
        return True
    return peer.ended_s - peer.sent_s <= MAX_UNHEARD_S + evidence.report_age_s
