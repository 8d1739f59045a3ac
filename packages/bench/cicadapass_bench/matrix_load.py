"""Run callers of every kind during a cell and record their answers."""

import random
import threading
import time
import uuid
from collections.abc import Callable

from cicadapass_bench.callerkit import Caller, Prompt, Response, StreamedAnswer
from cicadapass_bench.matrix_checks import (
    AcceptedPublish,
    CellOutcome,
    Post,
    ServedVersion,
)
from cicadapass_bench.matrix_world import FLEET, MatrixWorld
from cicadapass_bench.world import NodeProcess

STREAM_TOKENS = 200
WHOLE_TOKENS = 8
CALL_INTERVAL_S = 0.03
POLL_INTERVAL_S = 0.1
MAX_KEYED_ATTEMPTS = 4
KEYED_RETRY_INTERVAL_S = 0.3
IN_FORCE_TIMEOUT_S = 16.0
PAYMENT_BODY = b'{"amount": 3}'


class CellLoad:
    """Run the callers of one cell and collect its outcome."""

    def __init__(self, world: MatrixWorld, rng: random.Random) -> None:
        self.world = world
        self.outcome = CellOutcome()
        self.caller = Caller(
            world.credential(FLEET, "counter"),
            # If no node is usable, callers still try the known addresses.
            lambda: [node.callers_url for node in world.usable_nodes() or world.nodes],
        )
        self._tag = f"{rng.randrange(16**6):06x}"
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self._last_number = 0

    def start(self) -> None:
        """Start all callers and the poll of the inventory versions."""
        senders: list[Callable[[], None]] = [self._send_stream, self._send_stream]
        senders += [
            self._send_whole,
            self._send_read,
            self._send_unkeyed,
            self._send_keyed,
        ]
        for sender in senders:
            self.spawn(lambda sender=sender: self._repeat(sender))  # type: ignore[misc]
        self.spawn(self._poll_versions)

    def spawn(self, work: Callable[[], object]) -> threading.Thread:
        """Run a function in a thread for which `stop` waits."""
        thread = threading.Thread(target=work, daemon=True)
        self._threads.append(thread)
        thread.start()
        return thread

    def wait(self, duration_s: float) -> None:
        """Wait while the load continues."""
        threading.Event().wait(duration_s)

    def stop(self) -> CellOutcome:
        """Stop the callers after their last answers; return the outcome."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        self.outcome.effects = self.world.all_effects()
        self.outcome.attempted_request_ids = self.world.attempted_request_ids()
        return self.outcome

    def start_stream(
        self, node: NodeProcess, tokens: int, drop_bytes: int = 0
    ) -> StreamedAnswer:
        """Start one stream at a node and return its answer, which grows meanwhile."""
        prompt = self.new_prompt(tokens)
        answer = StreamedAnswer(prompt)
        self.outcome.streams.append(answer)
        self.spawn(
            lambda: self.caller.stream(prompt, node.callers_url, drop_bytes, answer)
        )
        return answer

    def start_post(self, node: NodeProcess, *, keyed: bool) -> Post:
        """Start one payment at a node without waiting for its answer."""
        post = self.new_post(keyed=keyed)
        self.spawn(lambda: self._send(post, node.callers_url))
        return post

    def new_prompt(self, tokens: int) -> Prompt:
        """Return a prompt that no other request uses."""
        return Prompt("parts", f"page {self._tag} {self._next_number()}", tokens)

    def new_post(self, *, keyed: bool) -> Post:
        """Return a payment with a unique path and record it in the outcome."""
        number = self._next_number()
        kind = "keyed" if keyed else "unkeyed"
        key = f"{self._tag}-{number}-{uuid.uuid4().hex[:6]}" if keyed else ""
        post = Post(f"/payments/{self._tag}/{kind}/{number}", PAYMENT_BODY, key)
        self.outcome.posts.append(post)
        return post

    def publish(self, *options: str) -> dict[str, object]:
        """Publish and wait until the version is in force at every reachable node."""
        answer = self.world.publish_new("--wait-s", "0", *options)
        if answer.get("outcome") == "accepted":
            self._await_in_force(int(answer["version"]))
        return answer

    def _await_in_force(self, version: int) -> None:
        end_s = time.monotonic() + IN_FORCE_TIMEOUT_S
        lagging = self._lagging_nodes(version)
        while lagging and time.monotonic() < end_s:
            self.wait(POLL_INTERVAL_S)
            lagging = self._lagging_nodes(version)
        self.outcome.publishes.append(AcceptedPublish(version, lagging))

    def _lagging_nodes(self, version: int) -> tuple[str, ...]:
        versions = {
            node.name: self.world.status(node).get("version")
            for node in self.world.usable_nodes()
        }
        # A node that does not answer is unreachable and not lagging.
        return tuple(
            name
            for name, served in versions.items()
            if served is not None and served < version
        )

    def _next_number(self) -> int:
        with self._lock:
            self._last_number += 1
            return self._last_number

    def _repeat(self, send: Callable[[], None]) -> None:
        while not self._stop.wait(CALL_INTERVAL_S):
            send()

    def _send_stream(self) -> None:
        self.outcome.streams.append(self.caller.stream(self.new_prompt(STREAM_TOKENS)))

    def _send_whole(self) -> None:
        prompt = self.new_prompt(WHOLE_TOKENS)
        self.outcome.whole_answers.append((prompt, self.caller.whole(prompt)))

    def _send_read(self) -> None:
        target = f"/stock/{self._tag}/{self._next_number()}"
        response = self.caller.plain("orders", "GET", target)
        self.outcome.reads.append((target, response))

    def _send_unkeyed(self) -> None:
        self._send(self.new_post(keyed=False))

    def _send_keyed(self) -> None:
        self._send(self.new_post(keyed=True))

    def _send(self, post: Post, url: str = "") -> None:
        """Send a payment; with a key, retry through any node until it is answered."""
        for _ in range(MAX_KEYED_ATTEMPTS if post.key else 1):
            response = self._send_once(post, url)
            post.answers.append(response)
            if response.status in (200, 422):
                return
            url = ""
            self.wait(KEYED_RETRY_INTERVAL_S)

    def _send_once(self, post: Post, url: str) -> Response:
        headers = {"Idempotency-Key": post.key} if post.key else {}
        path = f"/v1/services/orders{post.path}"
        return self.caller.call("POST", path, post.body, url, headers)

    def _poll_versions(self) -> None:
        while not self._stop.wait(POLL_INTERVAL_S):
            for node in self.world.usable_nodes():
                status = self.world.status(node)
                # A node without an inventory reports a negative version.
                if status.get("version", -1) >= 0:
                    served = ServedVersion(
                        node.name, status["incarnation"], status["version"]
                    )
                    self.outcome.served_versions.append(served)
