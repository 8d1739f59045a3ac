"""The steps of a request, a publish and a node at which a fault is injected."""

import http.client
import random
import signal
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

from cicadapass_bench.callerkit import NETWORK_ERRORS, Prompt, Response, StreamedAnswer
from cicadapass_bench.matrix_load import CellLoad
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
SETTLE_S = 0.3
STEP_TIMEOUT_S = 20.0
NOTICE_S = 5.0
CALL_TIMEOUT_S = 15.0
Release = Callable[[], object]


@dataclass(slots=True)
class Cell:
    """Hold what a step and a fault of one cell work on."""

    world: MatrixWorld
    load: CellLoad
    rng: random.Random
    victim: NodeProcess
    upstream: UpstreamProcess
    # Whether the owner and the only holder of a copy were lost without notice.
    copies_lost: bool = False
    drained: NodeProcess | None = None
    drained_streams: list[StreamedAnswer] = field(default_factory=list)
    started_ms: int = field(default_factory=now_ms)

    def other_nodes(self) -> list[NodeProcess]:
        """Return the living nodes but the victim."""
        return [
            node for node in self.world.usable_nodes() if node.name != self.victim.name
        ]

    def wait(self, condition: Callable[[], object], description: str) -> None:
        """Wait until the step is reached."""
        wait_until(condition, description, STEP_TIMEOUT_S)


def _release_nothing() -> None:
    """Release nothing."""


def _start_stream(cell: Cell, **options: Any) -> StreamedAnswer:
    return cell.load.start_stream(cell.victim, TARGET_TOKENS, **options)


def _control_engines(cell: Cell, **faults: Any) -> None:
    for engine in cell.world.engines:
        if engine.process.running:
            cell.world.control(engine.process, **faults)


def _control_services(cell: Cell, **faults: Any) -> None:
    for service in cell.world.services:
        if service.process.running:
            cell.world.control(service.process, **faults)


def _thaw(cell: Cell, nodes: list[NodeProcess]) -> None:
    for node in nodes:
        cell.world.thaw(node)


def _resume_engines(cell: Cell) -> None:
    for engine in cell.world.engines:
        engine.process.resume()


def _wait_accepted(cell: Cell, answer: StreamedAnswer) -> None:
    cell.wait(lambda: answer.request_id or answer.refusal, "request accepted")


def authenticate(cell: Cell) -> Release:
    """Hold a request of which half the body has arrived."""
    prompt = cell.load.new_prompt(20)
    body = prompt.body(stream=False)
    netloc = urlsplit(cell.victim.callers_url).netloc
    connection = http.client.HTTPConnection(netloc, timeout=CALL_TIMEOUT_S)
    credential = cell.world.credential(FLEET, "counter")
    connection.putrequest("POST", "/v1/chat/completions")
    connection.putheader("Authorization", f"Bearer {credential}")
    connection.putheader("Content-Length", str(len(body)))
    connection.endheaders()
    connection.send(body[:10])
    released = threading.Event()
    cell.load.spawn(
        lambda: _send_remaining(cell, connection, prompt, body[10:], released)
    )
    return released.set


def _send_remaining(
    cell: Cell,
    connection: http.client.HTTPConnection,
    prompt: Prompt,
    remaining: bytes,
    released: threading.Event,
) -> None:
    released.wait(STEP_TIMEOUT_S)
    try:
        connection.send(remaining)
        http_response = connection.getresponse()
        response = Response(
            http_response.status, http_response.read(), dict(http_response.headers)
        )
    except NETWORK_ERRORS:
        response = Response(0, b"", {})
    finally:
        connection.close()
    cell.load.outcome.whole_answers.append((prompt, response))


def accept(cell: Cell) -> Release:
    """Hold a request that is accepted and has no token."""
    _control_engines(cell, answer_delay_s=1.0)
    _wait_accepted(cell, _start_stream(cell))
    return lambda: _control_engines(cell, answer_delay_s=0.0)


def copy(cell: Cell) -> Release:
    """Hold the copy of a request on its way: no other node answers."""
    other_nodes = cell.other_nodes()
    for node in other_nodes:
        cell.world.freeze(node)
    _start_stream(cell)
    cell.load.wait(SETTLE_S)
    return lambda: _thaw(cell, other_nodes)


def claim(cell: Cell) -> Release:
    """Hold the answer to the append of a claim."""
    earlier_end = cell.world.end_offset(CLAIM_STREAM)
    cell.world.control(cell.world.log, answer_delay_s=1.0)
    cell.load.start_post(cell.victim, keyed=True)
    cell.wait(
        lambda: cell.world.end_offset(CLAIM_STREAM) > earlier_end, "claim appended"
    )
    return lambda: cell.world.control(cell.world.log, answer_delay_s=0.0)


def choose(cell: Cell) -> Release:
    """Hold a request whose upstream must be chosen again: all refuse."""
    _control_engines(cell, refuse=True)
    _start_stream(cell)
    cell.load.wait(SETTLE_S)
    return lambda: _control_engines(cell, refuse=False)


def connect(cell: Cell) -> Release:
    """Hold the attempt before its upstream answers: all engines are frozen."""
    for engine in cell.world.engines:
        engine.process.pause()
    _start_stream(cell)
    cell.load.wait(SETTLE_S)
    return lambda: _resume_engines(cell)


def send(cell: Cell) -> Release:
    """Hold an attempt that an engine has got and not begun."""
    _control_engines(cell, hang=True)
    answer = _start_stream(cell)
    _wait_accepted(cell, answer)
    cell.wait(
        lambda: (
            answer.refusal or answer.request_id in cell.world.attempted_request_ids()
        ),
        "attempt sent",
    )
    return lambda: _control_engines(cell, hang=False)


def first_token(cell: Cell) -> Release:
    """Reach the first byte at the caller."""
    answer = _start_stream(cell)
    cell.wait(lambda: answer.data or answer.refusal, "first token")
    return _release_nothing


def _read_fraction(cell: Cell, fraction: float) -> StreamedAnswer:
    answer = _start_stream(cell)
    target_characters = fraction * len(answer.prompt.expected)
    cell.wait(
        lambda: len(answer.text()) >= target_characters or answer.refusal,
        f"{fraction} read",
    )
    return answer


def mid_stream(cell: Cell) -> Release:
    """Reach the middle of a stream."""
    _read_fraction(cell, 0.4)
    return _release_nothing


def last_token(cell: Cell) -> Release:
    """Reach the last tokens of a stream."""
    _read_fraction(cell, 0.95)
    return _release_nothing


def answer_to_caller(cell: Cell) -> Release:
    """Hold the answers of payments that have taken effect."""
    _control_services(cell, answer_delay_s=1.0)
    posts = [cell.load.start_post(cell.victim, keyed=keyed) for keyed in (True, False)]
    cell.wait(
        lambda: all(
            cell.world.all_effects()[post.path] or post.answers for post in posts
        ),
        "payments took effect",
    )
    return lambda: _control_services(cell, answer_delay_s=0.0)


def acknowledgement(cell: Cell) -> Release:
    """Hold the acknowledgements of progress: no other node answers."""
    _read_fraction(cell, 0.3)
    other_nodes = cell.other_nodes()
    for node in other_nodes:
        cell.world.freeze(node)
    cell.load.wait(SETTLE_S)
    return lambda: _thaw(cell, other_nodes)


def callers_return(cell: Cell) -> Release:
    """Reach the return of a caller that dropped its connection."""
    answer = _start_stream(cell, drop_bytes=20_000)
    cell.wait(lambda: answer.returns or answer.refusal, "caller returned")
    return _release_nothing


def publish_append(cell: Cell) -> Release:
    """Hold a publish before its append takes effect."""
    cell.world.control(cell.world.log, delay_s=1.5)
    cell.load.spawn(cell.load.publish)
    cell.load.wait(1.0)
    return lambda: cell.world.control(cell.world.log, delay_s=0.0)


def publish_read_back(cell: Cell) -> Release:
    """Hold the answer to a publish that is appended."""
    earlier_end = cell.world.end_offset(CONFIG_STREAM)
    cell.world.control(cell.world.log, answer_delay_s=1.5)
    cell.load.spawn(cell.load.publish)
    cell.wait(
        lambda: cell.world.end_offset(CONFIG_STREAM) > earlier_end, "publish appended"
    )
    return lambda: cell.world.control(cell.world.log, answer_delay_s=0.0)


def publish_judge(cell: Cell) -> Release:
    """Reach a publish that must be judged by reading: its answer is lost."""
    earlier_end = cell.world.end_offset(CONFIG_STREAM)
    cell.world.control(cell.world.log, lose_answers=1)
    cell.load.spawn(cell.load.publish)
    cell.wait(
        lambda: cell.world.end_offset(CONFIG_STREAM) > earlier_end, "publish appended"
    )
    return _release_nothing


def publish_in_force(cell: Cell) -> Release:
    """Reach a publish that one node has in force."""
    earlier_version = max(_inventory_versions(cell))
    cell.load.spawn(cell.load.publish)
    cell.wait(
        lambda: max(_inventory_versions(cell)) > earlier_version, "publish in force"
    )
    return _release_nothing


def _inventory_versions(cell: Cell) -> list[int]:
    nodes = cell.world.usable_nodes()
    return [cell.world.status(node).get("version", -1) for node in nodes]


def join(cell: Cell) -> Release:
    """Reach a node that has started and is not ready."""
    node_name = cell.world.fresh_name(cell.victim.data_centre)
    cell.victim = cell.world.start_node(FLEET, cell.victim.data_centre, node_name)
    return _release_nothing


def drain(cell: Cell) -> Release:
    """Reach a planned stop with a stream in progress."""
    cell.drained_streams.append(_read_fraction(cell, 0.2))
    # An operator's drain does not end the process; SIGTERM drains and then does.
    cell.victim.process.signal(signal.SIGTERM)
    cell.wait(lambda: _has_event(cell, cell.victim, 102), "drain started")
    cell.drained = cell.victim
    return _release_nothing


def hand_over(cell: Cell) -> Release:
    """Reach a hand-over to another node before the deadline of a notice."""
    cell.load.start_stream(cell.victim, 3 * TARGET_TOKENS)
    _read_fraction(cell, 0.2)
    notice = {"vm": f"{FLEET}/{cell.victim.name}", "seconds": NOTICE_S}
    cell.world.control(cell.world.cloud, notice=notice)
    cell.wait(
        lambda: _any_node_has_event(cell, 404) or _any_node_has_event(cell, 402),
        "hand-over",
    )
    return _release_nothing


def take_over(cell: Cell) -> Release:
    """Reach a take-over; the victim is the node that took over."""
    _read_fraction(cell, 0.2)
    cell.victim.process.kill()
    cell.wait(lambda: _any_node_has_event(cell, 402), "take-over")
    cell.victim = next(
        node for node in cell.other_nodes() if _has_event(cell, node, 402)
    )
    # No new copy is awaited, so that a second loss can take the only one.
    cell.copies_lost = True
    return _release_nothing


def _has_event(cell: Cell, node: NodeProcess, event_number: int) -> bool:
    return bool(cell.world.events(node, event_number, cell.started_ms))


def _any_node_has_event(cell: Cell, event_number: int) -> bool:
    nodes = cell.world.usable_nodes()
    return any(_has_event(cell, node, event_number) for node in nodes)


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
