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

from .config import ConfigError, load
from .relay import PlatformRelay

STATS_INTERVAL_S = 5.0


def log(event: str, **fields: object) -> None:
    """One JSON object a line; a log that can't be written stops nothing."""
    try:
        sys.stderr.write(json.dumps({"at": round(time.time(), 3), "event": event, **fields}) + "\n")
        sys.stderr.flush()
    except (OSError, ValueError):
        pass


class StatsReporter:
    """What the relay believes, every few seconds: to hold against the traffic."""

    def __init__(self, relay: PlatformRelay) -> None:
        self.relay = relay
        self.last_cpu_s = time.process_time()
        self.last_counts: dict[str, int] = {}
        self.due_at = relay.loop.time() + STATS_INTERVAL_S
        relay.loop.call_at(self.due_at, self._tell)

    def _tell(self) -> None:
        relay = self.relay
        cpu, late = time.process_time(), relay.loop.time() - self.due_at
        counts = dict(relay.counts)
        routes = [route for routes in relay.engine.routes.values() for route in routes.values()]
        log(
            "stats",
            cpu=round(cpu - self.last_cpu_s, 2),
            late_ms=round(late * 1000, 1),
            held=len(relay.accepted),
            busy=relay.engine.in_flight,
            notices=len(relay.pending_notices),
            clients=len(relay.frontend.server.open),
            bad=relay.frontend.bad_requests,
            calls=len(relay.endpoint_client.pool.open),
            idle=relay.endpoint_client.pool.resting,
            sick=sum(route.ejected for route in routes),
            journal=relay.journal.size,
            memory_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss >> 10,
            since={k: v - self.last_counts.get(k, 0) for k, v in counts.items() if v != self.last_counts.get(k, 0)},
            watch={
                "opened": relay.watch.watches_opened,
                "garbled": relay.watch.lists_rejected,
                "skipped": relay.directory.skipped_entries,
                "endpoints": len(relay.directory),
            },
            front=relay.frontend.server.counts,
            pool=relay.endpoint_client.pool.counts,
        )
        self.last_cpu_s, self.last_counts = cpu, counts
        self.due_at = relay.loop.time() + STATS_INTERVAL_S
        relay.loop.call_at(self.due_at, self._tell)


def reload(relay: PlatformRelay) -> None:
    """SIGHUP: the configuration file is read again; one that can't be used leaves all as it was."""
    try:
        settings = load(os.environ)
    except ConfigError as error:
        log("config_refused", why=str(error))
        return
    if settings.discovery != relay.watch.address:
        relay.move_discovery(settings.discovery)
    if settings.engine_settings != relay.settings.engine_settings or settings.listen != relay.settings.listen:
        log("config_waits", why="settings and listen take effect at the next start")


async def run() -> int:
    loop = asyncio.get_running_loop()
    pending: dict[int, float] = {}  # signals that come during the start, and when

    def came(number: int) -> None:
        pending.setdefault(number, loop.time())

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, came, number)
    try:
        settings = load(os.environ)
    except ConfigError as error:
        print(f"linnetstile node: {error}", file=sys.stderr)
        return 2
    try:
        relay = PlatformRelay(settings, log)
        del settings  # it holds the known list, which the relay lets go of
        await relay.start()
    except OSError as error:
        print(f"linnetstile node: can't start: {error}", file=sys.stderr)
        return 3
    # What no caller sees: a fault in a callback. The message it was about is owed, and its deadline ends it.
    loop.set_exception_handler(
        lambda _, told: log("fault", why=told.get("message", ""), error=repr(told.get("exception")))
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, relay.begin_shutdown)
    loop.add_signal_handler(signal.SIGHUP, reload, relay)
    if signal.SIGHUP in pending:
        reload(relay)
    told = [pending[number] for number in (signal.SIGTERM, signal.SIGINT) if number in pending]
    if told:
        relay.begin_shutdown(min(told))  # the platform's time to the kill counts from there
    gc.collect()
    gc.freeze()  # what a start made stays: collections look at what came since
    StatsReporter(relay)
    await relay.stopped.wait()
    log("ends", held=len(relay.accepted), notices=len(relay.pending_notices))
    relay.close()
    await asyncio.sleep(0)
    return 0


def main() -> int:
    return asyncio.run(run())
