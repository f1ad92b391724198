#!/bin/sh
# Stand-ins of the cases are plain Python: they are compiled to be checked.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q lib */case.py
