"""Reads what a relay knows out of the module's memory, as claims to be handed on. Decides nothing about messages."""

from __future__ import annotations

from collections.abc import Mapping

from .control import Relay
from .knowledge import Claim
from .state import NEVER, Lane


def _age(now: float, at: float) -> float | None:
    return None if at == NEVER else max(0.0, now - at)


def claim(relay: Relay, now: float, partner: str, route: int, lane: Lane, ends: tuple[int, ...]) -> Claim | None:
    """Own evidence only: what was learned from others is not passed on, or a rumour would outlive its cause."""
    if lane.hearsay or lane.last_ok == NEVER and lane.failed_at == NEVER and lane.wait_until <= now:
        return None
    back = _age(now, lane.cold_since)
    cold = back is not None and back < relay.s.safety.cold_ms
    return Claim(
        partner,
        route,
        ends,
        _age(now, lane.last_ok),
        _age(now, lane.failed_at),
        _age(now, lane.bad_since) if lane.sick and lane.bad_since is not None else None,
        back if cold and not lane.sick else None,
        max(0.0, lane.wait_until - now) if lane.wait_until > now else 0.0,
        lane.mean,
        lane.dev,
        lane.answers,
        relay._knowers(now, lane) if lane.sick else lane.knowers,
        lane.pace if now < lane.free_at else 0.0,
    )


def few(relay: Relay) -> dict[str, float]:
    """By name of the kind: part of its late answers that followed a missed connection."""
    kinds = relay.s.kinds
    return {kinds[kind].name: part for kind, part in sorted(relay.blocked.items()) if kind < len(kinds)}


def claims(relay: Relay, now: float, names: Mapping[int, str]) -> list[Claim]:
    """All claims of a relay, of destinations in use and at rest; `names` gives the partner's name by its number."""
    found = (
        claim(relay, now, names[dest], route, lane, ends)
        for dest in sorted(relay.destinations.lanes.keys() | relay.destinations.rests.keys())
        if dest in names
        for route, (lane, ends) in sorted(relay.destinations.known(dest).items())
    )
    return [each for each in found if each is not None]


def lanes(relay: Relay, names: Mapping[int, str]) -> tuple[dict[tuple[str, int], set[int]], set[tuple[str, int]]]:
    """The lanes that there are or would be, with their endpoints, and those that this relay has evidence of itself."""
    ends: dict[tuple[str, int], set[int]] = {}
    seen: set[tuple[str, int]] = set()
    for entry in relay.destinations.index:
        dest, route = relay.destinations.key(entry)
        if dest in names:
            ends.setdefault((names[dest], route), set()).add(entry.id)
    for dest in relay.destinations.lanes.keys() | relay.destinations.rests.keys():
        for route, (lane, _) in relay.destinations.known(dest).items() if dest in names else ():
            if lane.last_ok != NEVER or lane.failed_at != NEVER and not lane.hearsay:
                seen.add((names[dest], route))
    return ends, seen & ends.keys()
