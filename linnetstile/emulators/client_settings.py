"""The settings file of the client emulator."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from pydantic import Field

from ..config.files import StrictModel
from ..config.relay import LoopbackAddress
from ..engine.settings import Effect


class RelaySpec(StrictModel):
    """A relay that clients submit to."""

    name: str
    address: LoopbackAddress


class FlowSpec(StrictModel):
    """Messages of one class from one sender to one partner."""

    sender: str
    receiver: str
    message_class: str = Field(alias="cls")
    subject: str
    per_s: float = Field(gt=0)


class Surge(StrictModel):
    """A span of time with a multiple of the normal traffic."""

    at_s: float = Field(ge=0)
    for_s: float = Field(gt=0)
    times: float = Field(gt=0)
    receivers: list[str] = []  # empty = all

    def affects(self, flow: FlowSpec, at_s: float) -> bool:
        """Whether the surge multiplies a flow at this time."""
        is_on = self.at_s <= at_s < self.at_s + self.for_s
        return is_on and (not self.receivers or flow.receiver in self.receivers)


class ClassSpec(StrictModel):
    """The properties of a message class that clients need."""

    effect: Literal["safe", "keyed", "unsafe"]
    deadline_ms: float

    @property
    def may_repeat(self) -> bool:
        """Whether a message may be submitted again after an unclear outcome."""
        return Effect(self.effect) is not Effect.NON_IDEMPOTENT


class ClientSpec(StrictModel):
    """The settings file of one emulator process; the aliases are its keys."""

    seed: int = 1
    # Start of the script by the clock of the run; None = now, infinite = it is told later.
    t0_ms: float | None = None
    seconds: float = Field(gt=0)
    record: Path | None = None
    relays: list[RelaySpec] = Field(min_length=1)
    classes: dict[str, ClassSpec]
    flows: list[FlowSpec] = Field(min_length=1)
    surges: list[Surge] = []
    senders_pem: dict[str, Path] = {}
    partners_pem: dict[str, Path] = {}
    relay_pem: Path | None = None
    signed: float = Field(0.3, ge=0, le=1)
    compressed: float = Field(0.1, ge=0, le=1)
    receipts: float = Field(0.9, ge=0, le=1)  # share of the messages that ask for a signed receipt
    asynchronous: float = Field(0.0, ge=0, le=1)  # share of the receipts that are sent to a receipt address
    repeats: float = Field(0.02, ge=0, le=1)  # share of the messages submitted twice to the same relay
    bytes: int = Field(600, ge=1)
    max_submissions: int = Field(3, ge=1, alias="tries")  # of each message
    min_backoff_ms: tuple[float, float] = Field((300.0, 900.0), alias="back_ms")  # range; a longer Retry-After wins
