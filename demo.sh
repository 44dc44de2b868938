#!/bin/sh
# Builds everything and runs the main job on embedded stand-ins; arguments go to anvilvalve-demo.
set -eu
cd "$(dirname -- "$0")"
mvn -B -q -DskipTests package
exec bin/anvilvalve-demo "$@"
