"""The relay as a process: errors for a bad configuration, limits, signals, kill and restart."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from .http_messages import READY_REQUEST, submission
from .list_factories import list_entry
from .relay_process import free_port
from .relay_testbed import SETTINGS

VALID_CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "ff",
    "limits": {"sockets": 256, "memory_mb": 64, "disk_mb": 1},
    "known": {},
    "settings": SETTINGS,
}


def start_process(folder: Path, raw_config: object) -> subprocess.Popen[str]:
    """Start a relay with a configuration, given as text or as an object; its state is in `folder`."""
    path = folder / "config.json"
    path.write_text(raw_config if isinstance(raw_config, str) else json.dumps(raw_config))
    environment = {**os.environ, "GW_CONFIG": str(path), "GW_STATE": str(folder / "state")}
    return subprocess.Popen(
        [sys.executable, "-m", "linnetstile.platform_relay"], env=environment, stderr=subprocess.PIPE, text=True
    )


def connect(port: int, timeout_s: float) -> socket.socket:
    return socket.create_connection(("127.0.0.1", port), timeout=timeout_s)


def wait_for_event(process: subprocess.Popen[str], event: str) -> dict[str, Any]:
    """Return the next log event of this name.

    Raises:
        AssertionError: The process ended before it.
    """
    assert process.stderr is not None
    for line in process.stderr:
        fields: dict[str, Any] = json.loads(line)
        if fields["event"] == event:
            return fields
    raise AssertionError(f"the process ended before it logged {event}")


@pytest.mark.parametrize(
    ("raw_config", "expected_text"),
    [
        ("{", "config.json: expected JSON"),
        ({**VALID_CONFIG, "listen": "nowhere"}, "listen: expected HOST:PORT"),
        ({**VALID_CONFIG, "seed": "xyz"}, "seed: expected a hexadecimal number"),
        ({**VALID_CONFIG, "limits": {"sockets": "many"}}, "limits.sockets: expected a number"),
        ({**VALID_CONFIG, "settings": {**SETTINGS, "classes": [{"name": "x"}]}}, "settings: "),
        ({**VALID_CONFIG, "settings": {**SETTINGS, "extra": {}}}, "settings: 'call-slots' is missing"),
        ({**VALID_CONFIG, "settings": {**SETTINGS, "zones": None}}, "settings.zones: expected a list"),
        (
            {**VALID_CONFIG, "settings": {**SETTINGS, "orgs": [{"name": "a", "quota-per-s": "x"}]}},
            "tenants.quota_per_s: must be",
        ),
        ({**VALID_CONFIG, "discovery": "a b:80"}, "discovery: expected HOST:PORT"),
        ("[" * 100_000, "config.json: expected JSON"),
    ],
)
def test_bad_configuration_gets_one_line_and_exit_2(tmp_path: Path, raw_config: object, expected_text: str) -> None:
    process = start_process(tmp_path, raw_config)
    _, error = process.communicate(timeout=20)
    assert process.returncode == 2
    assert expected_text in error
    assert error.count("\n") == 1


def test_many_idle_connections_leave_descriptors_for_other_clients(tmp_path: Path) -> None:
    port = free_port()
    process = start_process(tmp_path, {**VALID_CONFIG, "listen": f"127.0.0.1:{port}", "limits": {"sockets": 64}})
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (64, 64))
    idle_connections: list[socket.socket] = []
    try:
        wait_for_event(process, "ready")
        for _ in range(5):
            idle_connections += [connect(port, timeout_s=5) for _ in range(60)]
            with connect(port, timeout_s=2) as client:
                client.sendall(READY_REQUEST)
                assert b" 200 " in client.recv(1000)
    finally:
        for connection in idle_connections:
            connection.close()
        process.kill()
        _, log_text = process.communicate()
    assert "fault" not in log_text


def test_bad_reload_changes_nothing_and_an_accepted_message_survives_a_kill(tmp_path: Path) -> None:
    port = free_port()
    known_list = {"version": 1, "full": True, "servers": [list_entry("s")]}
    valid_config = {**VALID_CONFIG, "listen": f"127.0.0.1:{port}", "known": known_list}
    process = start_process(tmp_path, valid_config)
    try:
        wait_for_event(process, "ready")
        (tmp_path / "config.json").write_text("{")
        process.send_signal(signal.SIGHUP)
        assert "expected JSON" in wait_for_event(process, "config_rejected")["why"]
        with connect(port, timeout_s=5) as client:
            client.sendall(submission("m", body=b"", time_left="6000m"))
            assert b" 202 " in client.recv(1000)
    finally:
        process.kill()
        process.communicate()
    process = start_process(tmp_path, valid_config)
    try:
        assert wait_for_event(process, "ready")["resumed"] == 1
        process.send_signal(signal.SIGTERM)
        stopped = wait_for_event(process, "stopped")
        assert stopped["held"] + stopped["notices"] == 1  # still pending: there is no platform to notify
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.communicate()
