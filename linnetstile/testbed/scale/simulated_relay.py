"""A hollow relay: the shipped module, directory and watch rules on a simulated clock, without sockets.

Given the world, relays act on each other only through what destinations get; that is summed up after the play (see
report.py). So each relay is played alone and a process holds one at a time. What a destination answers follows from
the world: it does not slow down or refuse under load, and a cold one that gets too much is counted, not felled."""

from __future__ import annotations

import heapq
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from linnetstile.engine.actions import Fail, Reject, Send, SetTimer
from linnetstile.engine.events import (
    AttemptEnded,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    ListKind,
    Message,
    MessageRecovered,
    Outcome,
    TimerFired,
)

from ...codec.objects import Objects, Part
from ...emulators.discovery import chunk
from ...engine import gossip_export
from ...engine.engine import DeliveryEngine
from ...engine.gossip import RouteClaim
from ...engine.outlier_detection import is_suspected
from ...engine.resource_limits import WATCH_BACKOFF_MS, backoff_ms
from ...engine.unknown_class import unknown_class
from ...engine.watch_policy import watch_deadline
from ...platform_relay import discovery
from ...platform_relay.directory import Directory, ListUpdate
from .world_model import BEGIN_MS, EACH_PER_S, EMPTY_BYTES, EMPTY_MS, KINDS, ZONES, Change, Life, World

NEAR_MS, FAR_MS, WORK_MS, WORK_MOST_MS = 2.0, 30.0, 40.0, 400.0  # way in a region, between them; mean work of a call
PIECE = 64 * 1024  # bytes that a socket brings at a time
HAND_MS = 30_000.0  # what a folder holds beside was taken on so long ago, on the mean
REFUSALS = 3  # lists that a process refuses before the play stops offering them
MIX = (0, 0, 0, 1, 1, 2)  # classes of the messages


class Ears:
    """Whatever this package knows of the inside of the node's directory and of the module's memory: bytes of a watch
    in, events for the module out."""

    def __init__(self) -> None:
        self.directory = Directory(KINDS, tuple(f"z{n}" for n in range(ZONES)))
        self.opened()

    def opened(self) -> None:
        """Another watch: its stream begins anew, and a list that was coming in is left."""
        self.objects = Objects(discovery.LIST, "servers", ("version", "full"))
        self.reading: ListUpdate | None = None

    def hear(self, data: bytes) -> list[EndpointList]:
        """Raises ValueError for what the relay would refuse."""
        found: list[EndpointList] = []
        for at in range(0, len(data), PIECE):
            for value in self.objects.feed(data[at : at + PIECE]):
                found += self._part(value) if isinstance(value, Part) else [self.directory.take(value)]
        if self.objects.failed:
            raise self.objects.failed
        return found

    def _part(self, part: Part) -> list[EndpointList]:
        if part.first:
            self.reading = self.directory.begin(part.head)
        assert self.reading is not None
        found = list(discovery.told(self.reading.take(part.elements)))
        while part.last and not self.reading.over:
            found += discovery.told(self.reading.sweep())
        return found + [EndpointList(ListKind.CHANGES)] * part.last  # it was heard, whatever it changed

    def known(self) -> int:
        return len(self.directory)

    def name(self, endpoint: int) -> str:
        place = self.directory.place(endpoint)
        return place.name if place else ""

    def number(self, name: str) -> int:
        return self.directory.number(name)

    def port(self, endpoint: int) -> int:
        place = self.directory.place(endpoint)
        return place.port if place else 0

    def listed(self, destination: int) -> bool:
        return self.directory.knows(destination)


def believes_out(relay: DeliveryEngine, destination: int, now: float) -> bool:
    """Whether the module takes a destination as out, in use or at rest."""
    return any(is_suspected(route, now) for route, _ in relay.routing_table.known_routes(destination).values())


def told_to_others(relay: DeliveryEngine, now: float, cells: list[int]) -> tuple[int, int]:
    """What the relay could tell others of these destinations: claims, and bytes as the relay service writes them."""
    found = gossip_export.export_claims(relay, now, {cell: f"d-{cell}" for cell in cells})
    return len(found), sum(
        len(json.dumps({name: getattr(each, name) for name in RouteClaim.__slots__})) for each in found
    )


def make(world: World, number: int, seed: int) -> DeliveryEngine:
    """The module as the node makes it."""
    settings = world.settings(number)
    return DeliveryEngine(replace(settings, classes=(*settings.classes, unknown_class(settings.classes))), seed)


@dataclass(slots=True)
class Carried:
    """A message from its hand-in to its end, as the node keeps it."""

    message: Message
    taken: float
    due: float
    tries: int = 0
    out: tuple[float, str] | None = None  # since when, to which endpoint
    risk: tuple[float, str] | None = None


@dataclass(slots=True)
class Trace:
    """What one relay did. Times in simulated ms; `spent` holds processor time in ns and is measured."""

    relay: int
    world: int  # mark of the world that it played
    heard: dict[int, float] = field(default_factory=dict)  # version -> when it was in force
    learned: dict[int, float] = field(default_factory=dict)  # outage -> when the module took it as out
    cleared: dict[int, float] = field(default_factory=dict)  # outage -> first answer after it, of a relay that knew
    knew: set[int] = field(default_factory=set)  # outages held as out when they ended
    asked: set[int] = field(default_factory=set)  # outages in which it had a message for the destination
    met: set[int] = field(default_factory=set)  # outages in which a call of its own failed
    cold: list[tuple[int, float, bool]] = field(default_factory=list)  # calls to what has just come back; had met it
    ready: list[tuple[float, float, int]] = field(default_factory=list)  # start, ready, messages found
    drained: list[tuple[int, float]] = field(default_factory=list)  # messages found: scene, when each ended
    backlog: Counter[tuple[int, int]] = field(default_factory=Counter)  # (destination, second): calls, last scene
    counts: Counter[str] = field(default_factory=Counter)  # "scene:what"
    bytes: Counter[int] = field(default_factory=Counter)  # control, by second
    refused: int = 0  # lists that could not be taken
    known: int = 0  # endpoints, at the end
    claims: tuple[int, int] = (0, 0)  # what it could tell others at the end, and its bytes
    spent: Counter[str] = field(default_factory=Counter)
    turns: Counter[str] = field(default_factory=Counter)
    longest: Counter[str] = field(default_factory=Counter)  # ns of the longest turn with a list
    cut: bool = False  # left out at the end of the time


class Hollow:
    """One relay through all lives that the world gives it."""

    def __init__(self, world: World, number: int, since_version: bool, overdue: Callable[[], bool]) -> None:
        self.world, self.number, self.since_version, self.overdue = world, number, since_version, overdue
        self.rng = random.Random(f"{world.sizes.seed}:hollow:{number}")
        self.region = world.region(number)
        self.trace = Trace(number, world.mark())
        self.heap: list[tuple[float, int, str, Any]] = []  # at, order, what, about
        self.order = self.timer = 0
        self.ears, self.relay = Ears(), make(world, number, 0)
        self.carried: dict[int, Carried] = {}
        self.extra: set[int] = set()  # messages that a folder held beside
        self.last = 0
        self.version = 0  # in force
        self.watch = self.fails = self.refusals = 0
        self.found = Life(0.0, 0.0)
        self.resumed = False
        self.scene = -1

    def play(self) -> Trace:
        for life in self.world.lives[self.number]:
            self._live(life)
            if self.trace.cut:
                break
        self.trace.known = self.ears.known()
        self.trace.claims = told_to_others(self.relay, self.world.end, self.world.in_use)
        return self.trace

    def _put(self, at: float, what: str, about: Any = None) -> None:
        self.order += 1
        heapq.heappush(self.heap, (at, self.order, what, about))

    def _count(self, what: str, n: int = 1) -> None:
        if n:
            self.trace.counts[f"{self.scene}:{what}"] += n

    # -- one process -----------------------------------------------------------------------------------------

    def _live(self, life: Life) -> None:
        world = self.world
        self.heap, self.found, self.resumed, self.refusals = [], life, False, 0
        self.scene = world.scene(life.begin)
        if not life.keeps:
            self._lost()
        self.ears, self.version = Ears(), 0
        self.relay = make(world, self.number, self.rng.getrandbits(32))
        self._put(life.begin + BEGIN_MS, "open", 0)
        for cell in world.in_use:
            self._traffic(cell, life.begin + BEGIN_MS)
        steps = 0
        while self.heap and self.heap[0][0] < life.end:
            now, _, what, about = heapq.heappop(self.heap)
            self.scene = world.scene(now)
            steps += 1
            if steps % 256 == 0 and self.overdue():
                self.trace.cut = True
                return
            match what:
                case "message":
                    self._message(now, about)
                case "ended":
                    self._ended(now, *about)
                case "timer":
                    if about[0] == self.timer:
                        self._handle(now, [TimerFired(about[1])], "timer")
                case "told":
                    self._told(now, *about)
                case "open":
                    self._open(now, about)
                case "silent":
                    self._silent(now, about)

    def _lost(self) -> None:
        """The machine is gone, and its folder."""
        self._count("lost_with_folder", len(self.carried))
        self.carried, self.extra = {}, set()

    def _resume(self, now: float) -> None:
        """What its folder holds, once the list is there."""
        life, self.resumed = self.found, True
        if life.hands:
            for cell in self.world.in_use:
                for _ in range(life.hands):
                    message = self._new(cell, now, now - self.rng.expovariate(1 / HAND_MS))
                    self.extra.add(message.id)
        events: list[Event] = []
        for each in list(self.carried.values()):
            each.risk = each.risk or each.out
            each.out = None
            risk = (
                Endpoint(
                    self.ears.number(each.risk[1]),
                    each.message.destination,
                    EndpointStatus.READY,
                    zone=self.world.zone(each.message.destination),
                )
                if each.risk
                else None
            )
            left = Message(
                each.message.id, each.message.destination, each.message.class_index, max(0.0, each.due - now)
            )
            events.append(
                MessageRecovered(left, now - each.taken, each.tries, now - each.risk[0] if each.risk else None, risk)
            )
        self.trace.ready.append((life.begin, now, len(events)))
        if events:
            self._handle(now, events, "resume")

    # -- the watch -------------------------------------------------------------------------------------------

    def _open(self, now: float, fails: int) -> None:
        """Opens a watch by the shipped rules: it leads somewhere, or is given up and opened anew after a pause."""
        world, silent = self.world, self.world.silent.get(self.region, ())
        self.watch, self.fails = self.watch + 1, fails
        self._count("watches")
        given_up = now + 1000 * watch_deadline(0.0, False, None)
        joined = next((end for begin, end in silent if begin <= now < end), now)
        at = world.told_at(self.number, joined)
        if at >= given_up:
            self._again(given_up)
            return
        self._put(at, "told", (self.watch, None))
        if (begin := next((begin for begin, _ in silent if begin > at), None)) is not None:
            self._put(begin, "silent", self.watch)

    def _again(self, now: float) -> None:
        self._put(now + backoff_ms(self.fails + 1, WATCH_BACKOFF_MS, self.rng), "open", self.fails + 1)

    def _silent(self, now: float, watch: int) -> None:
        """Discovery can't be reached: what comes no more is missed after the time that the rules give it."""
        if watch == self.watch:
            heard = now - self.rng.uniform(0.0, EMPTY_MS)
            self._put(max(now, 1000 * watch_deadline(heard / 1000, True, None)), "open", 0)

    def _told(self, now: float, watch: int, change: Change | None) -> None:
        """The watch tells a change, or (None) what its opening asks for."""
        world = self.world
        if watch != self.watch or not world.hears(self.number, now):
            return
        until = world.version(now) if change is None else change.version
        if change is None:
            self.ears.opened()
        if change is not None or self.version and self.since_version:
            lines = [(each.line, each.version) for each in world.after(self.version, until)]
        else:
            lines = [(world.whole(until), until)]
        if not all(self._line(now, line, version) for line, version in lines):
            self.refusals += 1
            if self.refusals < REFUSALS:  # each is the whole list once more: the pattern is clear, and it costs time
                self._again(now)
        elif self.version <= len(world.changes):
            following = world.changes[self.version - 1]
            self._put(max(now, world.told_at(self.number, following.at)), "told", (watch, following))
        if not self.resumed:
            self._resume(now)

    def _line(self, now: float, line: bytes, version: int) -> bool:
        """One line of discovery, as a chunk of its watch; False if the relay refuses it."""
        data, what = chunk(line), "whole" if b'"full":true' in line[:40] else "change"
        self.trace.bytes[int(now // 1000)] += len(data)
        self._count(f"{what}_bytes", len(data))
        self._count(f"{what}s")
        begun = time.thread_time_ns()
        try:
            events: list[Event] = list(self.ears.hear(line))
        except ValueError:
            self.trace.refused += 1
            events = []
        taken = time.thread_time_ns() - begun
        self.trace.spent[what] += taken
        if not events:
            return False
        taken += self._handle(now, events, what)
        self.trace.longest[what] = max(self.trace.longest[what], taken)
        for each in range(max(1, self.version) + 1, version + 1):
            self.trace.heard.setdefault(each, now)
        self.version = version
        return True

    # -- messages and calls ----------------------------------------------------------------------------------

    def _traffic(self, cell: int, now: float) -> None:
        self._put(now + self.rng.expovariate(EACH_PER_S / self.world.sizes.relays) * 1000, "message", cell)

    def _new(self, cell: int, now: float, since: float) -> Message:
        self.last += 1
        number = self.rng.choice(MIX)
        message_class = self.relay.settings.classes[number]
        message = Message(self.last, cell, number, message_class.deadline_ms - (now - since))
        self.carried[message.id] = Carried(message, since, since + message_class.deadline_ms)
        return message

    def _message(self, now: float, cell: int) -> None:
        self._traffic(cell, now)
        if not self.ears.listed(cell):
            self._count("not_listed")
            return
        self._count("messages")
        if outage := self.world.down(cell, self.region, now):
            self.trace.asked.add(outage.number)
        self._handle(now, [self._new(cell, now, now)], "message")

    def _handle(self, now: float, events: list[Event], what: str) -> int:
        """One turn of the module; its processor time in ns."""
        begun = time.thread_time_ns()
        actions = self.relay.handle(now, events)
        spent = time.thread_time_ns() - begun
        self.trace.spent[what] += spent
        self.trace.turns[what] += 1
        for action in actions:
            match action:
                case Send():
                    self._send(now, action)
                case SetTimer(delay, token):
                    self.timer += 1  # as the node keeps it: the one that was set before fires no more
                    self._put(now + delay, "timer", (self.timer, token))
                case Reject(ident) | Fail(ident):
                    self._count("refused" if isinstance(action, Reject) else "failed")
                    self._over(now, ident)
        return spent

    def _over(self, now: float, ident: int) -> None:
        if self.carried.pop(ident, None) is None:
            return
        if ident in self.extra:
            self.extra.discard(ident)
            self.trace.drained.append((self.scene, now))

    def _send(self, now: float, send: Send) -> None:
        """What comes back of a call, by the truth."""
        world, carried = self.world, self.carried[send.id]
        cell, name = carried.message.destination, self.ears.name(send.endpoint)
        carried.tries += 1
        carried.out = now, name
        self._count("calls")
        way = NEAR_MS if world.region(cell) == self.region else FAR_MS
        took = way + min(self.rng.expovariate(1 / WORK_MS), WORK_MOST_MS) + send.last_byte_delay_ms
        outage, turn = world.down(cell, self.region, now), world.turn(cell, now)
        if outage:
            self._count("calls_down")
            if outage.number in self.trace.learned:
                self._count("calls_down_known")
            refused, lost = Outcome.CONNECT_FAILED, self.relay.settings.connect_timeout_ms
            outcome, at = {
                "refused": (refused, now + way),
                "lost": (refused, now + lost),
                "hangs": (Outcome.TIMEOUT, send.timeout_at_ms),
                "errors": (Outcome.ERROR, now + took),
            }[outage.how]
        elif name != world.name(cell, turn) and not (
            (cell, turn - 1) in world.drained and name == world.name(cell, turn - 1)
        ):
            self._count("calls_gone")
            outcome, at = Outcome.CONNECT_FAILED, now + way
        else:
            outcome, at = Outcome.OK, now + took
            if (broken := world.next_down(cell, self.region, now)) < at:
                outcome, at = Outcome.RESET, broken
        if send.send_before_ms < now + send.last_byte_delay_ms:
            outcome, at = Outcome.NOT_SENT, now
        if at > send.timeout_at_ms:
            outcome, at = Outcome.TIMEOUT, send.timeout_at_ms
        back = self._back(cell, now)
        if back is not None:
            self.trace.cold.append((back, now, back in self.trace.met))
        if send.id in self.extra:
            self.trace.backlog[cell, int(now // 1000)] += 1
        self._put(max(now, at), "ended", (send, now, outcome))

    def _back(self, cell: int, now: float) -> int | None:
        """The outage that a destination has just come back from, cold."""
        for outage in self.world.by_cell.get(cell, ()):
            if outage.cold and outage.end <= now < outage.end + self.relay.settings.safety.slow_start_ms:
                return outage.number
        return None

    def _ended(self, now: float, send: Send, began: float, outcome: Outcome) -> None:
        carried = self.carried.get(send.id)
        if carried is None:
            return
        cell, done = carried.message.destination, outcome is Outcome.OK
        if not outcome.proves_no_effect and carried.risk is None:
            carried.risk = carried.out
        carried.out = None
        knew = self._held_out(cell, now) if done else None
        event = AttemptEnded(send.id, carried.tries, send.endpoint, outcome, now - began, done)
        self._handle(now, [event], "ended")
        self._count(outcome.value)
        if done:
            self._over(now, send.id)
            if knew is not None and knew not in self.trace.cleared:
                self.trace.cleared[knew] = now
        elif outage := self.world.down(cell, self.region, began):
            self.trace.met.add(outage.number)
            if now < outage.end and outage.number not in self.trace.learned and believes_out(self.relay, cell, now):
                self.trace.learned[outage.number] = now

    def _held_out(self, cell: int, now: float) -> int | None:
        """The latest outage that is over, if this relay still takes it to last."""
        over = [o for o in self.world.by_cell.get(cell, ()) if o.end <= now and o.region in (None, self.region)]
        if not over or over[-1].number not in self.trace.learned or not believes_out(self.relay, cell, now):
            return None
        self.trace.knew.add(over[-1].number)
        return over[-1].number


def empty_bytes(world: World, relay: int) -> float:
    """Bytes a second of the empty lines of one watch."""
    return EMPTY_BYTES * 1000 / EMPTY_MS
