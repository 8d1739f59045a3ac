"""One run of the soak test: nodes, engines, callers and the faults of a seed."""

import asyncio
import random
import signal
from pathlib import Path

from tests.platform import clientcrowd
from tests.platform.clientcrowd import ClientCrowd
from tests.soak.checks import RECOVERY_S, violations
from tests.soak.engines import CRASHING_PREFIX
from tests.soak.faultyengines import ENGINE_FAULTS, failing
from tests.soak.nodes import GRACE_S, NodeProcess
from tests.soak.platform import KEYS, TIMEOUT_S, Platform
from tests.soak.proxy import Disturbance
from tests.soak.records import Call, Records, Span

# Numbers of nodes, engines and callers.
SIZES = (3, 4, 16)
CALL_KINDS = ("safe", "unsafe", "stream", "resume")
# Mean pause of a caller between two requests.
PAUSE_S = 0.02
# Probability that a caller disconnects before its answer, and that it opens a new
# connection for a request.
LEAVE_CHANCE = 0.03
RECONNECT_CHANCE = 0.05
# A caller abandons a request this long after its time limit.
ABANDON_MARGIN_S = 2.0
# The nodes have recovered once this number of requests in a row was served.
RECOVERED_CALLS = 20
# Traffic after the recovery, so that guarantees with a time bound are checked.
SETTLE_S = 6.0
LAPSE_S = 1.5
# Longest time for which the store is away before it returns from a copy.
MAX_AWAY_S = 1.0
# Fraction of the streams whose prompt crashes engines, while such prompts are sent.
CRASHING_FRACTION = 0.1
# Limits that engines name.
LIMITS_PER_S = (0.0, 0.8, 1.3, 2.5, 6.0)
# A longer delay of the event loop of this process counts as a disturbance.
MAX_LOOP_LAG_S = 0.25
MAX_LINK_DELAY_S = 0.3
# Time that a rollout has beyond the duration of its fault.
MORE_ROLLOUT_S = 3.0
# Numbers of clients of a crowd.
CROWD_RANGE = (20, 120)


class SoakRun:
    """Run nodes, engines and callers, inject faults and record observations."""

    def __init__(self, seed, folder, sizes):
        self.records = Records()
        self._rng = random.Random(seed)
        self._folder = Path(folder)
        self._sizes = sizes
        self._clock = asyncio.get_running_loop().time
        self._platform = Platform(self.records, self._clock)
        self._nodes = []
        self._disturbed_nodes = set()
        self._tasks = set()
        self._consecutive_served = 0
        self._call_count = 0
        self._crashing_segments = []

    async def run(self, faults):
        """Run with these faults; return a line for each violated guarantee."""
        nodes, engines, _ = self._sizes
        store_port = await self._platform.start(engines)
        for number in range(nodes):
            node = NodeProcess(f"n{number}", self._folder, store_port)
            self._nodes.append(node)
            await node.prepare()
        try:
            await asyncio.gather(*(self._start(node) for node in self._nodes))
            await asyncio.gather(*(node.wait_until_ready() for node in self._nodes))
            await self._run_faults(faults)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            self.records.peak_memory_mb = {
                node.name: node.peak_memory_mb() for node in self._nodes
            }
            await asyncio.gather(*(node.close() for node in self._nodes))
        self.records.component_failures = [
            (node.name, line)
            for node in self._nodes
            for line in node.component_failures()
        ]
        return violations(self.records)

    async def _run_faults(self, faults):
        self._spawn(self._platform.run_heartbeats())
        self._spawn(self._watch_loop_lag())
        for _ in range(self._sizes[2]):
            self._spawn(self._run_caller())
        started_s = self._clock()
        fault_tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, started_s + fault.at_s - self._clock()))
            fault_tasks.append(asyncio.create_task(self._inject_fault(fault)))
        await asyncio.gather(*fault_tasks)
        await self._wait_for_recovery()
        await asyncio.sleep(SETTLE_S)

    def _spawn(self, coroutine):
        self._tasks.add(asyncio.create_task(coroutine))

    async def _start(self, node):
        peer_addresses = [
            other.peer_address for other in self._nodes if other is not node
        ]
        node.write_settings(peer_addresses)
        await node.start()

    async def _wait_for_recovery(self):
        """Record when the nodes serve again after the last fault, if in time."""
        self.records.faults_ended_s = self._clock()
        self._consecutive_served = 0
        while self._consecutive_served < RECOVERED_CALLS:
            if self._clock() - self.records.faults_ended_s > RECOVERY_S + SETTLE_S:
                return
            await asyncio.sleep(0.05)
        self.records.recovered_at_s = self._clock()

    async def _watch_loop_lag(self):
        """Record delays of this event loop as disturbances of the store.

        They hold up all proxies and engines, so no guarantee with a time bound applies.
        """
        while True:
            before_s = self._clock()
            await asyncio.sleep(0.05)
            now_s = self._clock()
            if now_s - before_s > MAX_LOOP_LAG_S:
                self._record_disturbance("store", before_s, now_s)

    def _record_disturbance(self, name, start_s, end_s):
        self.records.disturbances.append(Span(name, start_s, end_s))

    async def _inject_fault(self, fault):
        target, _, kind = fault.kind.partition("_")
        inject = getattr(self, f"_{target}_fault")
        await inject(kind, fault)

    async def _node_fault(self, kind, fault):
        available = [
            node for node in self._nodes if node.name not in self._disturbed_nodes
        ]
        if not available:
            return
        node = available[int(fault.target_fraction * len(available))]
        self._disturbed_nodes.add(node.name)
        started_s = self._clock()
        try:
            planned = await getattr(self, f"_{kind}_node")(node, fault)
            await node.wait_until_ready()
        finally:
            self._disturbed_nodes.discard(node.name)
        spans = self.records.planned_stops if planned else self.records.disturbances
        spans.append(Span(node.name, started_s, self._clock()))

    async def _term_node(self, node, fault):
        started_s = self._clock()
        self.records.planned_stops.append(
            Span(node.name, started_s, started_s + GRACE_S)
        )
        ended = await node.terminate()
        if not ended:
            self._record_disturbance(node.name, started_s, self._clock())
        await asyncio.sleep(fault.duration_s / 4)
        await node.start()
        return True

    async def _kill_node(self, node, fault):
        self._record_disturbance(
            node.name, self._clock(), self._clock() + fault.duration_s
        )
        await node.kill()
        await asyncio.sleep(fault.duration_s)
        await node.start()
        return False

    async def _pause_node(self, node, fault):
        self._record_disturbance(
            node.name, self._clock(), self._clock() + fault.duration_s
        )
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        node.signal(signal.SIGCONT)
        return False

    async def _hup_node(self, node, fault):
        peer_addresses = [
            other.peer_address for other in self._nodes if other is not node
        ]
        node.write_settings(peer_addresses, note=str(fault.target_fraction))
        node.signal(signal.SIGHUP)
        return True

    async def _clock_node(self, node, fault):
        self._record_disturbance(
            node.name, self._clock(), self._clock() + fault.duration_s
        )
        node.set_clock_offset(fault.clock_step_s)
        await asyncio.sleep(fault.duration_s)
        node.set_clock_offset(0.0)
        return False

    async def _store_fault(self, kind, fault):
        registry, started_s = self._platform.registry, self._clock()
        if kind == "link":
            node = self._nodes[int(fault.target_fraction * len(self._nodes))]
            await self._disturb_link(node.store_link, node.name, fault)
            return
        if kind == "returned":
            await self._return_store(fault)
            return
        end_s = started_s + fault.duration_s + LAPSE_S
        self._record_disturbance("store", started_s, end_s)
        if kind == "down":
            registry.down = True
            await asyncio.sleep(fault.duration_s)
            registry.down = False
        elif kind == "expired":
            for topic, log in registry.logs.items():
                registry.first_offsets[topic] = len(log)
        elif kind == "answers_lost":
            registry.lose_answers = 1 + int(3 * fault.target_fraction)
        else:
            registry.down = True
            self._platform.set_lapsed(lapsed=True)
            await asyncio.sleep(fault.duration_s)
            registry.down = False
            await asyncio.sleep(LAPSE_S * fault.target_fraction)
            self._platform.set_lapsed(lapsed=False)
        self._record_disturbance("store", started_s, self._clock())

    async def _return_store(self, fault):
        """Let the store go away for a moment, and come back from an older copy."""
        registry = self._platform.registry
        copy = registry.copy()
        await asyncio.sleep(fault.duration_s)
        started_s, away_s = self._clock(), MAX_AWAY_S * fault.target_fraction
        self._record_disturbance("store", started_s, started_s + away_s)
        registry.down = True
        await asyncio.sleep(away_s)
        self._platform.return_from(copy)
        self._record_disturbance("store", started_s, self._clock())
        await self._platform.write_entries_again()

    async def _disturb_link(self, link, name, fault):
        started_s = self._clock()
        self._record_disturbance(name, started_s, started_s + fault.duration_s)
        link.disturb(
            Disturbance(fault.disturbance), MAX_LINK_DELAY_S * fault.target_fraction
        )
        await asyncio.sleep(fault.duration_s)
        link.disturb(Disturbance.NONE)
        self._record_disturbance(name, started_s, self._clock())

    async def _engine_fault(self, kind, fault):
        live = self._platform.live_engines()
        if len(live) < 2:
            # At least one engine must remain to serve.
            return
        engine = live[int(fault.target_fraction * len(live))]
        if kind in ENGINE_FAULTS:
            await self._change_answers(kind, fault, live)
            return
        if kind == "link":
            await self._disturb_link(engine.link, engine.name, fault)
            return
        if kind == "limit":
            await self._limit_engine(engine, fault)
            return
        if kind == "drain":
            if not self._platform.registry.down:
                announced = fault.disturbance in ("delayed", "one_way")
                await self._platform.drain(engine, announced)
            return
        started_s = self._clock()
        self._record_disturbance(engine.name, started_s, started_s + TIMEOUT_S)
        if kind == "address_reused":
            await self._platform.reuse_address(engine)
            return
        self._platform.crash(engine)
        if kind == "rebirth":
            await asyncio.sleep(fault.duration_s / 4)
            await self._platform.add_engine(engine.name, version=engine.version)
        else:
            await asyncio.sleep(fault.duration_s)
            await self._platform.add_engine(
                f"{engine.name}-new", version=engine.version
            )
        self._record_disturbance(engine.name, started_s, self._clock())

    async def _rollout_fault(self, kind, fault):
        """Order a version that is sound, or fails half of its requests."""
        rng = random.Random(f"{kind} {fault.target_fraction}")
        bad_answers = failing(rng) if kind == "bad" else None
        duration_s = fault.duration_s + MORE_ROLLOUT_S
        await self._platform.roll_out(round(duration_s, 3), bad_answers)

    async def _entries_fault(self, kind, fault):
        """Leave odd entries among those of the engines, and start a sound one."""
        self._platform.put_odd_entries()
        await self._platform.add_engine(f"i-{fault.target_fraction:.6f}")

    async def _prompt_fault(self, kind, fault):
        """Let some prompts contain a segment that crashes engines."""
        segment = f"{CRASHING_PREFIX}{fault.target_fraction:.6f}".replace(".", "")
        self._crashing_segments.append(segment)
        await asyncio.sleep(fault.duration_s)
        self._crashing_segments.remove(segment)

    async def _change_answers(self, kind, fault, live):
        """Let one engine, a third or all of them answer in a faulty way."""
        counts = {"one": 1, "third": len(live) // 3 + 1, "all": len(live)}
        first = int(fault.target_fraction * len(live))
        names = {
            each.name
            for each in (live[first:] + live[:first])[: counts[fault.disturbance]]
        }
        rng = random.Random(f"{kind} {fault.target_fraction}")
        change = ENGINE_FAULTS[kind](rng, names)
        started_s = self._clock()
        for engine in live:
            engine.faults.append(change)
        await asyncio.sleep(fault.duration_s)
        for engine in live:
            engine.faults.remove(change)
        if kind != "silent":
            # Answers that began before the end are faulty as well.
            end_s = self._clock() + TIMEOUT_S
            self.records.engine_faults += [
                Span(each.name, started_s, end_s) for each in live
            ]

    async def _limit_engine(self, engine, fault):
        """Let an engine name a limit, and then none again."""
        fraction = 1000 * fault.target_fraction % 1
        limit_per_s = LIMITS_PER_S[int(fraction * len(LIMITS_PER_S))]
        engine.limit_per_s, started_s = limit_per_s, self._clock()
        await asyncio.sleep(fault.duration_s)
        engine.limit_per_s = None
        self.records.limits.append((engine.name, limit_per_s, started_s, self._clock()))

    async def _clients_fault(self, kind, fault):
        """Send large, endless and unfinished requests to a node, from many clients."""
        node = self._nodes[int(fault.target_fraction * len(self._nodes))]
        rng = random.Random(f"{kind} {fault.target_fraction}")
        kinds = rng.sample(clientcrowd.MIX, rng.randint(1, len(clientcrowd.MIX)))
        crowd = ClientCrowd(node.front, kinds, rng.randint(*CROWD_RANGE))
        try:
            async with asyncio.timeout(fault.duration_s):
                await crowd.send()
                # The clients stay open.
                await asyncio.Event().wait()
        except* (OSError, TimeoutError):
            # The node is down, or the fault has ended.
            pass
        finally:
            crowd.close()

    async def _config_fault(self, kind, fault):
        for _ in range(8 if kind == "storm" else 1):
            if not self._platform.registry.down:
                self._platform.configure()
            await asyncio.sleep(0.1 * fault.target_fraction)

    async def _key_fault(self, kind, fault):
        if not self._platform.registry.down:
            self._platform.configure(dropped=KEYS[-1])

    async def _all_fault(self, kind, fault):
        """Kill all undisturbed nodes at once and restart them."""
        available = [
            node for node in self._nodes if node.name not in self._disturbed_nodes
        ]
        self._disturbed_nodes |= {node.name for node in available}
        started_s = self._clock()
        for node in available:
            self._record_disturbance(node.name, started_s, started_s + fault.duration_s)
        try:
            await asyncio.gather(*(node.kill() for node in available))
            await asyncio.sleep(fault.duration_s / 4)
            await asyncio.gather(*(node.start() for node in available))
            await asyncio.gather(*(node.wait_until_ready() for node in available))
        finally:
            self._disturbed_nodes -= {node.name for node in available}
        for node in available:
            self._record_disturbance(node.name, started_s, self._clock())

    def _draws_crash(self):
        """Return whether the next prompt is one that crashes engines."""
        return self._crashing_segments and self._rng.random() < CRASHING_FRACTION

    async def _run_caller(self):
        """Send requests until cancelled, on one connection until it ends."""
        caller, node = None, None
        while True:
            if caller is None or self._rng.random() < RECONNECT_CHANCE:
                if caller is not None:
                    caller.close()
                node = self._rng.choice(self._nodes)
                caller = await self._connect(node)
            if caller is not None and not await self._call(caller, node):
                caller.close()
                caller = None
            await asyncio.sleep(PAUSE_S * 2 * self._rng.random())

    async def _connect(self, node):
        try:
            async with asyncio.timeout(ABANDON_MARGIN_S):
                return await node.connect()
        except (OSError, TimeoutError):
            return None

    async def _call(self, caller, node):
        """Send one request; return whether the connection may be reused."""
        self._call_count += 1
        kind = self._rng.choice(CALL_KINDS)
        name = "stream" if kind in ("stream", "resume") else "call"
        call = Call(
            request_id=f"r{self._call_count}",
            kind=kind,
            node=node.name,
            method="GET" if kind == "safe" else "POST",
            target=f"/{kind}/{name}?n={self._call_count}",
            body=b"" if kind == "safe" else f"body of {self._call_count}".encode(),
            key=self._rng.choice(KEYS),
            timeout_s=TIMEOUT_S,
            sent_s=self._clock(),
        )
        self.records.calls.append(call)
        segments = [f"caller{call.key[-1]}:300"]
        if name == "stream" and self._draws_crash():
            call.crashing = True
            segments.append(f"{self._rng.choice(self._crashing_segments)}:200")
        segments.append(f"own{self._call_count}:100")
        caller.send(
            call.target,
            call.method,
            call.body,
            Request_Id=call.request_id,
            Authorization=f"Token {call.key}",
            Kv_Hold="1",
            Prefix_Hash=",".join(segments) if name == "stream" else "",
            Token_Usage="600,8" if name == "stream" else "",
            Tenant="other",
        )
        max_wait_s = TIMEOUT_S + ABANDON_MARGIN_S
        if self._rng.random() < LEAVE_CHANCE:
            max_wait_s = 0.1 * self._rng.random()
            call.abandoned = True
        try:
            async with asyncio.timeout(max_wait_s):
                reply = await caller.reply()
        except TimeoutError:
            call.ended_s = self._clock()
            return False
        call.abandoned = False
        call.ended_s = self._clock()
        call.status, call.answer = reply.status, reply.body
        call.complete = reply.complete
        call.sealed = b"server-seal" in reply.headers
        content_type = reply.headers.get(b"content-type", b"")
        call.event_stream = content_type == b"text/event-stream"
        if call.key not in self.records.dropped_keys and not call.crashing:
            self._consecutive_served = (
                self._consecutive_served + 1 if call.status == 200 else 0
            )
        return reply.complete and reply.headers.get(b"connection") != b"close"


async def play_faults(seed, folder, faults, sizes=SIZES):
    """Run these faults; return the violations, as lines of text, and the records.

    The seed determines the requests of the callers.
    """
    soak_run = SoakRun(seed, folder, sizes)
    violation_lines = await soak_run.run(faults)
    return violation_lines, soak_run.records
