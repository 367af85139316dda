"""Asks the partner register over HTTP: the whole list, then a watch on changes (docs/design/relay.md, 'Register').

When to ask again after a failure is the module's to say (`WatchList`); this client makes one chain of asks."""

from __future__ import annotations

import asyncio
import json
import urllib.parse
from collections.abc import Callable
from typing import Any, Literal

from pydantic import BaseModel, Field, ValidationError

from linnetstile.engine.events import Endpoint, EndpointList, EndpointStatus, ListKind

from ..codec import http1
from ..config.relay import PartnerUrl, loopback, split
from ..net import client
from ..telemetry import log as names

WATCH_MS = 10_000  # how long the register may hold a watch without a change
ENTRIES_MAX = 100_000
STATES = {"ready": EndpointStatus.READY, "draining": EndpointStatus.DRAINING, "gone": EndpointStatus.GONE}


class Entry(BaseModel):
    id: int = Field(ge=0, le=2**31)
    partner: str = Field(min_length=1, max_length=128)
    url: PartnerUrl
    status: Literal["ready", "draining", "gone"]
    kind: str = ""
    zone: str = ""
    rate: float = Field(0.0, ge=0, allow_inf_nan=False)


class Document(BaseModel):
    version: int = Field(ge=0)
    entries: list[Entry] = Field(max_length=ENTRIES_MAX)


class Place:
    """Where an endpoint is reached."""

    __slots__ = ("id", "partner", "address", "target", "host", "secure")

    def __init__(self, entry: Entry) -> None:
        parts = urllib.parse.urlsplit(entry.url)
        self.id = entry.id
        self.partner = entry.partner
        self.address = split(parts.netloc)
        self.host = parts.netloc
        self.secure = parts.scheme == "https"
        self.target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")


class Register:
    """Keeps `places` and the numbers of partners; hands each list on to `tell`."""

    def __init__(
        self,
        url: str,
        name: str,
        kinds: list[str],
        zones: list[str],
        tell: Callable[[EndpointList], None],
        log: Any,
    ) -> None:
        parts = urllib.parse.urlsplit(url)
        self.address, self.host = split(loopback(parts.netloc)), parts.netloc
        self.base = parts.path.rstrip("/")
        self.name = name
        self.kinds = {kind: n for n, kind in enumerate(kinds)}
        self.zones = {zone: n for n, zone in enumerate(zones)}
        self.tell = tell
        self.log = log
        self.pool = client.Pool(limits=http1.Limits(body=64 * 1024 * 1024))
        self.places: dict[int, Place] = {}
        self.partners: dict[str, int] = {}  # numbers are never given anew: messages may still name them
        self.version = -1
        self.busy = self.closed = False
        self.lists = {"whole": 0, "changes": 0, "failed": 0}

    def ask(self) -> None:
        """Asks for the whole list, then watches."""
        if not self.busy:
            self.busy = True
            self._get(f"{self.base}/list", 5.0, self._whole)

    def _get(self, target: str, seconds: float, done: Callable[[client.Answer], None]) -> None:
        data = http1.request("GET", target, [("Host", self.host), ("Via", f"1.1 {self.name}")])
        self.pool.call(self.address, "GET", data, done, asyncio.get_running_loop().time() + seconds)

    def _read(self, answer: client.Answer) -> Document | None:
        if answer.head is None or answer.head.status != 200:
            told = answer.sight.value if answer.head is None else str(answer.head.status)
            self._failed(f"the register did not answer with a list: {told}")
            return None
        try:
            return Document.model_validate(json.loads(answer.body))
        except (ValueError, ValidationError, RecursionError) as error:
            self._failed(f"the register's list can't be read: {str(error).splitlines()[0]}")
            return None

    def _failed(self, why: str) -> None:
        self.busy = False
        if self.closed:
            return
        self.lists["failed"] += 1
        self.log.warning(names.REGISTER, result="failed", why=why, version=self.version)
        self.tell(EndpointList(ListKind.FAILED))

    def _whole(self, answer: client.Answer) -> None:
        document = self._read(answer)
        if document is None:
            return
        if document.version < self.version:
            # An older copy would bring back what is gone. The next ask may meet a newer one.
            self._failed(f"list {document.version} is older than {self.version}")
            return
        self.lists["whole"] += 1
        listed = {entry.id for entry in document.entries}
        for ident in [ident for ident in self.places if ident not in listed]:
            del self.places[ident]
        self._take(document, ListKind.FULL)

    def _changes(self, answer: client.Answer) -> None:
        if answer.head is not None and answer.head.status == 410:  # what we know is too old for changes
            self._get(f"{self.base}/list", 5.0, self._whole)
            return
        document = self._read(answer)
        if document is None:
            return
        if document.entries and document.version > self.version:
            self.lists["changes"] += 1
            self._take(document, ListKind.CHANGES)
        else:
            self._watch()

    def _take(self, document: Document, kind: ListKind) -> None:
        self.version = document.version
        entries = []
        for entry in document.entries:
            number = self.partners.setdefault(entry.partner, len(self.partners))
            if entry.status != "gone":
                self.places[entry.id] = Place(entry)
            entries.append(
                Endpoint(
                    entry.id,
                    number,
                    STATES[entry.status],
                    self.kinds.get(entry.kind, len(self.kinds)),
                    self.zones.get(entry.zone, len(self.zones)),
                    entry.rate,
                )
            )
        self.log.info(
            names.REGISTER,
            result=kind.value,
            version=self.version,
            entries=len(entries),
            not_ready=[e.id for e in document.entries if e.status != "ready"],
        )
        self.tell(EndpointList(kind, tuple(entries)))
        self._watch()

    def _watch(self) -> None:
        target = f"{self.base}/changes?since={self.version}&wait_ms={WATCH_MS}"
        self._get(target, WATCH_MS / 1000 + 5.0, self._changes)

    def close(self) -> None:
        self.closed = True
        self.pool.close()
