"""Bring a request, a publish or a node to the step at which a fault is injected."""

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
    """Bundle the system, the load and the targets of one cell."""

    world: MatrixWorld
    load: CellLoad
    rng: random.Random
    victim: NodeProcess
    upstream: UpstreamProcess
    # Whether the fault may hit the only holder after the owner was killed.
    copies_lost: bool = False
    drained: NodeProcess | None = None
    drained_streams: list[StreamedAnswer] = field(default_factory=list)
    started_ms: int = field(default_factory=now_ms)

    def other_nodes(self) -> list[NodeProcess]:
        """Return the usable nodes except the victim."""
        return [
            node for node in self.world.usable_nodes() if node.name != self.victim.name
        ]

    def wait(self, condition: Callable[[], object], description: str) -> None:
        """Wait until the step is reached; raise NotReady on timeout."""
        wait_until(condition, description, STEP_TIMEOUT_S)


def _release_nothing() -> None:
    """Release a step that blocked nothing."""


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
    """Block a request after the first bytes of its body."""
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
    """Delay an accepted request before its first token."""
    _control_engines(cell, answer_delay_s=1.0)
    _wait_accepted(cell, _start_stream(cell))
    return lambda: _control_engines(cell, answer_delay_s=0.0)


def copy(cell: Cell) -> Release:
    """Block the copy of a request by freezing all other nodes."""
    other_nodes = cell.other_nodes()
    for node in other_nodes:
        cell.world.freeze(node)
    _start_stream(cell)
    cell.load.wait(SETTLE_S)
    return lambda: _thaw(cell, other_nodes)


def claim(cell: Cell) -> Release:
    """Delay the answer to the append of a claim."""
    earlier_end = cell.world.end_offset(CLAIM_STREAM)
    cell.world.control(cell.world.log, answer_delay_s=1.0)
    cell.load.start_post(cell.victim, keyed=True)
    cell.wait(
        lambda: cell.world.end_offset(CLAIM_STREAM) > earlier_end, "claim appended"
    )
    return lambda: cell.world.control(cell.world.log, answer_delay_s=0.0)


def choose(cell: Cell) -> Release:
    """Force a new choice of the upstream by making all engines refuse."""
    _control_engines(cell, refuse=True)
    _start_stream(cell)
    cell.load.wait(SETTLE_S)
    return lambda: _control_engines(cell, refuse=False)


def connect(cell: Cell) -> Release:
    """Block an attempt before its upstream answers by freezing all engines."""
    for engine in cell.world.engines:
        engine.process.pause()
    _start_stream(cell)
    cell.load.wait(SETTLE_S)
    return lambda: _resume_engines(cell)


def send(cell: Cell) -> Release:
    """Block an attempt that an engine has received but not started."""
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
    """Wait until the caller has received the first byte."""
    answer = _start_stream(cell)
    cell.wait(lambda: answer.data or answer.refusal, "first token")
    return _release_nothing


def _read_fraction(cell: Cell, fraction: float) -> StreamedAnswer:
    answer = _start_stream(cell)
    target_characters = fraction * len(answer.prompt.expected)
    cell.wait(
        lambda: len(answer.text()) >= target_characters or answer.refusal,
        f"fraction {fraction} of a stream received",
    )
    return answer


def mid_stream(cell: Cell) -> Release:
    """Wait until the caller is in the middle of a stream."""
    _read_fraction(cell, 0.4)
    return _release_nothing


def last_token(cell: Cell) -> Release:
    """Wait until the caller is close to the end of a stream."""
    _read_fraction(cell, 0.95)
    return _release_nothing


def answer_to_caller(cell: Cell) -> Release:
    """Delay the answers to payments that have taken effect."""
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
    """Block the acknowledgements of progress by freezing all other nodes."""
    _read_fraction(cell, 0.3)
    other_nodes = cell.other_nodes()
    for node in other_nodes:
        cell.world.freeze(node)
    cell.load.wait(SETTLE_S)
    return lambda: _thaw(cell, other_nodes)


def callers_return(cell: Cell) -> Release:
    """Wait until a caller that dropped its connection has resumed its stream."""
    answer = _start_stream(cell, drop_bytes=20_000)
    cell.wait(lambda: answer.returns or answer.refusal, "caller returned")
    return _release_nothing


def publish_append(cell: Cell) -> Release:
    """Delay a publish before its append takes effect."""
    cell.world.control(cell.world.log, delay_s=1.5)
    cell.load.spawn(cell.load.publish)
    cell.load.wait(1.0)
    return lambda: cell.world.control(cell.world.log, delay_s=0.0)


def publish_read_back(cell: Cell) -> Release:
    """Delay the answer of the log to a publish that is appended."""
    earlier_end = cell.world.end_offset(CONFIG_STREAM)
    cell.world.control(cell.world.log, answer_delay_s=1.5)
    cell.load.spawn(cell.load.publish)
    cell.wait(
        lambda: cell.world.end_offset(CONFIG_STREAM) > earlier_end, "publish appended"
    )
    return lambda: cell.world.control(cell.world.log, answer_delay_s=0.0)


def publish_judge(cell: Cell) -> Release:
    """Lose the answer to a publish, so that its outcome must be read from the log."""
    earlier_end = cell.world.end_offset(CONFIG_STREAM)
    cell.world.control(cell.world.log, lose_answers=1)
    cell.load.spawn(cell.load.publish)
    cell.wait(
        lambda: cell.world.end_offset(CONFIG_STREAM) > earlier_end, "publish appended"
    )
    return _release_nothing


def publish_in_force(cell: Cell) -> Release:
    """Wait until a publish is in force at one node."""
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
    """Start a node, which becomes the victim before it is ready."""
    node_name = cell.world.fresh_name(cell.victim.data_centre)
    cell.victim = cell.world.start_node(FLEET, cell.victim.data_centre, node_name)
    return _release_nothing


def drain(cell: Cell) -> Release:
    """Start a planned stop of the victim while a stream is in progress."""
    cell.drained_streams.append(_read_fraction(cell, 0.2))
    # SIGTERM drains the node and ends its process; an operator's drain does not.
    cell.victim.process.signal(signal.SIGTERM)
    cell.wait(lambda: _has_event(cell, cell.victim, 102), "drain started")
    cell.drained = cell.victim
    return _release_nothing


def hand_over(cell: Cell) -> Release:
    """Wait until a node under notice has handed a request over to another node."""
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
    """Wait until a node takes over a request; that node becomes the victim."""
    _read_fraction(cell, 0.2)
    cell.victim.process.kill()
    cell.wait(lambda: _any_node_has_event(cell, 402), "take-over")
    cell.victim = next(
        node for node in cell.other_nodes() if _has_event(cell, node, 402)
    )
    # The step does not wait for a new copy, so a second loss can hit the only one.
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
# Steps for which the node has no component, or that the matrix cannot reach.
NOT_RUN_STEPS: dict[str, str] = {
    "lease": "the node has no component that acquires a lease",
    "vm-purchase": "the node has no component that buys VMs",
    "snapshot-re-append": "the log of the matrix has no short retention",
}
