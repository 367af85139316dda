#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They use the standard library only, so
# this checks that they compile and can be imported. Run from anywhere; needs no network.
cd "$(dirname "$0")/.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
for file in review/common-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
exec .venv/bin/python -c 'import sys; sys.path.insert(0, "review/common-2"); import standins'
