"""Catalogue of the numbered events.

To add an event, add an entry to the table below: number, level, name and fields on one
line, the meaning on the next. Then run `make docs` to update docs/events.md.
A number is never reused for another meaning.
"""

import logging
import re
from dataclasses import dataclass

GROUP_TITLES = {
    1: "Process",
    2: "Configuration",
    3: "Members and peers",
    4: "Requests",
    5: "Upstreams",
    6: "Claims and leases",
    7: "Command line",
    8: "Gateway",
}

_TABLE = """
100 info node_started(version)
    The node started.
101 info node_ready(version)
    The node is ready to accept requests.
102 info drain_started(reason)
    The node no longer accepts new requests.
103 info node_stopped(unfinished)
    The node stopped.
104 info requests_handed_over(requests, handed_over)
    A stopping node handed over requests that would not finish in time.
105 warning notice_received(deadline_s, zone, vm)
    The cloud reclaims this VM at the deadline, given in Unix time.
110 warning part_restarted(part, reason)
    The supervisor restarted a failed component.
111 error part_given_up(part, reason)
    A component failed too often; the node stops.

200 info config_in_force(version, author, publish_id)
    The node now uses this configuration version.
201 warning publish_rejected(publish_id, version)
    A publish is invalid; this version stays in force.
202 warning publish_conflict(publish_id, version, author)
    A publish conflicts with this version, which was accepted first.
203 warning record_skipped(offset, reason)
    A record of the log is unusable and was skipped.
204 info config_adopted(version)
    The node adopted a snapshot as its state.
205 warning config_gap(next_offset, first_offset)
    Records expired before the node read them.
206 error config_missing(reason)
    The node has no configuration and is not ready.
207 warning config_log_lost(reason)
    The log cannot be read; the current configuration stays in force.
208 info config_log_found(offset)
    The log can be read again.
209 info snapshot_appended(offset, version)
    The node appended a snapshot.
210 warning snapshot_failed(reason)
    The node could not append a snapshot.
211 error config_unusable(version, problems)
    The node cannot use the published version and keeps the older one.
212 warning config_fetch_failed(reason)
    No peer returned the configuration.

300 info member_joined(member, data_centre)
    A member was observed for the first time.
301 warning member_suspected(member, data_centre)
    No probe reached the member.
302 warning member_gone(member, data_centre)
    The member is considered gone.
303 info member_returned(member, data_centre)
    A suspected or gone member has refuted that state.
304 warning declared_gone(refutation)
    Other members had declared this node gone.
305 info vm_leaving(vm, source)
    A VM is leaving and receives no new work.
306 info mark_expired(vm)
    No source reports the VM as leaving any more.
307 warning vm_list_unreadable(reason)
    The VM list could not be read.
320 info peers_listening(host, port)
    The node accepts connections from peers.
321 error peer_wrong_secret(peer, side)
    A peer uses a different shared secret.
322 error peer_wrong_version(peer, reason)
    A peer uses an incompatible protocol version.
323 error peer_garbage(peer, reason)
    A peer sent a malformed frame.
324 error peer_oversized(peer, reason)
    A peer sent a frame over the size limit.
325 warning peer_handshake_failed(peer, reason)
    The handshake of a connection failed.
326 info peer_other_incarnation(peer, found)
    Another node answers at the address of the peer.
327 warning peer_queue_full(peer, reason)
    A peer receives messages too slowly.
328 warning peer_clock_ahead(peer, peer_stamp)
    A peer's clock is ahead by more than the drift limit.
329 error peer_handler_failed(peer, kind, reason)
    The handler of a message failed.
330 warning peer_connections_full(peer, limit)
    A connection was refused because the limit is reached.

400 warning copy_refused(request_id, reason)
    A copy for another node was refused.
401 warning copy_dropped(request_id, reason)
    A copy was dropped before its release.
402 warning taken_over(request_id, epoch, owner, reason)
    The holder of a copy became the owner of the request.
403 info take_over_declined(request_id, reason)
    The holder of a copy did not become the owner of the request.
404 info hand_over_accepted(request_id, epoch, owner)
    The node took over a request from its leaving owner.
405 warning stale_owner(request_id, epoch, seen)
    A former owner is still sending messages.
406 warning holder_lost(request_id, holder, reason)
    The owner needs another holder.
407 warning superseded(request_id, epoch, seen)
    Another node owns the request now.
408 warning copies_doubtful(copies)
    The node was declared gone while it held copies.
450 info request_accepted(request_id, service, workspace, durability)
    A request was accepted; its answer is guaranteed from now on.
451 info request_finished(request_id, tokens, attempts)
    The answer of a request is complete.
452 warning request_failed(request_id, tokens, attempts, reason, verdict)
    A request has no complete answer; the verdict states what is known of its effect.
453 warning attempt_failed(request_id, upstream, failure, tokens)
    An attempt failed; tokens is their number in the answer so far.
454 error execution_fault(request_id, reason)
    The execution of a request failed with an internal error of the node.
455 error handler_fault(reason)
    A request ended in an internal error.

500 warning upstream_health(upstream, health, first_token_s, inter_token_s, failures)
    The health of an upstream changed to slow, failing or good.
501 info upstream_leaving(upstream, incarnation, source)
    An upstream is leaving and receives no new work.
502 error panic_started(service)
    Most upstreams of a service are unhealthy; the health verdicts are ignored.
503 info panic_ended(service)
    The health verdicts of a service are applied again.
504 warning report_failed(upstream, reason)
    A load report could not be read; further failures in a row are not reported.
505 info cache_hints_discarded(upstream)
    Cache events were missed; the cache hints are reloaded.
510 debug request_granted(request_id, service, upstream, attempt, work, waited_s, probe)
    An attempt was granted and may be sent to an upstream.
511 debug request_queued(request_id, service, workspace, priority, work)
    A request is queued until an upstream can serve it.
512 info request_shed(request_id, service, workspace, priority, reason, retry_after_s)
    A request was refused or shed and was not run.

600 info claims_loaded(offset, claims)
    The node loaded the claims of the retry window.
601 warning claims_refused(count, reason)
    Claims were refused; their requests were not run.
602 warning claims_answer_lost(reason)
    The answer to an append of claims was lost; the log is read to find its outcome.
603 error claims_gap(next_offset, first_offset)
    Claims expired before they were read; new keys are refused for one window.

700 info publish_appended(publish_id, base_offset)
    The command line appended a publish to the log.
701 info publish_judged(publish_id, verdict, version)
    The publish received a verdict; the version is the one in force at that time.
702 info publish_in_force(version, data_centres)
    The publish is in force in these data centres.
703 warning publish_not_in_force(version, data_centres, limit_s)
    The publish was not observed in force in these data centres in time.
704 warning node_not_reached(address, reason)
    The operator address of a node did not answer.

800 info gateway_started(data_centre, pid_started)
    A gateway node started to listen.
801 info gateway_configuration(version, source, era, routes)
    A gateway node uses this version; the source is the registry or a peer.
802 error gateway_configuration_unreadable(source, reason)
    A configuration cannot be decoded or applied; the one in force stays.
803 warning registry_lost(reason)
    A call to the platform's registry failed; the view in force stays.
804 info registry_found(era, offset)
    The platform's registry answers again.
805 warning gateway_part_restarted(part, reason)
    A component of a gateway failed and is restarted.
806 error gateway_part_failing(part, reason, failures)
    A component of a gateway has failed this often in a row; it is restarted after a \
pause of five seconds, and the other components go on.
807 info gateway_settings_reread(changed)
    The settings were reloaded on SIGHUP; these changed.
808 error request_fault(reason)
    A request ended with an internal error of the gateway.
809 info gateway_stopped(unfinished)
    A gateway stopped with this number of requests in progress.
810 info call_rejected(request_id, status, reason, version, workspace)
    A request was answered without an upstream, under this configuration version.
811 info attempt_unsuccessful(request_id, upstream, upstream_sequence, outcome, \
detail, sends, segments, head_age_ms, events, bytes, silent_ms, heard_age_ms, \
ended_by, suspected, entry_offset, entry_age_ms, held, view_era, view_end, \
view_age_ms, limit_per_s, limit_age_ms, limit_share_per_s, limit_room)
    An attempt at an upstream returned no answer to forward. The segments are the \
shared ones of the prompt; `head_age_ms` is the time since the response's head, if \
there was one, and `events` and `bytes` what arrived. `silent_ms` is the time \
without data at the end, and `heard_age_ms` the time since any connection of the \
node got data from the upstream. `ended_by` is the upstream, which includes the \
network, or the node. `suspected` has the evidence against segments at the last \
decision: name, score, age in ms of the last end. The last ten fields describe \
the view of the registry by which the upstream was chosen, and its limit.
812 info request_ended(request_id, status, outcome, ended_by, route, version, \
version_in_force, upstream, sends, waited_ms, first_ms, total_ms, suspected, \
entry_offset, entry_age_ms, held, view_era, view_end, view_age_ms, limit_per_s, \
limit_age_ms, limit_share_per_s, limit_room)
    A request that was sent to an upstream or queued has ended. `ended_by` is null for \
a whole answer, else the caller, the upstream or the node. The request was matched \
under `version`; `version_in_force` is that at its end. `suspected` is as in \
`attempt_unsuccessful`. The last ten fields describe the view of the registry by \
which the last upstream was chosen, and its limit.
813 info gateway_draining(in_progress)
    The node received SIGTERM; it is not ready and finishes requests in progress.
814 info run_moved(request_id, upstream, target, delivered, stopped_ms, outcome)
    A run of a leaving engine was migrated, or the outcome says why it was not: the \
target did not take the copy (`refused`), the run had ended (`no_run`), an earlier \
call was in progress (`in_progress`), or no readable answer came (`unknown`). \
`stopped_ms` is the time since the run was stopped for its last copy, else null.
815 error gateway_settings_unreadable(reason)
    The settings file is invalid; the settings in force stay.
816 info upstream_silent(request_id, upstream, silent_ms, bytes, events, heard_age_ms, \
outcome, skipped)
    A silence of an upstream before or within a response has ended (the body of a call \
counts as a whole): data came (`resumed`), the connection ended (`lost`), the node \
gave the attempt up (`given_up`), the time limit passed (`expired`) or the caller \
left (`left`). `heard_age_ms` is as in `attempt_unsuccessful`. `skipped` counts \
the silences since the last line that were not logged.
817 info hedge_decided(request_id, upstream, target, silent_ms, last_event_id, \
outcome, skipped)
    A request whose upstream is silent was sent to the target as well, or not, for \
want of retries (`no_allowance`), of an upstream with room (`no_room`), of runs \
that the route allows (`used_up`) or because its prompt is suspected (`held`). It \
goes on waiting in any case. A line is written when the outcome changes; `skipped` \
is as in `upstream_silent`.
820 warning peer_message_skipped(peer, reason)
    A message from a peer cannot be decoded.
821 warning peer_state_failed(peer, reason)
    A peer did not return its state.
831 info upstreams_changed(source, peer, era, view_end, ready, leaving, removed)
    Entries of upstreams changed; each is named with the offset of its record.
832 warning upstream_entry_skipped(upstream, offset, skipped)
    An upstream's entry cannot be decoded and is ignored; `skipped` counts the entries \
left out since the last line.
833 warning registry_outage_assumed(view_age_ms)
    No node has read the registry recently; removed upstreams stay in use for now.
834 info leaving_marks_applied(peer, upstreams)
    A peer reported that these upstreams are leaving.
835 info changes_served(peer, era, start, view_end, entries, complete)
    A peer fetched the entries of upstreams from this offset on, or all of them.
836 info upstream_marked_leaving(upstream, reason)
    An answer shows that an upstream is leaving (`answer`), or that its address has \
gone to another one (`replaced`); it gets no further requests. It is named with the \
Unix millisecond of its start.
837 warning registry_era_risen(before, era, source, version, view_end)
    The registry names a later era: it has returned from an older copy, unless \
`before` is 0. The source is the call and the status of the answer, or a peer. \
`version` and `view_end` say what this node had read in the era before.
838 warning registry_era_odd(text, source, era, skipped)
    An answer of the registry names no era, or one that is malformed or falls; it is \
taken for one of the era in force. `skipped` counts the lines left out.
839 info versions_in_use_recorded(service, versions, era, offset)
    The log has the versions at which streams of a service that still last may have \
begun. While there are several, the streams that begin are recorded.
840 info duties_taken(fence, previous, era, offset)
    This node holds the duties under this fencing number.
841 warning duties_lost(fence, reason)
    This node no longer holds the duties.
842 warning duty_call_failed(reason)
    A call of the duties failed and is retried.
843 info usage_reported(window, fence, age_ms)
    The platform accepted the counts of a usage window.
844 info engines_ordered(service, data_centre, count, reclaimable, fence, outcome)
    The platform accepted or refused an order of engines.
845 warning duties_carried_over(fence, copied, era, offset)
    The registry has returned from a copy, and the holder has written its record again \
under a new fencing number; `copied` is the number in the copy.
850 info segment_suspicion_changed(change, segments, engines, peer)
    A prompt segment is suspected of crashing engines, because these ended while they \
began answers on it, or it was cleared by an answer. A peer reported it, if named.
851 warning segment_block_changed(change, segments, engines, peer, reason)
    Prompts with these segments, all of them, are rejected because these engines \
ended, or they are no longer rejected, for this reason.
852 info upstream_limit_changed(upstream, limit_per_s, peer)
    An upstream named, changed or no longer names (null) a limit for the requests of \
all nodes. It is named with the Unix millisecond of its start.
853 warning upstream_limit_unreadable(upstream, value)
    An answer names a limit that cannot be read; the last one stays.
854 info upstream_paused(upstream, pause_s)
    An upstream turned a request away and wants no others of this node for this time.
855 warning upstream_pause_unreadable(upstream, value)
    An upstream turned a request away and names a time that cannot be read.
860 info rollout_changed(service, to, offset, state, withdrawn, source)
    This node learned of an order to move a service to a version, or of its state, \
from the registry, the record of the duties, the status in the log or the named peer. \
An order that the operator deleted is withdrawn.
861 warning rollout_order_skipped(key, offset, reason)
    An order of a rollout cannot be read, or deletes one that does not run; only it is \
skipped.
862 warning rollout_stopped_here(service, to, offset, evidence)
    The counts that this node knows show a bad version, which gets no further requests \
from it. By the rule, answers failed (`failed`) or were late (`late`) on the route, \
or on all together if it is empty: `new_bad` of `new_total` of the new version, and \
`old_bad` of `old_total` of the others. One engine with most of the bad answers is \
left out and named.
863 info rollout_decided(service, to, offset, state, reason, elapsed_ms, answers, \
new_engines, new_slots, old_engines, old_slots, running, evidence, fence)
    The holder of the duties decided a rollout: because of its evidence (`evidence`), \
because the version is sound and ready (`sound`), because too few answers (`unknown`) \
or engines (`capacity`) were there at the end, because it came too late (`late`), \
because the order was deleted (`withdrawn`) or changes nothing (`unchanged`). The \
evidence is as in `rollout_stopped_here`, else null.
864 info rollout_status_written(service, to, state, fence)
    The log has the state of a rollout.
865 warning rollout_status_failed(service, reason)
    The state of a rollout could not be written; this is retried.
866 info version_held(service, version)
    Engines of a version that was not used before get no requests until a read of the \
operator's topic shows whether there is an order for it.
867 info version_released(service, version)
    No order names the version; its engines are used like any others.
868 warning rollout_verdicts_unknown(versions)
    Since its start, this node could read neither the orders and the record of the \
duties nor the view of a peer that knows both. Until it can, only the named versions \
of each service get requests: that of most of its engines, or all if it has no order.
875 warning callers_shed(reason, count, held_bytes, source, source_count)
    Callers were turned away since the last line of this reason: their unfinished \
requests made no progress while others needed the memory (`stalled`, status 408), or \
would not have ended within their route's time-out (`slow`, status 408), no memory \
became free for them (`no_memory`, status 503), they did not read their responses \
while these exceeded the memory (`unread`, reset), or there were too many connections \
(`connections`, closed). `source` is the workspace, or the address of callers without \
a valid key, of most of them.
885 warning capacity_report_malformed(peer, reason)
    A peer's state has totals of engines that cannot be read; the rest of it counts.
886 info capacity_learning_enabled()
    The node learns the capacity of model engines from passing traffic.
"""

_ENTRY_PATTERN = re.compile(
    r"(\d{3}) (debug|info|warning|error) ([a-z_]+)\(([a-z_, ]*)\)"
)


@dataclass(frozen=True, slots=True)
class EventKind:
    """Describe one numbered event; the level is that of `logging`."""

    number: int
    name: str
    level: int
    fields: tuple[str, ...]
    meaning: str


def parse_catalogue(table: str) -> dict[int, EventKind]:
    """Return the event kinds by number; raise ValueError for an invalid entry."""
    lines = [line for line in table.splitlines() if line.strip()]
    kinds: dict[int, EventKind] = {}
    for entry_line, meaning_line in zip(lines[::2], lines[1::2], strict=True):
        kind = _parse_entry(entry_line, meaning_line)
        if kind.number in kinds:
            raise ValueError(f"event {kind.number} is defined twice; use a free number")
        kinds[kind.number] = kind
    return kinds


def _parse_entry(entry_line: str, meaning_line: str) -> EventKind:
    match = _ENTRY_PATTERN.fullmatch(entry_line)
    if match is None or not meaning_line.startswith("    "):
        raise ValueError(
            f"{entry_line!r} is not an entry; write number level name(fields)"
        )
    number, level, name, fields = match.groups()
    levels = logging.getLevelNamesMapping()
    names = tuple(fields.replace(",", " ").split())
    return EventKind(
        int(number), name, levels[level.upper()], names, meaning_line.strip()
    )


EVENTS = parse_catalogue(_TABLE)
