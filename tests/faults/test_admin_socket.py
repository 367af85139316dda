"""The admin socket of a running relay: its views and its metrics."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from linnetstile.as2_relay.admin import AdminServer
from linnetstile.codec import http1
from linnetstile.config.relay import split_address
from linnetstile.net.client import CallResult, call_once

from .raw_requests import request_head
from .relay_testbed import RelayTestbed, async_test
from .testbed_settings import partner_fault

GET_TIMEOUT_S = 3


async def get(address: str | tuple[str, int], path: str) -> CallResult:
    """Send a GET request to the admin socket or to the metrics address."""
    data = http1.encode_request("GET", path, [("Host", "x")])
    return await call_once(address, "GET", data, GET_TIMEOUT_S)


async def get_body(address: str | tuple[str, int], path: str) -> bytes:
    """Send a GET request, assert that it succeeds, and return the body of the answer."""
    answer = await get(address, path)
    assert answer.head is not None
    assert answer.head.status == 200
    return answer.body


@async_test
async def test_the_admin_socket_shows_connections_queues_and_metrics_of_a_running_relay(tmp_path: Path) -> None:
    async with RelayTestbed(tmp_path, faults=[partner_fault("hang", for_s=30)]) as testbed:
        socket_path = tmp_path / "admin"
        socket = str(socket_path)
        admin = AdminServer(testbed.relays[0], socket_path, "127.0.0.1:0")
        await admin.start()
        assert socket_path.stat().st_mode & 0o777 == 0o600
        submission = asyncio.create_task(testbed.submit(testbed.make_message("safe", b"x" * 5000)))
        _, writer = await testbed.connect()
        writer.write(request_head(testbed, 5000) + b"half")
        await asyncio.sleep(0.3)

        connections = json.loads(await get_body(socket, "/connections"))
        assert {"client held", "client body", "partner work"} <= connections["phases"].keys()
        assert [row["sender"] for row in connections["rows"] if row["phase"] == "body"] == ["office"]
        queues = json.loads(await get_body(socket, "/queues"))
        assert queues["room"]["held_messages"] == 2
        assert queues["room"]["held_bytes"] > 10_000
        assert {row["party"] for row in queues["parties"]} >= {"firma", "-/127.0.0.1/office"}
        slow_partners = json.loads(await get_body(socket, "/slow"))
        assert slow_partners["rows"][0]["partner"] == "firma"
        metrics_address = split_address(admin.metrics_address or "")
        metrics = (await get_body(metrics_address, "/metrics")).decode()
        assert "linnetstile_held_messages 2.0" in metrics
        assert 'what="taken"' in metrics
        unknown_path = await get(socket, "/x")
        assert unknown_path.head is not None
        assert unknown_path.head.status == 404

        admin.close()
        assert not socket_path.exists()
        writer.close()
        submission.cancel()
