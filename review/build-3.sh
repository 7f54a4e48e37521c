#!/usr/bin/env bash
# The stand-ins of the scripts in review/11 and later are Python, of its standard
# library alone, and need no build. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 /usr/bin/python3 -c 'import standins3'
