"""Draw a timeline as SVG: a row for each event, a lane for each node."""

from collections.abc import Iterator, Sequence
from xml.sax.saxutils import escape

from cicadapass_common.events import Event

_ROW_PX = 18
_LANE_PX = 150
_TIME_PX = 90
_TEXT_PX = 520
_HEADER_PX = 30
_COLOURS = {"info": "#2b6cb0", "warning": "#c05621", "error": "#c53030"}


def timeline_svg(events: Sequence[Event]) -> str:
    """Return the SVG document; times are in milliseconds after the first event."""
    nodes = sorted({event.node for event in events})
    lanes = {node: _TIME_PX + _LANE_PX * index for index, node in enumerate(nodes)}
    width = _TIME_PX + _LANE_PX * len(nodes) + _TEXT_PX
    height = _HEADER_PX + _ROW_PX * (len(events) + 1)
    opening_tag = (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        'font-family="monospace" font-size="11">'
    )
    body = [*_lane_lines(lanes, height), *_rows(events, lanes)]
    return "\n".join([opening_tag, *body, "</svg>"]) + "\n"


def _lane_lines(lanes: dict[str, int], height: int) -> Iterator[str]:
    for node, x in lanes.items():
        yield f'<line x1="{x}" y1="{_HEADER_PX}" x2="{x}" y2="{height}" stroke="#ccc"/>'
        yield _text(x, _HEADER_PX - 10, node)


def _rows(events: Sequence[Event], lanes: dict[str, int]) -> Iterator[str]:
    text_x = _TIME_PX + _LANE_PX * len(lanes)
    for index, event in enumerate(events):
        y = _HEADER_PX + _ROW_PX * (index + 1)
        x = lanes[event.node]
        colour = _COLOURS.get(event.level, _COLOURS["info"])
        yield _text(0, y + 4, f"{event.stamp[0] - events[0].stamp[0]} ms")
        yield f'<circle cx="{x}" cy="{y}" r="4" fill="{colour}"/>'
        yield _text(x + 8, y + 4, str(event.number))
        yield _text(text_x, y + 4, _label(event))


def _label(event: Event) -> str:
    fields = " ".join(f"{key}={value}" for key, value in event.fields.items())
    return f"{event.name} {fields}"[:80]


def _text(x: int, y: int, text: str) -> str:
    # XML does not allow control characters, even if escaped.
    printable = "".join(char if char.isprintable() else "?" for char in text)
    return f'<text x="{x}" y="{y}">{escape(printable)}</text>'
