"""The settings file of the partner emulator."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from pydantic import Field

from ..config.files import StrictModel
from .faults import Fault


class EndpointSpec(StrictModel):
    """One endpoint; port 0 = any free one."""

    id: int
    port: int = 0
    zone: str = ""


class PartnerSpec(StrictModel):
    """One partner: its endpoints, how fast it works, what it limits, how it answers."""

    name: str
    kind: str = ""
    endpoints: list[EndpointSpec] = Field(min_length=1)
    work_ms: float = Field(100.0, ge=0)
    spread: float = Field(0.3, ge=0)  # of the work, log-normal
    servers: int = Field(4, ge=1)  # calls that one endpoint works on at once
    queue: int = Field(32, ge=0)  # calls that wait at one endpoint; beyond: 503
    rate: float = Field(0.0, ge=0)  # calls a second from all relays; 0 = no limit but capacity
    window_ms: float = Field(0.0, ge=0)  # 0 = a token bucket, else a count in each window
    tell: float = Field(0.5, ge=0, le=1)  # share of rejections with a Retry-After field
    tell_as: Literal["seconds", "date"] = "seconds"
    refused_count: bool = False  # rejected calls use up the limit too
    keyed: list[str] = []  # subjects whose repeats are dropped
    key_window_ms: float = 4000.0
    receipts: Literal["sync", "async"] = "sync"
    pem: Path | None = None
    decrypt_pem: Path | None = None
    tls_pem: Path | None = None  # speaks TLS with this key and certificate
    tls_clients: Path | None = None  # and asks for a client certificate that these authorities signed
    cold_share: float = Field(0.2, gt=0, le=1)  # of its capacity, right after an outage
    cold_ms: float = 10_000.0  # until it is warm
    fall_multiple: float = 2.0  # of its capacity while warming up: more calls overload it
    fall_ms: float = 1500.0  # window in which those are counted


class PartnersSpec(StrictModel):
    """The file of one emulator process."""

    seed: int = 1
    t0_ms: float | None = None  # start of the script by the clock of the run; None = now
    record: Path | None = None
    partners: list[PartnerSpec] = Field(min_length=1)
    faults: list[Fault] = []
