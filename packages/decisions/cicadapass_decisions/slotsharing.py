"""Share the slots of a service between nodes that do not coordinate."""

import math
from collections.abc import Sequence

from cicadapass_decisions.scoring import Candidate, InFlight
from cicadapass_decisions.work import WorkKind

# A node may exceed the limits only below this part of its even share: at the whole
# share nodes exceed them all the time, at half of it one was starved by the others.
GUARANTEED_SHARE_RATIO = 0.75

# The reserve follows a peak of short work for about this long.
SHORT_RATIO_HALF_LIFE_S = 30.0


def short_ratio(
    previous: float, candidates: Sequence[Candidate], elapsed_s: float
) -> float:
    """Return the share of the slots that short work used lately, as a fading peak."""
    limits = sum(c.limit for c in candidates if not c.leaving)
    used = sum(c.own.short + c.peers.short for c in candidates if not c.leaving)
    decayed = previous * 0.5 ** (max(0.0, elapsed_s) / SHORT_RATIO_HALF_LIFE_S)
    return max(decayed, min(1.0, used / limits) if limits else 0.0)


def guaranteed_share(
    kind: WorkKind, local: InFlight, candidates: Sequence[Candidate], nodes: int
) -> int:
    """Return the requests for each upstream that other nodes cannot deny this one.

    A node keeps the slots that it releases, so without a share of its own a node
    that holds none would get none while the others are busy.
    """
    if nodes < 2 or not candidates:
        return 0
    if kind is WorkKind.LONG:
        # Long work above the limit takes reserved slots, so one job must do.
        return 1 if local.long == 0 else 0
    slots = sum(c.limit for c in candidates if not c.leaving)
    if local.short + local.long >= slots / nodes * GUARANTEED_SHARE_RATIO:
        return 0
    return math.ceil(slots / nodes / len(candidates))
