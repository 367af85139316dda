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

STATS_S = 5.0


def log(event: str, **fields: object) -> None:
    """One JSON object a line; a log that can't be written stops nothing."""
    try:
        sys.stderr.write(json.dumps({"at": round(time.time(), 3), "event": event, **fields}) + "\n")
        sys.stderr.flush()
    except (OSError, ValueError):
        pass


class Stats:
    """What the relay believes, every few seconds: to hold against the traffic."""

    def __init__(self, node: PlatformRelay) -> None:
        self.node = node
        self.cpu = time.process_time()
        self.before: dict[str, int] = {}
        self.due = node.loop.time() + STATS_S
        node.loop.call_at(self.due, self._tell)

    def _tell(self) -> None:
        node = self.node
        cpu, late = time.process_time(), node.loop.time() - self.due
        counts = dict(node.counts)
        routes = [route for routes in node.relay.routes.values() for route in routes.values()]
        log(
            "stats",
            cpu=round(cpu - self.cpu, 2),
            late_ms=round(late * 1000, 1),
            held=len(node.carried),
            busy=node.relay.in_flight,
            notices=len(node.owed),
            clients=len(node.front.server.open),
            bad=node.front.bad,
            calls=len(node.calls.pool.open),
            idle=node.calls.pool.resting,
            sick=sum(route.health.ejected for route in routes),
            journal=node.journal.size,
            memory_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss >> 10,
            since={k: v - self.before.get(k, 0) for k, v in counts.items() if v != self.before.get(k, 0)},
            watch={
                "opened": node.watch.opened,
                "garbled": node.watch.spoilt,
                "skipped": node.directory.skipped,
                "endpoints": len(node.directory),
            },
            front=node.front.server.counts,
            pool=node.calls.pool.counts,
        )
        self.cpu, self.before = cpu, counts
        self.due = node.loop.time() + STATS_S
        node.loop.call_at(self.due, self._tell)


def reload(node: PlatformRelay) -> None:
    """SIGHUP: the configuration file is read again; one that can't be used leaves all as it was."""
    try:
        settings = load(os.environ)
    except ConfigError as error:
        log("config_refused", why=str(error))
        return
    if settings.discovery != node.watch.where:
        node.move(settings.discovery)
    if settings.module != node.s.module or settings.listen != node.s.listen:
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
        node = PlatformRelay(settings, log)
        del settings  # it holds the known list, which the relay lets go of
        await node.start()
    except OSError as error:
        print(f"linnetstile node: can't start: {error}", file=sys.stderr)
        return 3
    # What no caller sees: a fault in a callback. The message it was about is owed, and its deadline ends it.
    loop.set_exception_handler(
        lambda _, told: log("fault", why=told.get("message", ""), error=repr(told.get("exception")))
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.leave)
    loop.add_signal_handler(signal.SIGHUP, reload, node)
    if signal.SIGHUP in pending:
        reload(node)
    told = [pending[number] for number in (signal.SIGTERM, signal.SIGINT) if number in pending]
    if told:
        node.leave(min(told))  # the platform's time to the kill counts from there
    gc.collect()
    gc.freeze()  # what a start made stays: collections look at what came since
    Stats(node)
    await node.over.wait()
    log("ends", held=len(node.carried), notices=len(node.owed))
    node.close()
    await asyncio.sleep(0)
    return 0


def main() -> int:
    return asyncio.run(run())
