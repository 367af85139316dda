"""The settings of one relay, and what the decision module is handed of them. Times are in ms unless named _s."""

from __future__ import annotations

import ipaddress
import urllib.parse
from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, Field, model_validator

from linnetstile.engine.settings import (
    DeduplicationScope,
    DestinationKind,
    Effect,
    MessageClass,
    RateTrust,
    SafetyLimits,
    ScoreWeights,
    Settings,
    Tenant,
    ValueDecay,
)

from ..engine.fair_share import RESERVE_FRACTION
from ..engine.routing import Rule
from .files import Strict

Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
NotNegative = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Share = Annotated[float, Field(ge=0, le=1)]


def loopback(text: str) -> str:
    """An address this program may listen on or call: `127.x.y.z:port` or `[::1]:port`."""
    host, colon, port = text.rpartition(":")
    try:
        inside = ipaddress.ip_address(host.strip("[]")).is_loopback
    except ValueError:
        inside = False
    if not colon or not inside or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError("expected a loopback address and port, such as 127.0.0.1:4080")
    return text


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def loopback_url(text: str, schemes: tuple[str, ...] = ("http",)) -> str:
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in schemes or parts.username or parts.fragment:
        raise ValueError(f"expected a URL such as {schemes[-1]}://127.0.0.1:4090/as2")
    loopback(parts.netloc)
    return text


Address = Annotated[str, AfterValidator(loopback)]
PartnerUrl = Annotated[str, AfterValidator(lambda text: loopback_url(text, ("http", "https")))]
Url = Annotated[str, AfterValidator(loopback_url)]


class ClassSettings(Strict):
    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Positive
    deadline_ms: Positive
    worth: NotNegative = 1.0
    late_share: Share = 0.0
    key_window_ms: NotNegative = 0.0
    key_scope: Literal["all", "zone", "endpoint"] = "all"
    in_order: bool = False

    @model_validator(mode="after")
    def _whole(self) -> ClassSettings:
        if self.aim_ms > self.deadline_ms:
            raise ValueError("expected aim_ms to be at most deadline_ms")
        if self.effect == "keyed" and not self.key_window_ms:
            raise ValueError("expected key_window_ms above 0 for a keyed class")
        return self


class KindSettings(Strict):
    batch: Literal[1] = 1  # AS2 carries one message in a request
    routes_apart: bool = False


class RuleSettings(Strict):
    class_: str = Field(alias="class")
    tenant: str | None = None
    sender: str = Field("*", alias="from")
    receiver: str = Field("*", alias="to")
    subject: str = "*"
    content_type: str = "*"


class PartnerSettings(Strict):
    certificate: Path | None = None  # PEM; receipts must be signed by its key where a signature was asked for
    receipts: Literal["sync", "async"] = "sync"
    tls: PartnerTlsSettings | None = None


class SafetySettings(Strict):
    answer_slack_ms: NotNegative = 20.0
    drain_grace_ms: NotNegative = 250.0
    cold_share: Annotated[float, Field(gt=0, le=1)] = 0.2
    cold_ms: NotNegative = 10_000.0
    fall_multiple: Positive = 2.0
    fall_ms: Positive = 1500.0
    ask_within_ms: Positive = 10_000.0
    key_rest_ms: NotNegative = 100.0


class GoalSettings(Strict):
    whole: NotNegative = 1.0
    worst_window: NotNegative = 0.0
    worst_class: NotNegative = 0.0
    worst_tenant: NotNegative = 0.0


class ZoneSettings(Strict):
    fee: NotNegative = 0.0


class TenantSettings(Strict):
    quota_per_s: Positive
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0  # of its part of the room, against other tenants


class LimitSettings(Strict):
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
    room_wait_ms: NotNegative = 2000.0
    receipt_bytes: Annotated[int, Field(ge=4096, le=1 << 26)] = 256 * 1024
    remember_bytes: Annotated[int, Field(ge=1 << 16, le=1 << 40)] = 64 * 1024 * 1024
    body_rate: NotNegative = 1024.0  # least rates, bytes a second; 0 = none: a client's body
    answer_rate: NotNegative = 1024.0  # a client reading its answer
    request_rate: NotNegative = 1024.0  # a partner reading a request
    response_rate: NotNegative = 1024.0  # a partner's answer, from its first byte on
    stall_ms: Positive = 5000.0  # of standing still that the least rates forgive
    self_check_ms: NotNegative = 0.0  # asserts that nothing leaks, so often; 0 = never
    remember_ms: Positive = 600_000.0
    remember: Count = 100_000
    longest_advice_ms: NotNegative = 30_000.0
    stop_ms: NotNegative | None = None  # None: until the last held message has had its time

    @model_validator(mode="after")
    def _room(self) -> LimitSettings:
        if self.hold_bytes * (1 - RESERVE_FRACTION) < self.body_bytes + 16_384:
            raise ValueError("expected hold_bytes to be at least 16/15 of body_bytes and 17476 more: one must fit")
        return self


class TlsSettings(Strict):
    """The listener's. Files are read again when they change."""

    certificate: Path  # PEM, the chain behind it
    key: Path | None = None  # if not in the same file
    client_authorities: Path | None = None  # PEM: who signs the clients' certificates
    need_client: bool = False  # no handshake without one

    @model_validator(mode="after")
    def _whole(self) -> TlsSettings:
        if self.need_client and self.client_authorities is None:
            raise ValueError("expected client_authorities where need_client is set")
        return self


class PartnerTlsSettings(Strict):
    """For partners whose URL is https."""

    authorities: Path  # PEM: who signs the partner's certificate, or that certificate itself
    name: str | None = Field(None, min_length=1, max_length=253)  # that it must show, if not the host of its URL
    certificate: Path | None = None  # the relay's own, where the partner asks for one
    key: Path | None = None


class IdentitySettings(Strict):
    as2_name: str = Field("linnetstile", min_length=1, max_length=128)
    pem: Path | None = None  # key and certificate, for the relay's own receipts


class KnowledgeSettings(Strict):
    """Learning from other relays and from before a restart; nothing of it happens unless it is set."""

    token_file: Path | None = None  # what relays show each other; without it nobody is told anything
    peers: list[Address] = Field([], max_length=1000)
    address: Address | None = None  # how peers reach this relay, if not as it listens
    snapshot: Path | None = None
    snapshot_every_ms: Annotated[float, Field(ge=200, le=600_000)] = 2000.0


class RelaySettings(Strict):
    """The whole file."""

    name: str = Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")
    listen: Address = "127.0.0.1:0"
    register_url: Url = Field(alias="register")
    relays: Count = 1
    zone: str | None = None
    identity: IdentitySettings = IdentitySettings()
    classes: Annotated[dict[str, ClassSettings], Field(min_length=1)]
    kinds: dict[str, KindSettings] = {}
    zones: dict[str, ZoneSettings] = {}
    tenants: dict[str, TenantSettings] = {}
    rules: Annotated[list[RuleSettings], Field(min_length=1)]
    partners: dict[str, PartnerSettings] = {}
    limits: LimitSettings
    rates: Literal["none", "nominal", "rough"] = "nominal"
    decay: Literal["line", "halves"] = "line"
    over_share_worth: Share = 1.0
    cross_zone_price: NotNegative = 0.0
    receipts_sha1: bool = False  # read signatures over SHA-1, for partners that can do no better
    safety: SafetySettings = SafetySettings()
    goal: GoalSettings = GoalSettings()
    knowledge: KnowledgeSettings = KnowledgeSettings()
    tls: TlsSettings | None = None
    admin: Path | None = None  # local socket for `linnetstile show`
    metrics: Address | None = None  # where scrapers read /metrics
    seed: int = 0

    @model_validator(mode="after")
    def _names(self) -> RelaySettings:
        for n, rule in enumerate(self.rules):
            if rule.class_ not in self.classes:
                raise ValueError(f"rules.{n}.class: expected one of {', '.join(self.classes)}, not {rule.class_!r}")
            if rule.tenant is not None and rule.tenant not in self.tenants:
                raise ValueError(f"rules.{n}.tenant: {rule.tenant!r} is not among the tenants")
        if self.zone is not None and self.zone not in self.zones:
            raise ValueError(f"zone: {self.zone!r} is not among the zones")
        return self

    def memory_bound(self) -> int:
        """Bytes that the process stays under whatever peers do (docs/design/slow-peers.md gives each term)."""
        limits = self.limits
        return (
            (96 << 20)
            + limits.connections * (112 << 10 if self.tls else 48 << 10)
            + limits.hold_bytes
            + 2 * limits.body_bytes
            + limits.slots * (limits.receipt_bytes + (256 << 10))
            + limits.remember_bytes
            + limits.remember * 1024
        )

    def files_bound(self) -> int:
        """Open files that the process stays under: clients and those just taken, calls out and kept, hand-backs, the
        register, peers, the admin socket, and what the program itself has open."""
        limits = self.limits
        return limits.connections + 64 + 3 * limits.slots + len(self.knowledge.peers) + 16 + 32

    def router_rules(self) -> tuple[Rule, ...]:
        classes, tenants = list(self.classes), list(self.tenants)
        # Without a tenant a message has the number behind the last one, which no quota names.
        return tuple(
            Rule(
                classes.index(r.class_),
                len(tenants) if r.tenant is None else tenants.index(r.tenant),
                r.sender,
                r.receiver,
                r.subject,
                r.content_type,
            )
            for r in self.rules
        )

    def module(self) -> Settings:
        """What the decision module is told."""
        return Settings(
            classes=tuple(
                MessageClass(
                    name,
                    Effect(c.effect),
                    c.aim_ms,
                    c.deadline_ms,
                    c.worth,
                    c.late_share,
                    c.key_window_ms,
                    DeduplicationScope(c.key_scope),
                    c.in_order,
                )
                for name, c in self.classes.items()
            ),
            kinds=tuple(DestinationKind(name, k.batch, k.routes_apart) for name, k in self.kinds.items())
            or (DestinationKind("any"),),
            max_in_flight=self.limits.slots,
            max_pending_messages=self.limits.hold,
            max_attempts=self.limits.attempts,
            relay_count=self.relays,
            zone=list(self.zones).index(self.zone) if self.zone is not None else 0,
            tenants=tuple(Tenant(name, t.quota_per_s) for name, t in self.tenants.items()),
            over_quota_value_factor=self.over_share_worth,
            value_decay=ValueDecay(self.decay),
            rate_trust=RateTrust(self.rates),
            polls_for_list=True,
            idle_timeout_ms=self.limits.idle_ms,
            connect_timeout_ms=self.limits.connect_timeout_ms,
            max_retry_after_ms=self.limits.longest_advice_ms,
            cross_zone_price=self.cross_zone_price,
            route_fees=tuple(z.fee for z in self.zones.values()),
            safety=SafetyLimits(
                answer_slack_ms=self.safety.answer_slack_ms,
                drain_grace_ms=self.safety.drain_grace_ms,
                slow_start_fraction=self.safety.cold_share,
                slow_start_ms=self.safety.cold_ms,
                overload_multiple=self.safety.fall_multiple,
                overload_window_ms=self.safety.fall_ms,
                poll_within_ms=self.safety.ask_within_ms,
                ordering_pause_ms=self.safety.key_rest_ms,
            ),
            score_weights=ScoreWeights(
                whole_day=self.goal.whole,
                worst_window=self.goal.worst_window,
                worst_class=self.goal.worst_class,
                worst_tenant=self.goal.worst_tenant,
            ),
        )
