"""Callers of every kind that run during a cell, and all that they saw."""

import random
import threading
import time
import uuid
from collections.abc import Callable

from cicadapass_bench.callerkit import Called, Caller, Prompt, Streamed
from cicadapass_bench.matrix_checks import Accepted, CellOutcome, Post, Seen
from cicadapass_bench.matrix_world import FLEET, MatrixWorld
from cicadapass_bench.world import NodeProcess

STREAM_TOKENS = 200
WHOLE_TOKENS = 8
CALL_PAUSE_S = 0.03
POLL_S = 0.1
KEY_TRIES = 4
KEY_RETRY_S = 0.3
IN_FORCE_S = 16.0
BODY = b'{"amount": 3}'


class Load:
    """Run the callers of one cell."""

    def __init__(self, world: MatrixWorld, rng: random.Random) -> None:
        self.world = world
        self.outcome = CellOutcome()
        self.caller = Caller(
            world.credential(FLEET, "counter"),
            # With all nodes frozen, callers still have their addresses.
            lambda: [n.callers_url for n in world.usable_nodes() or world.nodes],
        )
        self._tag = f"{rng.randrange(16**6):06x}"
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self._count = 0

    def start(self) -> None:
        """Start all callers."""
        loops: list[Callable[[], None]] = [self._stream, self._stream]
        loops += [self._whole, self._read, self._unkeyed, self._keyed]
        for loop in loops:
            self.spawn(lambda loop=loop: self._repeat(loop))  # type: ignore[misc]
        self.spawn(self._poll)

    def spawn(self, work: Callable[[], object]) -> threading.Thread:
        """Run one more caller, which `stop` waits for."""
        thread = threading.Thread(target=work, daemon=True)
        self._threads.append(thread)
        thread.start()
        return thread

    def wait(self, time_s: float) -> None:
        """Let the load run on."""
        threading.Event().wait(time_s)

    def stop(self) -> CellOutcome:
        """Wait until all callers have their answers; return what was seen."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        self.outcome.effects = self.world.all_effects()
        self.outcome.attempted = self.world.attempted()
        return self.outcome

    def target_stream(
        self, node: NodeProcess, tokens: int, drop_bytes: int = 0
    ) -> Streamed:
        """Start one stream at a node and return it while it grows."""
        prompt = self.prompt(tokens)
        answer = Streamed(prompt)
        self.outcome.streams.append(answer)
        self.spawn(
            lambda: self.caller.stream(prompt, node.callers_url, drop_bytes, answer)
        )
        return answer

    def target_post(self, node: NodeProcess, *, keyed: bool) -> Post:
        """Start one payment at a node."""
        post = self.post(keyed=keyed)
        self.spawn(lambda: self._send(post, node.callers_url))
        return post

    def prompt(self, tokens: int) -> Prompt:
        """Return a prompt that no other caller has."""
        return Prompt("parts", f"page {self._tag} {self._next()}", tokens)

    def post(self, *, keyed: bool) -> Post:
        """Return a payment that no other caller has."""
        number = self._next()
        kind = "keyed" if keyed else "unkeyed"
        key = f"{self._tag}-{number}-{uuid.uuid4().hex[:6]}" if keyed else ""
        post = Post(f"/payments/{self._tag}/{kind}/{number}", BODY, key)
        self.outcome.posts.append(post)
        return post

    def publish(self, *options: str) -> dict[str, object]:
        """Publish and wait until it is in force at every reachable node."""
        answer = self.world.publish_new("--wait-s", "0", *options)
        if answer.get("outcome") == "accepted":
            self._await_in_force(int(answer["version"]))
        return answer

    def _await_in_force(self, version: int) -> None:
        end_s = time.monotonic() + IN_FORCE_S
        lagging = self._lagging(version)
        while lagging and time.monotonic() < end_s:
            self.wait(POLL_S)
            lagging = self._lagging(version)
        self.outcome.publishes.append(Accepted(version, lagging))

    def _lagging(self, version: int) -> tuple[str, ...]:
        versions = {
            node.name: self.world.status(node).get("version")
            for node in self.world.usable_nodes()
        }
        # A node that does not answer is not reachable.
        return tuple(n for n, v in versions.items() if v is not None and v < version)

    def _next(self) -> int:
        with self._lock:
            self._count += 1
            return self._count

    def _repeat(self, work: Callable[[], None]) -> None:
        while not self._stop.wait(CALL_PAUSE_S):
            work()

    def _stream(self) -> None:
        self.outcome.streams.append(self.caller.stream(self.prompt(STREAM_TOKENS)))

    def _whole(self) -> None:
        prompt = self.prompt(WHOLE_TOKENS)
        self.outcome.wholes.append((prompt, self.caller.whole(prompt)))

    def _read(self) -> None:
        target = f"/stock/{self._tag}/{self._next()}"
        called = self.caller.plain("orders", "GET", target)
        self.outcome.reads.append((target, called))

    def _unkeyed(self) -> None:
        self._send(self.post(keyed=False))

    def _keyed(self) -> None:
        self._send(self.post(keyed=True))

    def _send(self, post: Post, url: str = "") -> None:
        """Send once; with a key again, through any node, until it is answered."""
        for _ in range(KEY_TRIES if post.key else 1):
            called = self._send_once(post, url)
            post.answers.append(called)
            if called.status in (200, 422):
                return
            url = ""
            self.wait(KEY_RETRY_S)

    def _send_once(self, post: Post, url: str) -> Called:
        headers = {"Idempotency-Key": post.key} if post.key else {}
        path = f"/v1/services/orders{post.path}"
        return self.caller.call("POST", path, post.body, url, headers)

    def _poll(self) -> None:
        while not self._stop.wait(POLL_S):
            for node in self.world.usable_nodes():
                status = self.world.status(node)
                # A node without an inventory reports a negative version.
                if status.get("version", -1) >= 0:
                    seen = Seen(node.name, status["incarnation"], status["version"])
                    self.outcome.seen.append(seen)
