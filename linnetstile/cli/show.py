"""The sub-command `linnetstile show connections|queues|slow|metrics`: the state of a running relay."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from .common import ExitCode, die

TIMEOUT_S = 5.0
OK_STATUS = 200
MAX_COLUMN_WIDTH = 44
DEFAULT_ROWS = 40

SOCKET = click.argument("socket", type=click.Path(path_type=Path))
JSON = click.option("--json", "as_json", is_flag=True, help="The JSON document of the admin socket.")
ROWS = click.option("--rows", default=DEFAULT_ROWS, show_default=True)

# Titles of the columns -> keys of the rows.
CONNECTION_COLUMNS = {
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
}
TENANT_COLUMNS = {
    "tree": "tree",
    "party": "party",
    "bytes": "bytes",
    "fair": "fair_bytes",
    "messages": "messages",
    "of": "fair_messages",
    "waiting": "waiting",
    "weight": "weight",
}
QUEUE_COLUMNS = {"partner": "partner", "queued": "queued", "out": "out"}
SLOW_COLUMNS = {
    "partner": "partner",
    "slow for s": "slow_s",
    "slot ms": "slot_ms",
    "out": "out",
    "times": "entered",
    "why": "why",
}


@click.group(help="The state of a running relay, read from its admin socket (the `admin` setting).")
def command() -> None:
    """Show the state of a running relay."""


def fetch(socket: Path, target: str) -> bytes:
    """Return the answer of a relay's admin socket, or exit with an error."""
    from ..codec import http1
    from ..net import client

    data = http1.encode_request("GET", f"/{target}", [("Host", "admin")])
    answer = asyncio.run(client.call_once(str(socket), "GET", data, TIMEOUT_S))
    if answer.head is None:
        die(ExitCode.NOT_STARTED, f"{socket}: no relay answers on this socket: {answer.wire_result.value}")
    if answer.head.status != OK_STATUS:
        die(ExitCode.NEGATIVE, f"{socket}: status {answer.head.status}: {answer.body.decode(errors='replace').strip()}")
    return answer.body


def fetch_document(socket: Path, target: str, as_json: bool) -> dict[str, Any] | None:
    """Return a JSON document of the admin socket; with `as_json`, print it unchanged and return None."""
    body = fetch(socket, target)
    if as_json:
        click.echo(body.decode())
        return None
    document: dict[str, Any] = json.loads(body)
    return document


def _printable(value: object) -> str:
    """Replace control characters, which could harm the terminal: peers choose some of the shown names."""
    return "".join(character if character.isprintable() else "?" for character in str(value))


def print_table(rows: Sequence[dict[str, Any]], columns: dict[str, str], max_rows: int) -> None:
    """Print columns as wide as their widest cell.

    Args:
        rows: The rows of the document.
        columns: Title and key of each column.
        max_rows: Rows to print.
    """
    if not rows:
        click.echo("none")
        return
    lines = [list(columns)]
    for row in rows[:max_rows]:
        lines.append([_printable("-" if row[key] is None else row[key]) for key in columns.values()])
    widths = [min(MAX_COLUMN_WIDTH, max(len(line[column]) for line in lines)) for column in range(len(columns))]
    for line in lines:
        cells = [cell[:MAX_COLUMN_WIDTH].ljust(width) for cell, width in zip(line, widths, strict=True)]
        click.echo("  ".join(cells).rstrip())


CONNECTIONS_HELP = (
    "Each connection: its peer, its phase and the time in that phase. Patience is the fraction of limits.stall_ms that "
    "is left before a connection below its minimum rate is evicted."
)


@command.command(help=CONNECTIONS_HELP)
@SOCKET
@JSON
@click.option("--phase", help="Show only the connections in this phase.")
@ROWS
def connections(socket: Path, as_json: bool, phase: str | None, rows: int) -> None:
    """Show the connections."""
    document = fetch_document(socket, "connections", as_json)
    if document is None:
        return
    counts = ", ".join(f"{name} {count}" for name, count in document["phases"].items()) or "none"
    click.echo(f"{document['relay']}: {document['total']} connections (clients at most {document['bound']}): {counts}")
    shown = [row for row in document["rows"] if phase in (None, row["phase"])]
    print_table(shown, CONNECTION_COLUMNS, rows)


@command.command(help="Capacity in use and the fair share, by sender and by partner, and the queue of each partner.")
@SOCKET
@JSON
@ROWS
def queues(socket: Path, as_json: bool, rows: int) -> None:
    """Show the capacity in use and the queues."""
    document = fetch_document(socket, "queues", as_json)
    if document is None:
        return
    capacity = document["room"]
    click.echo(
        f"{document['relay']}: {capacity['held_bytes']} of {capacity['bytes']} bytes, "
        f"{capacity['held_messages']} of {capacity['messages']} messages, "
        f"{capacity['slots_out']} of {capacity['slots']} slots; "
        f"{capacity['waiting']} requests wait for capacity"
    )
    print_table(document["parties"], TENANT_COLUMNS, rows)
    click.echo()
    print_table(document["partners"], QUEUE_COLUMNS, rows)


@command.command(help="Partners by slot time, the slow ones first, and why they count as slow.")
@SOCKET
@JSON
@ROWS
def slow(socket: Path, as_json: bool, rows: int) -> None:
    """Show the slow partners."""
    document = fetch_document(socket, "slow", as_json)
    if document is None:
        return
    count = sum(row["slow_s"] is not None for row in document["rows"])
    click.echo(
        f"{document['relay']}: {count} of {document['total']} partners slow; usual slot time {document['usual_ms']} ms"
    )
    print_table(document["rows"], SLOW_COLUMNS, rows)


@command.command(help="The metrics of the relay in the Prometheus text format, as a scraper reads them.")
@SOCKET
def metrics(socket: Path) -> None:
    """Show the metrics."""
    click.echo(fetch(socket, "metrics").decode(), nl=False)
