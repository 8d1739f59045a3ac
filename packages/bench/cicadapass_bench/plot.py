"""Format the JSON lines of a benchmark as a table and a chart."""

import argparse
import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from html import escape
from pathlib import Path
from typing import Any

Line = Mapping[str, Any]

BAR_HEIGHT = 16
BAR_WIDTH = 360
LABEL_WIDTH = 280
VALUE_WIDTH = 90
GROUP_GAP = 12
COLOURS = ("#2b6cb0", "#dd6b20", "#718096", "#2f855a")


def read_lines(text: str) -> list[Line]:
    """Return the measures; raise ValueError for a line that is not JSON."""
    return [json.loads(line) for line in text.splitlines() if line.strip()]


def table(lines: Iterable[Line]) -> str:
    """Return a Markdown table with a column for each variant."""
    values, variants = _by_measure(lines)
    rows = [
        ["measure", "unit", *variants],
        ["---"] * (len(variants) + 2),
        *(
            [
                measure,
                unit,
                *(
                    _format_value(values_by_variant.get(variant))
                    for variant in variants
                ),
            ]
            for (measure, unit), values_by_variant in values.items()
        ),
    ]
    return "".join(f"| {' | '.join(row)} |\n" for row in rows)


def chart(lines: Iterable[Line]) -> str:
    """Return an SVG with a group of bars per measure, each group with its own scale."""
    values, variants = _by_measure(lines)
    elements = []
    top = GROUP_GAP
    for (measure, unit), values_by_variant in values.items():
        largest = max(values_by_variant.values()) or 1.0
        elements.append(_text(0, top + BAR_HEIGHT - 4, f"{measure} ({unit})"))
        for variant, value in values_by_variant.items():
            colour = COLOURS[variants.index(variant) % len(COLOURS)]
            width = max(1, round(BAR_WIDTH * max(value, 0.0) / largest))
            elements.append(_bar(top, width, colour))
            label = f"{_format_value(value)} {variant}"
            elements.append(_text(LABEL_WIDTH + width + 6, top + BAR_HEIGHT - 4, label))
            top += BAR_HEIGHT
        top += GROUP_GAP
    width = LABEL_WIDTH + BAR_WIDTH + 2 * VALUE_WIDTH
    head = f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{top}" '
    head += 'font-family="sans-serif" font-size="11">'
    return "\n".join([head, *elements, "</svg>", ""])


def main(argv: Sequence[str] | None = None) -> int:
    """Print the lines of standard input as a table."""
    parser = argparse.ArgumentParser(prog="python -m cicadapass_bench.plot")
    parser.add_argument("--svg", type=Path, metavar="FILE", help="also write a chart")
    arguments = parser.parse_args(argv)
    lines = read_lines(sys.stdin.read())
    print(table(lines), end="")
    if arguments.svg is not None:
        arguments.svg.write_text(chart(lines))
    return 0


def _by_measure(
    lines: Iterable[Line],
) -> tuple[dict[tuple[str, str], dict[str, float]], list[str]]:
    values: dict[tuple[str, str], dict[str, float]] = {}
    variants: list[str] = []
    for line in lines:
        name, unit, variant = line["measure"], line["unit"], line["variant"]
        values.setdefault((name, unit), {})[variant] = float(line["value"])
        if variant not in variants:
            variants.append(variant)
    return values, variants


def _format_value(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"


def _bar(top: int, width: int, colour: str) -> str:
    return (
        f'<rect x="{LABEL_WIDTH}" y="{top}" width="{width}" '
        f'height="{BAR_HEIGHT - 2}" fill="{colour}"/>'
    )


def _text(left: int, baseline: int, text: str) -> str:
    return f'<text x="{left}" y="{baseline}">{escape(text)}</text>'


if __name__ == "__main__":
    sys.exit(main())
