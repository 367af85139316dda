"""Helpers that drive a `Relay` by hand; they play no servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings as hypothesis_settings

from linnetstile.engine.actions import Action, Fail, Reject, Send
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import (
    AttemptEnded,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    ListKind,
    Message,
    Outcome,
    TimerFired,
)
from linnetstile.engine.settings import DestinationKind, Effect, MessageClass, RateTrust, SafetyLimits, Settings

hypothesis_settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
hypothesis_settings.load_profile("fixed")

CLASSES = tuple(MessageClass(effect.value, effect, 1000.0, 10000.0, 1.0, 0.5, 3000.0) for effect in Effect)
SAFE, KEYED, UNSAFE = range(3)
UNCLEAR = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)


def make_settings(**more: Any) -> Settings:
    values: dict[str, Any] = {
        "classes": CLASSES,
        "kinds": (DestinationKind("k"),),
        "max_in_flight": 8,
        "max_pending_messages": 40,
        "max_attempts": 5,
        "relay_count": 2,
        "rate_trust": RateTrust.NOMINAL,
        "idle_timeout_ms": 10000.0,
        "tick_ms": 5.0,
        "safety": SafetyLimits(20.0, 250.0, 0.2, 9000.0, 2.0, 1500.0, 10000.0, 100.0),
    }
    return Settings(**{**values, **more})


@dataclass
class Driver:
    """A relay, a clock, and what has been sent and ended so far."""

    settings: Settings = field(default_factory=make_settings)
    now: float = 1000.0
    seed: int = 1
    sent: list[tuple[float, Send]] = field(default_factory=list)
    ended: dict[int, Action] = field(default_factory=dict)
    other: list[tuple[float, Action]] = field(default_factory=list)
    tries: dict[int, int] = field(default_factory=dict)
    ids: int = 0
    out: dict[int, Send] = field(default_factory=dict)  # calls without an outcome

    def __post_init__(self) -> None:
        self.relay = DeliveryEngine(self.settings, self.seed)

    def feed(self, *events: Event) -> list[Action]:
        actions = self.relay.handle(self.now, list(events))
        for act in actions:
            if isinstance(act, Send):
                self.sent.append((self.now, act))
                self.tries[act.id] = self.tries.get(act.id, 0) + 1
                self.out[act.id] = act
            elif isinstance(act, Reject | Fail):
                assert act.id not in self.ended, "a message ended twice"
                self.ended[act.id] = act
            else:
                self.other.append((self.now, act))
        return actions

    def listed(self, *entries: tuple[int, int], rate: float = 20.0, kind: int = 0) -> None:
        self.feed(
            EndpointList(
                ListKind.CACHED,
                tuple(
                    Endpoint(ident, destination, EndpointStatus.READY, kind, 0, rate) for ident, destination in entries
                ),
            )
        )

    def message(
        self, class_: int = SAFE, destination: int = 1, left: float = 1e4, key: int = 0, tenant: int = 0
    ) -> int:
        self.ids += 1
        self.feed(Message(self.ids, destination, class_, left, tenant, key))
        return self.ids

    def pass_time(self, ms: float, step: float = 5.0) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += step
            self.feed(TimerFired(0))

    def last(self, ident: int) -> tuple[float, Send]:
        return [entry for entry in self.sent if entry[1].id == ident][-1]

    def answer(
        self,
        ident: int,
        outcome: Outcome = Outcome.OK,
        wait: float = 0.0,
        took: float = 100.0,
        report: tuple[float, ...] = (),
    ) -> list[Action]:
        send = self.out.pop(ident)
        return self.feed(
            AttemptEnded(
                ident,
                self.tries[ident] - 1,
                send.endpoint,
                outcome,
                took,
                outcome is Outcome.OK,
                wait,
                load_report=report,
            )
        )

    def warm_up(self, destination: int = 1, calls: int = 6) -> None:
        """Some quick answers, so that the destination is known and well."""
        for _ in range(calls):
            ident = self.message(SAFE, destination)
            while not self.tries.get(ident):
                self.pass_time(20)
            self.pass_time(100)
            self.answer(ident)
