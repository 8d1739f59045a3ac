"""Share the slots of a service between nodes that do not coordinate."""

import math
from collections.abc import Sequence

from cicadapass_decisions.scoring import Candidate, InFlight
from cicadapass_decisions.work import WorkKind

# A node may exceed the limits only while it uses less than this ratio of its even
# share. At the full share, nodes exceed the limits all the time; at half of it, one
# node was starved by the others.
GUARANTEED_SHARE_RATIO = 0.75

# Time in which the reserve for a past peak of short work halves.
SHORT_RATIO_HALF_LIFE_S = 30.0


def short_ratio(
    previous: float, candidates: Sequence[Candidate], elapsed_s: float
) -> float:
    """Return the ratio of slots used by short work, or its decayed peak if higher."""
    limits = sum(c.limit for c in candidates if not c.leaving)
    used = sum(c.local.short + c.peers.short for c in candidates if not c.leaving)
    decayed = previous * 0.5 ** (max(0.0, elapsed_s) / SHORT_RATIO_HALF_LIFE_S)
    return max(decayed, min(1.0, used / limits) if limits else 0.0)


def guaranteed_share(
    kind: WorkKind, local: InFlight, candidates: Sequence[Candidate], nodes: int
) -> int:
    """Return the requests per upstream that this node may have above the limits.

    A busy node reuses the slots that it releases, so without a guaranteed share a node
    without slots would get none while the others are busy.
    """
    if nodes < 2 or not candidates:
        return 0
    if kind is WorkKind.LONG:
        # Long work above the limit uses reserved slots, so it is restricted to one
        # request.
        return 1 if local.long == 0 else 0
    slots = sum(c.limit for c in candidates if not c.leaving)
    if local.short + local.long >= slots / nodes * GUARANTEED_SHARE_RATIO:
        return 0
    return math.ceil(slots / nodes / len(candidates))
