"""The sub-command `linnetstile knowledge`: what relays know about partners, by gossip and from their own calls."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from .common import FILE, ExitCode, die

if TYPE_CHECKING:
    from ..as2_relay.gossip_document import ClaimModel, GossipDocument

TIMEOUT_S = 5.0
OK_STATUS = 200
WHY_NO_DOCUMENT = {403: "the token does not match the relay's", 404: "the relay has no knowledge.token_file"}
TABLE_HEAD = (
    f"{'partner':<24} {'is':<16} {'answered':>9} {'failed':>9} {'wait':>7} {'mean ms':>7} {'dev':>6} {'knowers':>7}"
)
IMPORT_HELP = """Copy FILE (from `export`) to SNAPSHOT_FILE, the knowledge.snapshot of a stopped relay. The age of a
snapshot counts from when it was written; a relay distrusts what is too old when it starts.
"""

TOKEN = click.option("--token-file", type=FILE, help="File with the relays' token (their knowledge.token_file).")


@click.group(
    help="What a relay knows about its partners: show it, compare two relays, export it, import it into another."
)
def command() -> None:
    """Show, compare, export and import what a relay knows."""


def fetch(address: str, token_file: Path | None, target: str = "/knowledge?look=1") -> bytes:
    """Return the body of a running relay's answer, or exit with an error."""
    from ..as2_relay.gossip_document import MAX_DOCUMENT_BYTES
    from ..codec import http1
    from ..config.relay import require_loopback, split_address
    from ..net import client

    try:
        require_loopback(address)
    except ValueError as error:
        die(ExitCode.BAD_INPUT, f"{address}: {error}")
    token = token_file.read_text(encoding="utf-8").strip() if token_file else ""

    data = http1.encode_request("GET", target, [("Host", address), ("Authorization", f"Bearer {token}")])
    answer = asyncio.run(
        client.call_once(
            split_address(address), "GET", data, TIMEOUT_S, http1.Limits(max_body_bytes=MAX_DOCUMENT_BYTES)
        )
    )
    if answer.head is None:
        die(ExitCode.NOT_STARTED, f"{address}: no answer: {answer.wire_result.value}")
    status = answer.head.status
    if status != OK_STATUS:
        die(ExitCode.NEGATIVE, f"{address}: status {status}: {WHY_NO_DOCUMENT.get(status, 'no document')}")
    return answer.body


def load_document(source: str, token_file: Path | None) -> GossipDocument:
    """Return the document of a file or of the relay at an address, or exit with an error."""
    from ..as2_relay.gossip_document import parse
    from ..as2_relay.gossip_snapshot import load

    try:
        return load(Path(source)) if Path(source).exists() else parse(fetch(source, token_file))
    except ValueError as error:
        die(ExitCode.BAD_INPUT, f"{source}: {error}")


def _seconds(ms: float | None) -> str:
    return "-" if ms is None else f"{ms / 1000:.1f} s"


def _health(claim: ClaimModel) -> str:
    """Return how the table shows a partner: "out" (ejected), "cold" (warming up) or "well" (healthy)."""
    if claim.out_age is not None:
        return "out"
    return "cold" if claim.cold_age is not None else "well"


def _health_with_age(claim: ClaimModel) -> str:
    health = _health(claim)
    age_ms = claim.out_age if claim.out_age is not None else claim.cold_age
    return health if age_ms is None else f"{health} for {_seconds(age_ms)}"


def _route_name(partner: str, route: int) -> str:
    return partner if route < 0 else f"{partner}/{route}"


def _table_row(claim: ClaimModel) -> str:
    return (
        f"{_route_name(claim.partner, claim.route):<24} {_health_with_age(claim):<16} "
        f"{_seconds(claim.answered_age):>9} {_seconds(claim.failed_age):>9} "
        f"{_seconds(claim.wait_ms or None):>7} {claim.mean_ms:>7.0f} {claim.dev_ms:>6.0f} {claim.knowers:>7.1f}"
    )


def _ejected_first(claim: ClaimModel) -> tuple[bool, bool, str, int]:
    """Return the sort key of the table: ejected partners, then those that are warming up, then the others."""
    return claim.out_age is None, claim.cold_age is None, claim.partner, claim.route


@command.command(help="Show what RELAY (an address or a file) knows about each partner, with ages as of now.")
@click.argument("relay")
@TOKEN
@click.option("--json", "as_json", is_flag=True)
def show(relay: str, token_file: Path | None, as_json: bool) -> None:
    """Show what a relay knows, the ejected partners first."""
    document = load_document(relay, token_file)
    if as_json:
        click.echo(document.model_dump_json(indent=1))
        return
    click.echo(
        f"{document.relay} (run {document.run}), version {document.version}, one of {document.relays} relays, "
        f"peers heard: {', '.join(document.peers) or 'none'}"
    )
    click.echo(TABLE_HEAD)
    for claim in sorted(document.claims, key=_ejected_first):
        click.echo(_table_row(claim))


@command.command(
    help="Show as JSON what RELAY (an address) learned by gossip: its source and age, what was distrusted and why."
)
@click.argument("relay")
@TOKEN
def learned(relay: str, token_file: Path | None) -> None:
    """Show what a relay learned by gossip."""
    click.echo(json.dumps(json.loads(fetch(relay, token_file, "/knowledge/state")), indent=1))


DIFF_HELP = (
    "Show where the knowledge of two relays (addresses or files) differs. Exit code 1 if they differ in which "
    "partners are ejected (out) or warming up (cold)."
)


@command.command(help=DIFF_HELP)
@click.argument("one")
@click.argument("other")
@TOKEN
def diff(one: str, other: str, token_file: Path | None) -> None:
    """Show where the knowledge of two relays differs."""
    health = [
        {(claim.partner, claim.route): _health(claim) for claim in load_document(source, token_file).claims}
        for source in (one, other)
    ]
    health_differs = False
    for partner, route in sorted(health[0].keys() | health[1].keys()):
        left, right = (side.get((partner, route), "unknown") for side in health)
        if left != right:
            health_differs = health_differs or not {"out", "cold"}.isdisjoint((left, right))
            click.echo(f"{_route_name(partner, route)}: {left} | {right}")
    sys.exit(ExitCode.NEGATIVE if health_differs else ExitCode.OK)


@command.command(help="Write what RELAY knows to FILE, as a snapshot that `import` and a relay's start can read.")
@click.argument("relay")
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@TOKEN
def export(relay: str, file: Path, token_file: Path | None) -> None:
    """Write what a relay knows to a snapshot."""
    from ..storage import snapshot

    document = load_document(relay, token_file)
    try:
        snapshot.write(file, json.loads(document.model_dump_json()))
    except OSError as error:
        die(ExitCode.NOT_STARTED, f"{file}: can't be written: {error.strerror}")
    click.echo(f"{file}: {len(document.claims)} claims of {document.relay}")


@command.command("import", help=IMPORT_HELP)
@click.argument("file", type=FILE)
@click.argument("snapshot_file", type=click.Path(dir_okay=False, path_type=Path))
def import_(file: Path, snapshot_file: Path) -> None:
    """Put a snapshot where a relay reads it at its start."""
    from ..as2_relay.gossip_document import parse
    from ..storage import snapshot

    try:
        payload, age_ms = snapshot.read(file)
        parse(payload)
        if age_ms is None:
            raise ValueError(
                "its age is unknown: its header has no valid time, or the clock was set back after it was written"
            )
    except (snapshot.SnapshotError, ValueError) as error:
        die(ExitCode.BAD_INPUT, f"{file}: {error}")
    data = file.read_bytes()
    new_file = snapshot_file.with_name(snapshot_file.name + ".new")
    try:
        new_file.write_bytes(data)
        new_file.replace(snapshot_file)
    except OSError as error:
        die(ExitCode.NOT_STARTED, f"{snapshot_file}: can't be written: {error.strerror}")
    click.echo(f"{snapshot_file}: {len(payload['claims'])} claims, {age_ms / 1000:.0f} s old")
