"""linnetstile show connections|queues|slow|metrics"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import click

from .common import die


@click.group()
def command() -> None:
    """What a running relay holds, read from its admin socket (the `admin` setting)."""


def fetch(socket: Path, target: str) -> bytes:
    """The answer of a relay's admin socket."""
    from ..codec import http1
    from ..net import client

    data = http1.request("GET", f"/{target}", [("Host", "admin")])
    answer = asyncio.run(client.once(str(socket), "GET", data, 5.0))
    if answer.head is None:
        die(3, f"{socket}: no relay answers there: {answer.sight.value}")
    if answer.head.status != 200:
        die(1, f"{socket}: {answer.head.status}: {answer.body.decode(errors='replace').strip()}")
    return answer.body


SOCKET = click.argument("socket", type=click.Path(path_type=Path))
JSON = click.option("--json", "as_json", is_flag=True, help="As it came.")


def clean(text: Any) -> str:
    """Guards the terminal against control characters in names that peers chose."""
    return "".join(c if c.isprintable() else "?" for c in str(text))


def table(rows: list[dict[str, Any]], columns: dict[str, str], most: int) -> None:
    """Columns as `{title: key}`, as wide as their widest."""
    if not rows:
        click.echo("none")
        return
    cells = [list(columns)] + [
        [clean("-" if row[key] is None else row[key]) for key in columns.values()] for row in rows[:most]
    ]
    widths = [min(44, max(len(line[n]) for line in cells)) for n in range(len(columns))]
    for line in cells:
        click.echo("  ".join(cell[:44].ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip())


def document(socket: Path, what: str, as_json: bool) -> dict[str, Any] | None:
    body = fetch(socket, what)
    if as_json:
        click.echo(body.decode())
        return None
    found: dict[str, Any] = json.loads(body)
    return found


@command.command()
@SOCKET
@JSON
@click.option("--phase", help="Only those at this phase.")
@click.option("--rows", default=40, show_default=True)
def connections(socket: Path, as_json: bool, phase: str | None, rows: int) -> None:
    """Each connection: who, at what, for how long. Patience is what its least rate has left of limits.stall_ms."""
    found = document(socket, "connections", as_json)
    if found is None:
        return
    counts = ", ".join(f"{name} {count}" for name, count in found["phases"].items()) or "none"
    click.echo(f"{found['relay']}: {found['total']} connections (clients at most {found['bound']}): {counts}")
    table(
        [row for row in found["rows"] if phase in (None, row["phase"])],
        {
            "side": "side",
            "peer": "peer",
            "phase": "phase",
            "for s": "phase_s",
            "read": "read",
            "unsent": "unsent",
            "patience": "patience",
            "sender": "sender",
            "partner": "partner",
            "message": "message",
        },
        rows,
    )


@command.command()
@SOCKET
@JSON
@click.option("--rows", default=40, show_default=True)
def queues(socket: Path, as_json: bool, rows: int) -> None:
    """Who holds how much of the room and what the fair part is, and what waits for each partner."""
    found = document(socket, "queues", as_json)
    if found is None:
        return
    room = found["room"]
    click.echo(
        f"{found['relay']}: {room['held_bytes']} of {room['bytes']} bytes, {room['held_messages']} of "
        f"{room['messages']} messages, {room['slots_out']} of {room['slots']} slots; "
        f"{room['waiting']} requests wait for room"
    )
    table(
        found["parties"],
        {
            "tree": "tree",
            "party": "party",
            "bytes": "bytes",
            "fair": "fair_bytes",
            "messages": "messages",
            "of": "fair_messages",
            "waiting": "waiting",
            "weight": "weight",
        },
        rows,
    )
    click.echo()
    table(found["partners"], {"partner": "partner", "queued": "queued", "out": "out"}, rows)


@command.command()
@SOCKET
@JSON
@click.option("--rows", default=40, show_default=True)
def slow(socket: Path, as_json: bool, rows: int) -> None:
    """Partners by slot time, the slow ones first, and why they count as slow."""
    found = document(socket, "slow", as_json)
    if found is None:
        return
    count = sum(row["slow_s"] is not None for row in found["rows"])
    click.echo(
        f"{found['relay']}: {count} of {found['total']} partners slow; {found['usual_ms']} ms of slot time are usual"
    )
    table(
        found["rows"],
        {
            "partner": "partner",
            "slow for s": "slow_s",
            "slot ms": "slot_ms",
            "out": "out",
            "times": "entered",
            "why": "why",
        },
        rows,
    )


@command.command()
@SOCKET
def metrics(socket: Path) -> None:
    """The page that a scraper reads, in the Prometheus text format."""
    click.echo(fetch(socket, "metrics").decode(), nl=False)
