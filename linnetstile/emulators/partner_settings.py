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
    """One partner: its endpoints, how fast it works, its limits and its answers.

    The aliases are the keys of the settings file.
    """

    name: str
    kind: str = ""
    endpoints: list[EndpointSpec] = Field(min_length=1)
    work_ms: float = Field(100.0, ge=0)
    spread: float = Field(0.3, ge=0)  # log-normal spread of the work: standard deviation of its logarithm
    servers: int = Field(4, ge=1)  # calls that one endpoint processes at the same time
    queue: int = Field(32, ge=0)  # calls that can wait at one endpoint; further ones get 503
    rate: float = Field(0.0, ge=0)  # calls a second from all relays; 0 = limited by capacity alone
    window_ms: float = Field(0.0, ge=0)  # 0 = the rate limit is a token bucket, else calls are counted in such windows
    retry_after_share: float = Field(0.5, ge=0, le=1, alias="tell")  # share of the rejections with a Retry-After field
    retry_after_format: Literal["seconds", "date"] = Field("seconds", alias="tell_as")
    rejected_calls_count: bool = Field(False, alias="refused_count")  # rejected calls count against the limit too
    deduplicated_subjects: list[str] = Field([], alias="keyed")  # repeats of messages with these subjects are dropped
    deduplication_window_ms: float = Field(4000.0, alias="key_window_ms")
    receipts: Literal["sync", "async"] = "sync"
    pem: Path | None = None
    decrypt_pem: Path | None = None
    tls_pem: Path | None = None  # key and certificate for TLS; None = plain HTTP
    tls_clients: Path | None = None  # authorities of the client certificates that TLS asks for; None = asks for none
    slow_start_fraction: float = Field(0.2, gt=0, le=1, alias="cold_share")  # of its capacity, right after an outage
    slow_start_ms: float = Field(10_000.0, alias="cold_ms")  # from the end of an outage until full capacity
    overload_multiple: float = Field(2.0, alias="fall_multiple")  # multiple of slow-start capacity that overloads it
    overload_window_ms: float = Field(1500.0, alias="fall_ms")  # window in which calls are counted for the overload


class PartnersSpec(StrictModel):
    """The file of one emulator process."""

    seed: int = 1
    # Start of the script by the clock of the run; None = now, infinite = it is told later.
    t0_ms: float | None = None
    record: Path | None = None
    partners: list[PartnerSpec] = Field(min_length=1)
    faults: list[Fault] = []
