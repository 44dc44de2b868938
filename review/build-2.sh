#!/bin/sh
# Builds the stand-ins and clients of the scripts in review/6 to review/10 with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/lib-2/*.java
