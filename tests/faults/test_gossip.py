"""Gossip between relays and over a restart: what a relay learns, from whom, and what it rejects."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from linnetstile.as2_relay.gossip_document import DOCUMENT_FORMAT, parse
from linnetstile.as2_relay.relay import As2Relay
from linnetstile.net import server
from linnetstile.storage import snapshot

from .relay_testbed import RelayTestbed, answer_kind, async_test
from .testbed_settings import partner_fault

COMMAND_TIMEOUT_S = 30


def token_settings(folder: Path) -> dict[str, Any]:
    """Write a token file and return the gossip settings that name it."""
    (folder / "token").write_text("secret\n")
    return {"token_file": folder / "token"}


def claim_json(**overrides: Any) -> dict[str, Any]:
    """Return a claim that the partner is down; `overrides` adds or replaces fields."""
    return {
        "partner": "firma",
        "route": -1,
        "endpoints": [1],
        "answered_age": 9000,
        "failed_age": 50,
        "out_age": 5000,
        "mean_ms": 40,
        "dev_ms": 10,
        "answers": 9,
        "knowers": 2,
        **overrides,
    }


def document_json(*claims: dict[str, Any], **overrides: Any) -> dict[str, Any]:
    """Return a complete document with these claims; `overrides` adds or replaces fields."""
    return {
        "format": DOCUMENT_FORMAT,
        "relay": "peer",
        "run": "x",
        "version": 1,
        "since": 0,
        "relays": 3,
        "peers": [],
        "claims": list(claims),
        **overrides,
    }


Reply = Callable[[server.RequestContext], None]


@dataclass(frozen=True)
class StubPeer:
    """A relay that answers every poll in the same way."""

    listener: server.Server
    address: str

    @classmethod
    async def start(cls, reply: Reply) -> StubPeer:
        """Listen on a free port."""
        listener = server.Server(reply)
        port = await listener.start()
        return cls(listener, f"127.0.0.1:{port}")

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()


def reply_with(body: dict[str, Any] | bytes) -> Reply:
    """Return a handler that replies with this body."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()

    def reply(request: server.RequestContext) -> None:
        request.reply(200, [("Content-Type", "application/json")], data)

    return reply


async def run_knowledge_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run `linnetstile knowledge` and return the completed process."""
    return await asyncio.to_thread(
        subprocess.run,
        [sys.executable, "-m", "linnetstile.cli.main", "knowledge", *arguments],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )


def is_ejected(relay: As2Relay) -> bool:
    """Return whether a relay has ejected the partner."""
    return relay.engine.routes[0][-1].health.ejected


async def wait_for_polls(relay: As2Relay, count: int = 1, timeout_s: float = 4.0) -> None:
    """Wait until at least `count` polls of a relay have ended, with or without an answer."""
    for _ in range(int(timeout_s / 0.02)):
        counts = relay.gossip.counts
        if counts["answered"] + counts["no_answer"] + counts["unreadable"] >= count:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"too few polls ended before the timeout: {relay.gossip.counts}")


@async_test
async def test_a_new_relay_limits_attempts_to_a_partner_whose_outage_peers_report(tmp_path: Path) -> None:
    faults = [partner_fault("fast_errors", for_s=4)]
    async with RelayTestbed(
        tmp_path,
        relays=2,
        configured_relay_count=3,
        faults=faults,
        partner={"rate": 15.0},
        gossip_settings=token_settings(tmp_path),
    ) as testbed:
        earlier_load = asyncio.create_task(testbed.submit_evenly("safe", 8, 2.0))
        await testbed.sleep_until(2.0)
        old_relay = testbed.relays[0]
        assert is_ejected(old_relay)
        new_relay = await testbed.start_relay(gossip_settings=token_settings(tmp_path) | {"peers": [old_relay.address]})
        await wait_for_polls(new_relay)
        await asyncio.sleep(0.05)
        route = new_relay.engine.routes[0][-1]
        assert route.health.ejected
        assert route.health.from_gossip
        outage_age_ms = new_relay.gossip.merger.merged["firma", -1].route.outage_age_ms
        assert outage_age_ms is not None
        assert outage_age_ms > 1000
        # The old relay counts the new one as a relay that knows of the outage.
        assert old_relay.engine.routes[0][-1].health.notified_relays >= 1
        assert new_relay.gossip.document()["claims"] == []  # the new relay has observed nothing itself
        earlier_attempts = len(testbed.partner_records("began"))
        later_load = asyncio.create_task(testbed.submit_evenly("safe", 20, 1.0, 3))
        await asyncio.sleep(0.9)
        later_attempts = testbed.partner_records("began")[earlier_attempts:]
        assert len([attempt for attempt in later_attempts if attempt["relay"] == "r3"]) <= 5
        answers = [*await later_load, *await earlier_load]
        assert all(answer_kind(answer) in ("delivered", "refused") for answer in answers)
    assert testbed.broken_rules() == []


@async_test
async def test_a_restarted_relay_keeps_a_retry_after_from_its_snapshot(tmp_path: Path) -> None:
    snapshot_settings = {"snapshot": tmp_path / "know", "snapshot_every_ms": 200}
    faults = [partner_fault("shut", for_s=6)]
    async with RelayTestbed(tmp_path, faults=faults, gossip_settings=snapshot_settings) as testbed:
        submission = asyncio.create_task(testbed.submit(testbed.make_message("safe")))
        await asyncio.sleep(0.8)
        testbed.kill_relay(0)
        await submission
        restarted = await testbed.start_relay(gossip_settings=snapshot_settings)
        await asyncio.sleep(0.05)
        remaining_ms = restarted.engine.routes[0][-1].retry_after_until - restarted.context.now_ms
        assert 3000 < remaining_ms < 6000  # the partner sent it to this relay before the kill, so it stays in force
        answer = await testbed.submit(testbed.make_message("safe"), 1)
        assert answer_kind(answer) == "delivered"
        assert testbed.elapsed_s() > 5.9
    assert testbed.broken_rules() == []


@pytest.mark.parametrize(
    ("data", "text"),
    [(b"garbage", "not a snapshot"), (None, "checksum"), (b'{"linnetstile":"snapshot","format":9}\n', "format 9")],
)
@async_test
async def test_a_damaged_or_foreign_snapshot_is_quarantined_and_the_relay_starts(
    tmp_path: Path, data: bytes | None, text: str
) -> None:
    path = tmp_path / "know"
    snapshot.write(path, document_json(claim_json()))
    path.write_bytes(path.read_bytes()[:-3] if data is None else data)
    with pytest.raises(snapshot.SnapshotError, match=text):
        snapshot.read(path)
    async with RelayTestbed(tmp_path, gossip_settings={"snapshot": path}) as testbed:
        assert (tmp_path / "know.bad").exists()
        assert testbed.relays[0].gossip.merger.snapshot is None
        assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"


@async_test
async def test_a_failed_snapshot_write_is_counted_and_loses_no_message(tmp_path: Path) -> None:
    snapshot_settings = {"snapshot": tmp_path / "none" / "know", "snapshot_every_ms": 200}
    async with RelayTestbed(tmp_path, gossip_settings=snapshot_settings) as testbed:
        await asyncio.sleep(0.5)
        assert testbed.relays[0].gossip.counts["snapshots_failed"] >= 1
        assert answer_kind(await testbed.submit(testbed.make_message("safe"))) == "delivered"


def never_reply(request: server.RequestContext) -> None:
    """Never reply."""


def reply_with_error(request: server.RequestContext) -> None:
    """Reply with a server error."""
    request.reply(500)


def reply_with_truncated_document(request: server.RequestContext) -> None:
    """Close the connection in the middle of a document."""
    request.connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{")
    asyncio.get_running_loop().call_later(0.05, request.connection.transport.abort)


@pytest.mark.parametrize(
    ("reply", "counted"),
    [
        (never_reply, "no_answer"),
        (reply_with_truncated_document, "no_answer"),
        (reply_with(b"{not json"), "unreadable"),
        (reply_with(b"[" * 10_000), "unreadable"),
        (reply_with(document_json(claim_json(), format=2)), "unreadable"),
        (reply_with(document_json(claim_json(out_age=-5))), "unreadable"),
        (reply_with(document_json(claim_json(partner="x" * 500))), "unreadable"),
        (reply_with(b"x" * (5 * 1024 * 1024)), "no_answer"),
        (reply_with(document_json(peers=["10.0.0.1:80"])), "unreadable"),
        (reply_with_error, "no_answer"),
    ],
)
@async_test
async def test_a_slow_invalid_or_incompatible_peer_delays_no_message(
    tmp_path: Path, reply: Reply, counted: str
) -> None:
    peer = await StubPeer.start(reply)
    async with RelayTestbed(tmp_path, warm_up=False) as testbed:
        new_relay = await testbed.start_relay(gossip_settings={"peers": [peer.address]})
        for _ in range(3):  # messages are delivered at the same time
            assert answer_kind(await testbed.submit(testbed.make_message("safe"), 1)) == "delivered"
        await wait_for_polls(new_relay)
        assert new_relay.gossip.counts[counted] == 1
        assert not new_relay.gossip.merger.merged
        assert new_relay.gossip.state()["peers"][0]["standing"] == "suspected"
    peer.close()


@async_test
async def test_a_false_outage_report_delays_but_loses_no_message(tmp_path: Path) -> None:
    """A peer reports an outage of a partner that is up; the first answer to this relay ends the ejection."""
    peer = await StubPeer.start(reply_with(document_json(claim_json(out_age=8_000, wait_ms=700))))
    async with RelayTestbed(tmp_path, warm_up=False, partner={"rate": 200.0}) as testbed:
        new_relay = await testbed.start_relay(gossip_settings={"peers": [peer.address]})
        await wait_for_polls(new_relay)
        await asyncio.sleep(0.05)
        assert is_ejected(new_relay)
        assert answer_kind(await testbed.submit(testbed.make_message("safe"), 1)) == "delivered"
        assert not is_ejected(new_relay)
        assert new_relay.engine.routes[0][-1].health.failure_score < 0.5
        assert answer_kind(await testbed.submit(testbed.make_message("unsafe"), 1)) == "delivered"
    peer.close()
    assert testbed.broken_rules() == []


@async_test
async def test_relays_that_start_together_learn_peers_from_peers(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, gossip_settings=token_settings(tmp_path)) as testbed:
        first = testbed.relays[0]
        gossip_settings = token_settings(tmp_path)
        second = await testbed.start_relay(gossip_settings=gossip_settings | {"peers": [first.address]})
        await wait_for_polls(second)
        third = await testbed.start_relay(gossip_settings=gossip_settings | {"peers": [second.address]})
        await wait_for_polls(third, 2)  # the second relay advertises the first
        assert first.address in third.gossip.poller.membership.peers  # type: ignore[union-attr]
        for relay_index in range(3):
            assert answer_kind(await testbed.submit(testbed.make_message("safe"), relay_index)) == "delivered"
    assert testbed.broken_rules() == []


@async_test
async def test_a_delta_document_holds_only_changed_claims(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, gossip_settings=token_settings(tmp_path)) as testbed:
        gossip = testbed.relays[0].gossip
        complete = parse(gossip.document())
        assert len(complete.claims) == 1
        assert complete.claims[0].answers >= 6
        assert parse(gossip.document(complete.version)).claims == []
        await asyncio.sleep(2.1)
        await testbed.submit(testbed.make_message("safe"))
        changed = parse(gossip.document(complete.version))
        assert len(changed.claims) == 1
        assert changed.version > complete.version


@async_test
async def test_a_wrong_token_is_denied_and_operators_do_not_count_as_relays(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, gossip_settings=token_settings(tmp_path)) as testbed:
        relay = testbed.relays[0]
        wrong_token_file = tmp_path / "wrong"
        wrong_token_file.write_text("guess")
        refused = await run_knowledge_command("show", relay.address, "--token-file", str(wrong_token_file))
        assert refused.returncode == 1
        assert "403" in refused.stderr
        assert "firma" not in refused.stdout
        token = ("--token-file", str(tmp_path / "token"))
        shown = await run_knowledge_command("show", relay.address, *token)
        assert shown.returncode == 0
        assert "firma" in shown.stdout
        assert "well" in shown.stdout
        assert relay.engine.routes[0][-1].health.notified_relays == 0
        document_file = tmp_path / "document"
        snapshot_file = tmp_path / "snapshot"
        exported = await run_knowledge_command("export", relay.address, str(document_file), *token)
        assert exported.returncode == 0
        compared = await run_knowledge_command("diff", str(document_file), relay.address, *token)
        assert compared.returncode == 0
        imported = await run_knowledge_command("import", str(document_file), str(snapshot_file))
        assert imported.returncode == 0
        assert snapshot.read(snapshot_file).payload["relay"] == "r1"
        document_file.write_bytes(b"x")
        invalid = await run_knowledge_command("import", str(document_file), str(snapshot_file))
        assert invalid.returncode == 2
        assert "not a snapshot" in invalid.stderr


@async_test
async def test_operators_see_merged_routes_with_sources_and_rejected_claims(tmp_path: Path) -> None:
    peer = await StubPeer.start(
        reply_with(document_json(claim_json(out_age=8_000), claim_json(partner="other"), relays=9))
    )
    async with RelayTestbed(tmp_path, warm_up=False) as testbed:
        new_relay = await testbed.start_relay(gossip_settings=token_settings(tmp_path) | {"peers": [peer.address]})
        await wait_for_polls(new_relay)
        completed = await run_knowledge_command("learned", new_relay.address, "--token-file", str(tmp_path / "token"))
        state = json.loads(completed.stdout)
        assert {row["why"] for row in state["doubted"]} >= {"no such partner or route now"}
        assert state["peers"][0]["standing"] == "alive"
        assert state["counts"]["answered"] == 1
        (merged,) = state["taken"]  # the peer reports nine relays, and the larger count is used
        assert merged["knowers"] == 9
        assert merged["sources"] == [peer.address]
        assert merged["out_ms"] >= 8000
    peer.close()


@async_test
async def test_claims_on_replaced_endpoints_and_stale_claims_are_rejected(tmp_path: Path) -> None:
    peer = await StubPeer.start(reply_with(document_json(claim_json(endpoints=[77], out_age=5000))))
    stale_peer = await StubPeer.start(
        reply_with(document_json(claim_json(failed_age=3_600_000, out_age=3_600_500, answered_age=3_700_000)))
    )
    async with RelayTestbed(tmp_path, warm_up=False) as testbed:
        new_relay = await testbed.start_relay(gossip_settings={"peers": [peer.address, stale_peer.address]})
        await wait_for_polls(new_relay, 2)
        await asyncio.sleep(0.05)
        assert not any(route.health.ejected for route, _ in new_relay.engine.routing_table.known_routes(0).values())
        reasons = {claim.reason for claim in new_relay.gossip.merger.rejected}
        assert reasons == {"learned from endpoints that are not its own now", "claims an outage, but too long ago"}
        assert answer_kind(await testbed.submit(testbed.make_message("unsafe"), 1)) == "delivered"
    peer.close()
    stale_peer.close()
    assert testbed.broken_rules() == []


@async_test
async def test_without_a_token_the_gossip_endpoint_is_not_found(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path) as testbed:
        reader, writer = await testbed.connect()
        writer.write(b"GET /knowledge HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer \r\n\r\n")
        assert b" 404 " in await reader.read(100)
        writer.close()
