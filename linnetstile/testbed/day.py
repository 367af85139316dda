"""The settings file of a day: fleet, partners, traffic and faults. Field aliases are the keys of the file."""

from __future__ import annotations

import fnmatch
from collections.abc import Iterator
from enum import StrEnum
from typing import Literal

from pydantic import Field, model_validator

from ..config.files import StrictModel
from ..config.relay import ClassSettings, SafetySettings
from ..emulators.faults import Fault


class FleetFaultKind(StrEnum):
    """Kinds of faults of the traffic, the relays and the registry; the values are stored in day files."""

    BURST = "burst"  # more traffic for all partners
    HOT_KEY = "hot_key"  # more traffic for some partners
    RELAY_CRASH = "balancer_crash"
    ROLLING_RESTART = "balancer_roll"
    REGISTRY_STALE = "discovery_stale"
    REGISTRY_FAILURE = "register_fail"
    ENDPOINT_DRAINED = "drain"
    ENDPOINT_REMOVED = "gone"
    ENDPOINT_REPLACED = "replace"


SURGE_KINDS = (FleetFaultKind.BURST, FleetFaultKind.HOT_KEY)


class DayClass(ClassSettings):
    """A message class and its share of the traffic."""

    share: float = Field(gt=0)  # relative share of the messages
    kinds: list[str] = []  # names of the partner groups that receive it; empty = all


class PartnerGroup(StrictModel):
    """A group of similar partners, named NAME-1, NAME-2 and so on."""

    name: str = Field(pattern=r"^[a-z][a-z0-9-]{0,40}$")
    count: int = Field(ge=1, le=500)
    endpoints: int = Field(1, ge=1, le=8)
    weight: float = Field(1.0, gt=0)  # traffic weight of the first partner
    skew: float = Field(0.5, ge=0)  # the n-th partner has the weight of the first times n**-skew
    work_ms: float = Field(120.0, ge=0)
    spread: float = Field(0.3, ge=0)
    servers: int = Field(4, ge=1)
    rate_limit_multiple: float = Field(1.6, ge=0, alias="limit")  # of its mean traffic; 0 = limited by capacity alone
    min_rate_limit_per_s: float = Field(4.0, gt=0, alias="limit_least")
    window_ms: float = Field(0.0, ge=0)
    retry_after_share: float = Field(0.6, ge=0, le=1, alias="tell")
    retry_after_format: Literal["seconds", "date"] = Field("seconds", alias="tell_as")
    rejected_calls_count: bool = Field(False, alias="refused_count")
    receipts: Literal["sync", "async"] = "sync"


class TrafficSettings(StrictModel):
    """The traffic that the clients submit."""

    per_s: float = Field(gt=0, le=5000)
    senders: dict[str, float] = Field(min_length=1)  # relative share of the messages, by sender
    signed: float = Field(0.3, ge=0, le=1)
    compressed: float = Field(0.1, ge=0, le=1)
    asynchronous: float = Field(0.0, ge=0, le=1)
    repeats: float = Field(0.02, ge=0, le=1)
    bytes: int = Field(600, ge=1)
    max_submissions: int = Field(3, ge=1, alias="tries")  # submissions of one message


class FleetFault(StrictModel):
    """A fault of the traffic, the relays or the registry."""

    kind: FleetFaultKind
    at_s: float = Field(ge=0)
    for_s: float = Field(1.0, gt=0)
    times: float = Field(2.0, gt=0)  # burst, hot_key: multiple of the normal traffic
    partners: list[str] = []  # hot_key: get more traffic; drain, gone, replace: lose their last endpoint
    relays: list[int] = []  # balancer_crash: numbers of the relays; empty = the first
    down_s: float = Field(0.5, gt=0)  # balancer_roll: downtime of each relay


class Day(StrictModel):
    """The settings of one run."""

    name: str = Field(pattern=r"^[a-z0-9-]{1,60}$")
    seed: int = 1
    seconds: float = Field(gt=0, le=1800)
    relays: int = Field(ge=1, le=32)
    max_in_flight: int = Field(ge=1, alias="slots")
    max_pending_messages: int = Field(ge=1, alias="hold")
    attempts: int = Field(6, ge=1)
    registry_lag_ms: float = Field(1000.0, ge=0, alias="register_lag_ms")
    decay: Literal["line", "halves"] = "halves"
    uses_gossip: bool = Field(False, alias="learning")  # restarted relays load their snapshot and poll their peers
    classes: dict[str, DayClass] = Field(min_length=1)
    partners: list[PartnerGroup] = Field(min_length=1)
    traffic: TrafficSettings
    safety: SafetySettings = SafetySettings()
    faults: list[Fault] = []
    fleet_faults: list[FleetFault] = Field([], alias="troubles")  # faults of the traffic, the relays and the registry

    @model_validator(mode="after")
    def _check_references(self) -> Day:
        names = [f"{group.name}-{number}" for group in self.partners for number in range(1, group.count + 1)]
        for path, pattern in self._partner_patterns():
            if not any(fnmatch.fnmatchcase(name, pattern) for name in names):
                raise ValueError(f"{path}: {pattern!r} fits no partner of this day")
        for index, fleet_fault in enumerate(self.fleet_faults):
            if any(not 1 <= relay <= self.relays for relay in fleet_fault.relays):
                raise ValueError(f"troubles.{index}.relays: expected numbers from 1 to {self.relays}")
        return self

    def _partner_patterns(self) -> Iterator[tuple[str, str]]:
        """Yield each pattern of partner names, after its path in the file."""
        for index, fault in enumerate(self.faults):
            yield from ((f"faults.{index}.partners", pattern) for pattern in fault.partners)
        for index, fleet_fault in enumerate(self.fleet_faults):
            yield from ((f"troubles.{index}.partners", pattern) for pattern in fleet_fault.partners)
