"""Merge the events of many processes into one timeline."""

from collections.abc import Iterable

from cicadapass_common.events import Event


def merge_events(
    sources: Iterable[Iterable[Event]], request_id: str | None = None
) -> tuple[Event, ...]:
    """Return the events of one request or of all, ordered by hybrid clock stamp.

    An event that several sources contain, such as a node and its peer, occurs once.
    """
    unique = {event.to_json(): event for source in sources for event in source}
    selected = (
        event
        for event in unique.values()
        if request_id is None or event.fields.get("request_id") == request_id
    )
    return tuple(sorted(selected, key=_sort_key))


def _sort_key(event: Event) -> tuple[tuple[int, int], str, int]:
    return event.stamp, event.node, event.number
