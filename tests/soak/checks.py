"""Check the records of a run against the guarantees to callers and engines.

The bounds are those that the platform states. A guarantee with a time bound applies
only if the node was neither stopped nor disturbed during the last `UNDISTURBED_S`, and
the store was not disturbed either.
"""

from tests.soak.answers import CALL_S, EVENT_S, EVENTS
from tests.soak.records import Span

UNDISTURBED_S = 4.0
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
GRACE_S = 8.0
DEADLINE_MARGIN_S = 0.5
RECOVERY_S = 15.0
# Statuses which state that a request has not run and will not run.
NOT_RUN = (408, 421, 429, 503)
# Statuses that reject a request, which is wrong for a valid one.
DENIED = (400, 401, 403, 404)
MAX_DENIED = 10
# After so many ends of engines under a segment, and this long, at most so many more
# requests with it reach engines.
MAX_PROMPT_CRASHES = 5
CONTACT_S = 3.0
MAX_LATE_PROMPTS = 3
# An engine that names a limit gets in a window at most this factor of it, and so many
# requests more.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
MAX_LATE = 7
# Longest time that a sound engine works on a request, on a busy machine.
WORK_S = max(CALL_S, EVENTS * EVENT_S) + 0.4
# Memory of a node beside engines whose answers never end.
MAX_MEMORY_MB = 100
# Bound of the requests that a bad version may get: a share of those of the service
# during its rollout, and a number beyond it.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
# Statuses of requests that were accepted and then failed.
FAILED = (502, 504)


def _failed_components(records):
    """Report components of nodes that ended with an error."""
    for node, reason in records.component_failures:
        yield f"a component of {node} failed: {reason}"


def _memory_exceeded(records):
    """Report nodes that took more memory than faulty engines may cost them."""
    for node, peak_mb in records.peak_memory_mb.items():
        if peak_mb > MAX_MEMORY_MB:
            yield f"{node} took {peak_mb:.0f} MB of memory"


def violations(records):
    """Return a line of text for each violation of a guarantee."""
    lines = []
    for check in (
        _ran_twice,
        _refused_but_ran,
        _mixed_answers,
        _broken_streams,
        _joined_runs,
        _altered_requests,
        _unknown_moves,
        _sent_to_leaving_engines,
        _ran_with_dropped_keys,
        _cut_by_planned_stops,
        _lost_in_silence,
        _wrongly_denied,
        _answered_late,
        _duty_conflicts,
        _late_recovery,
        _crashing_prompts_sent_on,
        _limits_exceeded,
        _rollouts_without_state,
        _bad_versions_used,
        _mixed_versions,
        _failed_components,
        _memory_exceeded,
    ):
        lines += check(records)
    return lines


def is_undisturbed(records, node, moment_s):
    """Return whether guarantees with a time bound apply to a node at a moment."""
    start_s = moment_s - UNDISTURBED_S
    stopped = any(
        stop.name == node and stop.start_s <= moment_s and stop.end_s > start_s
        for stop in records.planned_stops
    )
    return not stopped and not any(
        records.was_disturbed(name, start_s, moment_s) for name in (node, "store")
    )


def _ran_twice(records):
    repeatable = {c.request_id for c in records.calls if c.kind in ("safe", "resume")}
    for request_id, runs in records.runs.items():
        ran = [run for run in runs if not run.rejected]
        if len(ran) > 1 and request_id not in repeatable:
            yield f"{request_id} ran {len(ran)} times, at {[r.engine for r in ran]}"


def _refused_but_ran(records):
    for call in records.calls:
        ran = [r for r in records.runs.get(call.request_id, ()) if not r.rejected]
        if call.status in NOT_RUN and ran and call.kind not in ("safe", "resume"):
            yield f"{call.request_id} got {call.status} and ran at {ran[0].engine}"


def _mixed_answers(records):
    for call in records.calls:
        if call.status != 200 or not call.complete or call.event_stream:
            continue
        if call.answer not in _whole_bodies(records, call):
            yield f"{call.request_id} got an answer that no engine sent for it"
        if not call.sealed:
            yield f"{call.request_id} got a 200 without the server-seal of an engine"


def _whole_bodies(records, call):
    """Return the bodies of the engines' plain successes for a request."""
    runs = records.runs.get(call.request_id, ())
    return [r.answer for r in runs if r.status == 200 and r.answer is not None]


def _streams(records):
    """Yield each event stream of a caller: call, numbers and data of the events.

    The number of a block of bytes that is no event is None. Comments are left out, and
    so are cut streams of which an engine wrote a part without end.
    """
    for call in records.calls:
        if call.status != 200 or not call.event_stream:
            continue
        runs = records.runs.get(call.request_id, ())
        if not call.complete and any(run.endless for run in runs):
            continue
        numbers, tokens = [], []
        for block in call.answer.decode().split("\n\n"):
            number, _, token = block.removeprefix("id: ").partition("\ndata: ")
            if block and not block.startswith(":"):
                numbers.append(int(number) if number.isdigit() else None)
                tokens.append(token)
        yield call, numbers, tokens


def _broken_streams(records):
    for call, numbers, tokens in _streams(records):
        runs = records.runs.get(call.request_id, ())
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"{call.request_id} got the events {numbers}"
        ends = {EVENTS, *(run.ends_after for run in runs)}
        if call.complete and len(numbers) not in ends:
            yield f"{call.request_id} looks complete after {len(numbers)} events"
        foreign = [token for token in tokens if call.request_id not in token]
        if foreign:
            yield f"{call.request_id} got an event of another request: {foreign[0]}"


def _joined_runs(records):
    """Find streams with events of two runs, unless the second resumes the first."""
    for call, numbers, tokens in _streams(records):
        if call.kind != "resume" and len(set(tokens)) > 1:
            yield f"{call.request_id} got events of {len(set(tokens))} runs"
        runs = records.runs.get(call.request_id, ())
        first_events = {run.token: run.first_event for run in runs if run.token}
        for token in dict.fromkeys(tokens):
            first = numbers[tokens.index(token)]
            if first_events.get(token, first) != first:
                yield f"{call.request_id} got another run's events from {first} on"


def _altered_requests(records):
    calls = {call.request_id: call for call in records.calls}
    for request_id, runs in records.runs.items():
        call = calls.get(request_id)
        for run in runs:
            if call is None:
                yield (
                    f"{run.engine} got {request_id!r} ({run.method} {run.target}),"
                    " which no caller sent"
                )
                continue
            if (run.method, run.target, run.body) != (
                call.method,
                call.target,
                call.body,
            ):
                yield f"{request_id} was altered on its way to {run.engine}"
            if run.headers.get("tenant") != "w":
                yield f"{request_id} has the wrong tenant {run.headers.get('tenant')!r}"
            if "authorization" in run.headers or "kv-hold" in run.headers:
                yield f"{request_id} reached the engine with a header for the node"


def _unknown_moves(records):
    for engine, request_id in records.moves:
        if all(run.engine != engine for run in records.runs.get(request_id, ())):
            yield f"{engine} was asked to move {request_id!r}, which it did not get"


def _sent_to_leaving_engines(records):
    calls = {call.request_id: call for call in records.calls}
    for request_id, runs in records.runs.items():
        call = calls.get(request_id)
        for run in runs:
            since_s = records.leaving.get(run.engine)
            if since_s is None or call is None or run.rejected:
                continue
            # A disturbed link may deliver late what was sent in time.
            if records.was_disturbed(
                run.engine, since_s - UNDISTURBED_S, run.arrived_s
            ):
                continue
            late_s = run.arrived_s - since_s
            if late_s > DRAIN_S and is_undisturbed(records, call.node, run.arrived_s):
                yield (
                    f"{request_id} arrived {late_s:.1f} s after {run.engine}"
                    " was marked as leaving"
                )


def _ran_with_dropped_keys(records):
    for call in records.calls:
        since_s = records.dropped_keys.get(call.key)
        if since_s is None or call.sent_s < since_s + CONFIG_APPLY_S:
            continue
        ran = [r for r in records.runs.get(call.request_id, ()) if not r.rejected]
        if ran and is_undisturbed(records, call.node, call.sent_s):
            yield f"{call.request_id} ran with a dropped key"


def _cut_by_planned_stops(records):
    for call in records.calls:
        stops = [
            stop
            for stop in records.planned_stops
            if stop.name == call.node
            and stop.start_s - call.timeout_s < call.sent_s < stop.start_s + DRAIN_S
            and call.ended_s > stop.start_s
        ]
        runs = records.runs.get(call.request_id, ())
        if not stops or not runs or call.complete or call.abandoned:
            continue
        if call.ended_s - call.sent_s >= call.timeout_s:
            continue
        start_s = call.sent_s - UNDISTURBED_S
        names = ["store", call.node, *(run.engine for run in runs)]
        if not any(
            records.was_disturbed(name, start_s, call.ended_s)
            or records.was_faulty(name, start_s, call.ended_s)
            for name in names
        ):
            yield f"{call.request_id} was cut off by the planned stop of {call.node}"


def _lost_in_silence(records):
    """Find requests that failed although their engines were only silent for a while.

    A request counts if it reached an engine that would have answered in time, one of
    its engines fell silent, and nothing was disturbed that could explain the failure.
    """
    for call in records.calls:
        failed = call.status in FAILED or not call.complete
        if not failed or call.abandoned or call.crashing or not call.ended_s:
            continue
        runs = [r for r in records.runs.get(call.request_id, ()) if not r.rejected]
        deadline_s = call.sent_s + call.timeout_s
        in_time = any(r.arrived_s + r.silent_s + WORK_S < deadline_s for r in runs)
        if not (in_time and any(run.silent_s for run in runs)):
            continue
        if not _was_any_disturbed(records, call):
            silences = ", ".join(
                f"{run.engine} after {run.arrived_s - call.sent_s:.2f} s, silent for"
                f" {run.silent_s:.2f} s"
                for run in runs
            )
            yield (
                f"{call.request_id} ({call.kind}) was lost with status {call.status}"
                f" after {call.ended_s - call.sent_s:.2f} s; it ran at {silences}"
            )


def _was_any_disturbed(records, call):
    """Return whether its node, the store or any engine was disturbed beside a call."""
    start_s, end_s = call.sent_s - UNDISTURBED_S, call.ended_s
    spans = [*records.disturbances, *records.engine_faults]
    spans += [Span(engine, *times) for engine, _, *times in records.limits]
    nodes = {other.node for other in records.calls} - {call.node}
    spans += records.planned_stops
    return any(
        span.start_s < end_s and span.end_s > start_s and span.name not in nodes
        for span in spans
    )


def _wrongly_denied(records):
    valid_calls = [
        call
        for call in records.calls
        if call.status in DENIED and call.key not in records.dropped_keys
    ]
    undisturbed = [
        call for call in valid_calls if is_undisturbed(records, call.node, call.sent_s)
    ]
    if len(undisturbed) > 5 + len(records.calls) / 500 or len(valid_calls) > MAX_DENIED:
        yield f"{len(valid_calls)} valid requests were rejected, first {valid_calls[0]}"


def _answered_late(records):
    late = [
        call
        for call in records.calls
        if call.ended_s - call.sent_s > call.timeout_s + DEADLINE_MARGIN_S
        and is_undisturbed(records, call.node, call.ended_s)
    ]
    if len(late) > MAX_LATE:
        yield f"{len(late)} requests ended after their deadline, first {late[0]}"


def _duty_conflicts(records):
    holders, counts = {}, {}
    for path, holder, fence, body in records.duties:
        if holders.setdefault((path, fence), holder) != holder:
            yield f"{holder} and {holders[path, fence]} both sent {fence} to {path}"
        if path != "/usage":
            continue
        window = body["windowId"]
        if counts.setdefault(window, body["counts"]) != body["counts"]:
            yield f"window {window} was reported as {counts[window]} and {body}"


def _late_recovery(records):
    recovered_at_s = records.recovered_at_s
    if recovered_at_s is None or recovered_at_s - records.faults_ended_s > RECOVERY_S:
        yield f"no recovery within {RECOVERY_S} s after the last fault"


def _crashing_prompts_sent_on(records):
    calls = {call.request_id: call for call in records.calls}
    for segment in dict.fromkeys(each[0] for each in records.prompt_crashes):
        crashes_s = sorted(
            at for name, _, at in records.prompt_crashes if name == segment
        )
        if len(crashes_s) < MAX_PROMPT_CRASHES:
            continue
        from_s = crashes_s[MAX_PROMPT_CRASHES - 1] + CONTACT_S
        late = [
            run
            for request_id, runs in records.runs.items()
            for run in runs
            if run.crashing_segment == segment
            and run.arrived_s > from_s
            and request_id in calls
            and is_undisturbed(records, calls[request_id].node, run.arrived_s)
        ]
        if len(late) > MAX_LATE_PROMPTS:
            yield (
                f"{len(late)} requests with {segment} were sent later than "
                f"{CONTACT_S} s after it had ended {MAX_PROMPT_CRASHES} engines"
            )


def _limits_exceeded(records):
    calls = {call.request_id: call for call in records.calls}
    for engine, limit_per_s, named_s, ended_s in records.limits:
        times = sorted(
            run.arrived_s
            for request_id, runs in records.runs.items()
            for run in runs
            if run.engine == engine
            and named_s + CONTACT_S <= run.arrived_s <= ended_s
            and request_id in calls
            and is_undisturbed(records, calls[request_id].node, run.arrived_s)
        )
        most = max(
            (sum(t <= at < t + LIMIT_WINDOW_S for at in times) for t in times),
            default=0,
        )
        # A refusal from before the limit does not name it.
        if records.was_faulty(engine, named_s, ended_s):
            continue
        if most > LIMIT_FACTOR * limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK:
            yield f"{engine} named {limit_per_s} a second and got {most} requests"


def _rollouts_without_state(records):
    for rollout in records.rollouts:
        if rollout.state is None:
            yield f"the order to move to {rollout.to} has no final state"


def _bad_versions_used(records):
    runs = [each for runs in records.runs.values() for each in runs]
    for rollout in records.rollouts:
        if not rollout.bad:
            continue
        if rollout.state == "succeeded":
            yield f"the bad version {rollout.to} succeeded"
        since = [each for each in runs if each.arrived_s >= rollout.ordered_s]
        end_s = rollout.ordered_s + rollout.duration_s
        total = sum(each.arrived_s <= end_s for each in since)
        used = sum(each.version == rollout.to for each in since)
        if used > EXPOSURE_SHARE * total + EXPOSURE_SLACK:
            yield f"the bad version {rollout.to} got {used} requests beside {total}"


def _mixed_versions(records):
    for call, _, tokens in _streams(records):
        runs = records.runs.get(call.request_id, ())
        versions = {run.version for run in runs if run.token and run.token in tokens}
        if len(versions) > 1:
            yield f"{call.request_id} got events of versions {sorted(versions)}"
