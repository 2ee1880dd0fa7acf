#!/bin/sh
# The stand-ins of the scripts need only Python's standard library. This checks that
# Python can compile them and that the deploy file's build has run.
cd "$(dirname "$0")" || exit 2
python3 - <<'CHECK' || exit 1
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
[ -d ../target/deps ] || { echo "run the build of deploy/system.toml first"; exit 1; }
