"""Endpoints that move, and processes that come up at an address that another one had: no call reaches a wrong one."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from linnetstile.net import connector
from linnetstile.platform_relay.relay import PlatformRelay

from .http_messages import request_status, submission
from .relay_testbed import RelayTestbed, run_scenario, wait_until, wait_until_idle


def port_of_endpoint(relay: PlatformRelay, endpoint_id: int) -> int:
    address = relay.directory.address_of(endpoint_id)
    assert address is not None
    return address.port


@pytest.mark.parametrize("class_name", ["state", "pay"])
def test_call_that_waits_for_its_connection_does_not_reach_the_process_at_the_old_address(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, class_name: str
) -> None:
    # Guards against work at a wrong destination: a change of the address alone was kept from the engine.
    open_connection = connector.open_connection
    may_connect = asyncio.Event()
    connecting: list[Any] = []

    async def open_late(connection: Any, tls: Any) -> None:
        connecting.append(connection.address)
        await may_connect.wait()
        await open_connection(connection, tls)

    async def scenario(testbed: RelayTestbed) -> None:
        await testbed.add_endpoint(2)  # its process takes over the address of destination 1's
        await testbed.add_endpoint(3)
        first, at_old_address, at_new_address = testbed.entries
        moved = {**first, "addr": at_new_address["addr"]}
        testbed.entries = [{**first, "addr": at_old_address["addr"]}]
        relay = await testbed.start_relay()
        monkeypatch.setattr("linnetstile.net.client_pool.open_connection", open_late)
        assert await request_status(relay, submission("m", class_name)) == 202
        await wait_until(lambda: connecting)
        testbed.send_list([moved])
        new_port = int(at_new_address["addr"].rpartition(":")[2])
        await wait_until(lambda: [port_of_endpoint(relay, each) for each in relay.directory] == [new_port])
        await asyncio.sleep(0)
        may_connect.set()
        await wait_until_idle(relay)
        assert [(call.destination, call.submission_id) for call in testbed.endpoint_calls] == [(3, "m")]

    run_scenario(tmp_path, scenario)
