#!/bin/sh
# The stand-ins are Python of the standard library and run from source: this only checks that they compile.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -c "
import pathlib
for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
"
