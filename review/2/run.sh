#!/usr/bin/env bash
# Exits with 1 if a caller got a success whose body is not that of its worker, with 0 if none did, with 2 if the case could not run.
export TROUBLE="${TROUBLE:-1}"
exec python3 -I -B "$(dirname "$0")/case.py"
