"""Format values and tables for output."""

from collections.abc import Iterable, Sequence


def format_table(
    head: Sequence[str], rows: Iterable[Sequence[object]]
) -> tuple[str, ...]:
    """Return a table as lines with aligned columns."""
    cells = [tuple(head), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return tuple(_format_row(row, widths) for row in cells)


def format_bool(value: bool) -> str:
    """Return `yes` or `no`."""
    return "yes" if value else "no"


def format_milliseconds(seconds: float | None) -> str:
    """Return seconds as milliseconds, or `-` for None."""
    return "-" if seconds is None else f"{seconds * 1000:.1f}"


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    pairs = zip(row, widths, strict=True)
    return "  ".join(cell.ljust(width) for cell, width in pairs).rstrip()
