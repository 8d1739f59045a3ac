"""Write the pages of docs/ that are generated from the code.

Run as `python -m cicadapassctl.pages DIRECTORY`, or by `make docs`.
"""

import json
import logging
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

from cicadapass_common.event_catalogue import EVENTS, GROUP_TITLES
from cicadapass_common.reference import reference_rows, to_markdown
from cicadapass_decisions.options import schema_of
from cicadapass_decisions.schema import INVENTORY_SCHEMA
from cicadapassctl.config import Settings
from cicadapassctl.exitcodes import MEANINGS
from cicadapassctl.parser import help_texts

_EVENTS_INTRO = """# Events

Processes write numbered events as JSON lines. Each line contains `event` (the number),
`name`, `level`, `node` (the process that emitted it), `stamp` (hybrid logical clock:
wall time in ms and a counter) and the fields below. `cicadapassctl timeline` merges
the events of all nodes.

This page is generated from `cicadapass_common/event_catalogue.py` by `make docs`.
"""

_INVENTORY_INTRO = """# Inventory

The inventory is the JSON document with which operators control the system.
`cicadapassctl validate FILE` checks it, `cicadapassctl publish FILE` brings it into
force. `examples/` contains complete documents.

- A short name is unique within its fleet; the same short name in another fleet names a
  different object. Messages qualify names by the fleet, as in `grabhandle/parts`.
- `NAME` below stands for a name chosen by the operator, `[]` for an entry of a list.
- An upstream names a service and a data centre of its own fleet.
- A credential belongs to one workspace, an upstream has a URL of its own, and a
  service has one entry for each method and path of `calls`.
- Of the `calls` that match a request, those with the fewest `*` apply; if they
  disagree, the call is not repeatable. A path with `.`, `..` or an empty segment before
  the last is never repeatable.
- Unknown and repeated keys are errors; all errors are reported at once.

[inventory.schema.json](inventory.schema.json) is the same as a JSON schema. Both are
generated from `cicadapass_decisions/schema.py` and the rule classes by `make docs`.
"""


_CTL_INTRO = """# cicadapassctl

`cicadapassctl` is the operators' command line. It publishes through the platform's log
and queries the nodes through their operator addresses.

First, create a settings file: `cicadapassctl settings` prints one in which only the
values marked `REQUIRED` have to be filled in. The path of the file is that of the
`--settings` option, else that of the variable `CICADAPASSCTL_SETTINGS`, else
`cicadapassctl.json` in the working directory.

What to do after a `publish`:

- Exit code 0: the document is in force in every data centre.
- Exit code 4: another publish was accepted first. Merge the printed change into your
  document and publish again.
- Exit code 5: run the same command again with the printed `--publish-id`. The document
  is not applied twice.
- Exit code 6: the document is accepted and remains so. The named data centres do not
  have it yet or could not be reached; `cicadapassctl status` shows when they do.

`cicadapassctl rollback VERSION` publishes the document of an older version under a new
version, because versions never decrease. It works as long as the log retains the older
version.

The sections below are generated from the code by `make docs`.
"""


def pages() -> dict[str, str]:
    """Return the text of each generated page by file name."""
    renderers: dict[str, Callable[[], str]] = {
        "cicadapassctl.md": _ctl_page,
        "events.md": _events_page,
        "inventory.md": _inventory_page,
        "inventory.schema.json": _schema_page,
    }
    return {name: render() for name, render in renderers.items()}


def main() -> int:
    """Write all pages into the directory given as the first argument."""
    directory = Path(sys.argv[1])
    for name, text in pages().items():
        (directory / name).write_text(text, encoding="utf-8")
    return 0


def _ctl_page() -> str:
    codes = [f"| {int(code)} | {text} |" for code, text in MEANINGS.items()]
    lines = [
        _CTL_INTRO,
        "## Settings\n",
        to_markdown(reference_rows(schema_of(Settings))),
    ]
    lines += ["\n## Exit codes\n", "| code | meaning |", "| --- | --- |", *codes]
    lines.append("\n## Commands")
    for name, text in help_texts().items():
        lines.append(f"\n### {name}\n\n```\n{text.rstrip()}\n```")
    return "\n".join(lines) + "\n"


def _schema_page() -> str:
    return json.dumps(INVENTORY_SCHEMA, indent=2) + "\n"


def _events_page() -> str:
    return "\n".join([_EVENTS_INTRO, *_event_tables()]).rstrip() + "\n"


def _event_tables() -> Iterator[str]:
    for group, title in GROUP_TITLES.items():
        kinds = [kind for kind in EVENTS.values() if kind.number // 100 == group]
        if not kinds:
            continue
        yield f"## {group}xx: {title}\n"
        yield "| number | name | level | fields | meaning |"
        yield "| --- | --- | --- | --- | --- |"
        for kind in sorted(kinds, key=lambda each: each.number):
            level = logging.getLevelName(kind.level).lower()
            fields = ", ".join(f"`{field}`" for field in kind.fields)
            cells = (str(kind.number), f"`{kind.name}`", level, fields, kind.meaning)
            yield "| " + " | ".join(cells) + " |"
        yield ""


def _inventory_page() -> str:
    properties = INVENTORY_SCHEMA["properties"]
    document = {**INVENTORY_SCHEMA, "properties": {**properties}}
    del document["properties"]["rules"]
    lines = [_INVENTORY_INTRO, "## Document\n", to_markdown(reference_rows(document))]
    lines += [
        "\n## Rules\n",
        "Every rule has a default; a document contains only other values.",
    ]
    for name, section in properties["rules"]["properties"].items():
        lines += [f"\n### rules.{name}\n", section["description"], ""]
        lines.append(to_markdown(reference_rows(section)))
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.exit(main())
