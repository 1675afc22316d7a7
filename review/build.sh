#!/bin/sh
# The stand-ins are Python scripts that need the standard library only: nothing has to be
# compiled. Checks that they, and the build of the deploy file, can be used.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), "CPython 3.11 is needed"
for path in Path("review").rglob("*.py"):
    compile(path.read_text(), str(path), "exec")
CHECK
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -m catkinfork forwarder --help >/dev/null
echo "stand-ins: nothing to build"
