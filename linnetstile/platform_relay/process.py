"""The relay as the platform runs it: signals, the log on standard error, exit codes."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import resource
import signal
import sys
import time

from ..errors import ConfigError
from .config import RelaySettings, load
from .relay import PlatformRelay

STATS_INTERVAL_S = 5.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
EXIT_BAD_CONFIG, EXIT_CANNOT_START = 2, 3


def log(event: str, **fields: object) -> None:
    """Write one JSON object a line to standard error; a log that can't be written stops nothing."""
    try:
        sys.stderr.write(json.dumps({"at": round(time.time(), 3), "event": event, **fields}) + "\n")
        sys.stderr.flush()
    except (OSError, ValueError):
        pass


class StatsReporter:
    """Logs what the relay believes, every few seconds: to hold against the traffic."""

    def __init__(self, relay: PlatformRelay) -> None:
        self._relay = relay
        self._last_cpu_s = time.process_time()
        self._last_counts: dict[str, int] = {}
        self._due_at = 0.0  # loop time, s
        self._schedule()

    def _schedule(self) -> None:
        self._due_at = self._relay.loop.time() + STATS_INTERVAL_S
        self._relay.loop.call_at(self._due_at, self._report)

    def _report(self) -> None:
        cpu_s, delay_s = time.process_time(), self._relay.loop.time() - self._due_at
        counts = dict(self._relay.counts)
        log(
            "stats",
            cpu=round(cpu_s - self._last_cpu_s, 2),
            late_ms=round(delay_s * 1000, 1),
            **self._load(),
            memory_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss >> 10,
            since=self._increase(counts),
            **self._parts(),
        )
        self._last_cpu_s, self._last_counts = cpu_s, counts
        self._schedule()

    def _load(self) -> dict[str, int]:
        """Return how much of everything there is now."""
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

    def _increase(self, counts: dict[str, int]) -> dict[str, int]:
        last = self._last_counts
        return {name: count - last.get(name, 0) for name, count in counts.items() if count != last.get(name, 0)}

    def _parts(self) -> dict[str, dict[str, int]]:
        """Return what the parts of the relay count of their own."""
        relay = self._relay
        return {
            "watch": {
                "opened": relay.watch.watches_opened,
                "garbled": relay.watch.lists_rejected,
                "skipped": relay.directory.skipped_entries,
                "endpoints": len(relay.directory),
            },
            "front": relay.frontend.server.counts,
            "pool": relay.endpoint_client.pool.counts,
        }


def reload(relay: PlatformRelay) -> None:
    """Read the configuration file again after a SIGHUP; one that can't be used leaves all as it was."""
    try:
        settings = load(os.environ)
    except ConfigError as error:
        log("config_rejected", why=str(error))
        return
    if settings.discovery != relay.watch.address:
        relay.move_discovery(settings.discovery)
    current = relay.settings
    if settings.engine_settings != current.engine_settings or settings.listen != current.listen:
        log("config_change_deferred", why="settings and listen take effect at the next start")


class _EarlySignals:
    """Signals that come before the relay can act on them, and when (loop time, s)."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._received_at: dict[int, float] = {}
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            self._loop.add_signal_handler(number, self._record, number)

    def _record(self, number: int) -> None:
        self._received_at.setdefault(number, self._loop.time())

    def hand_over(self, relay: PlatformRelay) -> None:
        """From now on the relay acts on signals, and on those that came already."""
        for number in STOP_SIGNALS:
            self._loop.add_signal_handler(number, relay.begin_shutdown)
        self._loop.add_signal_handler(signal.SIGHUP, reload, relay)
        if signal.SIGHUP in self._received_at:
            reload(relay)
        stopped_at = [self._received_at[number] for number in STOP_SIGNALS if number in self._received_at]
        if stopped_at:
            relay.begin_shutdown(min(stopped_at))  # the platform's time to the kill counts from there


def _load_settings() -> RelaySettings | None:
    try:
        return load(os.environ)
    except ConfigError as error:
        print(f"linnetstile node: {error}", file=sys.stderr)
        return None


async def _start(settings: RelaySettings) -> PlatformRelay | None:
    try:
        relay = PlatformRelay(settings, log)
        del settings  # it holds the known list, which the relay lets go of
        await relay.start()
    except OSError as error:
        print(f"linnetstile node: can't start: {error}", file=sys.stderr)
        return None
    return relay


def _log_fault(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
    """Log what no caller sees: an error in a callback. Its message is owed, and its deadline ends it."""
    log("fault", why=context.get("message", ""), error=repr(context.get("exception")))


async def run() -> int:
    """Run one relay until a signal ends it; return the process's exit code."""
    early_signals = _EarlySignals()
    settings = _load_settings()
    if settings is None:
        return EXIT_BAD_CONFIG
    starting = _start(settings)
    del settings  # as in `_start`
    relay = await starting
    if relay is None:
        return EXIT_CANNOT_START
    asyncio.get_running_loop().set_exception_handler(_log_fault)
    early_signals.hand_over(relay)
    gc.collect()
    gc.freeze()  # what a start made stays: collections look at what came since
    StatsReporter(relay)
    await relay.shutdown.stopped.wait()
    log("stopped", held=len(relay.accepted), notices=len(relay.reporter.pending_notices))
    relay.close()
    await asyncio.sleep(0)
    return 0


def main() -> int:
    """Run one relay; return the process's exit code."""
    return asyncio.run(run())
