"""Play one seed: nodes, callers and faults, and what they all saw."""

import asyncio
import random
import signal
from pathlib import Path

from tests.soak.checks import RECOVERY_S, violations
from tests.soak.faults import draw_faults
from tests.soak.nodes import GRACE_S, NodeProcess
from tests.soak.platform import KEYS, TIMEOUT_S, Platform
from tests.soak.proxy import Disturbance
from tests.soak.records import Call, Records, Span

CALLERS = 16
CALL_KINDS = ("safe", "unsafe", "stream", "resume")
# Pause of a caller between two requests, in seconds.
PAUSE_S = 0.02
# Callers that leave before their answer, and those on a new connection.
LEAVE_CHANCE = 0.03
RECONNECT_CHANCE = 0.05
# A caller gives a request up this long after its time limit.
GIVE_UP_S = 2.0
# Requests in a row that are served once the nodes have recovered.
SERVED_IN_A_ROW = 20
# Traffic after the last fault, so that promises in time can be judged.
CALM_S = 6.0
LAPSE_S = 1.5
# The harness itself held the bytes back for longer than this.
LAG_S = 0.25
DELAY_S = 0.3


class World:
    """Run the nodes of one seed and disturb them."""

    def __init__(self, seed, folder, nodes, engines):
        self.records = Records()
        self._rng = random.Random(seed)
        self._folder = Path(folder)
        self._counts = nodes, engines
        self._clock = asyncio.get_running_loop().time
        self._platform = Platform(self.records, self._clock)
        self._nodes = []
        self._busy = set()
        self._tasks = set()
        self._served = 0
        self._number = 0

    async def play(self, faults):
        """Play the faults; return what was broken."""
        nodes, engines = self._counts
        port = await self._platform.start(engines)
        for number in range(nodes):
            node = NodeProcess(f"n{number}", self._folder, port)
            self._nodes.append(node)
            await node.prepare()
        try:
            await asyncio.gather(*(self._start(node) for node in self._nodes))
            await asyncio.gather(*(node.until_ready() for node in self._nodes))
            await self._disturb(faults)
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await asyncio.gather(*(node.kill() for node in self._nodes))
        return violations(self.records)

    async def _disturb(self, faults):
        self._spawn(self._platform.beat())
        self._spawn(self._watch_lag())
        for _ in range(CALLERS):
            self._spawn(self._call_for_ever())
        began_s = self._clock()
        playing = []
        for fault in faults:
            await asyncio.sleep(max(0.0, began_s + fault.at_s - self._clock()))
            playing.append(asyncio.create_task(self._play_fault(fault)))
        await asyncio.gather(*playing)
        await self._until_served()
        await asyncio.sleep(CALM_S)

    def _spawn(self, coroutine):
        self._tasks.add(asyncio.create_task(coroutine))

    async def _start(self, node):
        others = [each.internal for each in self._nodes if each is not node]
        node.write_settings(others)
        await node.start()

    async def _until_served(self):
        """Note when calls are served again after the last fault."""
        self.records.calm_from_s = self._clock()
        self._served = 0
        while self._served < SERVED_IN_A_ROW:
            if self._clock() - self.records.calm_from_s > RECOVERY_S + CALM_S:
                return
            await asyncio.sleep(0.05)
        self.records.served_again_s = self._clock()

    async def _watch_lag(self):
        """Count moments at which this process was held up as trouble of all."""
        while True:
            before_s = self._clock()
            await asyncio.sleep(0.05)
            now_s = self._clock()
            if now_s - before_s > LAG_S:
                self._trouble("store", before_s, now_s)

    def _trouble(self, name, start_s, end_s):
        self.records.troubles.append(Span(name, start_s, end_s))

    async def _play_fault(self, fault):
        group, _, kind = fault.kind.partition("_")
        play = getattr(self, f"_{group}_fault")
        await play(kind, fault)

    async def _node_fault(self, kind, fault):
        free = [each for each in self._nodes if each.name not in self._busy]
        if not free:
            return
        node = free[int(fault.pick * len(free))]
        self._busy.add(node.name)
        began_s = self._clock()
        try:
            planned = await getattr(self, f"_{kind}_node")(node, fault)
            await node.until_ready()
        finally:
            self._busy.discard(node.name)
        spans = self.records.stops if planned else self.records.troubles
        spans.append(Span(node.name, began_s, self._clock()))

    async def _term_node(self, node, fault):
        began_s = self._clock()
        self.records.stops.append(Span(node.name, began_s, began_s + GRACE_S))
        ended = await node.terminate()
        if not ended:
            self._trouble(node.name, began_s, self._clock())
        await asyncio.sleep(fault.for_s / 4)
        await node.start()
        return True

    async def _kill_node(self, node, fault):
        self._trouble(node.name, self._clock(), self._clock() + fault.for_s)
        await node.kill()
        await asyncio.sleep(fault.for_s)
        await node.start()
        return False

    async def _pause_node(self, node, fault):
        self._trouble(node.name, self._clock(), self._clock() + fault.for_s)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        node.signal(signal.SIGCONT)
        return False

    async def _hup_node(self, node, fault):
        others = [each.internal for each in self._nodes if each is not node]
        node.write_settings(others, note=str(fault.pick))
        node.signal(signal.SIGHUP)
        return True

    async def _clock_node(self, node, fault):
        self._trouble(node.name, self._clock(), self._clock() + fault.for_s)
        node.step_clock(fault.step_s)
        await asyncio.sleep(fault.for_s)
        node.step_clock(0.0)
        return False

    async def _store_fault(self, kind, fault):
        registry, began_s = self._platform.registry, self._clock()
        if kind == "link":
            node = self._nodes[int(fault.pick * len(self._nodes))]
            await self._disturb_link(node.store_link, node.name, fault)
            return
        end_s = began_s + fault.for_s + LAPSE_S
        self._trouble("store", began_s, end_s)
        if kind == "down":
            registry.down = True
            await asyncio.sleep(fault.for_s)
            registry.down = False
        elif kind == "expired":
            for topic, log in registry.logs.items():
                registry.first_offsets[topic] = len(log)
        elif kind == "answers_lost":
            registry.lose_answers = 1 + int(3 * fault.pick)
        else:
            registry.down = True
            self._platform.lapse(lapsed=True)
            await asyncio.sleep(fault.for_s)
            registry.down = False
            await asyncio.sleep(LAPSE_S * fault.pick)
            self._platform.lapse(lapsed=False)
        self._trouble("store", began_s, self._clock())

    async def _disturb_link(self, link, name, fault):
        began_s = self._clock()
        self._trouble(name, began_s, began_s + fault.for_s)
        link.disturb(Disturbance(fault.how), DELAY_S * fault.pick)
        await asyncio.sleep(fault.for_s)
        link.disturb(Disturbance.NONE)
        self._trouble(name, began_s, self._clock())

    async def _engine_fault(self, kind, fault):
        live = self._platform.live_engines()
        if len(live) < 2:
            # Someone must be left to serve.
            return
        engine = live[int(fault.pick * len(live))]
        if kind == "link":
            await self._disturb_link(engine.link, engine.name, fault)
            return
        if kind == "drain":
            if not self._platform.registry.down:
                await self._platform.drain(engine)
            return
        began_s = self._clock()
        self._trouble(engine.name, began_s, began_s + TIMEOUT_S)
        if kind == "address_reused":
            await self._platform.reuse_address(engine)
            return
        self._platform.crash(engine)
        if kind == "rebirth":
            await asyncio.sleep(fault.for_s / 4)
            await self._platform.add_engine(engine.name)
        else:
            await asyncio.sleep(fault.for_s)
            await self._platform.add_engine(f"{engine.name}-new")
        self._trouble(engine.name, began_s, self._clock())

    async def _config_fault(self, kind, fault):
        for _ in range(8 if kind == "storm" else 1):
            if not self._platform.registry.down:
                self._platform.configure()
            await asyncio.sleep(0.1 * fault.pick)

    async def _key_fault(self, kind, fault):
        if not self._platform.registry.down:
            self._platform.configure(dropped=KEYS[-1])

    async def _all_fault(self, kind, fault):
        """Kill all nodes at once and start them again."""
        free = [each for each in self._nodes if each.name not in self._busy]
        self._busy |= {node.name for node in free}
        began_s = self._clock()
        for node in free:
            self._trouble(node.name, began_s, began_s + fault.for_s)
        try:
            await asyncio.gather(*(node.kill() for node in free))
            await asyncio.sleep(fault.for_s / 4)
            await asyncio.gather(*(node.start() for node in free))
            await asyncio.gather(*(node.until_ready() for node in free))
        finally:
            self._busy -= {node.name for node in free}
        for node in free:
            self._trouble(node.name, began_s, self._clock())

    async def _call_for_ever(self):
        """Send requests, on one connection until it ends."""
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
            async with asyncio.timeout(GIVE_UP_S):
                return await node.connect()
        except (OSError, TimeoutError):
            return None

    async def _call(self, caller, node):
        """Send one request; return whether the connection may be used again."""
        self._number += 1
        kind = self._rng.choice(CALL_KINDS)
        name = "stream" if kind in ("stream", "resume") else "call"
        call = Call(
            request_id=f"r{self._number}",
            kind=kind,
            node=node.name,
            method="GET" if kind == "safe" else "POST",
            target=f"/{kind}/{name}?n={self._number}",
            body=b"" if kind == "safe" else f"body of {self._number}".encode(),
            key=self._rng.choice(KEYS),
            timeout_s=TIMEOUT_S,
            sent_s=self._clock(),
        )
        self.records.calls.append(call)
        caller.send(
            call.target,
            call.method,
            call.body,
            Request_Id=call.request_id,
            Authorization=f"Token {call.key}",
            Kv_Hold="1",
            Tenant="other",
        )
        patience_s = TIMEOUT_S + GIVE_UP_S
        if self._rng.random() < LEAVE_CHANCE:
            patience_s = 0.1 * self._rng.random()
            call.left_early = True
        try:
            async with asyncio.timeout(patience_s):
                reply = await caller.reply()
        except TimeoutError:
            call.ended_s = self._clock()
            return False
        call.left_early = False
        call.ended_s = self._clock()
        call.status, call.answer = reply.status, reply.body
        call.complete = reply.complete
        call.sealed = b"server-seal" in reply.headers
        if call.key not in self.records.dropped_keys:
            self._served = self._served + 1 if call.status == 200 else 0
        return reply.complete and reply.headers.get(b"connection") != b"close"


async def play_seed(seed, folder, length_s, nodes=3, engines=4):
    """Play one seed; return the broken promises and the records."""
    world = World(seed, folder, nodes, engines)
    broken = await world.play(draw_faults(seed, length_s))
    return broken, world.records
