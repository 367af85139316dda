"""Helpers that drive a `Relay` by hand; they play no servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings as hypothesis_settings

from linnetstile.decisions import interface as api
from linnetstile.decisions.control import Relay

hypothesis_settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
hypothesis_settings.load_profile("fixed")

CLASSES = tuple(api.MessageClass(effect.value, effect, 1000.0, 10000.0, 1.0, 0.5, 3000.0) for effect in api.Effect)
SAFE, KEYED, UNSAFE = range(3)
UNCLEAR = (api.Outcome.ERROR, api.Outcome.TIMEOUT, api.Outcome.RESET)


def make_settings(**more: Any) -> api.Settings:
    values: dict[str, Any] = {
        "classes": CLASSES,
        "kinds": (api.DestinationKind("k"),),
        "slots": 8,
        "hold": 40,
        "attempts": 5,
        "relays": 2,
        "rates": api.Rates.NOMINAL,
        "idle_ms": 10000.0,
        "tick_ms": 5.0,
        "safety": api.Safety(20.0, 250.0, 0.2, 9000.0, 2.0, 1500.0, 10000.0, 100.0),
    }
    return api.Settings(**{**values, **more})


@dataclass
class Driver:
    """A relay, a clock, and what has been sent and ended so far."""

    settings: api.Settings = field(default_factory=make_settings)
    now: float = 1000.0
    seed: int = 1
    sent: list[tuple[float, api.Send]] = field(default_factory=list)
    ended: dict[int, api.Action] = field(default_factory=dict)
    other: list[tuple[float, api.Action]] = field(default_factory=list)
    tries: dict[int, int] = field(default_factory=dict)
    ids: int = 0
    out: dict[int, api.Send] = field(default_factory=dict)  # calls without an outcome

    def __post_init__(self) -> None:
        self.relay = Relay(self.settings, self.seed)

    def feed(self, *events: api.Event) -> list[api.Action]:
        acts = self.relay.handle(self.now, list(events))
        for act in acts:
            if isinstance(act, api.Send):
                self.sent.append((self.now, act))
                self.tries[act.id] = self.tries.get(act.id, 0) + 1
                self.out[act.id] = act
            elif isinstance(act, api.Refuse | api.Fail):
                assert act.id not in self.ended, "a message ended twice"
                self.ended[act.id] = act
            else:
                self.other.append((self.now, act))
        return acts

    def listed(self, *entries: tuple[int, int], rate: float = 20.0, kind: int = 0) -> None:
        self.feed(
            api.EndpointList(
                api.ListKind.CACHED,
                tuple(api.Endpoint(ident, dest, api.Listing.READY, kind, 0, rate) for ident, dest in entries),
            )
        )

    def message(self, class_: int = SAFE, dest: int = 1, left: float = 1e4, key: int = 0, tenant: int = 0) -> int:
        self.ids += 1
        self.feed(api.Message(self.ids, dest, class_, left, tenant, key))
        return self.ids

    def pass_time(self, ms: float, step: float = 5.0) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += step
            self.feed(api.TimerFired(0))

    def last(self, ident: int) -> tuple[float, api.Send]:
        return [entry for entry in self.sent if entry[1].id == ident][-1]

    def answer(
        self,
        ident: int,
        outcome: api.Outcome = api.Outcome.OK,
        wait: float = 0.0,
        took: float = 100.0,
        report: tuple[float, ...] = (),
    ) -> list[api.Action]:
        send = self.out.pop(ident)
        return self.feed(
            api.AttemptEnded(
                ident,
                self.tries[ident] - 1,
                send.endpoint,
                outcome,
                took,
                outcome is api.Outcome.OK,
                wait,
                report=report,
            )
        )

    def warm_up(self, dest: int = 1, calls: int = 6) -> None:
        """Some quick answers, so that the destination is known and well."""
        for _ in range(calls):
            ident = self.message(SAFE, dest)
            while not self.tries.get(ident):
                self.pass_time(20)
            self.pass_time(100)
            self.answer(ident)
