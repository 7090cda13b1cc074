#!/bin/sh
# The stand-ins of cases 11 to 15 are Python scripts and need no build beyond
# that of the deploy file; this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in harness_3.py 1[1-5]/*.py; do
    if [ -f "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
            "$file" || exit 1
    fi
done
