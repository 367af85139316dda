"""What the platform tells a relay: GW_CONFIG names a JSON file; the other GW_ variables fill what it leaves out."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from ..config import platform
from ..engine.settings import Settings
from ..errors import ConfigError

Address = tuple[str, int]
HOST_PATTERN = re.compile(r"[0-9A-Za-z_][0-9A-Za-z_.-]{0,252}\Z")
MAX_PORT = 65535
LIMIT_BOUND = 1e12  # no limit is that large


@dataclass(frozen=True, slots=True)
class Limits:
    """What the platform grants a relay."""

    sockets: int = 1024
    memory_mb: float = 192.0
    disk_mb: float = 3.0


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """All that a relay is started with.

    Attributes:
        name: For the log.
        listen: Where clients come.
        discovery: Where the list of endpoints is watched and notices go.
        state: The folder that outlives the process.
        seed: Of the random numbers.
        limits: What the platform grants.
        known_list: A list of endpoints in discovery's form; it may be old.
        engine_settings: What the engine decides by.
        zones: Names of the zones, by their number.
        load_report_fields: Names in a load report, in the engine's order.
    """

    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    limits: Limits
    known_list: dict[str, Any]
    engine_settings: Settings
    zones: tuple[str, ...]
    load_report_fields: tuple[str, ...] = ()


def parse_address(text: object, field: str) -> Address:
    """Return host and port of HOST:PORT. Raises ConfigError, which names `field`."""
    host, colon, port = str(text).rpartition(":")
    is_address = colon and HOST_PATTERN.match(host) and port.isascii() and port.isdigit() and len(port) < 6
    if not is_address or int(port) > MAX_PORT:
        raise ConfigError(
            f"{field}: expected HOST:PORT, found {text!r}", field=field, expected="HOST:PORT", found=repr(text)
        )
    return host, int(port)


def without_batches(settings: Settings) -> Settings:
    """Return the settings as they hold on sockets: a call to an endpoint carries one message.

    So PROTOCOL has it, relays to endpoints, also where a destination takes several. Guards slots and limits, which
    count each call: the engine's batched messages would go out as calls of their own that it does not count.
    """
    return replace(settings, kinds=tuple(replace(kind, max_batch=1) for kind in settings.kinds))


def load(environ: Mapping[str, str]) -> RelaySettings:
    """Read and check all that a relay is started with.

    Raises:
        ConfigError: Something is missing, or is not what is expected.
    """
    path = environ.get("GW_CONFIG", "")
    if not path:
        raise ConfigError("GW_CONFIG: expected the path of the configuration file, found nothing", field="GW_CONFIG")
    try:
        raw = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error.strerror}", field="GW_CONFIG") from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: expected JSON: {error}", expected="JSON") from error
    try:
        return _relay_settings(raw, environ)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}", field=error.field, expected=error.expected, found=error.found) from None


def _relay_settings(raw: Any, environ: Mapping[str, str]) -> RelaySettings:
    if not isinstance(raw, dict):
        raise ConfigError("expected an object", expected="an object")
    for field in ("limits", "known", "settings"):
        if not isinstance(raw.get(field, {}), dict):
            raise ConfigError(f"{field}: expected an object", field=field, expected="an object")
    settings = raw.get("settings", {})
    # In this order, as the first fault found is the one that is reported.
    zones = _zones(settings)
    state = _state_folder(environ)
    seed = _seed(raw)
    load_report_fields = _load_report_fields(settings)
    engine_settings = _engine_settings(settings)
    return RelaySettings(
        name=str(raw.get("name") or environ.get("GW_NAME", "relay")),
        listen=parse_address(raw.get("listen") or environ.get("GW_LISTEN"), "listen"),
        discovery=parse_address(raw.get("discovery") or environ.get("GW_DISCOVERY"), "discovery"),
        state=state,
        seed=seed,
        limits=_limits(raw.get("limits", {})),
        known_list=raw.get("known", {}),
        engine_settings=engine_settings,
        zones=zones,
        load_report_fields=load_report_fields,
    )


def _zones(settings: Mapping[str, Any]) -> tuple[str, ...]:
    zones = settings.get("zones", [])
    if not isinstance(zones, list) or not all(isinstance(zone, str) for zone in zones):
        raise ConfigError(
            "settings.zones: expected a list of names", field="settings.zones", expected="a list of names"
        )
    return tuple(zones)


def _state_folder(environ: Mapping[str, str]) -> Path:
    path = environ.get("GW_STATE", "")
    if not path:
        raise ConfigError("GW_STATE: expected the path of the folder that lasts, found nothing", field="GW_STATE")
    return Path(path)


def _seed(raw: Mapping[str, Any]) -> int:
    try:
        return int(str(raw.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(
            f"seed: expected a hexadecimal number, found {raw['seed']!r}",
            field="seed",
            expected="a hexadecimal number",
            found=repr(raw["seed"]),
        ) from None


def _load_report_fields(settings: Mapping[str, Any]) -> tuple[str, ...]:
    feedback = settings.get("feedback", {})
    fields = feedback.get("fields", []) if isinstance(feedback, dict) else []
    if not isinstance(fields, list):
        raise ConfigError(
            "settings.feedback.fields: expected a list of names",
            field="settings.feedback.fields",
            expected="a list of names",
        )
    return tuple(str(name) for name in fields)


def _engine_settings(settings: dict[str, Any]) -> Settings:
    try:
        return without_batches(platform.settings_from(settings))
    except platform.SettingsError as error:
        raise ConfigError(f"settings: {error}", field="settings") from error


def _limits(raw: Mapping[str, Any]) -> Limits:
    return Limits(
        int(_limit(raw, "sockets", default=1024, least=64)),
        _limit(raw, "memory_mb", default=192, least=1),
        _limit(raw, "disk_mb", default=3, least=0.01),
    )


def _limit(raw: Mapping[str, Any], name: str, *, default: float, least: float) -> float:
    value = raw.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < LIMIT_BOUND:
        raise ConfigError(
            f"limits.{name}: expected a number of {least:g} or more, found {value!r}",
            field=f"limits.{name}",
            expected=f"a number of {least:g} or more",
            found=repr(value),
        )
    return float(value)
