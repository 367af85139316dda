"""A relay as a process of its own beside the emulated platform, with the least memory that the platform grants."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys
from collections.abc import AsyncIterator
from pathlib import Path

from .http_messages import READY_REQUEST, Connection
from .relay_testbed import RelayTestbed

# The least memory and the most descriptors that the platform's pages name for a relay.
MEMORY_MB = 32
SOCKETS = 1024
DISK_MB = 3
BYTES_PER_KIB = 1024


def free_port() -> int:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return int(listener.getsockname()[1])


class RelayProcess:
    """A relay's process, which can be killed and started again with its folder.

    Attributes:
        port: The port at which it listens.
        state_folder: Its folder that lasts.
        log_path: The log of all its processes.
        highest_bytes: The highest `peak_bytes` of its earlier processes.
    """

    def __init__(self, folder: Path, testbed: RelayTestbed, discovery_port: int) -> None:
        self.port = free_port()
        self.state_folder = folder / "state"
        self.log_path = folder / "log"
        self.highest_bytes = 0
        self._process: asyncio.subprocess.Process | None = None
        self._config_path = folder / "config.json"
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB, "disk_mb": DISK_MB},
            "settings": {**testbed.settings, "limits": {**testbed.settings["limits"], "open-cap": 100_000}},
        }
        self._config_path.write_text(json.dumps(config))

    async def start(self) -> None:
        """Start the process, and wait until it is ready."""
        environment = {**os.environ, "GW_CONFIG": str(self._config_path), "GW_STATE": str(self.state_folder)}
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "linnetstile.platform_relay", env=environment, stderr=log
            )
        async with asyncio.timeout(20.0):
            while True:
                with contextlib.suppress(OSError):
                    if await self.status_of(READY_REQUEST) == 200:
                        return
                await asyncio.sleep(0.05)

    async def kill(self) -> None:
        """Kill the process, if it runs."""
        if self._process is None:
            return
        self.highest_bytes = max(self.highest_bytes, self.peak_bytes())
        self._process.kill()
        await self._process.wait()
        self._process = None

    def peak_bytes(self) -> int:
        """Return the highest resident memory of the process so far, with the files that the relay keeps."""
        assert self._process is not None
        status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        fields = dict(line.split(":", 1) for line in status.splitlines())
        files = sum(path.stat().st_size for path in self.state_folder.iterdir())
        return int(fields["VmHWM"].split()[0]) * BYTES_PER_KIB + files

    async def connect(self) -> Connection:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def status_of(self, request: bytes, timeout_s: float = 5.0) -> int:
        """Return the status of the response to a request on a new connection; 0 if it was closed without one.

        Raises:
            TimeoutError: No response arrived in time.
        """
        reader, writer = await self.connect()
        try:
            writer.write(request)
            async with asyncio.timeout(timeout_s):
                line = await reader.readline()
        except ConnectionError:
            return 0
        finally:
            writer.close()
        return int(line.split()[1]) if line else 0


@contextlib.asynccontextmanager
async def relay_process(testbed: RelayTestbed, folder: Path) -> AsyncIterator[RelayProcess]:
    """Start a relay with the least memory, at the testbed's discovery; kill it in the end."""
    _, discovery_port = await testbed.start_discovery()
    relay = RelayProcess(folder, testbed, discovery_port)
    try:
        await relay.start()
        yield relay
    finally:
        await relay.kill()
