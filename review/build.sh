#!/bin/sh
# Checks that the stand-ins compile; they need only the standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5]
