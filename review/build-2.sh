#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python scripts of this folder, which need
# no build. Checks that the interpreter is there and can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c '
import ast, pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in [pathlib.Path("standins2.py"), *pathlib.Path(".").glob("*/case.py")]:
    ast.parse(path.read_text(), str(path))
'
