"""The sections of a relay's settings file; docs/operate explains each key.

Times are in ms unless the name ends in `_s`.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, model_validator

from ..engine.fair_share import RESERVE_FRACTION
from .addresses import LoopbackAddress
from .files import StrictModel
from .numbers import Count, Fraction, NonNegative, Positive, PositiveFraction

HEAD_ALLOWANCE_BYTES = 16_384  # allowance for the head of a message that must fit into `hold_bytes` with its body


class ClassSettings(StrictModel):
    """A class of messages: the effect of a repeated message, and the value of a delivery over time."""

    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Positive
    deadline_ms: Positive
    worth: NonNegative = 1.0
    late_share: Fraction = 0.0
    key_window_ms: NonNegative = 0.0
    key_scope: Literal["all", "zone", "endpoint"] = "all"
    in_order: bool = False

    @model_validator(mode="after")
    def _check_times(self) -> ClassSettings:
        if self.aim_ms > self.deadline_ms:
            raise ValueError("expected aim_ms to be at most deadline_ms")
        if self.effect == "keyed" and not self.key_window_ms:
            raise ValueError("expected key_window_ms above 0 for a keyed class")
        return self


class KindSettings(StrictModel):
    """A kind of destinations."""

    batch: Literal[1] = 1  # AS2 carries one message in a request
    routes_apart: bool = False


class RuleSettings(StrictModel):
    """Assigns a class and a tenant to messages by shell-style patterns; the first rule that matches applies."""

    class_: str = Field(alias="class")
    tenant: str | None = None
    sender: str = Field("*", alias="from")
    receiver: str = Field("*", alias="to")
    subject: str = "*"
    content_type: str = "*"


class PartnerTlsSettings(StrictModel):
    """TLS with a partner whose URL is https."""

    authorities: Path  # PEM: the issuers of the partner's certificate, or that certificate itself
    name: str | None = Field(None, min_length=1, max_length=253)  # expected in the certificate, if not the URL's host
    certificate: Path | None = None  # client certificate of the relay, if the partner requires one
    key: Path | None = None


class PartnerSettings(StrictModel):
    """The settings agreed with one partner."""

    certificate: Path | None = None  # PEM; its key must have signed the receipts for which a signature was requested
    receipts: Literal["sync", "async"] = "sync"
    tls: PartnerTlsSettings | None = None


class SafetySettings(StrictModel):
    """The safety limits of the engine; see `SafetyLimits`. The aliases are the keys of the file."""

    answer_slack_ms: NonNegative = 20.0
    drain_grace_ms: NonNegative = 250.0
    slow_start_fraction: PositiveFraction = Field(0.2, alias="cold_share")
    slow_start_ms: NonNegative = Field(10_000.0, alias="cold_ms")
    overload_multiple: Positive = Field(2.0, alias="fall_multiple")
    overload_window_ms: Positive = Field(1500.0, alias="fall_ms")
    poll_within_ms: Positive = Field(10_000.0, alias="ask_within_ms")
    ordering_pause_ms: NonNegative = Field(100.0, alias="key_rest_ms")


class GoalSettings(StrictModel):
    """Weights of the score that the engine optimizes."""

    whole: NonNegative = 1.0
    worst_window: NonNegative = 0.0
    worst_class: NonNegative = 0.0
    worst_tenant: NonNegative = 0.0


class ZoneSettings(StrictModel):
    """A zone that partners are in."""

    fee: NonNegative = 0.0


class TenantSettings(StrictModel):
    """A tenant whose messages share the relay."""

    quota_per_s: Positive
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0  # weight of its share of the capacity among tenants


class LimitSettings(StrictModel):
    """Bounds on memory, connections and time."""

    slots: Count
    hold: Count
    attempts: Annotated[int, Field(ge=1, le=64)] = 6
    body_bytes: Annotated[int, Field(ge=1024, le=1 << 30)] = 16 * 1024 * 1024
    head_bytes: Annotated[int, Field(ge=1024, le=1 << 20)] = 16_384
    connections: Count = 4096
    connect_timeout_ms: Positive = 3000.0
    idle_ms: Positive = 15_000.0
    head_ms: Positive = 10_000.0
    hold_bytes: Annotated[int, Field(ge=1 << 16, le=1 << 40)] = 128 * 1024 * 1024
    room_wait_ms: NonNegative = 2000.0
    receipt_bytes: Annotated[int, Field(ge=4096, le=1 << 26)] = 256 * 1024
    remember_bytes: Annotated[int, Field(ge=1 << 16, le=1 << 40)] = 64 * 1024 * 1024
    body_rate: NonNegative = 1024.0  # minimum bytes/s at which a client sends a body; 0 = no minimum
    answer_rate: NonNegative = 1024.0  # minimum bytes/s at which a client reads its response; 0 = no minimum
    request_rate: NonNegative = 1024.0  # minimum bytes/s at which a partner reads a request; 0 = no minimum
    response_rate: NonNegative = 1024.0  # minimum bytes/s of a partner's response after its first byte; 0 = no minimum
    stall_ms: Positive = 5000.0  # duration of a stall that the minimum rates allow
    self_check_ms: NonNegative = 0.0  # interval of the check that no resources leak; 0 = never
    remember_ms: Positive = 600_000.0
    remember: Count = 100_000
    longest_advice_ms: NonNegative = 30_000.0
    stop_ms: NonNegative | None = None  # None: until the last pending message has reached its deadline

    @model_validator(mode="after")
    def _check_capacity(self) -> LimitSettings:
        if self.hold_bytes * (1 - RESERVE_FRACTION) < self.body_bytes + HEAD_ALLOWANCE_BYTES:
            raise ValueError("expected hold_bytes to be at least 16/15 of body_bytes plus 17476, to fit one message")
        return self


class TlsSettings(StrictModel):
    """TLS of the listener; its files are read again when they change."""

    certificate: Path  # PEM, followed by its chain
    key: Path | None = None  # PEM; None if the file of the certificate has the key
    client_authorities: Path | None = None  # PEM: the issuers of the clients' certificates
    need_client: bool = False  # reject handshakes without a client certificate

    @model_validator(mode="after")
    def _check_authorities(self) -> TlsSettings:
        if self.need_client and self.client_authorities is None:
            raise ValueError("expected client_authorities where need_client is set")
        return self


class IdentitySettings(StrictModel):
    """The identity of the relay in its own receipts."""

    as2_name: str = Field("linnetstile", min_length=1, max_length=128)
    pem: Path | None = None  # the key that signs the receipts, and its certificate


class KnowledgeSettings(StrictModel):
    """Gossip with other relays, and the snapshot that survives a restart; both are off by default."""

    token_file: Path | None = None  # token that authenticates relays to each other; gossip is off without it
    peers: list[LoopbackAddress] = Field([], max_length=1000)
    address: LoopbackAddress | None = None  # address for peers, if it differs from that of the listener
    snapshot: Path | None = None
    snapshot_every_ms: Annotated[float, Field(ge=200, le=600_000)] = 2000.0
