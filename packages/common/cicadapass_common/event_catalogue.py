"""The catalogue of the numbered events.

An event is added by one entry of the table below: its number, level, name and fields
on one line and its meaning on the next. `make docs` then writes docs/events.md.
A number is never used again for another meaning.
"""

import logging
import re
from dataclasses import dataclass

GROUPS = {
    1: "Process",
    2: "Configuration",
    3: "Members and peers",
    4: "Requests",
    5: "Upstreams",
    6: "Claims and leases",
    7: "Command line",
}

_TABLE = """
100 info node_started(version)
    The node started.
101 info node_ready(version)
    The node takes requests.
102 info drain_started(reason)
    The node takes no new requests.
103 info node_stopped(unfinished)
    The node stopped.
110 warning part_restarted(part, reason)
    The supervisor restarted a failed part.
111 error part_given_up(part, reason)
    A part failed too often; the node stops.

450 info request_accepted(request_id, service, workspace, durability)
    A request was accepted; its answer is owed from now on.
451 info request_finished(request_id, tokens, attempts)
    The whole answer of a request is there.
452 warning request_failed(request_id, tokens, attempts, reason, verdict)
    A request got no whole answer; the verdict says what is known of its effect.
453 warning attempt_failed(request_id, upstream, failure, tokens)
    An attempt failed; the tokens are those that the answer has so far.
454 error execution_fault(request_id, reason)
    The execution of a request failed by a fault of the node.

500 warning upstream_health(upstream, health, first_token_s, inter_token_s, failures)
    An upstream became slow, failing or good.
501 info upstream_leaving(upstream, incarnation, source)
    An upstream gets no new work any more.
502 error panic_started(service)
    Most upstreams of a service are bad; the verdicts are ignored.
503 info panic_ended(service)
    The health verdicts of a service count again.
504 warning report_failed(upstream, reason)
    A load report could not be read for the first time in a row.
505 info cache_hints_discarded(upstream)
    Cache events have a gap; the hints are read anew.
510 debug request_granted(request_id, service, upstream, attempt, work, waited_s, probe)
    An attempt may be sent to an upstream.
511 debug request_queued(request_id, service, workspace, priority, work)
    A request waits for an upstream.
512 info request_shed(request_id, service, workspace, priority, reason, retry_after_s)
    A request was refused or shed and was not run.

700 info publish_appended(publish_id, base_offset)
    The command line appended a publish to the log.
701 info publish_judged(publish_id, verdict, version)
    The publish was judged; the version is the one in force then.
702 info publish_in_force(version, data_centres)
    The publish is in force in each of these data centres.
703 warning publish_not_in_force(version, data_centres, limit_s)
    The publish was not seen in force in these data centres in time.
704 warning node_not_reached(address, reason)
    The operator address of a node did not answer.
"""

_HEAD_LINE = re.compile(r"(\d{3}) (debug|info|warning|error) ([a-z_]+)\(([a-z_, ]*)\)")


@dataclass(frozen=True, slots=True)
class EventKind:
    """Describe one numbered event; the level is that of `logging`."""

    number: int
    name: str
    level: int
    fields: tuple[str, ...]
    meaning: str


def parse_catalogue(table: str) -> dict[int, EventKind]:
    """Return the kinds of a table; ValueError names a line that is no entry."""
    lines = [line for line in table.splitlines() if line.strip()]
    kinds: dict[int, EventKind] = {}
    for head, meaning in zip(lines[::2], lines[1::2], strict=True):
        kind = _parse_entry(head, meaning)
        if kind.number in kinds:
            raise ValueError(f"event {kind.number} occurs twice; choose a free number")
        kinds[kind.number] = kind
    return kinds


def _parse_entry(head: str, meaning: str) -> EventKind:
    found = _HEAD_LINE.fullmatch(head)
    if found is None or not meaning.startswith("    "):
        raise ValueError(f"{head!r} starts no entry; write number level name(fields)")
    number, level, name, fields = found.groups()
    levels = logging.getLevelNamesMapping()
    names = tuple(fields.replace(",", " ").split())
    return EventKind(int(number), name, levels[level.upper()], names, meaning.strip())


EVENTS = parse_catalogue(_TABLE)
