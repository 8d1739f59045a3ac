"""The steps of a request, a publish and a node at which a fault is injected."""

import http.client
import random
import signal
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

from cicadapass_bench.callerkit import NETWORK_ERRORS, Called, Prompt, Streamed
from cicadapass_bench.matrix_load import Load
from cicadapass_bench.matrix_world import (
    CLAIM_STREAM,
    CONFIG_STREAM,
    FLEET,
    MatrixWorld,
    now_ms,
)
from cicadapass_bench.world import (
    NodeProcess,
    UpstreamProcess,
    wait_until,
)

TARGET_TOKENS = 700
HOLD_S = 0.3
STEP_TIMEOUT_S = 20.0
NOTICE_S = 5.0
CALL_TIMEOUT_S = 15.0
Release = Callable[[], object]


@dataclass(slots=True)
class Cell:
    """Hold what a step and a fault of one cell work on."""

    world: MatrixWorld
    load: Load
    rng: random.Random
    victim: NodeProcess
    upstream: UpstreamProcess
    # Whether the owner and the only holder of a copy were lost without notice.
    copies_lost: bool = False
    drained: NodeProcess | None = None
    drained_streams: list[Streamed] = field(default_factory=list)
    began_ms: int = field(default_factory=now_ms)

    def others(self) -> list[NodeProcess]:
        """Return the living nodes but the victim."""
        return [n for n in self.world.usable_nodes() if n.name != self.victim.name]

    def wait(self, condition: Callable[[], object], what: str) -> None:
        """Wait until the step is reached."""
        wait_until(condition, what, STEP_TIMEOUT_S)


def _nothing() -> None:
    """Release nothing."""


def _stream(cell: Cell, **options: Any) -> Streamed:
    return cell.load.target_stream(cell.victim, TARGET_TOKENS, **options)


def _engines(cell: Cell, **faults: Any) -> None:
    for each in cell.world.engines:
        if each.process.running:
            cell.world.control(each.process, **faults)


def _services(cell: Cell, **faults: Any) -> None:
    for each in cell.world.services:
        if each.process.running:
            cell.world.control(each.process, **faults)


def _thaw(cell: Cell, nodes: list[NodeProcess]) -> None:
    for node in nodes:
        cell.world.thaw(node)


def _resume_engines(cell: Cell) -> None:
    for each in cell.world.engines:
        each.process.resume()


def _accepted(cell: Cell, answer: Streamed) -> None:
    cell.wait(lambda: answer.request_id or answer.refusal, "request accepted")


def authenticate(cell: Cell) -> Release:
    """Hold a request of which half the body has arrived."""
    prompt = cell.load.prompt(20)
    body = prompt.body(stream=False)
    netloc = urlsplit(cell.victim.callers_url).netloc
    connection = http.client.HTTPConnection(netloc, timeout=CALL_TIMEOUT_S)
    credential = cell.world.credential(FLEET, "counter")
    connection.putrequest("POST", "/v1/chat/completions")
    connection.putheader("Authorization", f"Bearer {credential}")
    connection.putheader("Content-Length", str(len(body)))
    connection.endheaders()
    connection.send(body[:10])
    thread = threading.Event()
    cell.load.spawn(lambda: _finish(cell, connection, prompt, body[10:], thread))
    return thread.set


def _finish(
    cell: Cell,
    connection: http.client.HTTPConnection,
    prompt: Prompt,
    rest: bytes,
    released: threading.Event,
) -> None:
    released.wait(STEP_TIMEOUT_S)
    try:
        connection.send(rest)
        response = connection.getresponse()
        called = Called(response.status, response.read(), dict(response.headers))
    except NETWORK_ERRORS:
        called = Called(0, b"", {})
    finally:
        connection.close()
    cell.load.outcome.wholes.append((prompt, called))


def accept(cell: Cell) -> Release:
    """Hold a request that is accepted and has no token."""
    _engines(cell, answer_delay_s=1.0)
    _accepted(cell, _stream(cell))
    return lambda: _engines(cell, answer_delay_s=0.0)


def copy(cell: Cell) -> Release:
    """Hold the copy of a request on its way: no other node answers."""
    others = cell.others()
    for node in others:
        cell.world.freeze(node)
    _stream(cell)
    cell.load.wait(HOLD_S)
    return lambda: _thaw(cell, others)


def claim(cell: Cell) -> Release:
    """Hold the answer to the append of a claim."""
    before = cell.world.end_offset(CLAIM_STREAM)
    cell.world.control(cell.world.log, answer_delay_s=1.0)
    cell.load.target_post(cell.victim, keyed=True)
    cell.wait(lambda: cell.world.end_offset(CLAIM_STREAM) > before, "claim appended")
    return lambda: cell.world.control(cell.world.log, answer_delay_s=0.0)


def choose(cell: Cell) -> Release:
    """Hold a request whose upstream must be chosen again: all refuse."""
    _engines(cell, refuse=True)
    _stream(cell)
    cell.load.wait(HOLD_S)
    return lambda: _engines(cell, refuse=False)


def connect(cell: Cell) -> Release:
    """Hold the attempt before its upstream answers: all engines are frozen."""
    for each in cell.world.engines:
        each.process.pause()
    _stream(cell)
    cell.load.wait(HOLD_S)
    return lambda: _resume_engines(cell)


def send(cell: Cell) -> Release:
    """Hold an attempt that an engine has got and not begun."""
    _engines(cell, hang=True)
    answer = _stream(cell)
    _accepted(cell, answer)
    cell.wait(
        lambda: answer.refusal or answer.request_id in cell.world.attempted(),
        "attempt sent",
    )
    return lambda: _engines(cell, hang=False)


def first_token(cell: Cell) -> Release:
    """Reach the first byte at the caller."""
    answer = _stream(cell)
    cell.wait(lambda: answer.data or answer.refusal, "first token")
    return _nothing


def _reach(cell: Cell, share: float) -> Streamed:
    answer = _stream(cell)
    wanted = share * len(answer.prompt.expected)
    cell.wait(lambda: len(answer.text()) >= wanted or answer.refusal, f"{share} read")
    return answer


def mid_stream(cell: Cell) -> Release:
    """Reach the middle of a stream."""
    _reach(cell, 0.4)
    return _nothing


def last_token(cell: Cell) -> Release:
    """Reach the last tokens of a stream."""
    _reach(cell, 0.95)
    return _nothing


def answer_to_caller(cell: Cell) -> Release:
    """Hold the answers of payments that have taken effect."""
    _services(cell, answer_delay_s=1.0)
    posts = [cell.load.target_post(cell.victim, keyed=each) for each in (True, False)]
    cell.wait(
        lambda: all(cell.world.all_effects()[p.path] or p.answers for p in posts),
        "payments took effect",
    )
    return lambda: _services(cell, answer_delay_s=0.0)


def acknowledgement(cell: Cell) -> Release:
    """Hold the acknowledgements of progress: no other node answers."""
    _reach(cell, 0.3)
    others = cell.others()
    for node in others:
        cell.world.freeze(node)
    cell.load.wait(HOLD_S)
    return lambda: _thaw(cell, others)


def callers_return(cell: Cell) -> Release:
    """Reach the return of a caller that dropped its connection."""
    answer = _stream(cell, drop_bytes=20_000)
    cell.wait(lambda: answer.returns or answer.refusal, "caller returned")
    return _nothing


def publish_append(cell: Cell) -> Release:
    """Hold a publish before its append takes effect."""
    cell.world.control(cell.world.log, delay_s=1.5)
    cell.load.spawn(cell.load.publish)
    cell.load.wait(1.0)
    return lambda: cell.world.control(cell.world.log, delay_s=0.0)


def publish_read_back(cell: Cell) -> Release:
    """Hold the answer to a publish that is appended."""
    before = cell.world.end_offset(CONFIG_STREAM)
    cell.world.control(cell.world.log, answer_delay_s=1.5)
    cell.load.spawn(cell.load.publish)
    cell.wait(lambda: cell.world.end_offset(CONFIG_STREAM) > before, "publish appended")
    return lambda: cell.world.control(cell.world.log, answer_delay_s=0.0)


def publish_judge(cell: Cell) -> Release:
    """Reach a publish that must be judged by reading: its answer is lost."""
    before = cell.world.end_offset(CONFIG_STREAM)
    cell.world.control(cell.world.log, lose_answers=1)
    cell.load.spawn(cell.load.publish)
    cell.wait(lambda: cell.world.end_offset(CONFIG_STREAM) > before, "publish appended")
    return _nothing


def publish_in_force(cell: Cell) -> Release:
    """Reach a publish that one node has in force."""
    before = max(_versions(cell))
    cell.load.spawn(cell.load.publish)
    cell.wait(lambda: max(_versions(cell)) > before, "publish in force")
    return _nothing


def _versions(cell: Cell) -> list[int]:
    nodes = cell.world.usable_nodes()
    return [cell.world.status(node).get("version", -1) for node in nodes]


def join(cell: Cell) -> Release:
    """Reach a node that has started and is not ready."""
    name = cell.world.fresh_name(cell.victim.data_centre)
    cell.victim = cell.world.start_node(FLEET, cell.victim.data_centre, name)
    return _nothing


def drain(cell: Cell) -> Release:
    """Reach a planned stop with a stream in progress."""
    cell.drained_streams.append(_reach(cell, 0.2))
    # An operator's drain does not end the process; SIGTERM drains and then does.
    cell.victim.process.signal(signal.SIGTERM)
    cell.wait(lambda: _event_at(cell, cell.victim, 102), "drain started")
    cell.drained = cell.victim
    return _nothing


def hand_over(cell: Cell) -> Release:
    """Reach a hand-over to another node before the deadline of a notice."""
    cell.load.target_stream(cell.victim, 3 * TARGET_TOKENS)
    _reach(cell, 0.2)
    vm = {"vm": f"{FLEET}/{cell.victim.name}", "seconds": NOTICE_S}
    cell.world.control(cell.world.cloud, notice=vm)
    cell.wait(lambda: _any_event(cell, 404) or _any_event(cell, 402), "hand-over")
    return _nothing


def take_over(cell: Cell) -> Release:
    """Reach a take-over; the victim is the node that took over."""
    _reach(cell, 0.2)
    cell.victim.process.kill()
    cell.wait(lambda: _any_event(cell, 402), "take-over")
    cell.victim = next(n for n in cell.others() if _event_at(cell, n, 402))
    # No new copy is awaited, so that a second loss can take the only one.
    cell.copies_lost = True
    return _nothing


def _event_at(cell: Cell, node: NodeProcess, number: int) -> bool:
    return bool(cell.world.events(node, number, cell.began_ms))


def _any_event(cell: Cell, number: int) -> bool:
    nodes = cell.world.usable_nodes()
    return any(_event_at(cell, node, number) for node in nodes)


STEPS: dict[str, Callable[[Cell], Release]] = {
    "authenticate": authenticate,
    "accept": accept,
    "copy": copy,
    "claim": claim,
    "choose": choose,
    "connect": connect,
    "send": send,
    "first-token": first_token,
    "mid-stream": mid_stream,
    "last-token": last_token,
    "answer": answer_to_caller,
    "acknowledgement": acknowledgement,
    "return": callers_return,
    "publish-append": publish_append,
    "publish-read-back": publish_read_back,
    "publish-judge": publish_judge,
    "publish-in-force": publish_in_force,
    "join": join,
    "drain": drain,
    "hand-over": hand_over,
    "take-over": take_over,
}
# The node has no part yet that takes these steps, or the matrix cannot reach them.
NOT_RUN_STEPS: dict[str, str] = {
    "lease": "the node has no part that takes a lease",
    "vm-purchase": "the node has no part that buys VMs",
    "snapshot-re-append": "the log's retention is not short in the world of the matrix",
}
