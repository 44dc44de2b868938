#!/usr/bin/env bash
# Runs the case CLASS in the folder of the case, with `run.sh CLASS FOLDER`; TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
[ -d target/review-3 ] && [ -d target/platform/lib ] || exit 2
exec java -Xmx768m -cp target/review-3 "$1" "$PWD" "$folder"
