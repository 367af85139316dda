"""Every decision of a relay. Vocabulary: decisions/interface.py; memory: decisions/state.py.

Messages for a destination wait in its queue; what was seen of it is in its `Lane` (one a route, if apart),
which it has while it is in use: destinations.py, and resting.py for what is kept of it beyond."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict

from .backlog import saved_up
from .connections import Places
from .destinations import Destinations
from .interface import (
    Action,
    AttemptEnded,
    CloseIdle,
    Effect,
    Endpoint,
    EndpointList,
    Event,
    Fail,
    Learned,
    Leaving,
    ListKind,
    Message,
    Outcome,
    Rates,
    Recall,
    Refuse,
    Resumed,
    Scope,
    Send,
    SetTimer,
    Settings,
    Shared,
    TimerFired,
    WatchList,
    Withdrawn,
)
from .room import turns, urgency
from .state import NEVER, Board, Call, Door, Flow, Held, Lane

MARGIN_MS = 20.0  # messages are closed so long before their time is up
LOOK_MS = 500.0  # a queue that waits for something is looked at again at least so often
FADE_MS = 10000.0  # older evidence counts no more: an answer or a failure of so long ago
HOLD_MS, HOLD_MAX_MS = 4000.0, 16000.0  # a refusal paces for so long: a clump's time; doubles while refused
RETRY_MS = 120.0  # first pause before another try: about one round trip; doubles from try to try
RETRY_MAX_MS = 4000.0  # no pause is longer: beyond it a message's aim is lost anyway
USUAL_MS = 500.0, 250.0  # latency and its mean deviation, until destinations have answered
DEVIATIONS = 10.0  # a time-out lies so many mean deviations above the mean: answers have a long tail
LAST = 3.0  # the last try a message can have waits so many times longer: a late answer still saves it
OVERDUE = 4.0  # an answer is overdue so many mean deviations above the mean
STRETCH_MAX = 8.0  # time-outs double while calls time out (slow is not down), up to this factor
BURST_S, BURST = 2.0, 3.0  # calls saved up for a clump: seconds of the pace, and at least so many
START = 0.5  # calls a second that one of many relays may send unpaced, until one is refused
RISE, GROWTH = 0.5, 0.1  # pace gained with each success that finds it bound: unrefused of late, or paced
CUT = 0.7  # pace kept after a refusal above the limit
ROUGH = 1.5  # a rough listed rate may be this much too high
BLAME = 0.3  # weight of one failure: two in a row make an outage
SICK = 0.5  # blame above which a destination is taken as out
TRUSTED = 0.25  # blame below which an unsafe message may be risked again
SHUT_MS = 2500.0  # told waits and refusals without a break longer than any span of a limit mean shut
SEEN = 0.05  # weight of one call in what is known of a kind of destination: some twenty calls
SCARCE = 0.04  # part of answers after a missed connection above which idle ones are closed: one in SEEN
KEPT = 0.9  # part of the idle time after which a connection counts as closed: the peer's clock may be ahead
SUDDEN = 0.3  # a kept connection reset within this part of a usual answer had been closed before
STALE = 0.02  # part of the calls on kept connections that met a closed one, above which unsafe ones wait
MET = 0.5  # part of the calls since an outage began that another relay made: so many may know of it
CRAWL = 8.0  # a call takes so many times as long as a usual answer (harmonic mean): its destination crawls
CROWDED = 0.85  # share of the hold from which the least worth is refused to make room
EARLY, GIVEN_BACK = 0.7, 0.3  # a message given back in so much of its time costs so much of its worth more


def averaged(mean: float, dev: float, took: float, gain: float) -> tuple[float, float]:
    return mean + gain * (took - mean), dev + gain * (abs(took - mean) - dev)


def suspect(lane: Lane, now: float) -> bool:
    """Out, or each endpoint owes an answer that is overdue, and none came since: hung, gone or slow."""
    if lane.sick or not lane.out:
        return lane.sick
    overdue = now - (lane.mean + OVERDUE * lane.dev) * lane.stretch
    late = [call.door for call in lane.out if lane.last_ok <= call.since < overdue]
    return bool(late) and {door.entry.id for door in late}.issuperset(lane.doors)


class Relay:
    """Decides for one relay: feed it events with `handle`, carry out the actions that it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s = settings
        self.rng = random.Random(seed)
        self.board = Board()
        self.ends: list[tuple[float, int]] = []  # heap: when a message can no longer be delivered
        self.destinations = Destinations(settings, FADE_MS, self.board.queues, self._attach)
        self.lanes, self.doors = self.destinations.lanes, self.destinations.doors  # of those in use
        self.key_rest: dict[int, float] = {}  # in-order key -> end of its rest
        self.shares = [(float("inf"), 0.0) for _ in settings.tenants]  # as much as may be saved up
        self.usual = USUAL_MS  # latency over all destinations: what one not yet seen is taken for
        self.haste = 1 / USUAL_MS[0]  # mean of 1 / latency: quick answers outweigh slow ones
        self.flow = Flow()  # answers of all destinations
        self.starts: dict[int, float] = {}  # kind of destination -> calls a second that may go unpaced
        self.blocked: dict[int, float] = {}  # of a kind: part of answers that follow a missed connection
        self.places: defaultdict[int, Places] = defaultdict(Places)  # of a kind: its connections
        self.spare: list[Door] = []  # with connections that are left idle only where there are many
        self.stale = 0.0  # part of the calls on kept connections that met a closed one
        self.end_at = float("inf")  # of this process
        self.listed_at: float | None = None  # when its first list came: what is quiet has been so since then
        self.busy = 0
        self.timer_at = 0.0
        self.ask_at: float | None = 0.0 if settings.ask_for_list else None
        self.ask_fails = 0

    def handle(self, now_ms: float, events: list[Event]) -> list[Action]:
        acts: list[Action] = []
        for event in events:
            match event:
                case Message():
                    self._accept(now_ms, event)
                case Leaving():
                    self.end_at = now_ms + event.within_ms
                case Resumed():
                    self._resume(now_ms, event)
                case AttemptEnded():
                    self._ended(now_ms, event, acts)
                case EndpointList():
                    self._listed(now_ms, event, acts)
                case Withdrawn():
                    self._withdraw(event.id)
                case Learned():
                    self._learn(now_ms, event, acts)
                case Shared():
                    for dest, route in event.lanes:
                        if lane := self.destinations.open(now_ms, dest).get(route):
                            lane.told_on += 1
                case TimerFired():
                    self.timer_at = 0.0
        if self.ask_at is not None and now_ms >= self.ask_at:
            acts.append(WatchList())
            self.ask_at = now_ms + self.s.safety.ask_within_ms / 2  # asks again should no answer come
        self._close_late(now_ms, acts)
        self._dispatch(now_ms, acts)
        self._close_spare(acts)
        self._make_room(acts, now_ms)
        self.destinations.lay_to_rest(now_ms, len(events))
        wakes = (self.board.next_look(now_ms), self.ends[0][0] if self.ends else None, self.ask_at)
        wake = min((at for at in wakes if at is not None), default=None)
        if wake is not None and (self.timer_at <= now_ms or wake < self.timer_at):
            self.timer_at = max(wake, now_ms + self.s.tick_ms)
            acts.append(SetTimer(self.timer_at - now_ms, 0))
        return acts

    # -- discovery ---------------------------------------------------------------------------------------

    def _listed(self, now: float, event: EndpointList, acts: list[Action]) -> None:
        if event.kind is ListKind.FAILED:
            # Guards against failing or overloaded discovery: asks again after growing, jittered pauses.
            pause = min(RETRY_MS * 4 * 2**self.ask_fails, self.s.safety.ask_within_ms / 4)
            self.ask_fails, self.ask_at = min(self.ask_fails + 1, 5), now + pause * self.rng.uniform(0.5, 1.0)
            return
        if event.kind is not ListKind.CACHED:
            self.ask_fails, self.ask_at = 0, None
        self.listed_at = now if self.listed_at is None else self.listed_at
        self._recall(acts, self.destinations.listed(now, event))

    def _attach(self, now: float, entry: Endpoint, listed: bool) -> None:
        """Puts an endpoint into its lane: it was listed just now, or its destination comes into use."""
        dest, key = self.destinations.key(entry)
        lanes = self.lanes.setdefault(dest, {})
        rate = entry.rate if self.s.rates is not Rates.NONE and entry.rate > 0 else 0.0
        if key not in lanes:
            total = rate or START * self.s.relays
            room = self.s.kinds[entry.kind].batch if entry.kind < len(self.s.kinds) else 1
            # Of one that comes into use nothing is known: where others answer quickly, it may be a slow one.
            quiet = now if listed or self.listed_at is None else self.listed_at
            mean, dev = self.usual if listed else USUAL_MS
            lanes[key] = Lane(
                mean,
                dev,
                total,
                total / self.s.relays,
                BURST,
                quiet,
                room,
                entry.kind,
                self.rng.random(),
                told=rate > 0,
            )
        lane, door = lanes[key], self.doors.get(entry.id)
        if listed and rate and rate != lane.total:
            lane.pace, lane.total = lane.pace * rate / lane.total, rate  # keeps what was learned
        if door is None:
            if listed and not lane.doors and lane.bad_since is not None:  # replaced late: the new one is cold
                self._cold(now, lane)
            self.doors[entry.id] = lane.doors[entry.id] = Door(entry, lane, lot=self.rng.random())
            self.board.look(dest)
        else:
            door.entry = entry

    # -- message life ------------------------------------------------------------------------------------

    def _accept(self, now: float, msg: Message) -> None:
        cls = self.s.classes[msg.class_]
        # An unmarked first try is new however little time it has left: some clients are just in a hurry.
        old = msg.again or msg.from_dead_relay or not self.s.marks_repeats
        since = now + msg.left_ms - cls.deadline_ms if old else now
        held = Held(msg, cls, since, now + msg.left_ms, cls.worth, now, now)
        if msg.tenant < len(self.shares):
            left, at = self.shares[msg.tenant]
            quota = self.s.tenants[msg.tenant].quota_per_s / self.s.relays
            left = min(max(1.0, 2 * quota), left + quota * (now - at) / 1000)  # a message fits, if late
            held.worth *= 1.0 if left >= 1 else self.s.over_share_worth
            charged = not (msg.again or msg.from_dead_relay)  # a repeat belongs to its first try
            self.shares[msg.tenant] = left - (charged and left >= 1), now
        self._hold(now, held)

    def _resume(self, now: float, event: Resumed) -> None:
        """What was taken on before a restart goes on as if there had been none: a call that was out has an
        unclear outcome, and the gate of every send decides by effect, window, attempts and time left."""
        held = Held(
            event.message,
            self.s.classes[event.message.class_],
            now - event.age_ms,
            now + event.message.left_ms,
            0.0,
            now,
            now - event.age_ms,
            tries=event.tries,
            risk=event.risk,
            found=not event.tries,
        )
        held.worth = held.cls.worth
        if event.risk_ms is not None:
            held.first_risk = now - event.risk_ms
        if event.tries:  # jittered: all that was out then would come at once
            held.ready = now + RETRY_MS * self.rng.uniform(0.0, 1.0)
        for lane in self._hold(now, held).values():
            lane.credit = saved_up(lane.credit, lane.lot, event.tries, event.age_ms)

    def _hold(self, now: float, held: Held) -> dict[int, Lane]:
        """Takes a message in; the lanes of its destination, which is in use from now on."""
        lanes = self.destinations.open(now, held.msg.destination)
        self.board.add(held)
        self._wait(held)
        return lanes

    def _wait(self, held: Held) -> None:
        """Puts a message into its queue, until a send or its last moment, whichever comes first."""
        held.last = self._last(held)
        heapq.heappush(self.ends, (held.last, held.msg.id))
        self.board.queue(held)

    def _last(self, held: Held) -> float:
        """The last moment at which a try may start; NEVER once none can be made: the final answer goes out at
        once. Until then it is held on purpose, for its turn, pace, a return or an endpoint to be listed."""
        lanes = [lane for lane in self.lanes.get(held.msg.destination, {}).values() if lane.doors]
        usable = [lane for lane in lanes if any(self._fits(held, d.entry) for d in lane.doors.values())]
        last = min(self._until(held), held.due - MARGIN_MS - 2 * self.s.tick_ms)
        if usable:
            last = min(last, held.due - min(lane.mean for lane in usable) / 4)
            waits = min(lane.wait_until for lane in usable)
            return last if max(held.ready, waits, self.key_rest.get(held.key, 0.0)) < last else NEVER
        gone = held.risk is not None and held.cls.key_scope is Scope.ENDPOINT and bool(lanes)
        return NEVER if gone and held.cls.effect is Effect.KEYED else last

    def _fits(self, held: Held, entry: Endpoint) -> bool:
        """Whether an endpoint shares the memory of the key with the one where the message may have run."""
        if held.risk is None or held.cls.effect is not Effect.KEYED or held.cls.key_scope is Scope.ALL:
            return True
        return entry.id == held.risk.id or held.cls.key_scope is Scope.ZONE and entry.zone == held.risk.zone

    def _may_refuse(self, held: Held) -> bool:
        """A refusal promises that coming again is harmless: after an unclear attempt, only by effect. A key
        is not enough: a client may come back once its window has closed, and to any relay."""
        return held.first_risk is None or held.cls.effect is Effect.SAFE

    def _turn(self, held: Held) -> float:
        """When a message may go by the order of its key: the first of its key after the key's rest."""
        if held.key and self.board.lines[held.key][0] != held.msg.id:
            return float("inf")
        return self.key_rest.get(held.key, 0.0)

    def _may_send(self, now: float, held: Held, door: Door) -> bool:
        """The one gate of every send: attempts, drain, told wait, time, order, effect and key window."""
        lane, entry = door.lane, door.entry
        if held.out is not None or entry.id not in self.doors or now >= min(held.last, self._until(held)):
            return False
        if held.cls.effect is Effect.UNSAFE and now + lane.mean + OVERDUE * lane.dev > self.end_at:
            return False  # it would be out when the process ends: the next one sends it
        return now >= max(lane.wait_until, held.ready, self._turn(held)) and self._fits(held, entry)

    def _until(self, held: Held) -> float:
        """Until when another try is allowed: not past the attempts, nor where it could take effect twice."""
        return NEVER if held.tries >= self.s.attempts else self._begin_by(held)

    def _begin_by(self, held: Held) -> float:
        """Until when the last byte of a try may leave. A connection may take long to be made, and what was
        decided in time would leave too late: only the writer of that byte can keep to it."""
        if held.first_risk is None or held.cls.effect is Effect.SAFE:
            return held.due
        if held.cls.effect is Effect.UNSAFE:
            return NEVER
        # Leaves room for the way: a destination may look its keys up as late as it usually answers.
        return held.first_risk + held.cls.key_window_ms - self.s.tick_ms - self.usual[0]

    def _end(self, now: float, held: Held, acts: list[Action]) -> None:
        if self._may_refuse(held):
            acts.append(Refuse(held.msg.id, self._stay_away(now, held.msg.destination, held.due)))
        else:
            acts.append(Fail(held.msg.id))
        self.board.remove(held)

    def _stay_away(self, now: float, dest: int, due: float) -> float:
        """When there may be room: after the told wait and what else waits here, jittered so that programs do
        not come in step; no longer than they heed it, nor than the message has left."""
        if self.s.longest_advice_ms == 0:
            return 0.0
        told = min((lane.wait_until for lane in self.lanes.get(dest, {}).values()), default=NEVER)
        queued = 1000 * len(self.board.queues.get(dest, ())) / self._speed(now, dest)
        stay = max(told - now, queued) * self.rng.uniform(1.0, 1.5)
        return max(0.0, min(stay, self.s.longest_advice_ms, due - now - MARGIN_MS))

    def _recall(self, acts: list[Action], doors: list[Door]) -> None:
        """The gate is shut: what was sent to these in its eyes may wait for its connection still."""
        acts += [
            Recall(held.msg.id)
            for door in doors
            for call in door.lane.out
            if call.door is door
            for held in call.riders
            if held.out is call
        ]

    def _withdraw(self, ident: int) -> None:
        if held := self.board.held.get(ident):
            held.withdrawn = True  # one that is out waits for its outcome
            if held.out is None:
                self.board.remove(held)

    def _close_late(self, now: float, acts: list[Action]) -> None:
        """The deadline timer: ends what can no longer be delivered in time."""
        while self.ends and self.ends[0][0] <= now:
            held = self.board.held.get(heapq.heappop(self.ends)[1])
            if held and held.out is None:
                self._end(now, held, acts)

    def _make_room(self, acts: list[Action], now: float) -> None:
        """Before the hold fills, refuses what will be worth least once its turn has come."""
        for _ in range(len(self.board.held) - int(CROWDED * self.s.hold)):
            queues = self.board.queues
            at = {}
            for dest, queue in queues.items():
                at.update(turns(queue.values(), now, 1000 / self._speed(now, dest), self.s.decay))
            able = [
                each
                for queue in queues.values()
                for each in queue.values()
                if self._may_refuse(each) and (each.tries or not each.found)
            ]
            if able:
                self._end(
                    now,
                    min(able, key=lambda held: [self._missed(held, now, then) for then in (at[held.msg.id], now)]),
                    acts,
                )

    def _missed(self, held: Held, now: float, at: float) -> float:
        """What is lost if it is refused now and would else be delivered `at`. What comes in while there is no
        room is refused at the door, for nothing, unless it is worth more than what is given back for it."""
        early = held.taken < now < held.taken + EARLY * (held.due - held.taken)
        return held.worth_at(at, self.s.decay) + (GIVEN_BACK * held.worth if early else 0.0)

    def _speed(self, now: float, dest: int) -> float:
        """Calls a second that this relay may expect to place at a destination."""
        lanes = self.lanes.get(dest, {}).values()
        return sum(self._pace(now, lane, suspect(lane, now))[0] for lane in lanes) or 0.01

    # -- outcomes ----------------------------------------------------------------------------------------

    def _ended(self, now: float, event: AttemptEnded, acts: list[Action]) -> None:
        held = self.board.held.get(event.id)
        if held is None or held.out is None:
            return
        call, door, held.out = held.out, held.out.door, None
        counts, call.judged, call.open = not call.judged, True, call.open - 1  # several share one fate
        if call.open == 0:
            self.busy -= 1
            door.out -= 1
            door.lane.out.remove(call)
            took = now - call.since
            door.lane.slot_ms += (0.15 if door.lane.slot_ms else 1.0) * (took - door.lane.slot_ms)
        self.board.look(held.msg.destination)
        if counts and not door.lane.told and door.lane.bad_since is None:
            self._gauge(now, door.lane)
        if not event.outcome.proves_no_effect and held.first_risk is None:
            held.first_risk, held.risk = held.out_since, door.entry
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED) and held.key:
            self.key_rest = {key: at for key, at in self.key_rest.items() if at > now}
            self.key_rest[held.key] = now + self.s.safety.key_rest_ms + self.s.tick_ms
        door.warm = [*door.warm, now] if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL) else []
        # Both layers pause before the next try: growing and jittered after any told wait.
        pause = min(RETRY_MAX_MS, RETRY_MS * 2 ** (held.tries - 1)) * self.rng.uniform(0.7, 1.3)
        held.ready = now + pause
        if event.wait_ms > 0:  # binds whichever message of a call was told it, the others' answers or not
            self._told(now, door.lane, held.msg.destination, held.ready + event.wait_ms, acts)
        # A kept connection that its peer, or something between, had closed says nothing of a destination.
        sudden = event.outcome is Outcome.RESET and event.latency_ms < SUDDEN * door.lane.mean
        stale = event.reused and (sudden or event.outcome is Outcome.CONNECT_FAILED)
        if event.reused:
            self.stale += SEEN * (stale - self.stale)
        places = self.places[door.lane.kind]
        # Nor does one that was refused for want of a connection, where others are answered: no limit was met.
        crowded = (
            event.outcome is Outcome.FULL
            and now - door.lane.last_ok < SHUT_MS
            and places.explains(event.reused, event.wait_ms > 0)
        )
        if counts and event.outcome is Outcome.OK:
            self._answered(now, door, held, event.latency_ms)
        elif counts and event.outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED) and not (stale or crowded):
            self._failed(now, door, held, event)
        if counts and door.warm:  # it was answered
            full = event.outcome is Outcome.FULL
            places.met(event.reused, full, event.wait_ms > 0)
            door.full_at = now if full and not event.reused else NEVER
        if places.short or self.blocked.get(door.lane.kind, 0.0) > SCARCE:
            self.spare.append(door)
        if self.s.limit_report and len(event.report) > max(self.s.limit_report):
            self._reported(door.lane, *(event.report[n] for n in self.s.limit_report))
        if event.finished or held.withdrawn:
            self.board.remove(held)
        else:
            self._wait(held)

    def _close_spare(self, acts: list[Action]) -> None:
        """Idle connections use up the few that there are, unless the next call has gone out on them."""
        for door in self.spare:
            if door.warm:
                door.warm = []
                acts.append(CloseIdle(door.entry.id))
        self.spare = []

    def _answered(self, now: float, door: Door, held: Held, took: float) -> None:
        lane = door.lane
        self.flow.add(now, FADE_MS)
        lane.flow.add(now, FADE_MS)
        self.usual = averaged(*self.usual, took, 0.05)
        self.haste += 0.05 * (1 / max(took, self.s.tick_ms) - self.haste)
        if lane.hearsay:  # own evidence wins: what others said bars nothing any more, but it may be cold
            lane.hearsay, lane.blame, lane.failed_at = False, 0.0, NEVER
        lane.answers += 1
        lane.mean, lane.dev = averaged(lane.mean, lane.dev, took, max(0.15, 1 / (lane.answers + 1)))
        lane.last_ok, lane.stretch, lane.hold, lane.blame = now, 1.0, lane.hold / 2, lane.blame * (1 - BLAME)
        part, soon = self.blocked.get(lane.kind, 0.0), now - (lane.bad_since or NEVER) < FADE_MS
        # An answer soon after a missed connection: no outage, but an endpoint that takes few.
        self.blocked[lane.kind] = part + SEEN * ((lane.missed and soon) - part)
        door.faults.pop(held.msg.class_, None)
        if lane.sick and lane.blame < SICK:
            self._cold(now, lane)
        lane.bad_since = None
        if lane.credit < 1:
            grown = lane.pace * (1 + (RISE if now > lane.free_at else GROWTH))
            lane.pace = min(lane.total, grown) if lane.told else grown

    def _cold(self, now: float, lane: Lane) -> None:
        """It is back: from here on the cold budget holds, shared by the relays that may know of it."""
        lane.knowers = self._knowers(now, lane)
        lane.sick, lane.cold_since, lane.credit, lane.bad_since = False, now, 0.0, None

    def _told(self, now: float, lane: Lane, dest: int, until: float, acts: list[Action]) -> None:
        """A wait was told, to many relays at once: the growing, jittered pause comes after it."""
        lane.wait_until = max(lane.wait_until, until)
        self._recall(acts, list(lane.doors.values()))
        for other in self.board.queues.get(dest, {}).values():
            if self._last(other) == NEVER:  # the wait outlasts it
                heapq.heappush(self.ends, (now, other.msg.id))

    def _failed(self, now: float, door: Door, held: Held, event: AttemptEnded) -> None:
        lane, shut = door.lane, event.wait_ms > SHUT_MS
        if lane.bad_since is None:  # another outage: nobody was told of it
            lane.told_on = 0.0
        lane.hearsay = False
        lane.bad_since = held.out_since if lane.bad_since is None else lane.bad_since
        lane.no_effect, lane.missed = event.outcome.proves_no_effect, event.outcome is Outcome.CONNECT_FAILED
        if event.outcome is Outcome.FULL:
            part, cut = lane.total / self.s.relays if lane.told else START, lane.pace * CUT
            paced = now < lane.free_at or part > START  # if not, the equal part is the first guess
            lane.pace = max(part / 3, min(cut, (lane.pace * part) ** 0.5)) if paced else part
            lane.hold = min(HOLD_MAX_MS, max(HOLD_MS, 2 * lane.hold))
            lane.free_at = now + lane.hold * self.rng.uniform(0.5, 1.5)
            lane.credit = min(lane.credit, self.rng.uniform(-0.5, 0.5))
            if not shut:
                return
        else:
            door.faults[held.msg.class_] = lane.failed_at = now
        if event.outcome is Outcome.TIMEOUT:
            lane.stretch = min(STRETCH_MAX, lane.stretch * 2)
        # A recent answer or an endpoint that has not failed vouches for a destination: without either, one
        # failure is an outage. Guards relays that call it too seldom to see two in a row.
        vouched = held.out_since if event.outcome is Outcome.CONNECT_FAILED else now - FADE_MS
        alone = lane.last_ok <= vouched and all(other.faults for other in lane.doors.values())
        lane.blame += (1.0 - lane.blame) * (SICK + 0.05 if alone or shut else BLAME)
        if lane.blame > SICK and lane.doors:
            lane.next_trickle = lane.next_trickle if lane.sick else now
            lane.sick, lane.blame = True, min(lane.blame, 0.7)
        if shut:  # the first calls after it are spread over what it can take cold
            gap = 1000 / self._pace(lane.wait_until, lane, True)[0]
            lane.next_trickle = lane.wait_until + gap * self.rng.random()

    def _reported(self, lane: Lane, left: float, limit: float) -> None:
        if limit > 0:
            lane.told, part = True, limit / self.s.relays
            lane.pace, lane.total = lane.pace * limit / lane.total, limit
            change = 1 + GROWTH * (4 * left - 2)
            # Guards limits that refused calls use up: where a kind reports little left, no call goes unpaced.
            start = min(START, self.starts.get(lane.kind, START) * change)
            self.starts[lane.kind] = max(START / self.s.relays, start)
            if change < 1 or lane.credit < 1:
                lane.pace = min(limit, max(lane.pace * change, part / 3))

    def _learn(self, now: float, event: Learned, acts: list[Action]) -> None:
        """Guards partners from relays that start anew: cautions where no own evidence is, as that wins."""
        for kind, part in event.few:
            self.blocked.setdefault(kind, part)
        for fact in event.facts:
            lane = self.destinations.open(now, fact.destination).get(fact.route)
            if lane is None:
                continue
            if fact.wait_ms > 0:
                self._told(now, lane, fact.destination, now + fact.wait_ms, acts)
            if fact.answers and not lane.answers:
                lane.mean, lane.dev, lane.answers = fact.mean_ms, fact.dev_ms, fact.answers
            if 0 < fact.pace < lane.pace and lane.last_ok == NEVER and not lane.hold:  # a limit others met
                lane.pace, lane.free_at = fact.pace, now + HOLD_MS * self.rng.uniform(0.5, 1.5)
            if lane.last_ok > NEVER or lane.failed_at > NEVER and not lane.hearsay:
                continue
            if fact.out_ms is not None:
                if not lane.sick:  # a turn by chance, as many may learn it at once
                    lane.bad_since, lane.told_on = now - fact.out_ms, fact.knowers
                    lane.next_trickle = now + 1000 / self._pace(now, lane, True)[0] * self.rng.random()
                # Half a failure's evidence: unsafe messages wait half as long, and one answer clears it.
                lane.sick, lane.hearsay, lane.failed_at = True, True, now - FADE_MS / 2
                lane.blame = SICK + 0.05
            elif fact.cold_ms is not None and fact.cold_ms < self.s.safety.cold_ms:
                lane.told_on = fact.knowers
                self._cold(now, lane)
                lane.cold_since, lane.hearsay, lane.blame = now - fact.cold_ms, True, 0.0

    # -- pace, health and return -------------------------------------------------------------------------

    def _gauge(self, now: float, lane: Lane) -> None:
        """Stands in for a rate that nobody tells: own answers of late (as prior those of a usual destination)
        times the relays. Over all relays that adds up to what it was seen to do, however uneven they are.
        Guards the cold budget; it stays as it was while the destination is out or cold."""
        if now >= lane.cold_since + self.s.safety.cold_ms:
            usual = max(1.0, self.flow.count(now, FADE_MS)) / max(1, self.destinations.index.destinations)
            seen = (lane.flow.count(now, FADE_MS) + 1) / (1 + 1 / usual)
            lane.total = self.s.relays * seen * 1000 / FADE_MS

    def _knowers(self, now: float, lane: Lane) -> float:
        """How many relays may have met the outage: no more than there are, nor than calls it failed."""
        since = now if lane.bad_since is None else lane.bad_since
        since = max(min(since, lane.last_ok), since - FADE_MS)  # it may have begun at the last answer
        most = max(float(self.s.relays), lane.told_on)  # others may know of more relays than the settings do
        return min(most, 1 + MET * lane.total * (now - since) / 1000 + lane.told_on)

    def _pace(self, now: float, lane: Lane, out: bool) -> tuple[float, float]:
        """Calls a second and in one go: the learned pace; for a destination that is out or cold, this relay's
        part of what it can take cold, so that all relays that know of the outage stay within the budget."""
        safety, total = self.s.safety, lane.total / (ROUGH if self.s.rates is Rates.ROUGH else 1.0)
        cold = max(safety.fall_multiple * safety.cold_share, 0.01) * total
        # Failed, or refused (again, where a rate is told), and no answer for long: it may be back any moment.
        bad = lane.bad_since is not None and now - lane.bad_since > SHUT_MS
        if out or bad and (lane.failed_at > lane.last_ok or lane.hold > HOLD_MS * lane.told):
            return cold / self._knowers(now, lane), 1.0
        start = self.starts.get(lane.kind, START)  # rare calls fit a limit unpaced, unless many are refused
        pace = max(lane.pace, start) if now > lane.free_at else lane.pace
        if now < lane.cold_since + safety.cold_ms:
            warmth = (1 - safety.cold_share) * (now - lane.cold_since) / safety.cold_ms
            return min(pace, cold * (1 + warmth / max(safety.cold_share, 0.01)) / lane.knowers), 1.0
        return pace, max(1.0, BURST * start / START, pace * BURST_S)

    def _room_at(self, now: float, lane: Lane, out: bool) -> tuple[float, float]:
        """When this lane takes another call, and when it takes one that overdraws its pace."""
        pace, burst = self._pace(now, lane, out)
        if lane.lot < 1 and self.starts.get(lane.kind, START) < START / 2:  # the first call takes turns too
            lane.credit, lane.lot, lane.credit_at = min(lane.credit, lane.lot), 1.0, now
        lane.credit, lane.credit_at = min(burst, lane.credit + pace * (now - lane.credit_at) / 1000), now
        if out:
            if now > lane.next_trickle + 2 * LOOK_MS:  # turns are not saved up while slots are busy
                lane.next_trickle = now + 1000 / pace * self.rng.random()
            return lane.next_trickle, lane.next_trickle
        at = now + max(0.0, 1 - lane.credit) / pace * 1000
        return at, at if burst == 1.0 else at - BURST / pace * 1000

    # -- slots and choice --------------------------------------------------------------------------------

    def _door(self, now: float, held: Held, lane: Lane) -> Door | None:
        """The endpoint to use: none of late failures (of this class above all), little busy, warm, with
        connections left where they are short, cheap. Alike ones by chance: else all relays use the same."""
        short = self.places[lane.kind].short

        def rank(door: Door) -> tuple[float, float, float]:
            zone = door.entry.zone
            fee = self.s.route_fees[zone] if zone < len(self.s.route_fees) else 0.0
            fee += self.s.cross_zone_price * (zone != self.s.zone)
            door.warm = [at for at in door.warm if now - at < self.s.idle_ms * KEPT]
            recent = [class_ for class_, at in door.faults.items() if now - at < FADE_MS]
            load = door.out + 8.0 * (held.msg.class_ in recent) + 2.0 * len(recent)
            load += 2.0 * (short and now - door.full_at < HOLD_MS)
            return load + 0.9 * (not door.warm) + 1.5 * (fee > 0), fee, door.lot

        able = [door for door in lane.doors.values() if self._may_send(now, held, door)]
        return min(able, key=rank) if able else None

    def _dispatch(self, now: float, acts: list[Action]) -> None:
        """Sends what has most worth per slot time while there are slots; reads only queues that are due."""
        picks: dict[int, tuple[float, Held, Door]] = {}
        due = self.board.due(now) if self.busy < self.s.slots else []
        while self.busy < self.s.slots:
            found = {dest: self._pick(now, dest) for dest in due if dest in self.board.queues}
            picks.update({dest: choice for dest, choice in found.items() if choice is not None})
            if not picks:
                return
            dest = max(picks, key=lambda d: picks[d][0])
            _, held, door = picks.pop(dest)
            self._send(now, held, door, acts)
            due = [dest]

    def _crawls(self, now: float, lane: Lane) -> bool:
        return max(lane.slot_ms, now - lane.out[0].since if lane.out else 0.0) * self.haste > CRAWL

    def _yields(self, now: float, lane: Lane) -> bool:
        """Slots weighed by time: of the last quarter, those that crawl hold an eighth of all at most.
        Guards quick ones, however many crawl."""
        scarce = self.destinations.index.destinations > 1 and self.s.slots - self.busy <= self.s.slots // 4
        if not scarce or not self._crawls(now, lane):
            return False
        lanes = [other for lanes in self.lanes.values() for other in lanes.values() if other.out]
        return sum(len(other.out) for other in lanes if self._crawls(now, other)) >= max(1, self.s.slots // 8)

    def _pick(self, now: float, dest: int) -> tuple[float, Held, Door] | None:
        """The message of this queue with most worth still to win per slot time, if any may be sent at all."""
        best: tuple[float, Held, Door] | None = None
        look = now + LOOK_MS
        for lane in self.lanes.get(dest, {}).values():
            out = suspect(lane, now)
            cap = max(1, self.s.slots // (4 if out else 2))
            if len(lane.out) >= cap and (out or len(self.board.queues) > 1) or self._yields(now, lane):
                continue
            room_at, overdraw_at = self._room_at(now, lane, out)
            # Slot time for one delivery, failed calls counted: scarce slots go to destinations that answer.
            cost = lane.mean + lane.blame * (lane.mean + DEVIATIONS * lane.dev) / (1 - lane.blame)
            barred = (out or lane.blame > TRUSTED) and not lane.no_effect
            for held in self.board.queues[dest].values():
                # The pace is a guess: overdrawn for a client that won't wait, or a message its key waits for.
                hurried = held.due < held.since + held.cls.aim_ms or self.board.followed(held)
                at = max(held.ready, lane.wait_until, overdraw_at if hurried else room_at, self._turn(held))
                if barred and held.cls.effect is Effect.UNSAFE:
                    at = max(at, lane.failed_at + FADE_MS)  # an unclear outcome would be final
                if at > now:
                    look = min(look, at)
                    continue
                value = urgency(held, now + lane.mean, self.s.decay) / cost
                if best is None or value > best[0]:
                    door = self._door(now, held, lane)
                    best = best if door is None else (value, held, door)
        self.board.look(dest, look if best is None else 0.0)
        return best

    def _send(self, now: float, held: Held, door: Door, acts: list[Action]) -> None:
        # Given up before the message's time is up: an answer that crosses that moment may count or not, and
        # an end that is owed would come late.
        lane, until = door.lane, held.due - MARGIN_MS
        # Guards quick destinations: a stall of some ms is no outcome. No sooner than another try could begin.
        patience = max(RETRY_MS, lane.mean + DEVIATIONS * lane.dev) * lane.stretch
        last = held.tries + 1 >= self.s.attempts or held.cls.effect is Effect.UNSAFE
        if held.cls.effect is Effect.KEYED:
            risk = held.first_risk if held.first_risk is not None else now
            last = last or now + patience + RETRY_MS * 2**held.tries > risk + held.cls.key_window_ms
        if last or now + 2 * patience < held.due:
            until = min(until, now + patience * (LAST if last else 1.0))
        # Guards messages that may not be repeated against a reset that leaves open whether they ran: where
        # closed connections were met, the last byte waits until one would have shown itself.
        hold = SUDDEN * lane.mean if held.cls.effect is Effect.UNSAFE and self.stale > STALE else 0.0
        if door.warm:
            door.warm.pop()
        riders = [held]
        if suspect(lane, now):  # the next call there: spread, and rarer the longer it lasts
            lane.next_trickle = now + 1000 / self._pace(now, lane, True)[0] * self.rng.uniform(0.7, 1.3)
        elif lane.room > 1:  # one call, slot and place in the limit for a clump or backlog
            trusted = lane.blame <= TRUSTED or lane.no_effect
            queue = self.board.queues[held.msg.destination].values()
            riders += [
                other
                for other in queue
                if other is not held
                and self._may_send(now, other, door)
                and (trusted or other.cls.effect is not Effect.UNSAFE)
            ][: lane.room - 1]
        call = Call(door, now, riders, len(riders))
        lane.out.append(call)
        door.out += 1
        lane.credit -= 1
        self.busy += 1
        for rider in riders:
            self.board.unqueue(rider)
            rider.out, rider.out_since, rider.tries = call, now, rider.tries + 1
            end = min(until, rider.due - MARGIN_MS)
            acts.append(Send(rider.msg.id, door.entry.id, end, hold, self._begin_by(rider)))
