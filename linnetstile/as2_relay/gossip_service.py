"""The gossip of one relay: serves its own knowledge, polls its peers and writes snapshots.

`engine/gossip_export.py` decides what is sent; `gossip_merger.py` merges what other relays know.
"""

from __future__ import annotations

import asyncio
import hmac
import json
import urllib.parse
from collections.abc import Callable
from typing import Any

from ..config.relay import KnowledgeSettings
from ..engine import gossip_export
from ..engine.engine import DeliveryEngine
from ..engine.events import Event, GossipSent, RouteKey
from ..engine.membership import MAX_PEERS_PER_ANSWER
from ..net import server
from ..telemetry.log import Logger
from .gossip_document import OwnDocument
from .gossip_merger import MAX_RECORDS, GossipMerger
from .gossip_polling import PeerPoller
from .gossip_snapshot import GossipSnapshotStore
from .gossip_state import peer_to_json, rejection_to_json
from .gossip_versions import ClaimVersions

MAX_VERSION_DIGITS = 15
STATE_PATH = "/knowledge/state"
# Counters under the names of the operators' document, in its order.
COUNT_NAMES = (
    "asked",
    "answered",
    "no_answer",
    "unreadable",
    "handed_out",
    "denied",
    "taken",
    "doubted",
    "snapshots",
    "snapshots_failed",
)


class GossipService:
    """Serves the gossip document, and runs the parts that poll, merge and write snapshots.

    Attributes:
        poller: Polls the peers, and keeps what they reported.
        merger: Merges what the peers and the snapshot claim.
        snapshot_store: Reads and writes the snapshot; None if the settings name none.
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
        """Create the service; it polls no peer and reads no snapshot before `start`.

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
        self.counts = dict.fromkeys(COUNT_NAMES, 0)
        self.versions = ClaimVersions()
        self.poller = self._make_poller()
        self.merger = GossipMerger(engine, partner_numbers, self.poller.peers, post_event, self.counts, log)
        self.snapshot_store = self._make_snapshot_store()

    def _make_poller(self) -> PeerPoller:
        return PeerPoller(
            relay_name=self.name,
            token=self.token,
            relay_count=self.engine.settings.relay_count,
            on_answer=self.merge,
            counts=self.counts,
            log=self.log,
        )

    def _make_snapshot_store(self) -> GossipSnapshotStore | None:
        if self.settings.snapshot is None:
            return None
        return GossipSnapshotStore(
            path=self.settings.snapshot,
            interval_ms=self.settings.snapshot_every_ms,
            make_document=self.document,
            counts=self.counts,
            log=self.log,
        )

    @property
    def now_ms(self) -> float:
        """The loop's time in ms."""
        return self.loop.time() * 1000

    @property
    def version(self) -> int:
        """Version of what this relay knows."""
        return self.versions.current

    def start(self, address: str) -> None:
        """Read the snapshot, then poll peers and write snapshots periodically."""
        if self.snapshot_store is not None:
            self.merger.snapshot = self.snapshot_store.read()
            self.snapshot_store.start_writing()
        seed = hash(self.incarnation) & 0xFFFF
        self.poller.start(self.settings.address or address, list(self.settings.peers), seed)

    def close(self) -> None:
        """Stop polling and writing snapshots."""
        if self.snapshot_store is not None:
            self.snapshot_store.close()
        self.poller.close()

    def merge(self) -> None:
        """Merge the claims of peers and of the snapshot; called after each answer and each endpoint list."""
        self.merger.merge()

    # -- what this relay sends -------------------------------------------------------------------------------

    def own_document(self, since: int = 0) -> OwnDocument:
        """Return the part of this relay's own knowledge that changed after version `since` (0: all of it)."""
        partner_names = {number: name for name, number in self.partner_numbers.items()}
        claims = gossip_export.export_claims(self.engine, self.now_ms, partner_names)
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
        """Return `own_document` under its JSON names."""
        return self.own_document(since).to_json()

    def serve(self, request: server.RequestContext) -> None:
        """Answer GET /knowledge?since=INCARNATION.VERSION, and /knowledge/state for operators.

        Both need the bearer token. The document is complete if `since` is missing, invalid or of another incarnation.
        """
        given_token = request.head.headers.get("authorization").removeprefix("Bearer ")
        if not self.token or not hmac.compare_digest(given_token.encode(), self.token.encode()):
            self.counts["denied"] += 1
            request.reply(403 if self.token else 404, [("Content-Type", "text/plain")], b"not for you\n")
            return
        if request.head.target.partition("?")[0] == STATE_PATH:
            _reply_json(request, self.state())
            return
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(request.head.target).query))
        document = self.own_document(self._requested_version(query.get("since", "")))
        self.counts["handed_out"] += 1
        if query.get("look") != "1":  # a request of an operator tells no relay of these outages
            self._record_sent(document)
        _reply_json(request, document.to_json())

    def _requested_version(self, text: str) -> int:
        """Return the version that a peer has, from INCARNATION.VERSION; 0 if it is invalid or of another process."""
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

    # -- for operators ---------------------------------------------------------------------------------------

    def state(self) -> dict[str, Any]:
        """Return the operators' document: the members, what was merged and what was rejected."""
        now_ms = self.now_ms
        membership = self.poller.membership
        members = membership.peers.values() if membership is not None else ()
        rejected = list(self.merger.rejected.items())[:MAX_RECORDS]
        return {
            "run": self.incarnation,
            "counts": self.counts,
            "taken": [record.to_json(now_ms) for record in self.merger.merged.values()],
            "doubted": [rejection_to_json(claim, times) for claim, times in rejected],
            "peers": [peer_to_json(peer, now_ms) for peer in members],
        }


def _reply_json(request: server.RequestContext, document: dict[str, Any]) -> None:
    request.reply(200, [("Content-Type", "application/json")], json.dumps(document).encode())
