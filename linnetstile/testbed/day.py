"""A day as a file: fleet, partners, traffic and faults, by the names that operators know them by."""

from __future__ import annotations

import fnmatch
from collections.abc import Iterator
from typing import Literal

from pydantic import Field, model_validator

from ..config.files import StrictModel
from ..config.relay import ClassSettings, SafetySettings
from ..emulators.faults import Fault

SURGE_KINDS = ("burst", "hot_key")


class DayClass(ClassSettings):
    """A message class and its part of the traffic."""

    share: float = Field(gt=0)  # of the messages
    kinds: list[str] = []  # of partners that get it; none = all


class PartnerGroup(StrictModel):
    """A group of partners alike, named NAME-1, NAME-2 and so on."""

    name: str = Field(pattern=r"^[a-z][a-z0-9-]{0,40}$")
    count: int = Field(ge=1, le=500)
    endpoints: int = Field(1, ge=1, le=8)
    weight: float = Field(1.0, gt=0)  # of the traffic, the first of a group most
    skew: float = Field(0.5, ge=0)  # the n-th gets n**-skew
    work_ms: float = Field(120.0, ge=0)
    spread: float = Field(0.3, ge=0)
    servers: int = Field(4, ge=1)
    limit: float = Field(1.6, ge=0)  # rate of a partner, as a multiple of its usual traffic; 0 = none but capacity
    limit_least: float = Field(4.0, gt=0)
    window_ms: float = Field(0.0, ge=0)
    tell: float = Field(0.6, ge=0, le=1)
    tell_as: Literal["seconds", "date"] = "seconds"
    refused_count: bool = False
    receipts: Literal["sync", "async"] = "sync"


class TrafficSettings(StrictModel):
    """What the clients submit."""

    per_s: float = Field(gt=0, le=5000)
    senders: dict[str, float] = Field(min_length=1)  # share of the messages
    signed: float = Field(0.3, ge=0, le=1)
    compressed: float = Field(0.1, ge=0, le=1)
    asynchronous: float = Field(0.0, ge=0, le=1)
    repeats: float = Field(0.02, ge=0, le=1)
    bytes: int = Field(600, ge=1)
    tries: int = Field(3, ge=1)


class FleetFault(StrictModel):
    """A fault that is not a partner's own."""

    kind: Literal[
        "burst",
        "hot_key",
        "balancer_crash",
        "balancer_roll",
        "discovery_stale",
        "register_fail",
        "drain",
        "gone",
        "replace",
    ]
    at_s: float = Field(ge=0)
    for_s: float = Field(1.0, gt=0)
    times: float = Field(2.0, gt=0)  # burst, hot_key
    partners: list[str] = []  # hot_key; drain, gone, replace: of whose endpoints the last one goes
    relays: list[int] = []  # balancer_crash; none = the first
    down_s: float = Field(0.5, gt=0)  # balancer_roll: of each relay


class Day(StrictModel):
    """The settings of one run."""

    name: str = Field(pattern=r"^[a-z0-9-]{1,60}$")
    seed: int = 1
    seconds: float = Field(gt=0, le=1800)
    relays: int = Field(ge=1, le=32)
    slots: int = Field(ge=1)
    hold: int = Field(ge=1)
    attempts: int = Field(6, ge=1)
    register_lag_ms: float = Field(1000.0, ge=0)
    decay: Literal["line", "halves"] = "halves"
    learning: bool = False  # restarted relays learn from the others and from their own snapshot
    classes: dict[str, DayClass] = Field(min_length=1)
    partners: list[PartnerGroup] = Field(min_length=1)
    traffic: TrafficSettings
    safety: SafetySettings = SafetySettings()
    faults: list[Fault] = []
    troubles: list[FleetFault] = []

    @model_validator(mode="after")
    def _check_names(self) -> Day:
        names = [f"{group.name}-{n + 1}" for group in self.partners for n in range(group.count)]
        for where, pattern in self._partner_patterns():
            if not any(fnmatch.fnmatchcase(name, pattern) for name in names):
                raise ValueError(f"{where}: {pattern!r} fits no partner of this day")
        for n, trouble in enumerate(self.troubles):
            if any(not 1 <= relay <= self.relays for relay in trouble.relays):
                raise ValueError(f"troubles.{n}.relays: expected numbers from 1 to {self.relays}")
        return self

    def _partner_patterns(self) -> Iterator[tuple[str, str]]:
        """Yield each pattern of partner names with its path in the file."""
        for n, fault in enumerate(self.faults):
            yield from ((f"faults.{n}.partners", pattern) for pattern in fault.partners)
        for n, trouble in enumerate(self.troubles):
            yield from ((f"troubles.{n}.partners", pattern) for pattern in trouble.partners)
