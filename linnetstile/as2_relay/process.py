"""Runs a relay as a process: signals, the line with its address on standard output, and exit codes."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from ..config.relay import RelaySettings
from ..telemetry import log_events
from ..telemetry.log import Logger
from .receipts import ReceiptIssuer, ReceiptVerifier
from .relay import As2Relay
from .tls_keys import TlsKeyStore

EXIT_OK = 0
EXIT_CANNOT_START = 3
EXIT_UNANSWERED = 4
MIN_CONNECTIONS = 16


def fit_to_open_files_limit(settings: RelaySettings, log: Logger) -> RelaySettings:
    """Raise the soft limit on open files up to the hard limit, and lower `limits.connections` if that is not enough.

    Without this, a listener with the maximum number of connections would leave no descriptors for calls to partners.
    """
    needed = settings.max_open_files()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < needed:
        soft = needed if hard == resource.RLIM_INFINITY else min(needed, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    if soft == resource.RLIM_INFINITY or soft >= needed:
        return settings
    connections = max(MIN_CONNECTIONS, settings.limits.connections - (needed - soft))
    log.warning(
        log_events.OPEN_FILES_LIMIT,
        open_files_limit=soft,
        needed=needed,
        connections=connections,
        why=f"limits.connections is {settings.limits.connections}: raise the limit on open files, or lower the setting",
    )
    limits = settings.limits.model_copy(update={"connections": connections})
    return settings.model_copy(update={"limits": limits})


def load_key_files(settings: RelaySettings) -> None:
    """Load every key and certificate that the settings name, as at a start; raises OSError or ValueError."""
    ReceiptVerifier(settings)
    ReceiptIssuer(settings)
    TlsKeyStore(settings)


async def run(settings: RelaySettings, log: Logger, ready_file: Path | None = None) -> int:
    """Run until a signal and return the exit code.

    The first SIGTERM or SIGINT starts a graceful shutdown; a second one ends the relay at once.

    Args:
        settings: Settings of the relay.
        log: Logger of the relay.
        ready_file: File to which the line with the address is also written.
    """
    settings = fit_to_open_files_limit(settings, log)
    try:
        relay = As2Relay(settings, log)
        address = await relay.start()
    except (OSError, ValueError) as error:
        log.error(log_events.FAULT, why=str(error))
        print(f"linnetstile relay: can't start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    _report_faults(log, relay.counts)
    _stop_on_signals(relay)
    log.info(
        log_events.STARTED,
        address=address,
        slots=settings.limits.slots,
        hold=settings.limits.hold,
        memory_bound_mb=settings.max_memory_bytes() >> 20,
        open_files_bound=settings.max_open_files(),
    )
    _write_address_line(address, settings.name, ready_file)
    await relay.stopped.wait()
    unanswered = len(relay.accepted)
    relay.close()
    await asyncio.sleep(0)
    log.info(log_events.STOPPED, unanswered=unanswered, **relay.counts)
    return EXIT_UNANSWERED if unanswered else EXIT_OK


def _report_faults(log: Logger, counts: Counter[str]) -> None:
    """Log and count errors that reach the event loop: a failed callback, or no descriptor left to accept a connection.

    In the latter case asyncio stops accepting connections for 1 s. docs/design/faults.md has what each of them ends.
    """

    def on_error(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        counts["faults"] += 1
        log.error(log_events.FAULT, why=context.get("message", ""), error=repr(context.get("exception")))

    asyncio.get_running_loop().set_exception_handler(on_error)


def _stop_on_signals(relay: As2Relay) -> None:
    def on_signal() -> None:
        if relay.is_stopping:
            relay.stopped.set()
        relay.stop()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, on_signal)


def _write_address_line(address: str, name: str, ready_file: Path | None) -> None:
    """Print the line with the relay's address, and write it to the file `ready_file` if that is given."""
    line = json.dumps({"listening": address, "name": name})
    if ready_file is not None:
        ready_file.write_text(line + "\n")
    print(line, flush=True)
