"""The process of a platform relay: signals, the log on standard error, exit codes."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import sys
import time
import traceback
from collections import Counter
from pathlib import Path
from typing import Any

from ..errors import ConfigError
from ..net.periodic_timers import PeriodicTimers
from . import counters, log_events, process_memory
from .config import RelaySettings, load
from .relay import PlatformRelay

STATS_INTERVAL_S = 5.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_BAD_CONFIG = 2
EXIT_CANNOT_START = 3
BYTES_PER_KIB = 1024
BYTES_PER_MIB = 1024 * 1024


def log(event: str, **fields: object) -> None:
    """Write a log event to standard error as one line of JSON. Write errors are ignored."""
    try:
        sys.stderr.write(json.dumps({"at": round(time.time(), 3), "event": event, **fields}) + "\n")
        sys.stderr.flush()
    except (OSError, ValueError):
        pass


class StatsReporter:
    """Logs the state of the relay every `STATS_INTERVAL_S`, so that operators can compare it with the traffic.

    The names of the fields are part of the log's format; docs/operate/node.md explains them.
    """

    def __init__(self, relay: PlatformRelay) -> None:
        self._relay = relay
        self._last_cpu_s = time.process_time()
        self._last_counts: dict[str, int] = {}
        self._due_at = relay.loop.time() + STATS_INTERVAL_S  # loop time, s
        self._timers = PeriodicTimers()
        self._timers.run_every(STATS_INTERVAL_S * 1000, self._report)

    def _report(self) -> None:
        cpu_s = time.process_time()
        now = self._relay.loop.time()
        delay_s = now - self._due_at
        self._due_at = now + STATS_INTERVAL_S
        counts = dict(self._relay.counts)
        log(
            log_events.STATS,
            cpu=round(cpu_s - self._last_cpu_s, 2),
            late_ms=round(delay_s * 1000, 1),
            **self._current_state(),
            memory_mb=process_memory.peak_bytes() // BYTES_PER_MIB,
            resident_mb=process_memory.resident_bytes() // BYTES_PER_MIB,
            **self._held_memory(),
            since=self._increases(counts),
            **self._counts_by_part(),
        )
        self._last_cpu_s = cpu_s
        self._last_counts = counts

    def _current_state(self) -> dict[str, int]:
        """Return the current numbers of messages, attempts, connections and ejected routes, and the journal's size."""
        relay = self._relay
        routes = [route for routes in relay.engine.routes.values() for route in routes.values()]
        return {
            "held": len(relay.accepted),
            "busy": relay.engine.in_flight,
            "notices": len(relay.reporter.pending_notices),
            "clients": len(relay.frontend.server.connections),
            "bad": relay.frontend.bad_requests,
            "calls": len(relay.endpoint_client.pool.connections),
            "idle": relay.endpoint_client.pool.idle_count,
            "sick": sum(route.health.ejected for route in routes),
            "journal": relay.journal.size,
        }

    def _held_memory(self) -> dict[str, int]:
        """Return what the parts that strangers can fill hold in memory, in KiB."""
        relay = self._relay
        return {
            "input_kb": relay.frontend.server.input_memory.total_bytes // BYTES_PER_KIB,
            "messages_kb": relay.held_memory_bytes() // BYTES_PER_KIB,
            "ended_ids": len(relay.accepted.submission_ids.ended),
        }

    def _increases(self, counts: dict[str, int]) -> dict[str, int]:
        """Return the increase of each counter since the last report; counters without an increase are left out."""
        last = self._last_counts
        return {name: count - last.get(name, 0) for name, count in counts.items() if count != last.get(name, 0)}

    def _counts_by_part(self) -> dict[str, dict[str, int]]:
        """Return the counters that the parts of the relay maintain."""
        relay = self._relay
        return {
            "watch": {
                "opened": relay.watch.watches_opened,
                "garbled": relay.watch.lists_rejected,
                "skipped": relay.directory.skipped_entry_count,
                "endpoints": len(relay.directory),
            },
            "front": relay.frontend.server.counts,
            "pool": relay.endpoint_client.pool.counts,
        }


def reload(relay: PlatformRelay) -> None:
    """Read the configuration file again after a SIGHUP; an invalid file is logged and otherwise ignored."""
    try:
        settings = load(os.environ)
    except ConfigError as error:
        log(log_events.CONFIG_REJECTED, why=str(error))
        return
    if settings.discovery != relay.watch.address:
        relay.move_discovery(settings.discovery)
    current = relay.settings
    if settings.engine_settings != current.engine_settings or settings.listen != current.listen:
        log(log_events.CONFIG_CHANGE_DEFERRED, why="settings and listen take effect at the next start")


class _EarlySignals:
    """Records the loop times (s) of signals that arrive before the relay has started."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._received_at: dict[int, float] = {}
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            self._loop.add_signal_handler(number, self._record, number)

    def _record(self, number: int) -> None:
        self._received_at.setdefault(number, self._loop.time())

    def pass_to(self, relay: PlatformRelay) -> None:
        """Let the relay handle the signals that have arrived already, and all later ones."""
        for number in STOP_SIGNALS:
            self._loop.add_signal_handler(number, relay.begin_shutdown)
        self._loop.add_signal_handler(signal.SIGHUP, reload, relay)
        if signal.SIGHUP in self._received_at:
            reload(relay)
        stopped_at = [self._received_at[number] for number in STOP_SIGNALS if number in self._received_at]
        if stopped_at:
            relay.begin_shutdown(min(stopped_at))  # the platform kills the process a fixed time after the first one


def _load_settings() -> RelaySettings | None:
    try:
        return load(os.environ)
    except ConfigError as error:
        print(f"linnetstile node: {error}", file=sys.stderr)
        return None


async def _start(settings: RelaySettings) -> PlatformRelay | None:
    try:
        relay = PlatformRelay(settings, log)
        _report_faults(relay.counts)
        del settings  # a reference here would keep the cached endpoint list in memory after `start` drops it
        await relay.start()
    except OSError as error:
        print(f"linnetstile node: can't start: {error}", file=sys.stderr)
        return None
    return relay


def _report_faults(counts: Counter[str]) -> None:
    """Log and count every exception that reaches the event loop; docs/design/faults.md has what each of them ends."""

    def on_fault(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        counts[counters.FAULTS] += 1
        error = context.get("exception")
        log(log_events.FAULT, why=context.get("message", ""), error=repr(error), at_line=_raised_at(error))

    asyncio.get_running_loop().set_exception_handler(on_fault)


def _raised_at(error: BaseException | None) -> str:
    """Return the file and the line that raised an exception; empty if that is not known."""
    frames = traceback.extract_tb(error.__traceback__) if error is not None else None
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""


async def run() -> int:
    """Run one relay until a signal ends it; return the process's exit code."""
    early_signals = _EarlySignals()
    settings = _load_settings()
    if settings is None:
        return EXIT_BAD_CONFIG
    starting = _start(settings)
    del settings  # a reference here would keep the cached endpoint list in memory, too
    relay = await starting
    if relay is None:
        return EXIT_CANNOT_START
    early_signals.pass_to(relay)
    gc.collect()
    gc.freeze()  # most objects created at the start live as long as the process, so collections skip them
    StatsReporter(relay)
    await relay.shutdown.stopped.wait()
    log(log_events.STOPPED, held=len(relay.accepted), notices=len(relay.reporter.pending_notices))
    relay.close()
    await asyncio.sleep(0)
    return 0


def main() -> int:
    """Run one relay; return the process's exit code."""
    return asyncio.run(run())
