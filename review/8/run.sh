#!/bin/sh
# Exits with 1 if a whole stream was lost, 0 if none was, and 2 if it could not run.
cd "$(dirname "$0")" || exit 2
exec python3 scenario.py
