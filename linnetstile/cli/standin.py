"""The sub-command `linnetstile standin partner|register|client`: runs an emulator."""

from __future__ import annotations

import asyncio
import json
import math
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import click

from .common import FILE, load_settings


@click.group(
    help="Run an emulator from a settings file (YAML). Each prints its ports in one JSON line and ends on SIGTERM. "
    "With `t0_ms: .inf` it then reads the start of its script (ms by the clock of the run) from standard input."
)
def command() -> None:
    """Run an emulator from its settings file."""


async def _await_script_start(start_ms: float | None, start_script: Callable[[float], None]) -> None:
    """If the settings leave the start of the script open, read it from a line of standard input."""
    if start_ms is not None and math.isinf(start_ms):
        start_script(float(await asyncio.to_thread(sys.stdin.readline)))


async def _until_stopped() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    await stop.wait()


@command.command(help="Partners with endpoints, limits, an effects ledger and scripted faults.")
@click.argument("file", type=FILE)
def partner(file: Path) -> None:
    """Run the partner emulator."""
    from ..emulators.partner import PartnerEmulator, PartnersSpec

    spec = load_settings(file, PartnersSpec)

    async def run() -> None:
        emulator = PartnerEmulator(spec)
        click.echo(json.dumps({"ports": await emulator.start()}))
        await _await_script_start(spec.t0_ms, emulator.start_script)
        await _until_stopped()
        emulator.close()
        await asyncio.sleep(0)  # lets the ends of its connections be recorded before the loop stops

    asyncio.run(run())


@command.command(help="The partner registry: the full list and a watch on changes.")
@click.argument("file", type=FILE)
def register(file: Path) -> None:
    """Run the registry emulator."""
    from ..emulators.registry import RegistryEmulator, RegistrySpec

    spec = load_settings(file, RegistrySpec)

    async def run() -> None:
        emulator = RegistryEmulator(spec)
        click.echo(json.dumps({"port": await emulator.start()}))
        await _await_script_start(spec.t0_ms, emulator.start_script)
        await _until_stopped()
        emulator.close()

    asyncio.run(run())


@command.command(help="Clients that submit messages by a script drawn from a seed; ends when all are answered.")
@click.argument("file", type=FILE)
def client(file: Path) -> None:
    """Run the client emulator until its script has ended."""
    from ..emulators.client import ClientEmulator
    from ..emulators.client_settings import ClientSpec

    spec = load_settings(file, ClientSpec)

    async def run() -> None:
        emulator = ClientEmulator(spec)
        click.echo(json.dumps({"messages": len(emulator.script)}))
        await _await_script_start(spec.t0_ms, emulator.start_script)
        await emulator.run()

    asyncio.run(run())
