"""Snapshots of what this relay knows: read at the start, written periodically."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..engine.gossip import RouteClaim
from ..storage import snapshot
from ..telemetry import log_events
from ..telemetry.log import Logger
from .gossip_document import GossipDocument, GossipDocumentError, parse

SNAPSHOT_MAGIC = b'{"linnetstile"'
LOGGED_FAILURE_COUNTS = (1, 10, 100, 1000)  # a failed write is logged when the number of failures reaches one of these


def load(path: Path) -> GossipDocument:
    """Read a file that holds a document or a snapshot of one; raises ValueError or OSError."""
    data = path.read_bytes()
    if not data.startswith(SNAPSHOT_MAGIC):
        return parse(data)
    try:
        return parse(snapshot.read(path).payload)
    except snapshot.SnapshotError as error:
        raise GossipDocumentError(str(error)) from error


@dataclass(frozen=True, slots=True)
class LoadedSnapshot:
    """What an earlier process of this relay knew.

    Attributes:
        claims: Its claims, with their ages when the snapshot was read.
        connection_limits: Its connection limits by kind of destination.
        loaded_at_ms: Loop time at which the snapshot was read.
    """

    claims: tuple[RouteClaim, ...]
    connection_limits: dict[str, float]
    loaded_at_ms: float

    def claims_at(self, now_ms: float) -> tuple[RouteClaim, ...]:
        """Return the claims with their ages at a time."""
        age_ms = now_ms - self.loaded_at_ms
        return tuple(claim.aged(age_ms) for claim in self.claims)


class GossipSnapshotStore:
    """Reads the snapshot once and replaces it periodically."""

    def __init__(
        self,
        path: Path,
        interval_ms: float,
        make_document: Callable[[], dict[str, Any]],
        counts: dict[str, int],
        log: Logger,
    ) -> None:
        """Create the store; nothing is read or written yet.

        Args:
            path: File of the snapshot.
            interval_ms: Time between two snapshots.
            make_document: Returns what the relay knows now.
            counts: Counters of the gossip service.
            log: Logger of the relay.
        """
        self.path = path
        self.interval_s = interval_ms / 1000
        self.make_document = make_document
        self.counts = counts
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.is_writing = False

    def read(self) -> LoadedSnapshot | None:
        """Read the snapshot; None if there is none that can be used."""
        try:
            found = snapshot.read(self.path)
            document = parse(found.payload)
        except FileNotFoundError:
            return None
        except (snapshot.SnapshotError, ValueError) as error:
            quarantine_path = snapshot.quarantine(self.path)
            self.log.warning(log_events.GOSSIP_SNAPSHOT_INVALID, why=str(error), kept_as=str(quarantine_path))
            return None
        age_ms = found.age_ms
        if age_ms is None:
            self.log.warning(
                log_events.GOSSIP_SNAPSHOT_AGE_UNKNOWN,
                file=str(self.path),
                why="the time of writing is missing, invalid or in the future (clock set back); snapshot not used",
            )
            return None
        self.log.info(
            log_events.GOSSIP_SNAPSHOT_LOADED,
            file=str(self.path),
            age_ms=round(age_ms),
            claims=len(document.claims),
        )
        claims = tuple(claim.to_claim().aged(age_ms) for claim in document.claims)
        return LoadedSnapshot(claims, document.few_connections, loaded_at_ms=self.loop.time() * 1000)

    def start_writing(self) -> None:
        """Write snapshots periodically, the first one after the interval."""
        self.timer = self.loop.call_later(self.interval_s, self._write)

    def _write(self) -> None:
        """Write a snapshot in a thread, one at a time, so that a slow disk does not delay messages."""
        self.start_writing()
        if self.is_writing:
            return
        document = self.make_document()
        self.is_writing = True
        job = self.loop.run_in_executor(None, snapshot.write, self.path, document)
        job.add_done_callback(self._on_written)

    def _on_written(self, job: asyncio.Future[None]) -> None:
        self.is_writing = False
        if job.cancelled():
            return
        error = job.exception()
        if error is None:
            self.counts["snapshots"] += 1
            return
        self.counts["snapshots_failed"] += 1
        if self.counts["snapshots_failed"] in LOGGED_FAILURE_COUNTS:
            self.log.error(log_events.GOSSIP_SNAPSHOT_WRITE_FAILED, file=str(self.path), why=str(error))

    def close(self) -> None:
        """Stop writing snapshots."""
        if self.timer is not None:
            self.timer.cancel()
