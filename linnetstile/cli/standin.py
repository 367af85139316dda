"""linnetstile standin partner|register|client"""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import click

from .common import FILE, settings


@click.group()
def command() -> None:
    """Run a stand-in from a spec file (YAML). Each tells its ports in one JSON line and ends on SIGTERM."""


async def _until_stopped() -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()


@command.command()
@click.argument("file", type=FILE)
def partner(file: Path) -> None:
    """Partners with endpoints, limits, an effects ledger and scripted faults."""
    from ..emulators.partner import PartnersSpec, Stand

    spec = settings(file, PartnersSpec)

    async def run() -> None:
        stand = Stand(spec)
        click.echo(json.dumps({"ports": await stand.start()}))
        await _until_stopped()
        stand.close()
        await asyncio.sleep(0)  # what the end of its connections shows goes into the record

    asyncio.run(run())


@command.command()
@click.argument("file", type=FILE)
def register(file: Path) -> None:
    """The partner register: a whole list and a watch on changes."""
    from ..emulators.registry import RegisterSpec, RegisterStand

    spec = settings(file, RegisterSpec)

    async def run() -> None:
        stand = RegisterStand(spec)
        click.echo(json.dumps({"port": await stand.start()}))
        await _until_stopped()
        stand.close()

    asyncio.run(run())


@command.command()
@click.argument("file", type=FILE)
def client(file: Path) -> None:
    """Clients that hand messages in by a script drawn from a seed; ends when all are answered."""
    from ..emulators.client import ClientEmulator
    from ..emulators.client_settings import ClientSpec

    spec = settings(file, ClientSpec)

    async def run() -> None:
        stand = ClientEmulator(spec)
        click.echo(json.dumps({"messages": len(stand.script)}))
        await stand.run()

    asyncio.run(run())
