"""Measure how changes of upstreams spread in clusters of several sizes.

The figures of docs/CAPACITY.md come from `python -m tests.gateway.spread`; see the
Makefile for the search path.
"""

import argparse
import asyncio
import resource

from tests.gateway.virtualcluster import TOPICS, Cluster, run_virtual

UPSTREAMS = [f"u{number}" for number in range(200)]
SETTLE_S = 16.0
MEASURED_S = 4.0
SAMPLE_S = 0.25
WAVE = 120
LIMIT_S = 6.0


def main():
    """Print one line of figures for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[20, 58, 80, 160, 380])
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for nodes in args.nodes:
        print(run_virtual(measure(nodes, args.seed)), flush=True)


async def measure(nodes, seed):
    """Return the figures of one cluster as text."""
    cluster = Cluster(nodes, seed)
    for upstream_id in UPSTREAMS:
        cluster.put(upstream_id, "ready")
    await cluster.start(SETTLE_S)
    sent_bytes, reads = cluster.datagram_bytes, cluster.calls[TOPICS.upstreams]
    processor_s = resource.getrusage(resource.RUSAGE_SELF).ru_utime
    ages_s = []
    for _ in range(round(MEASURED_S / SAMPLE_S)):
        await asyncio.sleep(SAMPLE_S)
        now_s = asyncio.get_running_loop().time()
        ages_s += [node.state.upstreams.replica.age_s(now_s) for node in cluster.nodes]
    processor_s = resource.getrusage(resource.RUSAGE_SELF).ru_utime - processor_s
    sent_bytes = (cluster.datagram_bytes - sent_bytes) / MEASURED_S / nodes
    reads = (cluster.calls[TOPICS.upstreams] - reads) / MEASURED_S
    fetched_bytes = cluster.fetched_bytes
    for number, upstream_id in enumerate(UPSTREAMS[:WAVE]):
        cluster.put(upstream_id, "leaving" if number % 5 else "removed")
    last_use_s = max((await cluster.last_use_s(UPSTREAMS[:WAVE], LIMIT_S)).values())
    await asyncio.sleep(1.0)
    fetched_bytes = (cluster.fetched_bytes - fetched_bytes) / nodes
    ages_s.sort()
    median_s, largest_s = ages_s[len(ages_s) // 2], ages_s[-1]
    return (
        f"{nodes} nodes: {sent_bytes:.0f} B/s of datagrams each, {reads:.1f} reads/s, "
        f"{100 * processor_s / MEASURED_S / nodes:.2f}% of a core a node, "
        f"age {median_s:.2f} s (median) to {largest_s:.2f} s, "
        f"last use {last_use_s:.2f} s after a wave of {WAVE}, "
        f"{fetched_bytes:.0f} B fetched a node for it"
    )


if __name__ == "__main__":
    main()
