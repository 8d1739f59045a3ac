"""Leave the events of a stopping node with a peer, so that the timeline keeps them."""

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

# The last events of a node, about 150 KB; the earlier ones are in its own log.
MAX_SENT = 512
# The last events of about eight stopped nodes.
MAX_RECEIVED = 4096
SEND_TIMEOUT_S = 0.5
MAX_SEND_ATTEMPTS = 2


@dataclass(slots=True)
class EventRelay:
    """Keep the events that stopped nodes have left here, bounded in number."""

    events: EventLog
    peers: Peers
    current_members: CurrentMembers
    rng: random.Random
    _received: deque[Event] = field(default_factory=lambda: deque(maxlen=MAX_RECEIVED))
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def register(self) -> None:
        """Take the events of other nodes, before the peers start."""
        self.peers.handle(EventLines, self._on_lines, pooled=False)

    def recent(self, request_id: str | None = None) -> tuple[Event, ...]:
        """Return this node's events and those that were left here."""
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
        """Send the last events to a node in another data centre, if one takes them."""
        lines = tuple(event.to_json() for event in self.events.recent()[-MAX_SENT:])
        members = self.current_members.snapshot.for_recovery()
        refused: set[VmId] = set()
        for _ in range(MAX_SEND_ATTEMPTS):
            target = choose_holder(members, self.rng, refused)
            if target is None:
                return False
            sent = self.peers.request(target, EventLines(lines), SEND_TIMEOUT_S)
            if sent.is_ok() and isinstance(sent.ok, Done):
                return True
            refused.add(target.vm)
        return False

    def _on_lines(self, inbound: Inbound[EventLines]) -> None:
        events = []
        for line in inbound.message.lines[:MAX_SENT]:
            try:
                events.append(Event.from_document(json.loads(line)))
            except ValueError:
                # One unreadable event must not cost the others.
                continue
        with self._lock:
            self._received.extend(events)
        inbound.reply(Done())
