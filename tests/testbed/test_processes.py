"""Child processes of a run: the recorded end of a lifetime."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from linnetstile.emulators.record import now_ms
from linnetstile.testbed.processes import ManagedProcess, ProcessGroup
from linnetstile.testbed.relay_lifetime import ProcessEnd, RelayLifetime

EXIT_DELAY_MS = 300
SLOW_EXIT_PROGRAM = f"""
import signal, sys, time
def on_signal(*_):
    time.sleep({EXIT_DELAY_MS} / 1000)
    sys.exit()
signal.signal(signal.SIGTERM, on_signal)
print("ready", flush=True)
time.sleep(60)
"""


def test_the_lifetime_of_a_process_ends_at_its_exit_and_not_at_the_signal(tmp_path: Path) -> None:
    async def stop_slow_process() -> tuple[float, RelayLifetime]:
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-c", SLOW_EXIT_PROGRAM, stdout=asyncio.subprocess.PIPE
        )
        assert child.stdout is not None
        await child.stdout.readline()
        group = ProcessGroup(tmp_path)
        group.lifetimes["r1"] = [RelayLifetime(start_ms=now_ms())]
        signalled_at_ms = now_ms()
        await group.stop(ManagedProcess("r1", child), ProcessEnd.STOPPED)
        return signalled_at_ms, group.lifetimes["r1"][-1]

    signalled_at_ms, lifetime = asyncio.run(stop_slow_process())
    assert lifetime.end is ProcessEnd.STOPPED
    assert lifetime.end_ms >= signalled_at_ms + EXIT_DELAY_MS
