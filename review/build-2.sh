#!/bin/sh
# Compiles the stand-ins of the cases; they need Python's standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins-2
