"""A relay in a separate process, which uses the emulators of a testbed."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import IO

import yaml

from linnetstile.config.relay import RelaySettings
from linnetstile.emulators import messages
from linnetstile.net import client

from .relay_testbed import RelayTestbed, answer_kind

START_TIMEOUT_S = 20
EXIT_TIMEOUT_S = 20
RETRY_INTERVAL_S = 0.05


def write_settings(settings: RelaySettings, path: Path) -> Path:
    """Write settings to a file for `linnetstile relay`, and return its path."""
    path.write_text(yaml.safe_dump(settings.model_dump(mode="json", by_alias=True)))
    return path


@dataclass(frozen=True)
class RelayProcess:
    """A running `linnetstile relay`.

    Attributes:
        child: The process.
        address: Host and port of its listener.
    """

    child: asyncio.subprocess.Process
    address: str

    @classmethod
    async def start(
        cls,
        settings_file: Path,
        *options: str,
        stderr: IO[bytes] | None = None,
        before_exec: Callable[[], None] | None = None,
    ) -> RelayProcess:
        """Start a relay and wait for the line with its address on standard output.

        Args:
            settings_file: The file with its settings.
            options: Additional command-line options.
            stderr: File for the log of the relay; None uses standard error of the tests.
            before_exec: Called in the new process, before the program is loaded.
        """
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "linnetstile.cli.main",
            "relay",
            str(settings_file),
            *options,
            stdout=asyncio.subprocess.PIPE,
            stderr=stderr,
            preexec_fn=before_exec,
        )
        assert child.stdout is not None
        line = await asyncio.wait_for(child.stdout.readline(), START_TIMEOUT_S)
        return cls(child, json.loads(line)["listening"])

    async def submit_until_accepted(self, testbed: RelayTestbed, message: messages.BuiltMessage) -> client.CallResult:
        """Submit a message until it is not refused, as a relay listens before it has the endpoint list."""
        answer = await testbed.post(self.address, message)
        while answer_kind(answer) == "refused":
            await asyncio.sleep(RETRY_INTERVAL_S)
            answer = await testbed.post(self.address, message)
        return answer

    async def wait_for_exit(self) -> int:
        """Wait until the process has exited, and return its exit code."""
        return await asyncio.wait_for(self.child.wait(), EXIT_TIMEOUT_S)
