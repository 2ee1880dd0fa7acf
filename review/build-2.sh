#!/bin/sh
# Build the stand-ins of the scripts in review/6 to review/10. They are Python files that
# need the standard library alone, so that compiling them is all there is to do.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 - <<'PYTHON'
import pathlib

path = pathlib.Path("review/harness_2.py")
compile(path.read_text(), str(path), "exec")
print("checked", path)
PYTHON
