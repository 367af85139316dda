"""Every decision of a relay. Its vocabulary (settings, events, actions) is in linnetstile/interface.py.

Messages for one destination wait in a `Lane`, which holds what this relay has seen of it: pace, health and
latency. Where a destination's endpoints are routes apart, each endpoint is a lane of its own.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .interface import (
    Action, AttemptEnded, Decay, Effect, Endpoint, EndpointList, Event, Fail, Listing, ListKind, Message,
    MessageClass, Outcome, Rates, Refuse, Scope, Send, SetTimer, Settings, TimerFired,
    WatchList, Withdrawn,
)

STEP_MS = 20.0  # how often waiting messages are looked at again: far below any aim, far above a tick
RETRY_MS = 120.0  # first pause before another try: about one round trip; doubles from try to try
RETRY_MAX_MS = 4000.0  # no pause is longer: beyond it a message's aim is lost anyway
GUESS_MS = 500.0  # latency assumed of a destination that has not answered yet
DEVIATIONS = 10.0  # a time-out lies so many mean deviations above the mean: answers have a long tail
LAST = 3.0  # the last try a message can have waits so many times longer: a late answer still saves it
OVERDUE = 4.0  # an answer is overdue so many mean deviations above the mean
STRETCH_MAX = 8.0  # time-outs double while calls time out (slow is not down), up to this factor
BURST_S, BURST = 2.0, 3.0  # calls saved up for a clump: seconds of the pace, and at least so many
GROWTH = 0.1  # pace gained with each success while the pace holds calls back
CUT = 0.7  # pace kept after a refusal above the limit
ROUGH = 1.5  # a rough listed rate may be this much too high
UNLISTED = 2.0  # calls a second tried at a destination with no listed rate, until refusals teach better
BLAME, BLAME_FULL = 0.3, 0.15  # weight of one failure (two in a row make an outage) or untold refusal
SICK = 0.5  # blame above which a destination is taken as out
TRUSTED = 0.25  # blame below which an unsafe message may be risked again
SHUT_MS = 2500.0  # a told wait longer than any span of a limit means shut
GAP_MS, GAP_MAX_MS = 300.0, 2500.0  # pauses between trickle calls to a suspect destination, growing
CAREFUL = 1.0  # part of the own cold budget that is used: all of it, the rule leaves slack for chance
CROWDED = 0.85  # share of the hold from which the least worth is refused to make room


@dataclass(slots=True)
class Held:
    """One message, from its arrival until it has ended and nothing is out for it."""

    msg: Message
    cls: MessageClass
    since: float  # when it was first handed in
    due: float
    worth: float
    ready: float
    tries: int = 0
    out: Endpoint | None = None
    out_since: float = 0.0
    first_risk: float | None = None  # send of the first attempt that may have run
    risk: Endpoint | None = None

    def worth_at(self, at: float, decay: Decay) -> float:
        late = at - self.since - self.cls.aim_ms
        if late <= 0 or at >= self.due:
            return self.worth if at < self.due else 0.0
        if decay is Decay.HALVES:
            return self.worth * max(self.cls.late_share, float(0.5 ** (late / self.cls.aim_ms)))
        return self.worth * (1 - (1 - self.cls.late_share) * late / (self.cls.deadline_ms - self.cls.aim_ms))


@dataclass(slots=True)
class Door:
    """One endpoint as this relay sees it."""

    entry: Endpoint
    out: int = 0
    blame: float = 0.0
    warm: list[float] = field(default_factory=list)  # when each idle connection was last used


@dataclass(slots=True)
class Lane:
    """One destination (or route apart): pace, health, latency."""

    doors: dict[int, Door] = field(default_factory=dict)
    rate: float | None = None
    base: float = UNLISTED
    pace: float = UNLISTED
    credit: float = 1.0
    credit_at: float = 0.0
    wait_until: float = 0.0
    mean: float = GUESS_MS
    dev: float = GUESS_MS / 2
    answered: bool = False
    stretch: float = 1.0
    blame: float = 0.0
    sick: bool = False
    ran_nothing: bool = False  # the latest failure proved no effect
    cold_since: float | None = None
    last_ok: float = -1e18
    gap: float = GAP_MS
    next_trickle: float = 0.0
    out: dict[int, float] = field(default_factory=dict)  # message id -> send time

    def patience(self) -> float:
        return (self.mean + DEVIATIONS * self.dev) * self.stretch

    def suspect(self, now: float) -> bool:
        """Out, or an answer is overdue and none came since that call: hung, stalled, gone or slow."""
        overdue = now - (self.mean + OVERDUE * self.dev) * self.stretch
        return self.sick or any(self.last_ok <= at < overdue for at in self.out.values())


Choice = tuple[float, Held, Door]  # worth per slot time, message, endpoint


class Relay:
    """Decides for one relay: feed it events with `handle`, carry out the actions that it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s = settings
        self.rng = random.Random(seed)
        self.held: dict[int, Held] = {}
        self.lanes: dict[tuple[int, int], Lane] = {}
        self.doors: dict[int, Door] = {}
        self.drained: set[int] = set()
        self.keys: dict[int, list[int]] = {}  # in-order key -> ids in order of arrival
        self.key_rest: dict[int, float] = {}
        self.shares = [(t.quota_per_s / settings.relays, [2.0 * t.quota_per_s / settings.relays, 0.0])
                       for t in settings.tenants]
        self.busy = 0
        self.timer_at = 0.0
        self.ask_at: float | None = None
        self.ask_fails = 0
        self.started = False

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        acts: list[Action] = []
        if not self.started:
            self.started = True
            self.ask_at = now_ms if self.s.ask_for_list else None
        for event in events:
            match event:
                case Message():
                    self._accept(now_ms, event)
                case AttemptEnded():
                    self._ended(now_ms, event)
                case EndpointList():
                    self._listed(now_ms, event)
                case Withdrawn():
                    self._forget(self.held.get(event.id))
                case TimerFired():
                    self.timer_at = 0.0
        if self.ask_at is not None and now_ms >= self.ask_at:
            acts.append(WatchList())
            self.ask_at = now_ms + self.s.safety.ask_within_ms / 2  # asks again should no answer come
        self._close_late(now_ms, acts)
        self._dispatch(now_ms, acts)
        self._make_room(acts, now_ms)
        wake = now_ms + STEP_MS if self.held else self.ask_at
        if wake is not None and (self.timer_at <= now_ms or wake < self.timer_at - STEP_MS):
            self.timer_at = max(wake, now_ms + 1.0)
            acts.append(SetTimer(self.timer_at - now_ms, 0))
        return acts

    # -- discovery ---------------------------------------------------------------------------------------

    def _listed(self, now: float, event: EndpointList) -> None:
        if event.kind is ListKind.FAILED:
            # Guards against failing or overloaded discovery: asks again after growing, jittered pauses.
            self.ask_fails = min(self.ask_fails + 1, 5)
            pause = min(GAP_MS * 2**self.ask_fails, self.s.safety.ask_within_ms / 4)
            self.ask_at = now + pause * self.rng.uniform(0.5, 1.0)
            return
        if event.kind is not ListKind.CACHED:
            self.ask_fails, self.ask_at = 0, None
        if event.kind is not ListKind.CHANGES:
            self.drained.update(set(self.doors) - {entry.id for entry in event.entries})
        for entry in event.entries:
            if entry.listing is not Listing.READY:
                self.drained.add(entry.id)
                continue
            self.drained.discard(entry.id)
            lane = self.lanes.setdefault(self._lane_key(entry), Lane(credit_at=now))
            known = self.doors.get(entry.id)
            if known is None or known.entry != entry:
                self.doors[entry.id] = lane.doors[entry.id] = Door(entry, known.out if known else 0)
            if self.s.rates is not Rates.NONE and entry.rate > 0 and lane.rate != entry.rate:
                lane.rate, lane.base = entry.rate, entry.rate / self.s.relays
                lane.pace = lane.base

    def _lane_key(self, entry: Endpoint) -> tuple[int, int]:
        kind = self.s.kinds[min(entry.kind, len(self.s.kinds) - 1)] if self.s.kinds else None
        return entry.destination, entry.id if kind and kind.routes_apart else -1

    # -- message life ------------------------------------------------------------------------------------

    def _accept(self, now: float, msg: Message) -> None:
        cls = self.s.classes[msg.class_]
        # An unmarked first try is new however little time it has left: some clients are just in a hurry.
        old = msg.again or msg.from_dead_relay or not self.s.marks_repeats
        since = now + msg.left_ms - cls.deadline_ms if old else now
        held = Held(msg, cls, since, now + msg.left_ms, cls.worth, now)
        if msg.tenant < len(self.shares):
            quota, bucket = self.shares[msg.tenant]
            bucket[:] = min(2 * quota, bucket[0] + quota * (now - bucket[1]) / 1000), now
            held.worth *= 1.0 if bucket[0] >= 1 else self.s.over_share_worth
            bucket[0] -= 1.0 if bucket[0] >= 1 else 0.0
        self.held[msg.id] = held
        if cls.in_order and msg.key:
            self.keys.setdefault(msg.key, []).append(msg.id)

    def _may_refuse(self, held: Held) -> bool:
        """A refusal promises that coming again is harmless: after an unclear attempt, only by effect."""
        if held.out is not None:
            return False
        if held.first_risk is None or held.cls.effect is Effect.SAFE:
            return True
        return held.cls.effect is Effect.KEYED and held.cls.key_scope is Scope.ALL

    def _may_send(self, now: float, held: Held, entry: Endpoint) -> bool:
        """The one gate of every send: attempts, drain, told wait, time, order, effect and key window."""
        lane = self.lanes[self._lane_key(entry)]
        if held.out is not None or entry.id in self.drained:
            return False
        if now < lane.wait_until or now < held.ready or now + lane.mean / 4 >= held.due:
            return False
        turn = self.keys.get(held.msg.key) if held.cls.in_order else None
        if turn and (turn[0] != held.msg.id or now < self.key_rest.get(held.msg.key, 0.0)):
            return False
        if held.risk is not None and held.cls.effect is Effect.KEYED and entry.id != held.risk.id:
            same_zone = held.cls.key_scope is Scope.ZONE and entry.zone == held.risk.zone
            if held.cls.key_scope is not Scope.ALL and not same_zone:
                return False
        return not self._hopeless(now, held)

    def _hopeless(self, now: float, held: Held) -> bool:
        """No further try is allowed: attempts are used up, or one may have run and must not be repeated."""
        if held.tries >= self.s.attempts or held.first_risk is None or held.cls.effect is Effect.SAFE:
            return held.tries >= self.s.attempts
        window = held.cls.key_window_ms - self.s.tick_ms
        return held.cls.effect is Effect.UNSAFE or now - held.first_risk >= window

    def _end(self, held: Held, acts: list[Action]) -> None:
        acts.append(Refuse(held.msg.id) if self._may_refuse(held) else Fail(held.msg.id))
        self._forget(held)

    def _forget(self, held: Held | None) -> None:
        if held is None:
            return
        if held.out is None:
            self.held.pop(held.msg.id, None)
            if held.cls.in_order and held.msg.key:
                line = self.keys[held.msg.key]
                line.remove(held.msg.id)
                if not line:
                    del self.keys[held.msg.key]
        else:
            held.due = -1.0  # withdrawn by the client: waits for its outcome only

    def _close_late(self, now: float, acts: list[Action]) -> None:
        """The deadline timer: ends what can no longer be delivered in time."""
        close = now + STEP_MS + 2 * self.s.tick_ms
        idle = [held for held in self.held.values() if held.out is None]
        for held in [h for h in idle if h.due <= close or self._hopeless(now, h)]:
            self._end(held, acts)

    def _make_room(self, acts: list[Action], now: float) -> None:
        """Refuses what would wait longest before the hold fills: a full one turns newcomers away unseen.

        The queue that needs longest gives up its least worth, so that a sick destination pays for itself.
        """
        for _ in range(len(self.held) - int(CROWDED * self.s.hold)):
            queues: dict[int, list[Held]] = {}
            for held in self.held.values():
                if self._may_refuse(held):
                    queues.setdefault(held.msg.destination, []).append(held)
            if queues:
                longest = max(queues, key=lambda dest: len(queues[dest]) / self._speed(now, dest))
                self._end(min(queues[longest], key=lambda h: h.worth_at(now, self.s.decay)), acts)

    def _lanes(self, dest: int) -> list[tuple[tuple[int, int], Lane]]:
        return [(key, lane) for key, lane in self.lanes.items() if key[0] == dest]

    def _speed(self, now: float, dest: int) -> float:
        """Calls a second that this relay may expect to place at a destination."""
        paces = [1000 / GAP_MAX_MS if lane.suspect(now) else lane.pace for _, lane in self._lanes(dest)]
        return sum(paces) or 0.01

    # -- outcomes: health, latency, pace -----------------------------------------------------------------

    def _ended(self, now: float, event: AttemptEnded) -> None:
        held = self.held.get(event.id)
        if held is None or held.out is None:
            return
        entry, held.out = held.out, None
        self.busy -= 1
        lane = self.lanes[self._lane_key(entry)]
        lane.out.pop(event.id, None)
        door = lane.doors[entry.id]
        door.out = max(0, door.out - 1)
        if not event.outcome.proves_no_effect and held.first_risk is None:
            held.first_risk, held.risk = held.out_since, entry
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED) and held.cls.in_order:
            self.key_rest[held.msg.key] = now + self.s.safety.key_rest_ms + self.s.tick_ms
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            door.warm.append(now)
        else:
            door.warm.clear()
        if event.outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            self._learn(now, door, event.outcome, event.latency_ms, event.wait_ms, held.out_since)
        if self.s.limit_report and len(event.report) > max(self.s.limit_report):
            left, limit = (event.report[n] for n in self.s.limit_report)
            if limit > 0:
                lane.rate, lane.base = limit, limit / self.s.relays
                lane.pace = min(limit, max(lane.pace * (1 + GROWTH * (2 * left - 0.5)), lane.base / 3))
        if event.finished or held.due < 0:
            self._forget(held)
            return
        # Both layers pause before the next try: growing and jittered; the gate adds told waits.
        pause = min(RETRY_MAX_MS, RETRY_MS * 2 ** (held.tries - 1)) * self.rng.uniform(0.7, 1.3)
        held.ready = now + pause

    def _learn(self, now: float, door: Door, outcome: Outcome, took: float, wait: float, sent: float) -> None:
        lane = self.lanes[self._lane_key(door.entry)]
        if outcome is Outcome.OK:
            gain = 0.15 if lane.answered else 1.0
            lane.dev += gain * (abs(took - lane.mean) - lane.dev) if lane.answered else 0.0
            lane.mean += gain * (took - lane.mean)
            lane.answered, lane.last_ok, lane.stretch = True, now, 1.0
            lane.blame, door.blame = lane.blame * (1 - BLAME), 0.0
            lane.gap, lane.next_trickle = GAP_MS, now
            if lane.sick and lane.blame < SICK:
                lane.sick, lane.cold_since = False, now
            lane.pace = min(lane.rate or 1e9, lane.pace * (1 + GROWTH)) if lane.credit < 1 else lane.pace
            return
        if wait > 0:
            lane.wait_until = max(lane.wait_until, now + wait + self.s.tick_ms)
        if outcome is Outcome.FULL:
            lane.pace = max(lane.base / 3, lane.pace * CUT)
            lane.credit = min(lane.credit, 0.0)
            weight = BLAME if wait > SHUT_MS else BLAME_FULL
        else:
            door.blame += 1
            weight = BLAME
        if outcome is Outcome.TIMEOUT:
            lane.stretch = min(STRETCH_MAX, lane.stretch * 2)
        # No connection and no answer since, or a long told wait, says more than one failure among successes.
        alone = outcome is Outcome.CONNECT_FAILED and lane.last_ok <= sent or wait > SHUT_MS
        lane.blame += (1.0 - lane.blame) * (SICK + 0.05 if alone else weight)
        lane.ran_nothing = outcome.proves_no_effect
        if lane.blame > SICK:
            lane.sick, lane.blame = True, min(lane.blame, 0.7)

    # -- choice ------------------------------------------------------------------------------------------

    def _room(self, now: float, lane: Lane) -> float:
        """Calls this lane may take now: pace, trickle while suspect, cold budget after an outage."""
        safety, part = self.s.safety, lane.base / (ROUGH if self.s.rates is Rates.ROUGH else 1.0)
        pace, burst = lane.pace, max(BURST, lane.pace * BURST_S)
        cold = CAREFUL * safety.fall_multiple * safety.cold_share * part
        if not lane.answered:
            burst = 1.0  # a restarted relay knows nothing: the destination may be cold
        if lane.suspect(now):
            if now < lane.next_trickle:
                return 0.0
            pace, burst = max(cold, 1000 / GAP_MAX_MS), 1.0
        elif lane.cold_since is not None and now < lane.cold_since + safety.cold_ms:
            warmth = (1 - safety.cold_share) * (now - lane.cold_since) / safety.cold_ms
            pace, burst = min(pace, cold * (1 + warmth / safety.cold_share)), 1.0
        lane.credit = min(burst, lane.credit + pace * (now - lane.credit_at) / 1000)
        lane.credit_at = now
        return lane.credit if burst > 1 or lane.credit >= 1 else -BURST

    def _door(self, now: float, held: Held, lane: Lane) -> Door | None:
        best: tuple[float, float, int] | None = None
        for door in lane.doors.values():
            if not self._may_send(now, held, door.entry):
                continue
            zone = door.entry.zone
            fee = self.s.route_fees[zone] if zone < len(self.s.route_fees) else 0.0
            fee += self.s.cross_zone_price if zone != self.s.zone else 0.0
            door.warm = [at for at in door.warm if now - at < self.s.idle_ms * 0.9]
            load = door.out + 4 * min(door.blame, 2.0) + (0.0 if door.warm else 0.9) + (1.5 if fee else 0.0)
            rank = (load, fee, door.entry.id)
            if best is None or rank < best:
                best = rank
        return lane.doors[best[2]] if best else None

    def _dispatch(self, now: float, acts: list[Action]) -> None:
        by_lane: dict[tuple[int, int], list[Held]] = {}
        for held in self.held.values():
            if held.out is None and now >= held.ready:
                for key, _ in self._lanes(held.msg.destination):
                    by_lane.setdefault(key, []).append(held)
        while by_lane and self.busy < self.s.slots:
            best: tuple[float, Held, Door, tuple[int, int]] | None = None
            for key in list(by_lane):
                found = self._pick(now, self.lanes[key], by_lane[key], len(by_lane) > 1)
                if found is None:
                    del by_lane[key]
                elif best is None or found[0] > best[0]:
                    best = (*found, key)
            if best is None:
                return
            held = best[1]
            self._send(now, held, best[2], self.lanes[best[3]], acts)
            by_lane = {k: [h for h in line if h is not held] for k, line in by_lane.items()}

    def _pick(self, now: float, lane: Lane, line: list[Held], others: bool) -> Choice | None:
        """The message of this lane with most worth still to win per slot time, if it may send at all."""
        suspect = lane.suspect(now)
        cap = max(1, self.s.slots // (4 if suspect else 2))
        if not line or len(lane.out) >= cap and (others or suspect):
            return None
        room = self._room(now, lane)
        # Slot time for one delivery, failed calls counted: keeps scarce slots for destinations that answer.
        cost = lane.mean + lane.blame * (lane.mean + DEVIATIONS * lane.dev) / (1 - lane.blame)
        best: Choice | None = None
        for held in line:
            risky = held.cls.effect is Effect.UNSAFE and not lane.ran_nothing
            if risky and (suspect or lane.blame > TRUSTED):
                continue  # guards unsafe messages: an unclear outcome would be final
            soon = held.worth_at(now + lane.mean, self.s.decay)
            later = held.worth_at(now + lane.mean + 1000.0, self.s.decay)
            value = (2 * soon - later) / cost
            if room < (1 - BURST if held.due < held.since + held.cls.aim_ms else 1):
                continue  # the pace is a guess: a client that won't wait for its aim may overdraw it
            if best is None or value > best[0]:
                door = self._door(now, held, lane)
                if door is not None:
                    best = (value, held, door)
        return best

    def _send(self, now: float, held: Held, door: Door, lane: Lane, acts: list[Action]) -> None:
        patience, until = lane.patience(), held.due
        last = held.tries + 1 >= self.s.attempts or held.cls.effect is Effect.UNSAFE
        if held.cls.effect is Effect.KEYED:
            risk = held.first_risk if held.first_risk is not None else now
            last = last or now + patience + RETRY_MS * 2**held.tries > risk + held.cls.key_window_ms
        if last or now + 2 * patience < held.due:
            until = min(held.due, now + patience * (LAST if last else 1.0))
        if door.warm:
            door.warm.pop()
        held.out, held.out_since, held.tries = door.entry, now, held.tries + 1
        door.out += 1
        lane.out[held.msg.id] = now
        lane.credit -= 1
        if lane.suspect(now):
            lane.gap = min(GAP_MAX_MS, lane.gap * 1.5)
            lane.next_trickle = now + lane.gap * self.rng.uniform(0.7, 1.3)
        self.busy += 1
        acts.append(Send(held.msg.id, door.entry.id, until))
