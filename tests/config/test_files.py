"""Settings: every fault with file, path, value and what was expected; exit codes; a quick --help."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import yaml

from linnetstile.config.files import SettingsError, load
from linnetstile.config.relay import RelaySettings
from linnetstile.testbed.day import Day

ROOT = Path(__file__).parent.parent.parent
GOOD: dict[str, Any] = {
    "name": "r1",
    "register": "http://127.0.0.1:4090",
    "limits": {"slots": 8, "hold": 100},
    "classes": {"a": {"effect": "keyed", "aim_ms": 1000, "deadline_ms": 4000, "key_window_ms": 2000}},
    "rules": [{"class": "a", "from": "x*"}],
}


def write(folder: Path, data: Any) -> Path:
    path = folder / "relay.yaml"
    path.write_text(data if isinstance(data, str) else yaml.safe_dump(data))
    return path


def test_a_good_file_becomes_the_modules_settings(tmp_path: Path) -> None:
    found = load(write(tmp_path, GOOD), RelaySettings)
    module = found.module()
    assert module.classes[0].name == "a"
    assert module.max_in_flight == 8
    assert module.polls_for_list
    assert found.router_rules()[0].sender == "x*"


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
def test_a_fault_names_file_path_value_and_what_was_expected(
    tmp_path: Path, change: dict[str, Any], path: str, expected: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        load(write(tmp_path, GOOD | change), RelaySettings)
    (line,) = caught.value.lines
    assert line.startswith(f"{tmp_path / 'relay.yaml'}: {path}")
    assert expected in line


def test_all_faults_are_told_at_once(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as caught:
        load(write(tmp_path, GOOD | {"listen": "x", "relays": 0, "rates": "some"}), RelaySettings)
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
def test_what_is_not_a_settings_file(tmp_path: Path, text: str, expected: str) -> None:
    with pytest.raises(SettingsError, match=expected):
        load(write(tmp_path, text), RelaySettings)
    (tmp_path / "relay.yaml").write_bytes(b"\xff\xfe")
    with pytest.raises(SettingsError, match="UTF-8"):
        load(tmp_path / "relay.yaml", RelaySettings)


@pytest.mark.parametrize("day", sorted((ROOT / "days").glob("*.yaml")), ids=lambda path: path.stem)
def test_shipped_days_are_valid(day: Path) -> None:
    assert load(day, Day).relays >= 1


def test_a_day_with_a_trouble_for_nobody_is_refused(tmp_path: Path) -> None:
    data = yaml.safe_load((ROOT / "days" / "two-troubles.yaml").read_text())
    data["faults"][0]["partners"] = ["nobody"]
    with pytest.raises(SettingsError, match="faults.0.partners: 'nobody' fits no partner"):
        load(write(tmp_path, data), Day)


def command(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "linnetstile.cli.main", *args], capture_output=True, text=True, timeout=60
    )


def test_exit_codes_and_one_clear_line(tmp_path: Path) -> None:
    bad = command("relay", str(write(tmp_path, GOOD | {"relays": 0})))
    assert bad.returncode == 2
    assert bad.stderr.count("\n") == 1
    assert "relays = 0" in bad.stderr
    assert command("relay", str(write(tmp_path, GOOD)), "--check").returncode == 0
    assert command("relay", str(tmp_path / "none.yaml")).returncode == 2
    assert command("check", str(tmp_path)).returncode == 2
    missing = GOOD | {"identity": {"pem": str(tmp_path / "none.pem")}}
    gone = command("relay", str(write(tmp_path, missing)))
    assert gone.returncode == 3
    assert "can't start" in gone.stderr
    assert "none.pem" in gone.stderr
    (tmp_path / "m").write_text("x")
    sent = command("send", str(tmp_path / "m"), "--to", "127.0.0.1:1", "--from", "a", "--partner", "b")
    assert sent.returncode == 3
    assert "no_connection" in sent.stderr
    sent = command("send", str(tmp_path / "m"), "--to", "10.0.0.1:1", "--from", "a", "--partner", "b")
    assert sent.returncode == 2
    assert "loopback" in sent.stderr


def test_help_imports_nothing_heavy() -> None:
    code = (
        "import sys, linnetstile.cli.main as m\ntry: m.main(['--help'])\nexcept SystemExit: pass\n"
        "heavy = {'pydantic', 'yaml', 'cryptography', 'asn1crypto', 'structlog', 'asyncio'} & set(sys.modules)\n"
        "sys.exit(str(heavy) if heavy else 0)"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0 and "Play a day" in done.stdout, done.stderr
