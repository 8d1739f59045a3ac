"""In-memory log and nodes with a fake clock."""

import json
from dataclasses import dataclass, field

from expression import Error, Ok

from cicadapass_common.events import EventLog
from cicadapass_common.logclient import LogAnswerLost, LogUnavailable, Page, RawRecord
from cicadapass_common.operator_api import (
    EVENTS_PATH,
    EXPLAIN_PATH,
    INVENTORY_PATH,
    STATUS_PATH,
    EventsAnswer,
    ExplainAnswer,
    InventoryAnswer,
    NodeStatus,
    VerdictEntry,
)
from cicadapass_common.publish import read_to_end
from cicadapass_decisions.fold import FoldState
from cicadapass_decisions.inventory import parse_inventory
from cicadapass_decisions.options import to_document
from cicadapassctl.config import Settings
from cicadapassctl.context import Context
from cicadapassctl.exceptions import NodeError

URLS = ("http://n1", "http://n2")


class FakeLog:
    """In-memory log that can lose answers and simulate an outage."""

    def __init__(self):
        self.payloads = []
        self.lose_answers = 0
        self.down = False

    def append(self, payload):
        if self.down:
            return Error(LogUnavailable("outage", "retry later", False))
        self.payloads.append(payload)
        if self.lose_answers:
            self.lose_answers -= 1
            return Error(LogAnswerLost("lost", "read back", True))
        return Ok(len(self.payloads) - 1)

    def read(self, from_offset, limit, wait_s):
        if self.down:
            return Error(LogUnavailable("outage", "retry later", False))
        selected = list(enumerate(self.payloads))[from_offset : from_offset + limit]
        records = tuple(RawRecord(offset, 0.0, data) for offset, data in selected)
        return Ok(Page(0, from_offset + len(records), records))


@dataclass
class FakeNode:
    """Node that follows the log, or stays at `fixed_version` if that is set."""

    name: str
    fleet: str
    data_centre: str = "dc-a"
    fixed_version: int | None = None
    events: EventLog = field(init=False)

    def __post_init__(self):
        self.events = EventLog(self.name, lambda: (1000, ord(self.name[-1])))


class FakeCluster:
    """Fake log and nodes, used through `context`."""

    def __init__(self):
        self.log = FakeLog()
        self.nodes = {
            "http://n1": FakeNode("n1", "grabhandle"),
            "http://n2": FakeNode("n2", "klasite"),
        }
        self.now_s = 0.0
        settings = Settings("http://log", URLS, "c" * 16, publish_wait_s=5.0)
        self.context = Context(
            settings,
            self.fetch,
            self.log,
            EventLog("ctl", lambda: (1, 0)),
            "ann",
            lambda: self.now_s,
            self._sleep,
        )

    def state(self):
        """Return the state at the end of the log."""
        log = FakeLog()
        log.payloads = self.log.payloads
        return read_to_end(log, FoldState(), parse_inventory).ok

    def fetch(self, url, path, query):
        """Return the answer of the node at a URL."""
        if url not in self.nodes:
            return Error(NodeError(f"{url} did not answer", "start it", url))
        node = self.nodes[url]
        answer = {
            STATUS_PATH: self._status,
            INVENTORY_PATH: self._inventory,
            EVENTS_PATH: self._events,
            EXPLAIN_PATH: lambda node: ExplainAnswer(node.name, "upstream"),
        }[path](node)
        return Ok(json.dumps(to_document(answer) | {"later": 1}).encode())

    def _status(self, node):
        version = (
            self.state().version if node.fixed_version is None else node.fixed_version
        )
        identity = (node.name, node.fleet, node.data_centre)
        return NodeStatus(*identity, "i1", True, False, version)

    def _inventory(self, node):
        state = self.state()
        verdicts = (
            VerdictEntry(
                key, verdict.outcome, verdict.offset, verdict.version, verdict.author
            )
            for key, verdict in state.verdicts.items()
        )
        return InventoryAnswer(
            state.version,
            state.next_offset,
            state.publish_id,
            state.author,
            state.document,
            tuple(verdicts),
        )

    def _events(self, node):
        events = tuple(event.to_document() for event in node.events.recent())
        return EventsAnswer(node.name, (*events, {"event": "broken"}))

    def _sleep(self, seconds):
        self.now_s += seconds
