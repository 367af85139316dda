"""Client of the partner registry: the full list over HTTP, then a watch on its changes (docs/design/relay.md).

At most one request is in flight. After a failure the engine decides when to ask again (`WatchEndpoints`).
"""

from __future__ import annotations

import asyncio
import json
import urllib.parse
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Literal

from pydantic import BaseModel, Field, ValidationError

from ..codec import http1
from ..config.relay import PartnerUrl, require_loopback, split_address
from ..engine.events import Endpoint, EndpointList, EndpointStatus, ListKind
from ..net import client
from ..net.fault_boundary import FaultBoundary
from ..telemetry import log_events
from ..telemetry.log import Logger

WATCH_MS = 10_000  # maximum time for which the registry holds a watch request without a change
WATCH_MARGIN_S = 5.0  # added to WATCH_MS for the time-out of a watch request
LIST_TIMEOUT_S = 5.0
MAX_ENTRIES = 100_000
MAX_LIST_BYTES = 64 * 1024 * 1024
HTTP_GONE = 410  # HTTP status: the requested version is too old for a list of changes
STATUSES = {"ready": EndpointStatus.READY, "draining": EndpointStatus.DRAINING, "gone": EndpointStatus.GONE}


class RegistryEntry(BaseModel):
    """One endpoint of a partner, as the registry lists it."""

    id: int = Field(ge=0, le=2**31)
    partner: str = Field(min_length=1, max_length=128)
    url: PartnerUrl
    status: Literal["ready", "draining", "gone"]
    kind: str = ""
    zone: str = ""
    rate: float = Field(0.0, ge=0, allow_inf_nan=False)


class RegistryDocument(BaseModel):
    """A list from the registry: all entries, or those that changed."""

    version: int = Field(ge=0)
    entries: list[RegistryEntry] = Field(max_length=MAX_ENTRIES)


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """The network address of an endpoint, from its URL.

    Attributes:
        id: Identifier of the endpoint.
        partner: Name of its partner.
        address: Host and port.
        host: Value of the Host header field.
        target: Path and query of the URL.
        uses_tls: Whether the scheme of the URL is https.
    """

    id: int
    partner: str
    address: tuple[str, int]
    host: str
    target: str
    uses_tls: bool

    @classmethod
    def from_entry(cls, entry: RegistryEntry) -> EndpointAddress:
        """Return the address for the URL of a registry entry."""
        url = urllib.parse.urlsplit(entry.url)
        return cls(
            id=entry.id,
            partner=entry.partner,
            address=split_address(url.netloc),
            host=url.netloc,
            target=(url.path or "/") + (f"?{url.query}" if url.query else ""),
            uses_tls=url.scheme == "https",
        )


@dataclass(slots=True)
class ListCounts:
    """Number of full lists and of lists of changes that were received, and of requests that failed."""

    full: int = 0
    changes: int = 0
    failed: int = 0


class RegistryClient:
    """Stores the addresses of the listed endpoints, and passes each list on.

    Attributes:
        endpoints: Address of each endpoint, by its identifier; one that is gone stays until a full list omits it.
        listed: Each listed endpoint as the engine gets it, by its identifier.
        partner_numbers: Number of each partner in the engine; numbers are never reused, as messages may still name
            them.
        version: Version of the latest list; -1 before the first one.
        list_counts: Counters of lists and failures.
    """

    def __init__(
        self,
        url: str,
        relay_name: str,
        kinds: Iterable[str],
        zones: Iterable[str],
        on_list: Callable[[EndpointList], None],
        log: Logger,
    ) -> None:
        """Create a client that makes no request before `watch` is called.

        Args:
            url: Base URL of the registry.
            relay_name: Name of this relay, for the Via header field.
            kinds: Names of the destination kinds in the order of the settings.
            zones: Names of the zones in the order of the settings.
            on_list: Called with each list, and with an empty list of kind `FAILED` after a failure.
            log: Logger of the relay.
        """
        parsed = urllib.parse.urlsplit(url)
        self.address = split_address(require_loopback(parsed.netloc))
        self.host = parsed.netloc
        self.base_path = parsed.path.rstrip("/")
        self.relay_name = relay_name
        self.kind_indexes = {kind: index for index, kind in enumerate(kinds)}
        self.zone_indexes = {zone: index for index, zone in enumerate(zones)}
        self.on_list = on_list
        self.log = log
        self.pool = client.ConnectionPool(limits=http1.Limits(max_body_bytes=MAX_LIST_BYTES))
        self.endpoints: dict[int, EndpointAddress] = {}
        self.listed: dict[int, Endpoint] = {}
        self.partner_numbers: dict[str, int] = {}
        self.version = -1
        self.is_watching = False
        self.is_closed = False
        self.list_counts = ListCounts()

    def watch(self) -> None:
        """Request the full list, then watch its changes; does nothing if a watch is already active."""
        if not self.is_watching:
            self.is_watching = True
            self._get_full_list()

    def _get_full_list(self) -> None:
        self._get(f"{self.base_path}/list", LIST_TIMEOUT_S, self._on_full_list)

    def _get_changes(self) -> None:
        target = f"{self.base_path}/changes?since={self.version}&wait_ms={WATCH_MS}"
        self._get(target, WATCH_MS / 1000 + WATCH_MARGIN_S, self._on_changes)

    def _get(self, target: str, timeout_s: float, on_answer: Callable[[client.CallResult], None]) -> None:
        data = http1.encode_request("GET", target, [("Host", self.host), ("Via", f"1.1 {self.relay_name}")])

        def on_done(answer: client.CallResult) -> None:
            with FaultBoundary("a list of the registry") as boundary:
                on_answer(answer)
            if boundary.failed:
                self._fail("a list that could not be processed")

        self.pool.call(self.address, "GET", data, on_done, asyncio.get_running_loop().time() + timeout_s)

    def _read(self, answer: client.CallResult) -> RegistryDocument | None:
        """Parse an answer; if that fails, report the failure and return None."""
        if answer.head is None or answer.head.status != 200:
            found = answer.wire_result.value if answer.head is None else str(answer.head.status)
            self._fail(f"expected a list with status 200 from the registry, got {found}")
            return None
        try:
            return RegistryDocument.model_validate(json.loads(answer.body))
        except (ValueError, ValidationError, RecursionError) as error:
            self._fail(f"invalid list from the registry: {str(error).splitlines()[0]}")
            return None

    def _fail(self, reason: str) -> None:
        self.is_watching = False
        if self.is_closed:
            return
        self.list_counts.failed += 1
        self.log.warning(log_events.REGISTRY, result="failed", why=reason, version=self.version)
        self.on_list(EndpointList(ListKind.FAILED))

    def _on_full_list(self, answer: client.CallResult) -> None:
        document = self._read(answer)
        if document is None:
            return
        if document.version < self.version:
            # An outdated list would restore removed endpoints; the next request may return a newer list.
            self._fail(
                f"list version {document.version} from the registry is older than the known version {self.version}"
            )
            return
        self.list_counts.full += 1
        listed = {entry.id for entry in document.entries}
        removed = [endpoint_id for endpoint_id in self.endpoints if endpoint_id not in listed]
        for endpoint_id in removed:
            del self.endpoints[endpoint_id]
        self.listed = {}
        self._apply(document, ListKind.FULL)

    def _on_changes(self, answer: client.CallResult) -> None:
        if answer.head is not None and answer.head.status == HTTP_GONE:
            self._get_full_list()
            return
        document = self._read(answer)
        if document is None:
            return
        if document.entries and document.version > self.version:
            self.list_counts.changes += 1
            self._apply(document, ListKind.CHANGES)
        else:
            self._get_changes()

    def _apply(self, document: RegistryDocument, kind: ListKind) -> None:
        """Apply the entries of a list, pass them on, and watch for the next change."""
        self.version = document.version
        endpoints = tuple(self._store_entry(entry) for entry in document.entries)
        self.log.info(
            log_events.REGISTRY,
            result=kind.value,
            version=self.version,
            entries=len(endpoints),
            not_ready=[entry.id for entry in document.entries if entry.status != "ready"],
        )
        self.on_list(EndpointList(kind, endpoints))
        self._get_changes()

    def _store_entry(self, entry: RegistryEntry) -> Endpoint:
        """Store the address of an endpoint unless it is gone, and return the engine's description of the endpoint."""
        partner_number = self.partner_numbers.setdefault(entry.partner, len(self.partner_numbers))
        if entry.status != "gone":
            self.endpoints[entry.id] = EndpointAddress.from_entry(entry)
        endpoint = self._endpoint(entry, partner_number)
        self.listed[entry.id] = endpoint
        return endpoint

    def _endpoint(self, entry: RegistryEntry, partner_number: int) -> Endpoint:
        return Endpoint(
            id=entry.id,
            destination=partner_number,
            status=STATUSES[entry.status],
            kind=self.kind_indexes.get(entry.kind, len(self.kind_indexes)),
            zone=self.zone_indexes.get(entry.zone, len(self.zone_indexes)),
            advertised_rate=entry.rate,
        )

    def current_list(self) -> EndpointList:
        """Return the list as it is known now, for an engine that was restarted."""
        return EndpointList(ListKind.FULL, tuple(self.listed.values()))

    def close(self) -> None:
        """End the watch and close the connection to the registry."""
        self.is_closed = True
        self.pool.close()
