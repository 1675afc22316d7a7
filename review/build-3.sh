#!/bin/sh
# Builds the stand-ins of the third review. They are Python modules of the standard
# library alone, so that they only have to compile.
set -eu
cd "$(dirname "$0")"
exec python3 -c '
import sys
from pathlib import Path

for path in [Path("loopback_3.py"), *sorted(Path(".").glob("1[1-5]/run.py"))]:
    compile(path.read_text(), str(path), "exec")
'
