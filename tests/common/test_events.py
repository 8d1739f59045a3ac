"""Test the event log and the timeline."""

import itertools
import json

import testtools

from cicadapass_common.events import MAX_RECENT_EVENTS, Event, EventLog
from cicadapass_common.timeline import merge_events


def event_log(node, first_ms=0):
    """Return an event log whose clock advances 1 ms per event."""
    ticks = itertools.count(first_ms)
    return EventLog(node, lambda: (next(ticks), 0))


class EventLogTest(testtools.TestCase):
    def test_recent_events_of_one_request(self):
        """Only the events of the requested request must be returned."""
        log = event_log("n1")
        log.emit(110, part="a", reason="x", request_id="r1")
        log.emit(110, part="a", reason="x", request_id="r2")
        self.assertEqual(1, len(log.recent("r1")))
        self.assertEqual(2, len(log.recent()))
        self.assertRaises(KeyError, log.emit, 999)

    def test_ring_is_bounded(self):
        """A node that emits events all day must not run out of memory."""
        log = event_log("n1")
        for _ in range(MAX_RECENT_EVENTS + 5):
            log.emit(103, unfinished=0)
        self.assertEqual(MAX_RECENT_EVENTS, len(log.recent()))

    def test_json_and_back(self):
        """An event decoded from JSON must equal the emitted one."""
        event = event_log("n1").emit(110, part="a", reason="x")
        document = json.loads(event.to_json())
        self.assertEqual(event, Event.from_document(document))
        self.assertEqual("warning", document["level"])

    def test_invalid_documents_are_rejected(self):
        """An event of another version must be accepted, a malformed one rejected."""
        newer = {"event": 999, "node": "n", "stamp": [1, 2]}
        self.assertEqual("unknown", Event.from_document(newer).name)
        for bad in ({}, {"event": "x", "node": 1, "stamp": [1, 2]}, {"stamp": 1}):
            self.assertRaises(ValueError, Event.from_document, bad)


class TimelineTest(testtools.TestCase):
    def test_merge_orders_and_drops_duplicates(self):
        """An event that several sources contain must be returned once."""
        late, early = event_log("n1", 10), event_log("n2", 0)
        late.emit(103, unfinished=0)
        early.emit(102, reason="notice")
        merged = merge_events([late.recent(), early.recent(), late.recent()])
        self.assertEqual(["n2", "n1"], [event.node for event in merged])

    def test_filter_by_request(self):
        """The timeline of a request must not contain events of others."""
        log = event_log("n1")
        log.emit(110, part="a", reason="x", request_id="r1")
        log.emit(103, unfinished=0)
        self.assertEqual(1, len(merge_events([log.recent()], "r1")))
