"""Starts a relay process (`python -m linnetstile.platform_relay`) and reads its CPU time, memory use and log."""

from __future__ import annotations

import contextlib
import json
import os
import resource
import socket
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from .platform_model import PlatformModel
from .report_schema import ProcessMemoryJson
from .workload import zone_of

CPU_FIELDS = 11, 12
"""Indexes of user and system time in /proc/PID/stat; index 0 is the first field after the program name."""
KIB = 1024
LIMITS = {"memory_mb": 2048, "sockets": 1024, "disk_mb": 64}


@dataclass(frozen=True, slots=True)
class ProcessMemory:
    """Current and peak resident memory in bytes."""

    current: int
    peak: int

    def to_json(self) -> ProcessMemoryJson:
        """Return the entry for the report."""
        return {"now": self.current, "largest": self.peak}


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """Configuration with which a relay process is started.

    Attributes:
        name: Name of the relay, and of its files in the folder.
        relay: Number of the relay, which determines its zone.
        discovery_port: Loopback port of discovery.
        seed: Seed of the engine.
        memory_bytes: Limit of the address space of the process.
    """

    name: str
    relay: int
    discovery_port: int
    seed: int
    memory_bytes: int

    def document(self, platform: PlatformModel, port: int) -> str:
        """Return the content of the JSON configuration file that the platform gives a relay."""
        return json.dumps(
            {
                "name": self.name,
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{self.discovery_port}",
                "seed": f"{self.seed:x}",
                "limits": LIMITS,
                "settings": {**platform.settings_document, "az": zone_of(self.relay)},
            }
        )


@dataclass(frozen=True, slots=True)
class ReadyEvent:
    """The log event `ready`, which a relay writes when it begins to serve.

    Attributes:
        endpoints: Number of endpoints that the relay knows at that time.
    """

    endpoints: int


@dataclass(slots=True)
class RelayProcess:
    """A running relay process.

    Attributes:
        name: Name of the relay.
        process: Handle of the process.
        port: Loopback port on which the relay listens.
        log: File with the output of the process.
        ready: The log event `ready`; None until the relay has written it.
    """

    name: str
    process: subprocess.Popen[bytes]
    port: int
    log: Path
    ready: ReadyEvent | None = None

    @classmethod
    def start(cls, config: RelayConfig, platform: PlatformModel, folder: Path) -> RelayProcess:
        """Start a relay process whose configuration, state and log are in a folder."""
        state = folder / config.name
        state.mkdir(parents=True)
        port = free_port()
        config_file = folder / f"{config.name}.json"
        config_file.write_text(config.document(platform, port))
        log = folder / f"{config.name}.log"
        relay_variables = {"GW_CONFIG": str(config_file), "GW_STATE": str(state), "GW_NAME": config.name}
        with log.open("wb") as file:
            process = subprocess.Popen(
                [sys.executable, "-m", "linnetstile.platform_relay"],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
                env={**os.environ, **relay_variables},
            )
        relay = cls(config.name, process, port, log)
        resource.prlimit(process.pid, resource.RLIMIT_AS, (config.memory_bytes, config.memory_bytes))
        return relay

    @property
    def endpoint_count(self) -> int:
        """Number of endpoints that the relay knew when it became ready."""
        assert self.ready is not None
        return self.ready.endpoints

    def cpu_s(self) -> float:
        """Return the CPU time that the process has used so far, in seconds."""
        text = Path(f"/proc/{self.process.pid}/stat").read_text(encoding="ascii")
        fields = text.rpartition(")")[2].split()
        return sum(int(fields[number]) for number in CPU_FIELDS) / os.sysconf("SC_CLK_TCK")

    def memory(self) -> ProcessMemory:
        """Return the current and peak resident memory of the process."""
        rows = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii").splitlines()
        values = {row.split(":")[0]: int(row.split()[1]) for row in rows if row.startswith(("VmRSS", "VmHWM"))}
        return ProcessMemory(values["VmRSS"] * KIB, values["VmHWM"] * KIB)

    def find_ready_event(self) -> ReadyEvent | None:
        """Return the log event `ready`; None if the relay has not written it yet."""
        for line in self.log.read_text(encoding="utf-8").splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get("event") == "ready":
                    return ReadyEvent(int(event["endpoints"]))
        return None


def free_port() -> int:
    """Return a loopback port that is not in use."""
    with contextlib.closing(socket.socket()) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])
