"""Inject the faults of the matrix; MatrixWorld.heal undoes what remains of them."""

import signal
import time
from collections.abc import Callable

from cicadapass_bench.matrix_steps import FLEET, Cell
from cicadapass_bench.world import UpstreamProcess

# Longer than a claim is valid, so that the resumed claimant must not send.
FREEZE_S = 6.5
NOTICE_S = 5.0
SIGTERM_AFTER_S = 0.5
LEAVING_PROPAGATION_S = 3.0
FAULT_DURATION_S = 2.0
LOG_OUTAGE_S = 3.0
# Time for the recovery from a first fault before the second one.
RECOVERY_S = 4.0
Fault = Callable[[Cell], None]


def node_killed(cell: Cell) -> None:
    """Kill the victim."""
    cell.victim.process.kill()
    cell.load.wait(FAULT_DURATION_S)


def node_frozen(cell: Cell) -> None:
    """Freeze the victim until its claims have expired, then resume it."""
    cell.world.freeze(cell.victim)
    cell.load.wait(FREEZE_S)
    cell.world.thaw(cell.victim)
    cell.load.wait(1.0)


def reclaimed(cell: Cell) -> None:
    """Reclaim the victim's data centre with notice."""
    _reclaim(cell, (cell.victim.data_centre,))


def reclaimed_node_dies(cell: Cell) -> None:
    """Reclaim the victim's data centre and kill the victim before the deadline."""
    _reclaim(cell, (cell.victim.data_centre,), kill_victim=True)


def two_data_centres(cell: Cell) -> None:
    """Reclaim two data centres at the same time with notice."""
    data_centres = {node.data_centre for node in cell.world.nodes}
    other_data_centre = cell.rng.choice(
        sorted(data_centres - {cell.victim.data_centre})
    )
    _reclaim(cell, (cell.victim.data_centre, other_data_centre))


def _reclaim(
    cell: Cell, data_centres: tuple[str, ...], *, kill_victim: bool = False
) -> None:
    started_s = time.monotonic()
    world = cell.world
    for data_centre in data_centres:
        notice = {"zone": f"{FLEET}/{data_centre}", "seconds": NOTICE_S}
        world.control(world.cloud, notice=notice)
        world.mark_leaving(FLEET, data_centre, time.time() + NOTICE_S)
    cell.load.wait(SIGTERM_AFTER_S)
    nodes = [node for node in world.nodes if node.data_centre in data_centres]
    for node in nodes:
        node.process.signal(signal.SIGTERM)
    if kill_victim:
        cell.load.wait(SIGTERM_AFTER_S)
        cell.victim.process.kill()
    upstreams = [
        upstream for upstream in world.upstreams if upstream.data_centre in data_centres
    ]
    cell.load.wait(LEAVING_PROPAGATION_S - (time.monotonic() - started_s))
    earlier_attempts = {
        attempt for upstream in upstreams for attempt in world.attempts_of(upstream)
    }
    cell.load.wait(NOTICE_S - (time.monotonic() - started_s))
    final_attempts = {
        attempt for upstream in upstreams for attempt in world.attempts_of(upstream)
    }
    cell.load.outcome.late_attempts += len(final_attempts - earlier_attempts)
    for node in nodes:
        node.process.kill()
    for upstream in upstreams:
        world.kill_upstream(upstream)
    cell.load.wait(1.0)


def cut_from_peers(cell: Cell) -> None:
    """Block all traffic between the victim and the other nodes for a while."""
    cell.world.cut_peers(cell.victim)
    cell.load.wait(LOG_OUTAGE_S)
    cell.world.heal_links()
    cell.load.wait(1.0)


def cut_from_log(cell: Cell) -> None:
    """Block all traffic between the victim and the log for a while."""
    cell.world.cut_log(cell.victim)
    cell.load.wait(LOG_OUTAGE_S)
    cell.world.heal_links()


def log_down(cell: Cell) -> None:
    """Make the log unavailable for a while."""
    cell.world.control(cell.world.log, down=True)
    cell.load.wait(LOG_OUTAGE_S)
    cell.world.control(cell.world.log, down=False)


def log_slow(cell: Cell) -> None:
    """Delay the operations of the log for a while."""
    cell.world.control(cell.world.log, delay_s=0.8)
    cell.load.wait(LOG_OUTAGE_S)
    cell.world.control(cell.world.log, delay_s=0.0)


def log_answer_lost(cell: Cell) -> None:
    """Drop the answers to five appends that took effect."""
    cell.world.control(cell.world.log, lose_answers=5)
    cell.load.wait(FAULT_DURATION_S)


def records_expired(cell: Cell) -> None:
    """Expire all records of the log."""
    cell.world.control(cell.world.log, expire_before=10**9)
    cell.load.wait(FAULT_DURATION_S)
    cell.world.control(cell.world.log, expire_before=0)


def upstream_killed(cell: Cell) -> None:
    """Kill the upstreams of a data centre."""
    for upstream in _upstreams_in_data_centre(cell):
        cell.world.kill_upstream(upstream)
    cell.load.wait(FAULT_DURATION_S)


def upstream_slow(cell: Cell) -> None:
    """Slow down the upstreams of a data centre by a factor of ten."""
    _inject_upstream_fault(cell, slowdown=10.0)


def upstream_refusing(cell: Cell) -> None:
    """Make the upstreams of a data centre refuse requests."""
    _inject_upstream_fault(cell, refuse=True)


def upstream_truncating(cell: Cell) -> None:
    """Truncate the streams of an engine and the answers of a service."""
    for upstream in _upstreams_in_data_centre(cell):
        is_engine = upstream.service == "parts"
        faults = {"truncate_after": 30} if is_engine else {"close_after": 10}
        cell.world.control(upstream.process, **faults)
    cell.load.wait(FAULT_DURATION_S)


def upstream_late(cell: Cell) -> None:
    """Delay the answers of the upstreams of a data centre."""
    _inject_upstream_fault(cell, answer_delay_s=1.5)


def _upstreams_in_data_centre(cell: Cell) -> list[UpstreamProcess]:
    data_centre = cell.upstream.data_centre
    return [
        upstream
        for upstream in cell.world.upstreams
        if upstream.data_centre == data_centre
    ]


def _inject_upstream_fault(cell: Cell, **faults: object) -> None:
    for upstream in _upstreams_in_data_centre(cell):
        cell.world.control(upstream.process, **faults)
    cell.load.wait(FAULT_DURATION_S)
    for upstream in _upstreams_in_data_centre(cell):
        cell.world.control(upstream.process, reset=True)


def vm_list_stale(cell: Cell) -> None:
    """Freeze the VM list while an upstream is marked as leaving."""
    world = cell.world
    world.control(world.vm_list, freeze=True)
    world.control(cell.upstream.process, leaving=True)
    cell.load.wait(LEAVING_PROPAGATION_S)
    earlier_attempts = world.attempts_of(cell.upstream)
    cell.load.wait(FAULT_DURATION_S)
    late_attempts = world.attempts_of(cell.upstream) - earlier_attempts
    cell.load.outcome.late_attempts += len(late_attempts)


def address_reused(cell: Cell) -> None:
    """Start new VMs at the addresses of killed upstreams."""
    for upstream in _upstreams_in_data_centre(cell):
        cell.world.kill_upstream(upstream)
        cell.world.restart_upstream(upstream)
    cell.load.wait(FAULT_DURATION_S)


def two_operators(cell: Cell) -> None:
    """Publish twice concurrently on the same base version."""
    nodes = cell.world.usable_nodes()
    base_version = max(cell.world.status(node).get("version", -1) for node in nodes)
    answers: list[dict[str, object]] = []
    options = ("--base", str(base_version))
    threads = [
        cell.load.spawn(lambda: answers.append(cell.load.publish(*options)))
        for _ in range(2)
    ]
    for thread in threads:
        thread.join()
    accepted_count = sum(answer.get("outcome") == "accepted" for answer in answers)
    conflict_count = sum(answer.get("outcome") == "conflict" for answer in answers)
    # An unknown outcome, as with a lost answer of the log, proves nothing. If the
    # step's own publish was accepted first, both publishes report a conflict.
    if accepted_count + conflict_count == len(answers):
        cell.load.outcome.accepted_of_concurrent.append(accepted_count)


def fault_twice(cell: Cell) -> None:
    """Kill the victim and, after the recovery, another node."""
    cell.victim.process.kill()
    cell.load.wait(RECOVERY_S)
    other_nodes = cell.other_nodes()
    # At least one node must remain.
    if len(other_nodes) > 1:
        cell.rng.choice(other_nodes).process.kill()
    cell.load.wait(FAULT_DURATION_S)


def two_together(cell: Cell) -> None:
    """Kill the victim and the upstreams of a data centre while the log is down."""
    cell.world.control(cell.world.log, down=True)
    cell.victim.process.kill()
    upstream_killed(cell)
    cell.world.control(cell.world.log, down=False)


FAULTS: dict[str, Fault] = {
    "node-killed": node_killed,
    "node-frozen": node_frozen,
    "reclaimed": reclaimed,
    "reclaimed-node-dies": reclaimed_node_dies,
    "two-data-centres": two_data_centres,
    "cut-from-peers": cut_from_peers,
    "cut-from-log": cut_from_log,
    "log-down": log_down,
    "log-slow": log_slow,
    "log-answer-lost": log_answer_lost,
    "records-expired": records_expired,
    "upstream-killed": upstream_killed,
    "upstream-slow": upstream_slow,
    "upstream-refusing": upstream_refusing,
    "upstream-truncating": upstream_truncating,
    "upstream-late": upstream_late,
    "vm-list-stale": vm_list_stale,
    "address-reused": address_reused,
    "two-operators": two_operators,
    "fault-twice": fault_twice,
    "two-together": two_together,
}
# Faults that kill nodes without notice, possibly with the only copy of a request.
NODE_LOSS_FAULTS = frozenset(
    {"node-killed", "reclaimed-node-dies", "fault-twice", "two-together"}
)
# Faults that end no process, so that a planned stop must still be graceful.
GRACEFUL_STOP_FAULTS = frozenset(
    {
        "log-down",
        "log-slow",
        "log-answer-lost",
        "vm-list-stale",
        "two-operators",
        "cut-from-log",
    }
)
