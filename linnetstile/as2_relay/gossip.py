"""The document of what a relay knows, its endpoint, the asks for it, and its snapshot on disk.

What is believed is decided in `decisions/knowledge.py`, whom to ask in `decisions/membership.py`."""

from __future__ import annotations

import asyncio
import hmac
import json
import urllib.parse
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

from pydantic import BaseModel, Field, ValidationError

from linnetstile.engine.events import Event, GossipReceived, GossipSent, RouteFacts

from ..codec import http1
from ..config.relay import Address, KnowledgeSettings, split
from ..engine import gossip_export
from ..engine.engine import DeliveryEngine
from ..engine.gossip import (
    OWN_OBSERVATION_WINS,
    ClaimSource,
    RejectedClaim,
    RouteClaim,
    lower_median,
    merge_claims,
    merge_connection_limits,
)
from ..engine.membership import MAX_PEERS_PER_ANSWER, Membership
from ..net import client, server
from ..storage import snapshot
from ..telemetry import log as names

FORMAT = 1
ASK_S = 1.0  # a peer that takes longer has not answered: its ages could not be trusted, and traffic must not wait
BODY_MAX = 4 * 1024 * 1024
CLAIMS_MAX = 20_000
FRESH_MS = 2000.0  # a claim counts as changed when its latest evidence moved by this much
LESSONS_KEPT = 200  # shown to operators

# Names in the operators' document -> attributes of a merged route, in the order of the document.
MERGED_ROUTE_FIELDS = {
    "partner": "partner",
    "route": "route",
    "out_ms": "outage_age_ms",
    "cold_ms": "slow_start_age_ms",
    "wait_ms": "retry_after_ms",
    "mean_ms": "latency_mean_ms",
    "dev_ms": "latency_deviation_ms",
    "answers": "answers",
    "knowers": "aware_relays",
    "pace": "rate",
    "sources": "sources",
    "age_ms": "age_ms",
}


class ClaimModel(BaseModel):
    """A claim as it travels; ages in ms."""

    partner: str = Field(min_length=1, max_length=128)
    route: int = Field(ge=-1, le=2**31)
    endpoints: list[int] = Field(max_length=64)
    answered_age: float | None = Field(None, ge=0, le=1e12)
    failed_age: float | None = Field(None, ge=0, le=1e12)
    out_age: float | None = Field(None, ge=0, le=1e12)
    cold_age: float | None = Field(None, ge=0, le=1e12)
    wait_ms: float = Field(0.0, ge=0, le=1e9)
    mean_ms: float = Field(0.0, ge=0, le=1e6)
    dev_ms: float = Field(0.0, ge=0, le=1e6)
    answers: int = Field(0, ge=0)
    knowers: float = Field(1.0, ge=0, le=1e6)
    pace: float = Field(0.0, ge=0, le=1e9)

    def claim(self) -> RouteClaim:
        values = self.model_dump()
        return RouteClaim(**{**values, "endpoints": tuple(values["endpoints"])})


class Document(BaseModel):
    """What one relay knows. `since` = 0: all of it; else what changed after that version."""

    format: int
    relay: str = Field(min_length=1, max_length=64)
    run: str = Field(min_length=1, max_length=64)
    version: int = Field(ge=0)
    since: int = Field(ge=0)
    relays: int = Field(ge=1, le=1_000_000)
    peers: list[Address] = Field(max_length=MAX_PEERS_PER_ANSWER)
    claims: list[ClaimModel] = Field(max_length=CLAIMS_MAX)
    few_connections: dict[str, Annotated[float, Field(ge=0, le=1)]] = Field({}, max_length=1000)


def parse(data: bytes | str | dict[str, Any]) -> Document:
    """Raises ValueError with one line that says what is wrong."""
    try:
        raw = data if isinstance(data, dict) else json.loads(data)
        if isinstance(raw, dict) and raw.get("format") != FORMAT:
            raise ValueError(f"format {raw.get('format')!r}, expected {FORMAT}: another version of the program")
        return Document.model_validate(raw)
    except ValidationError as error:
        fault = error.errors(include_url=False)[0]
        raise ValueError(f"{'.'.join(map(str, fault['loc']))}: {fault['msg']}") from error
    except (RecursionError, UnicodeDecodeError, json.JSONDecodeError) as error:
        raise ValueError("not JSON") from error


class Knowledge:
    """One relay's part in it."""

    def __init__(
        self,
        settings: KnowledgeSettings,
        relay: DeliveryEngine,
        name: str,
        run: str,
        names: dict[str, int],
        tell: Callable[[Event], None],
        log: Any,
    ) -> None:
        self.s = settings
        self.relay = relay
        self.name = name
        self.run = run
        self.numbers = names  # partner -> number, kept by the register's client
        self.tell = tell
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.token = settings.token_file.read_text(encoding="utf-8").strip() if settings.token_file else ""
        self.members: Membership | None = None
        self.pool = client.Pool(connect_s=0.5, limits=http1.Limits(body=BODY_MAX))
        self.version = 0
        self.changed: dict[tuple[str, int], tuple[tuple[Any, ...], int]] = {}
        self.peers_version: dict[str, int] = {}
        self.heard: dict[str, tuple[float, dict[tuple[str, int], RouteClaim]]] = {}  # peer -> when, claims then
        self.few: dict[str, dict[str, float]] = {}
        self.fleet: dict[str, float] = {}  # how many relays each peer believes in
        self.before: tuple[float, tuple[RouteClaim, ...]] | None = None  # own snapshot: when read, claims then
        self.taken: dict[tuple[str, int], dict[str, Any]] = {}  # the latest of each lane
        self.doubts: dict[RejectedClaim, int] = {}
        self.counts = {
            "asked": 0,
            "answered": 0,
            "no_answer": 0,
            "unreadable": 0,
            "handed_out": 0,
            "denied": 0,
            "taken": 0,
            "doubted": 0,
            "snapshots": 0,
            "snapshots_failed": 0,
        }
        self.timers: list[asyncio.TimerHandle] = []
        self.writing = False

    @property
    def now(self) -> float:
        return self.loop.time() * 1000

    def start(self, address: str) -> None:
        """Reads the snapshot, then asks peers and writes snapshots from time to time."""
        if self.s.snapshot:
            self._read()
            self.timers.append(self.loop.call_later(self.s.snapshot_every_ms / 1000, self._write))
        self.members = Membership(self.s.address or address, list(self.s.peers), self.now, hash(self.run) & 0xFFFF)
        if self.s.peers:
            self._ask()

    def close(self) -> None:
        for timer in self.timers:
            timer.cancel()
        self.pool.close()

    # -- handing out -----------------------------------------------------------------------------------------

    def names(self) -> dict[int, str]:
        return {number: name for name, number in self.numbers.items()}

    def document(self, since: int = 0) -> dict[str, Any]:
        """What this relay knows itself, as it travels."""
        found = gossip_export.export_claims(self.relay, self.now, self.names())
        for each in found:
            route = each.partner, each.route
            ok = -1 if each.answered_age is None else int((self.now - each.answered_age) / FRESH_MS)
            bad = -1 if each.failed_age is None else int((self.now - each.failed_age) / FRESH_MS)
            mark = (each.endpoints, each.out_age is None, each.cold_age is None, each.wait_ms > 0, ok, bad)
            if self.changed.get(route, ((), 0))[0] != mark:
                self.version += 1
                self.changed[route] = mark, self.version
        sent = [each for each in found if self.changed[each.partner, each.route][1] > since]
        peers = (self.members.alive_peers() if self.members else [])[:MAX_PEERS_PER_ANSWER]
        return {
            "format": FORMAT,
            "relay": self.name,
            "run": self.run,
            "version": self.version,
            "since": since,
            "relays": self.relay.settings.relay_count,
            "peers": peers,
            "few_connections": gossip_export.export_connection_limits(self.relay),
            "claims": [{name: getattr(each, name) for name in RouteClaim.__slots__} for each in sent],
        }

    def serve(self, exchange: server.RequestContext) -> None:
        """GET /knowledge?since=V with the token as bearer; /knowledge/state is for operators."""
        given = exchange.head.headers.get("authorization").removeprefix("Bearer ")
        if not self.token or not hmac.compare_digest(given.encode(), self.token.encode()):
            self.counts["denied"] += 1
            exchange.reply(403 if self.token else 404, [("Content-Type", "text/plain")], b"not for you\n")
            return
        if exchange.head.target.partition("?")[0] == "/knowledge/state":
            exchange.reply(200, [("Content-Type", "application/json")], json.dumps(self.state()).encode())
            return
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(exchange.head.target).query))
        run, _, version = query.get("since", "").rpartition(".")
        since = int(version) if run == self.run and version.isdigit() and len(version) < 16 else 0
        found = self.document(since)
        self.counts["handed_out"] += 1
        if query.get("look") != "1":  # another relay now knows of these outages; an operator's look is no relay
            told = tuple(
                (self.numbers[each["partner"]], each["route"])
                for each in found["claims"]
                if each["out_age"] is not None or each["cold_age"] is not None
            )
            if told:
                self.tell(GossipSent(told))
        exchange.reply(200, [("Content-Type", "application/json")], json.dumps(found).encode())

    # -- asking ----------------------------------------------------------------------------------------------

    def _ask(self) -> None:
        assert self.members is not None
        peer = self.members.next_peer(self.now)
        if peer is not None:
            self.counts["asked"] += 1
            since = self.peers_version.get(peer, 0)
            run = self.members.peers[peer].incarnation
            target = "/knowledge" + (f"?since={run}.{since}" if since else "")
            data = http1.request(
                "GET", target, [("Host", peer), ("Authorization", f"Bearer {self.token}"), ("Via", f"1.1 {self.name}")]
            )
            asked = self.now
            self.pool.call(
                split(peer), "GET", data, lambda answer: self._answered(peer, asked, answer), self.loop.time() + ASK_S
            )
        self.timers = [timer for timer in self.timers if timer.when() > self.loop.time()]
        self.timers.append(self.loop.call_later(0.05 if self.members.is_bootstrapping else 0.5, self._ask))

    def _answered(self, peer: str, asked: float, answer: client.Answer) -> None:
        assert self.members is not None
        if answer.head is None or answer.head.status != 200:
            self.counts["no_answer"] += 1
            self.members.poll_failed(self.now, peer)
            why = answer.sight.value if answer.head is None else str(answer.head.status)
            self.log.info(names.KNOWLEDGE_NO_ANSWER, peer=peer, why=why, standing=self._standing(peer))
            return
        try:
            found = parse(answer.body)
        except ValueError as error:
            self.counts["unreadable"] += 1
            self.members.poll_failed(self.now, peer)
            self.log.warning(names.KNOWLEDGE_UNREADABLE, peer=peer, why=str(error))
            return
        self.counts["answered"] += 1
        another = self.members.poll_answered(self.now, peer, found.run, found.peers)
        _, known = self.heard.get(peer, (0.0, {}))
        if another or not found.since:
            known = {}
        # Its ages were true when it wrote them: at the latest since the ask, so the whole way counts as age.
        way = self.now - asked
        known = {route: claim.aged(self.now - self.heard[peer][0]) for route, claim in known.items()}
        known |= {(c.partner, c.route): c.claim().aged(way) for c in found.claims}
        self.heard[peer] = self.now, known
        self.few[peer] = found.few_connections
        self.fleet[peer] = float(found.relays)
        self.peers_version[peer] = found.version
        if found.relays != self.relay.settings.relay_count:
            self.log.warning(
                names.KNOWLEDGE_OTHER_FLEET,
                peer=peer,
                its=found.relays,
                own=self.relay.settings.relay_count,
                taken="the own number for limits, the larger for learned outages",
            )
        self.learn()

    def _standing(self, peer: str) -> str:
        found = self.members.peers.get(peer) if self.members else None
        return found.status.value if found else "left"

    def learn(self) -> None:
        """Weighs all sources anew and tells the module what there is to take. Called with each answer and list."""
        now = self.now
        sources = [
            ClaimSource(peer, False, tuple(claim.aged(now - at) for claim in known.values()))
            for peer, (at, known) in self.heard.items()
        ]
        if self.before:
            at, claims = self.before
            sources.append(ClaimSource("snapshot", True, tuple(claim.aged(now - at) for claim in claims)))
        ends, seen = gossip_export.known_routes(self.relay, self.names())
        if not ends or not sources:
            return
        # Who believes in too few relays would take too large a part of a cold partner: the larger number counts,
        # of the others that of the one in the middle.
        relays = max(self.relay.settings.relay_count, int(lower_median(list(self.fleet.values()))))
        found, doubts = merge_claims(sources, ends, seen, relays)
        for doubt in doubts:
            if doubt not in self.doubts and len(self.doubts) < LESSONS_KEPT:
                self.counts["doubted"] += 1
                tell = (
                    self.log.debug if doubt.reason == OWN_OBSERVATION_WINS else self.log.info
                )  # that is no fault of a peer's
                tell("knowledge_doubted", source=doubt.source, partner=doubt.partner, why=doubt.reason)
            self.doubts[doubt] = self.doubts.get(doubt, 0) + 1
        kinds = [kind.name for kind in self.relay.settings.kinds]
        few = merge_connection_limits([self.few[name] for name in sorted(self.few)])
        known = tuple((kinds.index(kind), part) for kind, part in few.items() if kind in kinds)
        if not found and not known:
            return
        facts = tuple(
            RouteFacts(
                self.numbers[each.partner],
                each.route,
                each.outage_age_ms,
                each.slow_start_age_ms,
                each.retry_after_ms,
                each.latency_mean_ms,
                each.latency_deviation_ms,
                each.answers,
                each.aware_relays,
                each.rate,
            )
            for each in found
        )
        cautions = [
            each
            for each in found
            if each.outage_age_ms is not None or each.slow_start_age_ms is not None or each.retry_after_ms
        ]
        self.counts["taken"] += len(found)
        if cautions:
            shown = [
                {
                    "partner": c.partner,
                    "route": c.route,
                    "out_ms": c.outage_age_ms,
                    "cold_ms": c.slow_start_age_ms,
                    "wait_ms": c.retry_after_ms,
                    "sources": c.sources,
                    "age_ms": round(c.age_ms) if c.age_ms < 1e12 else None,
                }
                for c in cautions[:20]
            ]
            self.log.info(
                names.KNOWLEDGE_TAKEN, sources=[source.name for source in sources], lanes=len(found), cautions=shown
            )
        for each in found:
            if len(self.taken) < LESSONS_KEPT or (each.partner, each.route) in self.taken:
                row = {stored: getattr(each, name) for stored, name in MERGED_ROUTE_FIELDS.items()}
                self.taken[each.partner, each.route] = row | {"age_ms": min(each.age_ms, 1e12), "taken_at": now}
        self.tell(GossipReceived(facts, known))

    # -- on disk ---------------------------------------------------------------------------------------------

    def _read(self) -> None:
        path = self.s.snapshot
        assert path is not None
        try:
            payload, age = snapshot.read(path)
            found = parse(payload)
        except FileNotFoundError:
            return
        except (snapshot.SnapshotError, ValueError) as error:
            aside = snapshot.set_aside(path)
            self.log.warning(names.KNOWLEDGE_SNAPSHOT_UNUSABLE, why=str(error), kept_as=str(aside))
            return
        if age is None:
            self.log.warning(names.KNOWLEDGE_SNAPSHOT_AGELESS, file=str(path), why="the clock has gone back: not taken")
            return
        self.few["snapshot"] = found.few_connections
        self.before = self.now, tuple(claim.claim().aged(age) for claim in found.claims)
        self.log.info(names.KNOWLEDGE_SNAPSHOT_READ, file=str(path), age_ms=round(age), claims=len(found.claims))

    def _write(self) -> None:
        """In a thread, one at a time: a slow disk holds up no message."""
        self.timers.append(self.loop.call_later(self.s.snapshot_every_ms / 1000, self._write))
        if self.writing:
            return
        self.writing = True
        assert self.s.snapshot is not None
        job = self.loop.run_in_executor(None, snapshot.write, self.s.snapshot, self.document())
        job.add_done_callback(self._written)

    def _written(self, job: asyncio.Future[None]) -> None:
        self.writing = False
        if job.cancelled():
            return
        if error := job.exception():
            self.counts["snapshots_failed"] += 1
            if self.counts["snapshots_failed"] in (1, 10, 100, 1000):
                self.log.error(names.KNOWLEDGE_SNAPSHOT_FAILED, file=str(self.s.snapshot), why=str(error))
        else:
            self.counts["snapshots"] += 1

    def state(self) -> dict[str, Any]:
        """For operators: members, what was taken and doubted."""
        now, members = self.now, self.members.peers.values() if self.members else []
        taken = [{**row, "taken_ms_ago": round(now - row["taken_at"])} for row in self.taken.values()]
        return {
            "run": self.run,
            "counts": self.counts,
            "taken": taken,
            "doubted": [
                {"source": d.source, "partner": d.partner, "why": d.reason, "times": n}
                for d, n in list(self.doubts.items())[:LESSONS_KEPT]
            ],
            "peers": [
                {
                    "address": p.address,
                    "standing": p.status.value,
                    "fails": p.failures,
                    "heard_ms_ago": round(now - p.last_answer_at) if p.incarnation else None,
                }
                for p in members
            ],
        }


def load(path: Path) -> Document:
    """A document or a snapshot from a file; raises ValueError."""
    data = path.read_bytes()
    if data.startswith(b'{"linnetstile"'):
        try:
            return parse(snapshot.read(path)[0])
        except snapshot.SnapshotError as error:
            raise ValueError(str(error)) from error
    return parse(data)
