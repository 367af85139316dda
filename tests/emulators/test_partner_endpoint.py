"""Tests of the endpoint of an emulated partner across a crash."""

from __future__ import annotations

import asyncio
import socket
from unittest.mock import Mock

import pytest

from linnetstile.emulators.partner_endpoint import Endpoint
from linnetstile.emulators.partner_settings import EndpointSpec


def test_crashed_endpoint_refuses_connections_and_keeps_its_port_until_it_reopens() -> None:
    async def scenario() -> None:
        behavior = Mock(tls=None)
        endpoint = Endpoint(behavior, EndpointSpec(id=1))
        await endpoint.open()
        port = endpoint.port
        endpoint.crash()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", port)
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", port))
        await endpoint.open()
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.close()
        endpoint.close()

    asyncio.run(scenario())
