"""Distribute the reads of the registry over the nodes.

Calls to the registry are expensive and limited. With many nodes, each one reads less
often and learns from its peers what they have read.
"""

import random

# Up to this many nodes, each one reads at the base interval. More nodes together read
# as often as this many.
FULL_RATE_READERS = 4


def read_interval_s(base_interval_s: float, nodes: int, rng: random.Random) -> float:
    """Return the time until the next read of one of these nodes.

    The reads of many nodes are spread at random, so that some node reads soon.
    """
    if nodes <= FULL_RATE_READERS:
        return base_interval_s
    return base_interval_s * nodes / FULL_RATE_READERS * (0.5 + rng.random())
