"""The settings file of a relay; docs/operate/relay.md explains each key.

Times are in ms unless the name ends in `_s`.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, model_validator

from ..engine.routing import Rule
from ..engine.settings import Settings
from . import engine_mapping
from .addresses import LoopbackAddress, LoopbackUrl, PartnerUrl, require_loopback, require_loopback_url, split_address
from .files import StrictModel
from .numbers import Count, Fraction, NonNegative
from .sections import (
    ClassSettings,
    GoalSettings,
    IdentitySettings,
    KindSettings,
    KnowledgeSettings,
    LimitSettings,
    PartnerSettings,
    RuleSettings,
    SafetySettings,
    TenantSettings,
    TlsSettings,
    ZoneSettings,
)

__all__ = [
    "LoopbackAddress",
    "ClassSettings",
    "KnowledgeSettings",
    "LimitSettings",
    "PartnerUrl",
    "RelaySettings",
    "SafetySettings",
    "require_loopback",
    "require_loopback_url",
    "split_address",
]

# Terms of the memory bound, in bytes; docs/design/slow-peers.md derives each of them.
PROCESS_BYTES = 96 << 20
TLS_CONNECTION_BYTES = 112 << 10
PLAIN_CONNECTION_BYTES = 48 << 10
BODIES_IN_PROGRESS = 2  # bodies in addition to `hold_bytes`: one being joined, one being digested for its receipt
CALL_BYTES = 256 << 10  # memory of one call to a partner in addition to its receipt
REMEMBERED_MESSAGE_BYTES = 1024  # memory of the stored answer to one message in addition to `remember_bytes`

# Terms of the bound on open files.
NEW_CONNECTIONS = 64  # connections that are accepted and not counted yet
FILES_PER_SLOT = 3  # files of a call, an idle connection and a receipt delivery
REGISTRY_AND_ADMIN_FILES = 16
PROCESS_FILES = 32  # open files of the program itself


class RelaySettings(StrictModel):
    """The settings file of a relay."""

    name: str = Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")
    listen: LoopbackAddress = "127.0.0.1:0"
    register_url: LoopbackUrl = Field(alias="register")
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
    over_share_worth: Fraction = 1.0
    cross_zone_price: NonNegative = 0.0
    receipts_sha1: bool = False  # accept signatures over SHA-1, for partners that support no stronger digest
    safety: SafetySettings = SafetySettings()
    goal: GoalSettings = GoalSettings()
    knowledge: KnowledgeSettings = KnowledgeSettings()
    tls: TlsSettings | None = None
    admin: Path | None = None  # local socket for `linnetstile show`
    metrics: LoopbackAddress | None = None  # address that serves /metrics
    seed: int = 0

    @model_validator(mode="after")
    def _check_references(self) -> RelaySettings:
        for index, rule in enumerate(self.rules):
            if rule.class_ not in self.classes:
                known = ", ".join(self.classes)
                raise ValueError(f"rules.{index}.class: expected one of {known}, not {rule.class_!r}")
            if rule.tenant is not None and rule.tenant not in self.tenants:
                raise ValueError(f"rules.{index}.tenant: {rule.tenant!r} is not among the tenants")
        if self.zone is not None and self.zone not in self.zones:
            raise ValueError(f"zone: {self.zone!r} is not among the zones")
        return self

    def max_memory_bytes(self) -> int:
        """Return the upper bound on the memory of the process, which holds regardless of what peers do."""
        limits = self.limits
        connection_bytes = TLS_CONNECTION_BYTES if self.tls else PLAIN_CONNECTION_BYTES
        return (
            PROCESS_BYTES
            + limits.connections * connection_bytes
            + limits.hold_bytes
            + BODIES_IN_PROGRESS * limits.body_bytes
            + limits.slots * (limits.receipt_bytes + CALL_BYTES)
            + limits.remember_bytes
            + limits.remember * REMEMBERED_MESSAGE_BYTES
        )

    def max_open_files(self) -> int:
        """Return the upper bound on the number of open files of the process."""
        limits = self.limits
        return (
            limits.connections
            + NEW_CONNECTIONS
            + FILES_PER_SLOT * limits.slots
            + len(self.knowledge.peers)
            + REGISTRY_AND_ADMIN_FILES
            + PROCESS_FILES
        )

    def routing_rules(self) -> tuple[Rule, ...]:
        """Return the rules that assign a class and a tenant to messages."""
        return engine_mapping.routing_rules(self)

    def engine_settings(self) -> Settings:
        """Return the settings of the engine."""
        return engine_mapping.engine_settings(self)
