"""This relay's part in the gossip: it sends other relays what it knows, and merges what they know.

`engine/gossip.py` decides what is believed, `engine/gossip_export.py` what is sent.
"""

from __future__ import annotations

import asyncio
import hmac
import json
import urllib.parse
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from ..config.relay import KnowledgeSettings
from ..engine import gossip_export
from ..engine.engine import DeliveryEngine
from ..engine.events import ConnectionLimit, Event, GossipReceived, GossipSent, RouteFacts, RouteKey
from ..engine.gossip import (
    OWN_OBSERVATION_WINS,
    ClaimSource,
    MergedRoute,
    RejectedClaim,
    lower_median,
    merge_claims,
    merge_connection_limits,
)
from ..engine.membership import MAX_PEERS_PER_ANSWER, Peer
from ..net import server
from ..telemetry import log_events
from ..telemetry.log import Logger
from .gossip_document import OwnDocument
from .gossip_polling import PeerPoller
from .gossip_snapshot import GossipSnapshotStore, LoadedSnapshot
from .gossip_versions import ClaimVersions

MAX_SHOWN = 200  # merged routes and rejected claims that are kept for operators
MAX_LOGGED_ROUTES = 20
MAX_SHOWN_AGE_MS = 1e12  # ages are finite in JSON
MAX_VERSION_DIGITS = 15
SNAPSHOT_SOURCE = "snapshot"
STATE_PATH = "/knowledge/state"


@dataclass(frozen=True, slots=True)
class MergeRecord:
    """The latest merge of one route, for operators."""

    route: MergedRoute
    merged_at_ms: float

    def to_json(self, now_ms: float) -> dict[str, Any]:
        """Return the record under the names of the operators' document, in its order."""
        route = self.route
        return {
            "partner": route.partner,
            "route": route.route,
            "out_ms": route.outage_age_ms,
            "cold_ms": route.slow_start_age_ms,
            "wait_ms": route.retry_after_ms,
            "mean_ms": route.latency_mean_ms,
            "dev_ms": route.latency_deviation_ms,
            "answers": route.answers,
            "knowers": route.aware_relays,
            "pace": route.rate,
            "sources": route.sources,
            "age_ms": min(route.age_ms, MAX_SHOWN_AGE_MS),
            "taken_at": self.merged_at_ms,
            "taken_ms_ago": round(now_ms - self.merged_at_ms),
        }


class GossipService:
    """Serves the gossip document, and merges those of peers and of the snapshot.

    Attributes:
        poller: Polls the peers, and keeps what they said.
        snapshot_store: Reads and writes the snapshot; None if the settings name none.
        loaded_snapshot: What the snapshot said at the start.
        merged: The latest merge of each route.
        rejected: How often each claim was rejected.
        counts: Counters under the names of the operators' document.
    """

    def __init__(
        self,
        settings: KnowledgeSettings,
        engine: DeliveryEngine,
        name: str,
        incarnation: str,
        partner_numbers: dict[str, int],
        post_event: Callable[[Event], None],
        log: Logger,
    ) -> None:
        """Take the parts that the service needs; nothing is read or asked before `start`.

        Args:
            settings: Settings of the gossip.
            engine: The delivery engine, whose knowledge is sent.
            name: Name of this relay.
            incarnation: Identifier of this process.
            partner_numbers: Number of each partner in the engine; kept by the registry client.
            post_event: Takes events for the delivery engine.
            log: Logger of the relay.
        """
        self.settings = settings
        self.engine = engine
        self.name = name
        self.incarnation = incarnation
        self.partner_numbers = partner_numbers
        self.post_event = post_event
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.token = settings.token_file.read_text(encoding="utf-8").strip() if settings.token_file else ""
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
        self.versions = ClaimVersions()
        self.poller = PeerPoller(
            relay_name=name,
            token=self.token,
            relay_count=engine.settings.relay_count,
            on_answer=self.merge,
            counts=self.counts,
            log=log,
        )
        self.snapshot_store: GossipSnapshotStore | None = None
        if settings.snapshot is not None:
            self.snapshot_store = GossipSnapshotStore(
                path=settings.snapshot,
                interval_ms=settings.snapshot_every_ms,
                make_document=self.document,
                counts=self.counts,
                log=log,
            )
        self.loaded_snapshot: LoadedSnapshot | None = None
        self.loaded_at_ms = 0.0
        self.merged: dict[tuple[str, int], MergeRecord] = {}
        self.rejected: dict[RejectedClaim, int] = {}

    @property
    def now_ms(self) -> float:
        """The loop's time in ms."""
        return self.loop.time() * 1000

    @property
    def version(self) -> int:
        """Version of what this relay knows."""
        return self.versions.current

    def start(self, address: str) -> None:
        """Read the snapshot, then poll peers and write snapshots from time to time."""
        if self.snapshot_store is not None:
            self.loaded_snapshot = self.snapshot_store.read()
            self.loaded_at_ms = self.now_ms
            self.snapshot_store.start_writing()
        seed = hash(self.incarnation) & 0xFFFF
        self.poller.start(self.settings.address or address, list(self.settings.peers), seed)

    def close(self) -> None:
        """End all polls and snapshots."""
        if self.snapshot_store is not None:
            self.snapshot_store.close()
        self.poller.close()

    def _partner_names(self) -> dict[int, str]:
        return {number: name for name, number in self.partner_numbers.items()}

    # -- what this relay sends -------------------------------------------------------------------------------

    def own_document(self, since: int = 0) -> OwnDocument:
        """Return what this relay knows itself and what changed after version `since` (0: all of it)."""
        claims = gossip_export.export_claims(self.engine, self.now_ms, self._partner_names())
        self.versions.update(self.now_ms, claims)
        membership = self.poller.membership
        peers = membership.alive_peers() if membership is not None else []
        return OwnDocument(
            relay=self.name,
            incarnation=self.incarnation,
            version=self.version,
            since=since,
            relay_count=self.engine.settings.relay_count,
            peers=peers[:MAX_PEERS_PER_ANSWER],
            connection_limits=gossip_export.export_connection_limits(self.engine),
            claims=[claim for claim in claims if self.versions.changed_since(claim, since)],
        )

    def document(self, since: int = 0) -> dict[str, Any]:
        """Return `own_document` as it travels."""
        return self.own_document(since).to_json()

    def serve(self, request: server.RequestContext) -> None:
        """Answer GET /knowledge?since=VERSION with the token as bearer; /knowledge/state is for operators."""
        given = request.head.headers.get("authorization").removeprefix("Bearer ")
        if not self.token or not hmac.compare_digest(given.encode(), self.token.encode()):
            self.counts["denied"] += 1
            request.reply(403 if self.token else 404, [("Content-Type", "text/plain")], b"not for you\n")
            return
        if request.head.target.partition("?")[0] == STATE_PATH:
            _reply_json(request, self.state())
            return
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(request.head.target).query))
        document = self.own_document(self._requested_version(query.get("since", "")))
        self.counts["handed_out"] += 1
        if query.get("look") != "1":  # an operator's look is no relay that knows of these outages now
            self._record_sent(document)
        _reply_json(request, document.to_json())

    def _requested_version(self, text: str) -> int:
        """Return the version that a peer has, given as INCARNATION.VERSION; 0 unless it is of this process."""
        incarnation, _, version = text.rpartition(".")
        is_usable = incarnation == self.incarnation and version.isdigit() and len(version) <= MAX_VERSION_DIGITS
        return int(version) if is_usable else 0

    def _record_sent(self, document: OwnDocument) -> None:
        """Tell the engine that another relay now knows of the outages and slow starts in a document."""
        routes = tuple(
            RouteKey(self.partner_numbers[claim.partner], claim.route)
            for claim in document.claims
            if claim.outage_age_ms is not None or claim.slow_start_age_ms is not None
        )
        if routes:
            self.post_event(GossipSent(routes))

    # -- what this relay learns ------------------------------------------------------------------------------

    def merge(self) -> None:
        """Merge all sources anew and post what there is to take; called with each answer and each endpoint list."""
        sources = self._sources()
        endpoints, observed = gossip_export.known_routes(self.engine, self._partner_names())
        if not endpoints or not sources:
            return
        # A relay that believes in too few relays would take too large a part of a partner in slow start: the larger
        # number counts, of the others that of the one in the middle.
        relay_counts = [float(peer.relay_count) for peer in self.poller.peers.values()]
        relay_count = max(self.engine.settings.relay_count, int(lower_median(relay_counts)))
        routes, rejected = merge_claims(sources, endpoints, observed, relay_count)
        self._record_rejected(rejected)
        connection_limits = self._merged_connection_limits()
        if not routes and not connection_limits:
            return
        self._record_merged(sources, routes)
        facts = tuple(self._facts(route) for route in routes)
        self.post_event(GossipReceived(facts, connection_limits))

    def _sources(self) -> list[ClaimSource]:
        now = self.now_ms
        sources = [
            ClaimSource(address, False, tuple(peer.claims_at(now).values()))
            for address, peer in self.poller.peers.items()
        ]
        if self.loaded_snapshot is not None:
            age_ms = now - self.loaded_at_ms
            claims = tuple(claim.aged(age_ms) for claim in self.loaded_snapshot.claims)
            sources.append(ClaimSource(SNAPSHOT_SOURCE, True, claims))
        return sources

    def _merged_connection_limits(self) -> tuple[ConnectionLimit, ...]:
        """Return by number of the kind how far connections are limited, of the kinds that the settings name."""
        by_source = {address: peer.connection_limits for address, peer in self.poller.peers.items()}
        if self.loaded_snapshot is not None:
            by_source[SNAPSHOT_SOURCE] = self.loaded_snapshot.connection_limits
        merged = merge_connection_limits([by_source[source] for source in sorted(by_source)])
        kinds = [kind.name for kind in self.engine.settings.kinds]
        return tuple(ConnectionLimit(kinds.index(kind), ratio) for kind, ratio in merged.items() if kind in kinds)

    def _facts(self, route: MergedRoute) -> RouteFacts:
        return RouteFacts(
            destination=self.partner_numbers[route.partner],
            route=route.route,
            outage_age_ms=route.outage_age_ms,
            slow_start_age_ms=route.slow_start_age_ms,
            retry_after_ms=route.retry_after_ms,
            latency_mean_ms=route.latency_mean_ms,
            latency_deviation_ms=route.latency_deviation_ms,
            answers=route.answers,
            aware_relays=route.aware_relays,
            rate=route.rate,
        )

    def _record_rejected(self, rejected: Sequence[RejectedClaim]) -> None:
        for claim in rejected:
            if claim not in self.rejected and len(self.rejected) < MAX_SHOWN:
                self.counts["doubted"] += 1
                # That this relay has seen the route itself is no fault of the peer.
                log = self.log.debug if claim.reason == OWN_OBSERVATION_WINS else self.log.info
                log(log_events.GOSSIP_CLAIM_REJECTED, source=claim.source, partner=claim.partner, why=claim.reason)
            self.rejected[claim] = self.rejected.get(claim, 0) + 1

    def _record_merged(self, sources: Sequence[ClaimSource], routes: Sequence[MergedRoute]) -> None:
        self.counts["taken"] += len(routes)
        cautions = [
            route
            for route in routes
            if route.outage_age_ms is not None or route.slow_start_age_ms is not None or route.retry_after_ms
        ]
        if cautions:
            self.log.info(
                log_events.GOSSIP_MERGED,
                sources=[source.name for source in sources],
                routes=len(routes),
                cautions=[_caution_fields(route) for route in cautions[:MAX_LOGGED_ROUTES]],
            )
        now = self.now_ms
        for route in routes:
            key = route.partner, route.route
            if len(self.merged) < MAX_SHOWN or key in self.merged:
                self.merged[key] = MergeRecord(route, now)

    # -- for operators ---------------------------------------------------------------------------------------

    def state(self) -> dict[str, Any]:
        """Return the operators' document: the members, what was merged and what was rejected."""
        now, membership = self.now_ms, self.poller.membership
        return {
            "run": self.incarnation,
            "counts": self.counts,
            "taken": [record.to_json(now) for record in self.merged.values()],
            "doubted": [
                {"source": claim.source, "partner": claim.partner, "why": claim.reason, "times": times}
                for claim, times in list(self.rejected.items())[:MAX_SHOWN]
            ],
            "peers": [_peer_to_json(peer, now) for peer in membership.peers.values()] if membership else [],
        }


def _reply_json(request: server.RequestContext, document: dict[str, Any]) -> None:
    request.reply(200, [("Content-Type", "application/json")], json.dumps(document).encode())


def _peer_to_json(peer: Peer, now: float) -> dict[str, Any]:
    return {
        "address": peer.address,
        "standing": peer.status.value,
        "fails": peer.failures,
        "heard_ms_ago": round(now - peer.last_answer_at) if peer.incarnation else None,
    }


def _caution_fields(route: MergedRoute) -> dict[str, Any]:
    return {
        "partner": route.partner,
        "route": route.route,
        "out_ms": route.outage_age_ms,
        "cold_ms": route.slow_start_age_ms,
        "wait_ms": route.retry_after_ms,
        "sources": route.sources,
        "age_ms": round(route.age_ms) if route.age_ms < MAX_SHOWN_AGE_MS else None,
    }
