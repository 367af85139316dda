"""The child processes of a run: when the lifetime of one ends."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from linnetstile.emulators.record import now_ms
from linnetstile.testbed.processes import ManagedProcess, ProcessGroup
from linnetstile.testbed.relay_lifetime import ProcessEnd, RelayLifetime

END_DELAY_MS = 300
SLOW_TO_END = f"""
import signal, sys, time
def on_signal(*_):
    time.sleep({END_DELAY_MS} / 1000)
    sys.exit()
signal.signal(signal.SIGTERM, on_signal)
print("ready", flush=True)
time.sleep(60)
"""


def test_the_lifetime_of_a_process_ends_when_it_is_gone_and_not_with_the_signal(tmp_path: Path) -> None:
    async def end_slowly() -> tuple[float, RelayLifetime]:
        child = await asyncio.create_subprocess_exec(sys.executable, "-c", SLOW_TO_END, stdout=asyncio.subprocess.PIPE)
        assert child.stdout is not None
        await child.stdout.readline()
        group = ProcessGroup(tmp_path)
        group.lifetimes["r1"] = [RelayLifetime(start_ms=now_ms())]
        signalled_at_ms = now_ms()
        await group.stop(ManagedProcess("r1", child), ProcessEnd.STOPPED)
        return signalled_at_ms, group.lifetimes["r1"][-1]

    signalled_at_ms, lifetime = asyncio.run(end_slowly())
    assert lifetime.end is ProcessEnd.STOPPED
    assert lifetime.end_ms >= signalled_at_ms + END_DELAY_MS
