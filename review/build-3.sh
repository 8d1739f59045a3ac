#!/bin/sh
# The stand-ins of the cases 11 to 15 need no build; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -B - lib3/*.py 1[1-5]/*.py <<'CHECK'
import pathlib, sys
for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, "exec")
CHECK
