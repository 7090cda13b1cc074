#!/bin/sh
# The stand-ins of the scripts are Python, which the project's own soak uses
# too: nothing has to be built. Checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 -c '
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
' lib/*.py [0-9]/*.py
