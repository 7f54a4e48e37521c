#!/usr/bin/env bash
# The stand-ins are Python programs and need no build; checks that they can run.
cd "$(dirname "$0")" || exit 2
exec python3 -B -c 'import ast, sys; assert sys.version_info >= (3, 11)
[ast.parse(open(it).read()) for it in sys.argv[1:]]' standins.py */case.py
