"""linnetstile knowledge show|diff|export|import"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import click

from .common import FILE, die


@click.group()
def command() -> None:
    """What a relay knows of its partners: look at it, compare two, keep it, give it to another."""


def fetch(address: str, token_file: Path | None, target: str = "/knowledge?look=1") -> bytes:
    """The body that a running relay answers."""
    from ..as2_relay.gossip import BODY_MAX
    from ..codec import http1
    from ..config.relay import loopback, split
    from ..net import client

    try:
        loopback(address)
    except ValueError as error:
        die(2, f"{address}: {error}")
    token = token_file.read_text(encoding="utf-8").strip() if token_file else ""

    data = http1.request("GET", target, [("Host", address), ("Authorization", f"Bearer {token}")])
    answer = asyncio.run(client.once(split(address), "GET", data, 5.0, http1.Limits(body=BODY_MAX)))
    if answer.head is None:
        die(3, f"{address}: no answer: {answer.sight.value}")
    if answer.head.status != 200:
        why = {403: "the token is not the relay's", 404: "the relay has no knowledge.token_file"}
        die(1, f"{address}: {answer.head.status}: {why.get(answer.head.status, 'no document')}")
    return answer.body


def source(text: str, token_file: Path | None) -> Any:
    """A file, or a relay's address."""
    from ..as2_relay.gossip import load, parse

    try:
        return load(Path(text)) if Path(text).exists() else parse(fetch(text, token_file))
    except ValueError as error:
        die(2, f"{text}: {error}")


def state(claim: Any) -> str:
    if claim.out_age is not None:
        return f"out for {claim.out_age / 1000:.1f} s"
    return f"cold for {claim.cold_age / 1000:.1f} s" if claim.cold_age is not None else "well"


def row(claim: Any) -> str:
    def age(ms: float | None) -> str:
        return "-" if ms is None else f"{ms / 1000:.1f} s"

    route = "" if claim.route < 0 else f"/{claim.route}"
    wait = f"{claim.wait_ms / 1000:.1f} s" if claim.wait_ms else "-"
    return (
        f"{claim.partner + route:<24} {state(claim):<16} {age(claim.answered_age):>9} {age(claim.failed_age):>9} "
        f"{wait:>7} {claim.mean_ms:>7.0f} {claim.dev_ms:>6.0f} {claim.knowers:>7.1f}"
    )


TOKEN = click.option("--token-file", type=FILE, help="The relays' knowledge.token_file.")


@command.command()
@click.argument("relay")
@TOKEN
@click.option("--json", "as_json", is_flag=True)
def show(relay: str, token_file: Path | None, as_json: bool) -> None:
    """What RELAY (an address, or a file) knows: by partner, ages as of now."""
    found = source(relay, token_file)
    if as_json:
        click.echo(found.model_dump_json(indent=1))
        return
    click.echo(
        f"{found.relay} (run {found.run}), version {found.version}, one of {found.relays} relays, "
        f"peers heard: {', '.join(found.peers) or 'none'}"
    )
    click.echo(
        f"{'partner':<24} {'is':<16} {'answered':>9} {'failed':>9} {'wait':>7} {'mean ms':>7} {'dev':>6} {'knowers':>7}"
    )
    for claim in sorted(found.claims, key=lambda c: (c.out_age is None, c.cold_age is None, c.partner, c.route)):
        click.echo(row(claim))


@command.command()
@click.argument("relay")
@TOKEN
def learned(relay: str, token_file: Path | None) -> None:
    """What RELAY (an address) took from others: of whom, how old, and what it doubted and why. JSON."""
    click.echo(json.dumps(json.loads(fetch(relay, token_file, "/knowledge/state")), indent=1))


@command.command()
@click.argument("one")
@click.argument("other")
@TOKEN
def diff(one: str, other: str, token_file: Path | None) -> None:
    """Where two relays (addresses or files) do not know the same. Exit code 1 if they differ in what is out or cold."""
    claims = [{(c.partner, c.route): c for c in source(each, token_file).claims} for each in (one, other)]
    differ = False
    for route in sorted(claims[0].keys() | claims[1].keys()):
        sides = [side.get(route) for side in claims]
        words = [state(side).split(" for ")[0] if side else "unknown" for side in sides]
        if words[0] != words[1]:
            differ = differ or {"out", "cold"} & set(words) != set()
            click.echo(f"{route[0]}{'' if route[1] < 0 else f'/{route[1]}'}: {words[0]} | {words[1]}")
    sys.exit(int(differ))


@command.command()
@click.argument("relay")
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@TOKEN
def export(relay: str, file: Path, token_file: Path | None) -> None:
    """Write what RELAY knows to FILE, as a snapshot that `import` and a relay's start can read."""
    from ..storage import snapshot

    found = source(relay, token_file)
    try:
        snapshot.write(file, json.loads(found.model_dump_json()))
    except OSError as error:
        die(3, f"{file}: can't be written: {error.strerror}")
    click.echo(f"{file}: {len(found.claims)} claims of {found.relay}")


@command.command("import")
@click.argument("file", type=FILE)
@click.argument("snapshot_file", type=click.Path(dir_okay=False, path_type=Path))
def import_(file: Path, snapshot_file: Path) -> None:
    """Give FILE (from `export`) to a relay that is down, as its knowledge.snapshot at SNAPSHOT_FILE. Its age goes on
    from when it was written; what is too old is doubted at the start."""
    from ..as2_relay.gossip import parse
    from ..storage import snapshot

    try:
        payload, age = snapshot.read(file)
        parse(payload)
        if age is None:
            raise ValueError("its age can't be told: the clock has gone back since it was written")
    except (snapshot.SnapshotError, ValueError) as error:
        die(2, f"{file}: {error}")
    data, fresh = file.read_bytes(), snapshot_file.with_name(snapshot_file.name + ".new")
    try:
        fresh.write_bytes(data)
        fresh.replace(snapshot_file)
    except OSError as error:
        die(3, f"{snapshot_file}: can't be written: {error.strerror}")
    click.echo(f"{snapshot_file}: {len(payload['claims'])} claims, {age / 1000:.0f} s old")
