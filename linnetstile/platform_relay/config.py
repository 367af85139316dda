"""Reads the configuration of a platform relay.

The environment variable GW_CONFIG names a JSON file; the other GW_ variables give the values that the file leaves out.
"""

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

Address = tuple[str, int]  # host and port, as asyncio takes them
HOST_PATTERN = re.compile(r"[0-9A-Za-z_][0-9A-Za-z_.-]{0,252}\Z")
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
LIMIT_UPPER_BOUND = 1e12  # in the unit of each limit: this or a larger value is rejected as a mistake

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192.0
DEFAULT_DISK_MB = 3.0
# A limit below its minimum is rejected as a mistake.
MIN_SOCKETS = 64
MIN_MEMORY_MB = 1.0
MIN_DISK_MB = 0.01


@dataclass(frozen=True, slots=True)
class Limits:
    """Resources that the platform grants a relay: open sockets, memory and disk space (MB)."""

    sockets: int = DEFAULT_SOCKETS
    memory_mb: float = DEFAULT_MEMORY_MB
    disk_mb: float = DEFAULT_DISK_MB


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """The configuration of one relay.

    Attributes:
        name: Name of the relay.
        listen: Address at which the relay listens for clients.
        discovery: Address at which the list of endpoints is watched, and to which notices are posted.
        state: Folder of the journal; it outlives the process.
        seed: Seed of the random number generators.
        limits: Resources that the platform grants.
        known_list: A cached list of endpoints in the format of discovery; it may be outdated.
        engine_settings: Settings of the delivery engine.
        zones: Names of the zones; an endpoint's zone is an index into this tuple.
        load_report_fields: Names of the fields in a load report, in the order in which the engine expects their values.
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
    """Parse HOST:PORT.

    Raises:
        ConfigError: `text` is not HOST:PORT; the message names `field`.
    """
    host, colon, port = str(text).rpartition(":")
    is_address = (
        colon and HOST_PATTERN.match(host) and port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    )
    if not is_address or int(port) > MAX_PORT:
        raise ConfigError(
            f"{field}: expected HOST:PORT, found {text!r}", field=field, expected="HOST:PORT", found=repr(text)
        )
    return host, int(port)


def without_batches(settings: Settings) -> Settings:
    """Return the settings with batches of one message for each kind of destination.

    The platform's protocol between relays and endpoints carries one message per call, also for destinations that accept
    batches. With larger batches, slots and rate limits would be exceeded: the engine counts a batch as one call, while
    each of its messages would be sent in a separate call.
    """
    return replace(settings, kinds=tuple(replace(kind, max_batch=1) for kind in settings.kinds))


def load(environ: Mapping[str, str]) -> RelaySettings:
    """Read and validate the configuration of a relay.

    Raises:
        ConfigError: A value is missing or invalid.
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
    # The order of these reads decides which of several faults is reported: the first one found.
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
        raise ConfigError("GW_STATE: expected the path of the state folder, found nothing", field="GW_STATE")
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
        return without_batches(platform.parse_platform_settings(settings))
    except ConfigError as error:
        raise ConfigError(f"settings: {error}", field="settings") from error


def _limits(raw: Mapping[str, Any]) -> Limits:
    return Limits(
        sockets=int(_limit(raw, "sockets", default=DEFAULT_SOCKETS, minimum=MIN_SOCKETS)),
        memory_mb=_limit(raw, "memory_mb", default=DEFAULT_MEMORY_MB, minimum=MIN_MEMORY_MB),
        disk_mb=_limit(raw, "disk_mb", default=DEFAULT_DISK_MB, minimum=MIN_DISK_MB),
    )


def _limit(raw: Mapping[str, Any], name: str, *, default: float, minimum: float) -> float:
    value = raw.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value < LIMIT_UPPER_BOUND:
        raise ConfigError(
            f"limits.{name}: expected a number of {minimum:g} or more, found {value!r}",
            field=f"limits.{name}",
            expected=f"a number of {minimum:g} or more",
            found=repr(value),
        )
    return float(value)
