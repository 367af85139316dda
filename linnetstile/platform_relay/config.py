"""What the platform tells a relay: GW_CONFIG names a JSON file; the other GW_ variables fill what it leaves out."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from linnetstile.engine.settings import Settings

from ..config import platform

Address = tuple[str, int]
HOST_PATTERN = re.compile(r"[0-9A-Za-z_][0-9A-Za-z_.-]{0,252}\Z")


class ConfigError(ValueError):
    """One line: the file or variable, the field, what was expected."""


@dataclass(frozen=True, slots=True)
class Limits:
    sockets: int = 1024
    memory_mb: float = 192.0
    disk_mb: float = 3.0


@dataclass(frozen=True, slots=True)
class RelaySettings:
    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    limits: Limits
    known_list: dict[str, Any]  # in discovery's form; may be old
    engine_settings: Settings
    zones: tuple[str, ...]
    load_report_fields: tuple[str, ...] = ()  # names in a load report, in the module's order


def parse_address(text: object, where: str) -> Address:
    host, colon, port = str(text).rpartition(":")
    good = colon and HOST_PATTERN.match(host) and port.isascii() and port.isdigit() and len(port) < 6
    if not good or int(port) > 65535:
        raise ConfigError(f"{where}: expected HOST:PORT, found {text!r}")
    return host, int(port)


def one_a_call(module: Settings) -> Settings:
    """The settings as they hold on sockets: a call to an endpoint carries one message (PROTOCOL, relays to endpoints),
    also where a destination takes several. Guards slots and limits, which count each call: the module's riders
    would go out as calls of their own that it does not count."""
    return replace(module, kinds=tuple(replace(kind, max_batch=1) for kind in module.kinds))


def _limit(raw: Mapping[str, Any], name: str, default: float, least: float) -> float:
    value = raw.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < 1e12:
        raise ConfigError(f"limits.{name}: expected a number of {least:g} or more, found {value!r}")
    return float(value)


def load(environ: Mapping[str, str]) -> RelaySettings:
    """Reads and checks all of it. Raises ConfigError."""
    path = environ.get("GW_CONFIG", "")
    if not path:
        raise ConfigError("GW_CONFIG: expected the path of the configuration file, found nothing")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: expected JSON: {error}") from error
    try:
        return _settings(raw, environ)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def _settings(raw: Any, environ: Mapping[str, str]) -> RelaySettings:
    if not isinstance(raw, dict):
        raise ConfigError("expected an object")
    for field in ("limits", "known", "settings"):
        if not isinstance(raw.get(field, {}), dict):
            raise ConfigError(f"{field}: expected an object")
    limits, settings = raw.get("limits", {}), raw.get("settings", {})
    zones = settings.get("zones", [])
    if not isinstance(zones, list) or not all(isinstance(zone, str) for zone in zones):
        raise ConfigError("settings.zones: expected a list of names")
    state = environ.get("GW_STATE", "")
    if not state:
        raise ConfigError("GW_STATE: expected the path of the folder that lasts, found nothing")
    try:
        seed = int(str(raw.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: expected a hexadecimal number, found {raw['seed']!r}") from None
    feedback = settings.get("feedback", {})
    fields = feedback.get("fields", []) if isinstance(feedback, dict) else []
    if not isinstance(fields, list):
        raise ConfigError("settings.feedback.fields: expected a list of names")
    try:
        module = one_a_call(platform.settings_from(settings))
    except platform.SettingsError as error:
        raise ConfigError(f"settings: {error}") from error
    return RelaySettings(
        str(raw.get("name") or environ.get("GW_NAME", "relay")),
        parse_address(raw.get("listen") or environ.get("GW_LISTEN"), "listen"),
        parse_address(raw.get("discovery") or environ.get("GW_DISCOVERY"), "discovery"),
        Path(state),
        seed,
        Limits(
            int(_limit(limits, "sockets", 1024, 64)),
            _limit(limits, "memory_mb", 192, 1),
            _limit(limits, "disk_mb", 3, 0.01),
        ),
        raw.get("known", {}),
        module,
        tuple(zones),
        tuple(str(name) for name in fields),
    )
