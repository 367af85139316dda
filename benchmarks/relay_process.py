"""An AS2 relay as a child process of a benchmark, with an optional profile.

`start_relay` starts it as `python -m benchmarks.relay_process SETTINGS PROFILE_FILE`.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from typing import IO, Any

from benchmarks.common import ChildProcess, announce, start_child

LOG_LEVEL_VARIABLE = "BENCH_LOG"
REGISTRY_POLL_S = 0.01
PROFILE_ROWS = 25


async def start_relay(settings: dict[str, Any], profile: str = "", log: IO[bytes] | None = None) -> ChildProcess:
    """Start a relay in a thread, as the event loop has to serve the registry that the relay reads.

    Args:
        settings: Settings of the relay.
        profile: File for a profile of the relay; empty for none.
        log: File for the relay's log.
    """
    return await asyncio.to_thread(start_child, "relay_process", json.dumps(settings), profile, log=log)


async def serve_relay(settings: str, profile: str) -> None:
    """Run a relay until SIGTERM, and write a profile of it if a file is given."""
    from linnetstile.as2_relay.relay import As2Relay
    from linnetstile.config.relay import RelaySettings
    from linnetstile.telemetry.log import create_logger

    log = create_logger(os.environ.get(LOG_LEVEL_VARIABLE, "warning"))
    relay = As2Relay(RelaySettings.model_validate_json(settings), log)
    address = await relay.start()
    while relay.registry.version < 0:  # noqa: ASYNC110 (the relay has no event for its first list)
        await asyncio.sleep(REGISTRY_POLL_S)
    announce(int(address.rpartition(":")[2]))
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    if profile:
        await profile_until(stopped, profile)
    else:
        await stopped.wait()
    relay.close()


async def profile_until(stopped: asyncio.Event, file_name: str) -> None:
    """Profile this process until `stopped` is set, and write the costliest functions to a file."""
    import cProfile
    import pstats

    profiler = cProfile.Profile()
    profiler.enable()
    await stopped.wait()
    profiler.disable()
    with open(file_name, "w", encoding="utf-8") as file:  # noqa: ASYNC230 (nothing is served at this point)
        pstats.Stats(profiler, stream=file).sort_stats("tottime").print_stats(PROFILE_ROWS)


if __name__ == "__main__":
    asyncio.run(serve_relay(sys.argv[1], sys.argv[2]))
