"""The gossip document: what one relay knows, as it is sent between relays and stored in a snapshot.

The JSON names are part of the format and do not change; only this module maps them to the names of the program.
Times are in ms. Past events are sent by their age, not by their time of day.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, Any

from pydantic import BaseModel, Field, ValidationError

from ..config.relay import LoopbackAddress
from ..engine.gossip import RouteClaim
from ..engine.membership import MAX_PEERS_PER_ANSWER
from ..errors import ProtocolError

DOCUMENT_FORMAT = 1
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
MAX_CLAIMS = 20_000


class GossipDocumentError(ProtocolError):
    """A gossip document cannot be read."""


class ClaimModel(BaseModel):
    """One claim under its JSON names."""

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

    def to_claim(self) -> RouteClaim:
        """Return the claim as the type that the engine uses; the inverse of `claim_to_json`."""
        return RouteClaim(
            partner=self.partner,
            route=self.route,
            endpoints=tuple(self.endpoints),
            answer_age_ms=self.answered_age,
            failure_age_ms=self.failed_age,
            outage_age_ms=self.out_age,
            slow_start_age_ms=self.cold_age,
            retry_after_ms=self.wait_ms,
            latency_mean_ms=self.mean_ms,
            latency_deviation_ms=self.dev_ms,
            answers=self.answers,
            aware_relays=self.knowers,
            rate=self.pace,
        )


def claim_to_json(claim: RouteClaim) -> dict[str, Any]:
    """Return a claim under its JSON names, in the order of the format."""
    return {
        "partner": claim.partner,
        "route": claim.route,
        "endpoints": claim.endpoints,
        "answered_age": claim.answer_age_ms,
        "failed_age": claim.failure_age_ms,
        "out_age": claim.outage_age_ms,
        "cold_age": claim.slow_start_age_ms,
        "wait_ms": claim.retry_after_ms,
        "mean_ms": claim.latency_mean_ms,
        "dev_ms": claim.latency_deviation_ms,
        "answers": claim.answers,
        "knowers": claim.aware_relays,
        "pace": claim.rate,
    }


class GossipDocument(BaseModel):
    """A document as it was received, under its JSON names.

    Attributes:
        format: Version of the format.
        relay: Name of the relay that wrote it.
        run: Incarnation of that relay; a new one means that it has restarted and lost what it knew.
        version: Version of its knowledge.
        since: 0 if the document is complete; otherwise the version after which its claims have changed.
        relays: Number of relays in the fleet, as that relay believes.
        peers: Addresses of the relays that have answered that relay itself.
        claims: What it knows of each route.
        few_connections: By kind of destination, the fraction of its recent answers that followed a failed connect.
    """

    format: int
    relay: str = Field(min_length=1, max_length=64)
    run: str = Field(min_length=1, max_length=64)
    version: int = Field(ge=0)
    since: int = Field(ge=0)
    relays: int = Field(ge=1, le=1_000_000)
    peers: list[LoopbackAddress] = Field(max_length=MAX_PEERS_PER_ANSWER)
    claims: list[ClaimModel] = Field(max_length=MAX_CLAIMS)
    few_connections: dict[str, Annotated[float, Field(ge=0, le=1)]] = Field({}, max_length=1000)


@dataclass(frozen=True, slots=True)
class OwnDocument:
    """The document of this relay before it is encoded; `GossipDocument` explains the fields."""

    relay: str
    incarnation: str
    version: int
    since: int
    relay_count: int
    peers: Sequence[str]
    connection_limits: dict[str, float]
    claims: Sequence[RouteClaim]

    def to_json(self) -> dict[str, Any]:
        """Return the document under its JSON names, in the order of the format."""
        return {
            "format": DOCUMENT_FORMAT,
            "relay": self.relay,
            "run": self.incarnation,
            "version": self.version,
            "since": self.since,
            "relays": self.relay_count,
            "peers": self.peers,
            "few_connections": self.connection_limits,
            "claims": [claim_to_json(claim) for claim in self.claims],
        }


def parse(data: bytes | str | dict[str, Any]) -> GossipDocument:
    """Parse a document; raises GossipDocumentError with a message of one line."""
    try:
        raw = data if isinstance(data, dict) else json.loads(data)
        if isinstance(raw, dict) and raw.get("format") != DOCUMENT_FORMAT:
            found = raw.get("format")
            raise GossipDocumentError(
                f"format {found!r}, expected {DOCUMENT_FORMAT}: written by another version of the program",
                field="format",
                expected=str(DOCUMENT_FORMAT),
                found=repr(found),
            )
        return GossipDocument.model_validate(raw)
    except ValidationError as error:
        fault = error.errors(include_url=False)[0]
        field = ".".join(map(str, fault["loc"]))
        raise GossipDocumentError(f"{field}: {fault['msg']}", field=field) from error
    except (RecursionError, UnicodeDecodeError, json.JSONDecodeError) as error:
        raise GossipDocumentError("not JSON in UTF-8, or nested too deeply", expected="a JSON document") from error
