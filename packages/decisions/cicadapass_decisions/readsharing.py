"""Distribute the reads of the registry over the nodes.

Calls to the registry are expensive and limited. With many nodes, each one reads less
often and learns from its peers what they have read. Two load patterns decide the rest:
a new configuration wakes all nodes that wait for one, so only a few wait; and while the
registry refuses nodes, each repeats its calls, so the repeats of many nodes slow down.
"""

import heapq
import random
from collections.abc import Iterable

from cicadapass_decisions.placement import rendezvous_weights

# Up to this many nodes, each one reads at the base interval. More nodes together read
# as often as this many.
FULL_RATE_READERS = 4
# Nodes that wait for changes of the configuration, or for the end of a lease. They are
# chosen at random from all data centres, and others take the place of those that end.
WATCHERS = 8
# Pause after a failed call, and its limit after several. Once the registry is back, the
# platform expects nodes to know its contents within three seconds.
FAILURE_PAUSE_S = 0.3
MAX_FAILURE_PAUSE_S = 2.0


def read_interval_s(base_interval_s: float, nodes: int, rng: random.Random) -> float:
    """Return the time until the next read of one of these nodes.

    The reads of many nodes are spread at random, so that some node reads soon.
    """
    if nodes <= FULL_RATE_READERS:
        return base_interval_s
    return base_interval_s * nodes / FULL_RATE_READERS * (0.5 + rng.random())


def is_watcher(node: str, nodes: Iterable[str]) -> bool:
    """Return whether a node is one of the few that watch the registry for all.

    All nodes with the same `nodes` choose the same ones.
    """
    return node in choose_watchers({node, *nodes})


def choose_watchers(nodes: Iterable[str]) -> list[str]:
    """Return the few of some nodes that watch the registry for all."""
    weights = rendezvous_weights("watcher", nodes)
    return heapq.nlargest(WATCHERS, weights, key=weights.__getitem__)


def failure_pause_s(failures: int, rng: random.Random) -> float:
    """Return the time until the next call after a number of failed ones in a row."""
    longest_s = min(MAX_FAILURE_PAUSE_S, FAILURE_PAUSE_S * 2.0 ** min(failures - 1, 8))
    return max(FAILURE_PAUSE_S, longest_s * rng.uniform(0.5, 1.0))
