"""A relay as a process: signals, the line that tells its address, exit codes."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import sys
from pathlib import Path
from typing import Any

from ..config.relay import RelaySettings
from ..telemetry import log as names
from .receipts import Receipts
from .relay import As2Relay, load_keys


def fit_files(settings: RelaySettings, log: Any) -> RelaySettings:
    """Raises the soft limit on open files as far as it may; where that is not enough, fewer connections are taken than
    set: guards calls to partners, which a full listener would leave without descriptors."""
    need = settings.files_bound()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < need:
        soft = need if hard == resource.RLIM_INFINITY else min(need, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    if soft != resource.RLIM_INFINITY and soft < need:
        fewer = max(16, settings.limits.connections - (need - soft))
        log.warning(
            names.FILES,
            open_files_limit=soft,
            needed=need,
            connections=fewer,
            why=f"limits.connections is {settings.limits.connections}: raise the limit on open files, or lower it",
        )
        return settings.model_copy(update={"limits": settings.limits.model_copy(update={"connections": fewer})})
    return settings


def check_files(settings: RelaySettings) -> None:
    """Loads every key and certificate that the settings name, as a start does; raises OSError or ValueError."""
    Receipts(settings)
    load_keys(settings)


async def run(settings: RelaySettings, log: Any, ready: Path | None = None) -> int:
    """Runs until SIGTERM or SIGINT; a second one ends it at once. 0 = everything held was answered, 4 = not."""
    settings = fit_files(settings, log)
    try:
        service = As2Relay(settings, log)
        address = await service.start()
    except (OSError, ValueError) as error:
        log.error(names.FAULT, why=str(error))
        print(f"linnetstile relay: can't start: {error}", file=sys.stderr)
        return 3
    loop = asyncio.get_running_loop()
    # What no caller sees: a listener without descriptors (asyncio pauses it for a second), a fault in a callback.
    loop.set_exception_handler(
        lambda _, told: log.error(names.FAULT, why=told.get("message", ""), error=repr(told.get("exception")))
    )

    def stop() -> None:
        if service.stopping:
            service.stopped.set()
        service.stop()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    log.info(
        names.STARTED,
        address=address,
        slots=settings.limits.slots,
        hold=settings.limits.hold,
        memory_bound_mb=settings.memory_bound() >> 20,
        open_files_bound=settings.files_bound(),
    )
    line = json.dumps({"listening": address, "name": settings.name})
    if ready is not None:
        ready.write_text(line + "\n")
    print(line, flush=True)
    await service.stopped.wait()
    left = len(service.carried)
    service.close()
    await asyncio.sleep(0)
    log.info(names.STOPPED, unanswered=left, **service.counts)
    return 4 if left else 0
