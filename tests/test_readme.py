"""The README's example runs and prints what is expected."""

from __future__ import annotations

import pathlib
import subprocess
import sys

README = pathlib.Path(__file__).parent.parent / "README.md"


def test_embedding_example_runs() -> None:
    code = README.read_text().split("```python\n")[1].split("```")[0]
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, cwd=README.parent
    )
    assert process.stderr == ""
    assert process.stdout == "1 7\n"
