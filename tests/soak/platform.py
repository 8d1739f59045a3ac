"""Stand-in for the platform: the store, the engines and the calls of the duties."""

import asyncio
import json

from tests.oddentries import odd_entries
from tests.platform.storestandin import StoreStandin
from tests.platform.test_documents import ROUTE
from tests.soak.engines import Engine
from tests.soak.records import OrderedRollout, Span

HEARTBEAT_S = 1.2
# An entry expires after three missed heartbeats.
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S
# A leaving engine still serves for this time after its entry was marked as leaving.
DRAIN_S = 3.0
# The engines write again within this time of a return of the store from a copy.
REWRITE_S = 2.0
TIMEOUT_S = 3.0
# Time until an engine that a prompt has crashed is back.
RESTART_S = 2.0
ROUTE_KINDS = {"safe": "safe", "unsafe": "unsafe", "stream": "streaming"}
KEYS = ("key-1", "key-2")
FIRST_VERSION = "v1"
ROLLOUT_KEY = "rollout/s"
FINAL_STATES = ("succeeded", "rolled_back")
# Time from an order to the engines of its version, and from a rollback to their end.
NEW_ENGINES_S = 0.5
ROLLED_BACK_S = 3.0
# Time after the end of a rollout by which its final state must be in the log, which may
# be down then, with the holder of the duties.
FINAL_STATE_S = 12.0


class RecordingStore(StoreStandin):
    """Record the calls of the duties with their holder and fencing number."""

    def __init__(self, records):
        super().__init__()
        self._records = records

    async def _serve(self, exchange):
        path = exchange.target.decode().partition("?")[0]
        if path in ("/usage", "/scale"):
            headers = {name.lower(): value.decode() for name, value in exchange.headers}
            self._records.duties.append(
                (
                    path,
                    headers[b"duty-holder"],
                    int(headers[b"fencing-token"]),
                    json.loads(exchange.body),
                )
            )
        await super()._serve(exchange)


class Platform:
    """Run the store and the engines, and write their entries and the configuration."""

    def __init__(self, records, clock):
        self.engines = {}
        self._records = records
        self._clock = clock
        self._store = RecordingStore(records)
        self._version = 0
        self._keys = list(KEYS)
        self._silent_since_s = {}
        # Engines that serve although their entry was removed.
        self._unlisted = set()
        self._lapsed = False
        # The version that engines have, those that have lost, and what a bad one does.
        self._version_in_use = FIRST_VERSION
        self._lost_versions = set()
        self._bad_versions = {}
        self._tasks = set()

    async def start(self, engines):
        """Start the store and this number of engines; return the port of the store."""
        address = await self._store.start()
        self.registry.era_number = 1
        for number in range(engines):
            await self.add_engine(f"i-{number}")
        self.configure()
        return int(address.rpartition(":")[2])

    @property
    def registry(self):
        """The documents of the store and its fault settings."""
        return self._store.registry

    def configure(self, dropped=None):
        """Write the next version of the configuration, without the `dropped` key."""
        self._version += 1
        if dropped in self._keys:
            self._keys.remove(dropped)
            self._records.dropped_keys[dropped] = self._clock()
        routes = [
            {
                **ROUTE,
                "name": name,
                "pathPrefix": f"/{name}/",
                "kind": ROUTE_KINDS.get(name, "streaming"),
                "timeoutMs": int(TIMEOUT_S * 1000),
                "streamResume": name == "resume",
            }
            for name in (*ROUTE_KINDS, "resume")
        ]
        document = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": "s", "maxConns": 100, "engine": {"stride": 1}}],
            "limits": {},
            "tenants": [{"name": "w", "apiKeys": self._keys}],
        }
        self.registry.put("keyed.op", "config", json.dumps(document).encode())

    async def add_engine(self, name, link=None, version=None):
        """Start an engine, behind a new link or the given one, and write its entry."""
        if version is None or version in self._lost_versions:
            version = self._version_in_use
        engine = Engine(name, version, self._records, self._clock)
        if version in self._bad_versions:
            engine.faults.append(self._bad_versions[version])
        await engine.start(link)
        engine.on_crash = self._crash_by_prompt
        self.engines[name] = engine
        self._write(engine)
        return engine

    async def drain(self, engine, announced):
        """Start a replacement, let an engine leave and end it later.

        Without an announcement, its entry is removed while it still serves.
        """
        name = f"i-{len(self._records.leaving) + 100}"
        await self.add_engine(name, version=engine.version)
        if announced:
            self._write(engine, leaving=True)
        else:
            self._unlisted.add(engine.name)
            self._put(engine.name, b"")
        self._records.leaving.setdefault(engine.name, self._clock())
        await asyncio.sleep(2 * DRAIN_S)
        self._remove(engine)

    def put_odd_entries(self):
        """Write what another writer may leave among the entries of the engines."""
        for number, data in enumerate(odd_entries()):
            self._put(f"odd-{number}", data)

    def crash(self, engine):
        """Crash an engine; its entry stays until it expires."""
        engine.crash()
        self._silent_since_s[engine.name] = self._clock()

    def _crash_by_prompt(self, engine, segment):
        """Crash an engine because of a prompt, and start another one later."""
        now_s = self._clock()
        self._records.prompt_crashes.append((segment, engine.name, now_s))
        self._records.disturbances.append(
            Span(engine.name, now_s - TIMEOUT_S, now_s + TIMEOUT_S)
        )
        self.crash(engine)
        replacement = self._replace_later(f"{engine.name}-again", engine.version)
        task = asyncio.create_task(replacement)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace_later(self, name, version):
        await asyncio.sleep(RESTART_S)
        await self.add_engine(name, version=version)

    async def reuse_address(self, engine):
        """Replace an engine by another one at the same address, without notice."""
        link = engine.link
        engine.alive = False
        self._silent_since_s[engine.name] = self._clock()
        await self.add_engine(f"{engine.name}-next", link, engine.version)

    def return_from(self, copy):
        """Let the store come back as it was, without what was written since.

        The operator writes its newest records again and then the next configuration.
        """
        lost = self.registry.logs["keyed.op"][len(copy.get("keyed.op", ())) :]
        self.registry.return_from(copy)
        self.registry.down = False
        for key, value in dict(lost).items():
            self.registry.put("keyed.op", key, value)
        self.configure()

    async def write_entries_again(self):
        """Let the engines write again, and the entries of ended ones expire again.

        An engine that leaves without an announcement removes its entry again.
        """
        await asyncio.sleep(REWRITE_S)
        for engine in self.engines.values():
            if engine.name in self._unlisted:
                self._put(engine.name, b"")
            elif engine.alive:
                self._write(engine, leaving=engine.name in self._records.leaving)
        await asyncio.sleep(ENTRY_EXPIRY_S - REWRITE_S)
        listed = dict(self.registry.logs.get("keyed.servers", ()))
        for name in listed.keys() - self.engines.keys():
            if listed[name]:
                self._put(name, b"")

    def set_lapsed(self, lapsed):
        """Remove the entries of all engines, or restore those of the live ones."""
        self._lapsed = lapsed
        for engine in self.engines.values():
            if lapsed:
                self._put(engine.name, b"")
            elif engine.alive and engine.name not in self._unlisted:
                self._write(engine)

    async def run_heartbeats(self):
        """Write heartbeats of the engines and expire old entries until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.registry.down or self._lapsed:
                continue
            now_s = self._clock()
            for engine in list(self.engines.values()):
                if engine.alive and engine.name not in self._unlisted:
                    leaving = engine.name in self._records.leaving
                    self._write(engine, leaving=leaving)
                elif (
                    now_s - self._silent_since_s.get(engine.name, now_s)
                    > ENTRY_EXPIRY_S
                ):
                    self._remove(engine)

    async def roll_out(self, duration_s, bad_answers=None):
        """Order a new version, start its engines and act on its final state."""
        while self.registry.down:
            await asyncio.sleep(0.1)
        rollout = OrderedRollout(
            f"v{len(self._records.rollouts) + 2}",
            bad_answers is not None,
            self._clock(),
            duration_s,
        )
        self._records.rollouts.append(rollout)
        if bad_answers is not None:
            self._bad_versions[rollout.to] = bad_answers
        count = len(self.live_engines())
        fields = {"service": "s", "to": rollout.to, "durationS": duration_s}
        self.registry.put("keyed.op", ROLLOUT_KEY, json.dumps(fields).encode())
        await asyncio.sleep(NEW_ENGINES_S)
        for number in range(count):
            await self.add_engine(f"{rollout.to}-{number}", version=rollout.to)
        rollout.state = await self._final_state(rollout)
        if rollout.state == "succeeded":
            self._lost_versions.add(self._version_in_use)
            self._version_in_use = rollout.to
            self._stop_lost_engines()
        else:
            self._lost_versions.add(rollout.to)
            await asyncio.sleep(ROLLED_BACK_S)
            await self._drain_lost_engines()

    async def _final_state(self, rollout):
        """Return the final state of the only rollout to a version, or None."""
        end_s = rollout.ordered_s + rollout.duration_s + FINAL_STATE_S
        while self._clock() < end_s:
            for key, value in self.registry.logs.get("keyed.status", ()):
                status = json.loads(value) if key == ROLLOUT_KEY else {}
                if status.get("to") == rollout.to and status["state"] in FINAL_STATES:
                    return status["state"]
            await asyncio.sleep(0.1)
        return None

    def _lost_engines(self):
        return [
            each
            for each in self.engines.values()
            if each.version in self._lost_versions
        ]

    def _stop_lost_engines(self):
        """Stop the engines of the old version at once, as after a success."""
        now_s = self._clock()
        for engine in self._lost_engines():
            self._records.disturbances.append(
                Span(engine.name, now_s - TIMEOUT_S, now_s + TIMEOUT_S)
            )
            if engine.alive:
                engine.crash()
            self._remove(engine)

    async def _drain_lost_engines(self):
        """Let the engines of a version that was rolled back leave, and end them."""
        now_s = self._clock()
        engines = self._lost_engines()
        for engine in engines:
            if engine.alive and engine.name not in self._unlisted:
                self._records.leaving.setdefault(engine.name, now_s)
                self._write(engine, leaving=True)
        await asyncio.sleep(2 * DRAIN_S)
        for engine in engines:
            self._remove(engine)

    def live_engines(self):
        """Return the engines that are alive and not leaving."""
        return [
            engine
            for engine in self.engines.values()
            if engine.alive and engine.name not in self._records.leaving
        ]

    def _write(self, engine, *, leaving=False):
        entry = engine.entry("dc-0", leaving)
        self._put(engine.name, json.dumps(entry).encode())

    def _remove(self, engine):
        if self.engines.pop(engine.name, None) is engine:
            self._put(engine.name, b"")
        engine.alive = False

    def _put(self, name, value):
        self.registry.put("keyed.servers", name, value)
