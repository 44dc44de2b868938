#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can run: they are plain Python 3 and need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 -I -B - <<'PY'
import ast
import pathlib
import sys
import tomllib

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
files = [pathlib.Path("lib/standins.py"), *sorted(pathlib.Path(".").glob("[1-5]/case.py"))]
for file in files:
    ast.parse(file.read_text(), str(file))
role = tomllib.loads(pathlib.Path("../deploy/system.toml").read_text())["roles"]["entry"]
assert role["run"].startswith("java "), role["run"]
print(f"{len(files)} files of the stand-ins and cases are sound")
PY
