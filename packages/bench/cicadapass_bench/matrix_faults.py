"""The faults of the matrix: each is injected at once and gives what heals it."""

import signal
import time
from collections.abc import Callable

from cicadapass_bench.matrix_steps import FLEET, Cell
from cicadapass_bench.world import UpstreamProcess

# Longer than a claim is valid, so that a frozen claimant must not send.
FREEZE_S = 6.5
NOTICE_S = 5.0
SIGTERM_AFTER_S = 0.5
SPREAD_S = 3.0
HOLD_S = 2.0
LOG_OUTAGE_S = 3.0
# A second fault follows once the first one has been recovered from.
SETTLED_S = 4.0
Fault = Callable[[Cell], None]


def node_killed(cell: Cell) -> None:
    """Kill the node."""
    cell.victim.process.kill()
    cell.load.wait(HOLD_S)


def node_frozen(cell: Cell) -> None:
    """Freeze the node past the validity of its claims, then let it go on."""
    cell.world.freeze(cell.victim)
    cell.load.wait(FREEZE_S)
    cell.world.thaw(cell.victim)
    cell.load.wait(1.0)


def reclaimed(cell: Cell) -> None:
    """Reclaim the victim's data centre after notice."""
    _reclaim(cell, (cell.victim.data_centre,))


def reclaimed_with_death(cell: Cell) -> None:
    """Reclaim the data centre; its node dies in the middle."""
    _reclaim(cell, (cell.victim.data_centre,), dies=True)


def two_data_centres(cell: Cell) -> None:
    """Reclaim two data centres at once after notice."""
    places = {node.data_centre for node in cell.world.nodes}
    other = cell.rng.choice(sorted(places - {cell.victim.data_centre}))
    _reclaim(cell, (cell.victim.data_centre, other))


def _reclaim(cell: Cell, places: tuple[str, ...], *, dies: bool = False) -> None:
    began_s = time.monotonic()
    world = cell.world
    for place in places:
        notice = {"zone": f"{FLEET}/{place}", "seconds": NOTICE_S}
        world.control(world.cloud, notice=notice)
        world.mark_leaving(FLEET, place, time.time() + NOTICE_S)
    cell.load.wait(SIGTERM_AFTER_S)
    nodes = [node for node in world.nodes if node.data_centre in places]
    for node in nodes:
        node.process.signal(signal.SIGTERM)
    if dies:
        cell.load.wait(SIGTERM_AFTER_S)
        cell.victim.process.kill()
    upstreams = [each for each in world.upstreams if each.data_centre in places]
    cell.load.wait(SPREAD_S - (time.monotonic() - began_s))
    before = {attempt for each in upstreams for attempt in world.attempts_of(each)}
    cell.load.wait(NOTICE_S - (time.monotonic() - began_s))
    after = {attempt for each in upstreams for attempt in world.attempts_of(each)}
    cell.load.outcome.late_work += len(after - before)
    for node in nodes:
        node.process.kill()
    for each in upstreams:
        world.kill_upstream(each)
    cell.load.wait(1.0)


def cut_from_peers(cell: Cell) -> None:
    """Cut the node from all other nodes for a while."""
    cell.world.cut_peers(cell.victim)
    cell.load.wait(LOG_OUTAGE_S)
    cell.world.heal_links()
    cell.load.wait(1.0)


def cut_from_log(cell: Cell) -> None:
    """Cut the node from the log for a while."""
    cell.world.cut_log(cell.victim)
    cell.load.wait(LOG_OUTAGE_S)
    cell.world.heal_links()


def log_down(cell: Cell) -> None:
    """Stop the log for a while."""
    cell.world.control(cell.world.log, down=True)
    cell.load.wait(LOG_OUTAGE_S)
    cell.world.control(cell.world.log, down=False)


def log_slow(cell: Cell) -> None:
    """Make the log slow for a while."""
    cell.world.control(cell.world.log, delay_s=0.8)
    cell.load.wait(LOG_OUTAGE_S)
    cell.world.control(cell.world.log, delay_s=0.0)


def log_answer_lost(cell: Cell) -> None:
    """Lose the answers to appends that took effect."""
    cell.world.control(cell.world.log, lose_answers=5)
    cell.load.wait(HOLD_S)


def records_expired(cell: Cell) -> None:
    """Expire all records of the log."""
    cell.world.control(cell.world.log, expire_before=10**9)
    cell.load.wait(HOLD_S)
    cell.world.control(cell.world.log, expire_before=0)


def upstream_killed(cell: Cell) -> None:
    """Kill an engine and a service."""
    for each in _of_place(cell):
        cell.world.kill_upstream(each)
    cell.load.wait(HOLD_S)


def upstream_slow(cell: Cell) -> None:
    """Slow the upstreams of a data centre ten times."""
    _upstream_fault(cell, slowdown=10.0)


def upstream_refusing(cell: Cell) -> None:
    """Make the upstreams of a data centre refuse."""
    _upstream_fault(cell, refuse=True)


def upstream_truncating(cell: Cell) -> None:
    """Make an engine cut its streams and a service drop its answers."""
    for each in _of_place(cell):
        model = each.service == "parts"
        faults = {"truncate_after": 30} if model else {"close_after": 10}
        cell.world.control(each.process, **faults)
    cell.load.wait(HOLD_S)


def upstream_late(cell: Cell) -> None:
    """Make the upstreams of a data centre answer late."""
    _upstream_fault(cell, answer_delay_s=1.5)


def _of_place(cell: Cell) -> list[UpstreamProcess]:
    place = cell.upstream.data_centre
    return [each for each in cell.world.upstreams if each.data_centre == place]


def _upstream_fault(cell: Cell, **faults: object) -> None:
    for each in _of_place(cell):
        cell.world.control(each.process, **faults)
    cell.load.wait(HOLD_S)
    for each in _of_place(cell):
        cell.world.control(each.process, reset=True)


def vm_list_stale(cell: Cell) -> None:
    """Freeze the VM list while an upstream leaves."""
    world = cell.world
    world.control(world.vm_list, freeze=True)
    world.control(cell.upstream.process, leaving=True)
    cell.load.wait(SPREAD_S)
    before = world.attempts_of(cell.upstream)
    cell.load.wait(HOLD_S)
    late = world.attempts_of(cell.upstream) - before
    cell.load.outcome.late_work += len(late)


def address_reused(cell: Cell) -> None:
    """Put new VMs at the addresses of killed upstreams."""
    for each in _of_place(cell):
        cell.world.kill_upstream(each)
        cell.world.restart_upstream(each)
    cell.load.wait(HOLD_S)


def two_operators(cell: Cell) -> None:
    """Publish twice at once on the same base."""
    nodes = cell.world.usable_nodes()
    base = max(cell.world.status(node).get("version", -1) for node in nodes)
    answers: list[dict[str, object]] = []
    options = ("--base", str(base))
    threads = [
        cell.load.spawn(lambda: answers.append(cell.load.publish(*options)))
        for _ in range(2)
    ]
    for thread in threads:
        thread.join()
    accepted = sum(each.get("outcome") == "accepted" for each in answers)
    conflicts = sum(each.get("outcome") == "conflict" for each in answers)
    # An unknown outcome, as under another fault of the log, is no verdict. When a
    # publish of the step has won, both are told of the conflict.
    if accepted + conflicts == len(answers):
        cell.load.outcome.races.append(accepted)


def twice(cell: Cell) -> None:
    """Kill the node and, once that is recovered from, another one."""
    cell.victim.process.kill()
    cell.load.wait(SETTLED_S)
    others = cell.others()
    # The last node stays.
    if len(others) > 1:
        cell.rng.choice(others).process.kill()
    cell.load.wait(HOLD_S)


def together(cell: Cell) -> None:
    """Kill the node and an upstream while the log is down."""
    cell.world.control(cell.world.log, down=True)
    cell.victim.process.kill()
    upstream_killed(cell)
    cell.world.control(cell.world.log, down=False)


FAULTS: dict[str, Fault] = {
    "node-killed": node_killed,
    "node-frozen": node_frozen,
    "reclaimed": reclaimed,
    "reclaimed-node-dies": reclaimed_with_death,
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
    "fault-twice": twice,
    "two-together": together,
}
# These take nodes away without notice; the only copy of a request may go with them.
LOSES_NODES = frozenset(
    {"node-killed", "reclaimed-node-dies", "fault-twice", "two-together"}
)
# Planned stops that must not be disturbed by another loss of a process.
KEEPS_NODES = frozenset(
    {
        "log-down",
        "log-slow",
        "log-answer-lost",
        "vm-list-stale",
        "two-operators",
        "cut-from-log",
    }
)
