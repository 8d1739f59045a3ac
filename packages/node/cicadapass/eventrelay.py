"""Transfer of a stopping node's events to a peer, which serves them to operators."""

import json
import random
import threading
from collections import deque
from dataclasses import dataclass, field

from cicadapass.membersnapshot import CurrentMembers
from cicadapass.peers import Inbound, Peers
from cicadapass_common.events import Event, EventLog
from cicadapass_common.messages import Done, EventLines
from cicadapass_decisions.recovery import choose_holder
from cicadapass_decisions.types import VmId

# Number of events that a stopping node sends, about 150 KB; its log has earlier ones.
MAX_SENT_EVENTS = 512
# Number of events that are stored for peers, those of about eight stopped nodes.
MAX_RECEIVED_EVENTS = 4096
SEND_TIMEOUT_S = 0.5
MAX_SEND_ATTEMPTS = 2


@dataclass(slots=True)
class EventRelay:
    """Store a bounded number of events of stopped nodes, and send this node's."""

    events: EventLog
    peers: Peers
    current_members: CurrentMembers
    rng: random.Random
    _received: deque[Event] = field(
        default_factory=lambda: deque(maxlen=MAX_RECEIVED_EVENTS)
    )
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def register(self) -> None:
        """Register the handler of peers' events; call it before the peers start."""
        self.peers.handle(EventLines, self._on_lines, pooled=False)

    def recent(self, request_id: str | None = None) -> tuple[Event, ...]:
        """Return this node's recent events and those received from stopped nodes."""
        with self._lock:
            received = tuple(self._received)
        if request_id is not None:
            received = tuple(
                event
                for event in received
                if event.fields.get("request_id") == request_id
            )
        return (*received, *self.events.recent(request_id))

    def send_to_peer(self) -> bool:
        """Send the last events to a node in another data centre.

        Return whether a node confirmed that it stored them.
        """
        lines = tuple(
            event.to_json() for event in self.events.recent()[-MAX_SENT_EVENTS:]
        )
        members = self.current_members.snapshot.for_recovery()
        tried: set[VmId] = set()
        for _ in range(MAX_SEND_ATTEMPTS):
            target = choose_holder(members, self.rng, tried)
            if target is None:
                return False
            sent = self.peers.request(target, EventLines(lines), SEND_TIMEOUT_S)
            if sent.is_ok() and isinstance(sent.ok, Done):
                return True
            tried.add(target.vm)
        return False

    def _on_lines(self, inbound: Inbound[EventLines]) -> None:
        events = []
        for line in inbound.message.lines[:MAX_SENT_EVENTS]:
            try:
                events.append(Event.from_document(json.loads(line)))
            except ValueError:
                # Skip an unreadable event and store the others.
                continue
        with self._lock:
            self._received.extend(events)
        inbound.reply(Done())
