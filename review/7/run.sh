#!/bin/sh
# Exits with 1 if streams of two versions were joined, 0 if not, and 2 if it could not run.
cd "$(dirname "$0")" || exit 2
exec python3 scenario.py
