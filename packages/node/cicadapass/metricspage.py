"""Generator of docs/metrics.md from the list of metrics."""

import sys
from collections.abc import Sequence
from pathlib import Path

from cicadapass.telemetry import METRICS

INTRODUCTION = """\
# Metrics

A node sends these metrics to the statsd server of its settings (`statsd.host`), each
with the prefix of the settings. Without a server it sends none. This page is made from
the list in `cicadapass.telemetry` by `make docs`.

| name | kind | unit | meaning |
| --- | --- | --- | --- |
"""


def metrics_page() -> str:
    """Return the text of docs/metrics.md."""
    rows = [
        f"| `{name}` | {metric.kind} | {metric.unit} | {metric.meaning} |"
        for name, metric in METRICS.items()
    ]
    return INTRODUCTION + "\n".join(rows) + "\n"


def main(argv: Sequence[str] | None = None) -> int:
    """Write metrics.md into the directory that is the only argument."""
    (directory,) = sys.argv[1:] if argv is None else argv
    Path(directory, "metrics.md").write_text(metrics_page())
    return 0


if __name__ == "__main__":
    sys.exit(main())
