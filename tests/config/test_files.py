"""Settings files: errors with file, path, value and expectation; exit codes; imports that `--help` needs."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import yaml

from linnetstile.config.files import SettingsError, load
from linnetstile.config.relay import RelaySettings
from linnetstile.errors import ConfigError
from linnetstile.testbed.day import Day

ROOT = Path(__file__).parent.parent.parent
VALID_SETTINGS: dict[str, Any] = {
    "name": "r1",
    "register": "http://127.0.0.1:4090",
    "limits": {"slots": 8, "hold": 100},
    "classes": {"a": {"effect": "keyed", "aim_ms": 1000, "deadline_ms": 4000, "key_window_ms": 2000}},
    "rules": [{"class": "a", "from": "x*"}],
}


def write_settings(folder: Path, data: Any) -> Path:
    path = folder / "relay.yaml"
    path.write_text(data if isinstance(data, str) else yaml.safe_dump(data))
    return path


def test_valid_file_gives_the_settings_of_the_engine(tmp_path: Path) -> None:
    relay = load(write_settings(tmp_path, VALID_SETTINGS), RelaySettings)
    engine = relay.engine_settings()
    assert engine.classes[0].name == "a"
    assert engine.max_in_flight == 8
    assert engine.polls_for_list
    assert relay.routing_rules()[0].sender == "x*"


@pytest.mark.parametrize(
    ("change", "path", "expected"),
    [
        ({"register": "http://10.0.0.1:80"}, "register = 'http://10.0.0.1:80'", "loopback"),
        ({"register": "https://127.0.0.1:80"}, "register", "expected a URL such as"),
        ({"listen": "0.0.0.0:80"}, "listen", "loopback"),
        ({"listen": "127.0.0.1"}, "listen", "loopback"),
        ({"limits": {"slots": 0, "hold": 1}}, "limits.slots = 0", "greater than or equal to 1"),
        ({"limits": {"slots": 8}}, "limits.hold", "Field required"),
        ({"slots": 8}, "slots", "not permitted"),
        ({"classes": {}}, "classes", "at least 1"),
        ({"name": "a b"}, "name = 'a b'", "pattern"),
        ({"classes": {"a": {"effect": "keyed", "aim_ms": 1, "deadline_ms": 4}}}, "classes.a", "key_window_ms above 0"),
        ({"classes": {"a": {"effect": "safe", "aim_ms": 9, "deadline_ms": 4}}}, "classes.a", "at most deadline_ms"),
        ({"classes": {"a": {"effect": "once", "aim_ms": 1, "deadline_ms": 4}}}, "classes.a.effect = 'once'", "'safe'"),
        ({"rules": [{"class": "b"}]}, "(whole file)", "rules.0.class: expected one of a, not 'b'"),
        ({"rules": [{"class": "a", "tenant": "t"}]}, "(whole file)", "'t' is not among the tenants"),
        ({"zone": "z"}, "(whole file)", "zone: 'z' is not among the zones"),
        ({"safety": {"cold_share": float("nan")}}, "safety.cold_share = nan", "Input should be"),
    ],
)
def test_fault_names_file_path_value_and_what_was_expected(
    tmp_path: Path, change: dict[str, Any], path: str, expected: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        load(write_settings(tmp_path, VALID_SETTINGS | change), RelaySettings)
    (line,) = caught.value.lines
    assert line.startswith(f"{tmp_path / 'relay.yaml'}: {path}")
    assert expected in line


@pytest.mark.parametrize(
    ("key", "attribute"),
    [
        ("cold_share", "slow_start_fraction"),
        ("cold_ms", "slow_start_ms"),
        ("fall_multiple", "overload_multiple"),
        ("fall_ms", "overload_window_ms"),
        ("ask_within_ms", "poll_within_ms"),
        ("key_rest_ms", "ordering_pause_ms"),
    ],
)
def test_safety_key_sets_its_attribute_and_the_attribute_is_not_a_key(tmp_path: Path, key: str, attribute: str) -> None:
    relay = load(write_settings(tmp_path, VALID_SETTINGS | {"safety": {key: 0.5}}), RelaySettings)
    assert getattr(relay.safety, attribute) == 0.5
    with pytest.raises(SettingsError, match=rf"safety.{attribute} = 0.5: Extra inputs are not permitted"):
        load(write_settings(tmp_path, VALID_SETTINGS | {"safety": {attribute: 0.5}}), RelaySettings)


def test_all_faults_are_reported_at_once(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as caught:
        load(write_settings(tmp_path, VALID_SETTINGS | {"listen": "x", "relays": 0, "rates": "some"}), RelaySettings)
    assert len(caught.value.lines) == 3


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("name: [", "line 1, column 8: not YAML"),
        ("- a", "valid dictionary"),
        ("", "Field required"),
        ("a: !!python/object:os.system x", "not YAML"),
    ],
)
def test_file_without_settings_is_rejected(tmp_path: Path, text: str, expected: str) -> None:
    with pytest.raises(SettingsError, match=expected):
        load(write_settings(tmp_path, text), RelaySettings)
    (tmp_path / "relay.yaml").write_bytes(b"\xff\xfe")
    with pytest.raises(SettingsError, match="UTF-8"):
        load(tmp_path / "relay.yaml", RelaySettings)


def test_error_is_a_config_error_with_the_values_of_the_first_fault(tmp_path: Path) -> None:
    with pytest.raises(ConfigError) as caught:
        load(write_settings(tmp_path, VALID_SETTINGS | {"relays": 0, "rates": "some"}), RelaySettings)
    error = caught.value
    assert isinstance(error, SettingsError)
    assert str(error) == "\n".join(error.lines)
    assert (error.field, error.found) == ("relays", "0")
    assert "greater than or equal to 1" in error.expected


@pytest.mark.parametrize("day", sorted((ROOT / "days").glob("*.yaml")), ids=lambda path: path.stem)
def test_shipped_days_are_valid(day: Path) -> None:
    assert load(day, Day).relays >= 1


def test_day_with_a_fault_at_an_unknown_partner_is_rejected(tmp_path: Path) -> None:
    data = yaml.safe_load((ROOT / "days" / "two-troubles.yaml").read_text())
    data["faults"][0]["partners"] = ["nobody"]
    with pytest.raises(SettingsError, match="faults.0.partners: 'nobody' fits no partner"):
        load(write_settings(tmp_path, data), Day)


def run_command(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "linnetstile.cli.main", *args], capture_output=True, text=True, timeout=60
    )


def test_exit_code_and_message_of_the_command_line(tmp_path: Path) -> None:
    invalid = run_command("relay", str(write_settings(tmp_path, VALID_SETTINGS | {"relays": 0})))
    assert invalid.returncode == 2
    assert invalid.stderr.count("\n") == 1
    assert "relays = 0" in invalid.stderr
    assert run_command("relay", str(write_settings(tmp_path, VALID_SETTINGS)), "--check").returncode == 0
    assert run_command("relay", str(tmp_path / "none.yaml")).returncode == 2
    assert run_command("check", str(tmp_path)).returncode == 2
    missing = VALID_SETTINGS | {"identity": {"pem": str(tmp_path / "none.pem")}}
    without_key_file = run_command("relay", str(write_settings(tmp_path, missing)))
    assert without_key_file.returncode == 3
    assert "can't start" in without_key_file.stderr
    assert "none.pem" in without_key_file.stderr
    (tmp_path / "m").write_text("x")
    sent = run_command("send", str(tmp_path / "m"), "--to", "127.0.0.1:1", "--from", "a", "--partner", "b")
    assert sent.returncode == 3
    assert "no_connection" in sent.stderr
    sent = run_command("send", str(tmp_path / "m"), "--to", "10.0.0.1:1", "--from", "a", "--partner", "b")
    assert sent.returncode == 2
    assert "loopback" in sent.stderr


def test_help_imports_no_large_packages() -> None:
    code = (
        "import sys, linnetstile.cli.main as m\ntry: m.main(['--help'])\nexcept SystemExit: pass\n"
        "heavy = {'pydantic', 'yaml', 'cryptography', 'asn1crypto', 'structlog', 'asyncio'} & set(sys.modules)\n"
        "sys.exit(str(heavy) if heavy else 0)"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stderr
    assert "Play a day" in result.stdout, result.stderr
