"""One call of a relay to an endpoint of an emulated partner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypedDict

from ..net import server

CONNECTION_MODULUS = 10**8  # the record identifies a connection by the last 8 digits of its object id


class CallIdentity(TypedDict):
    """The fields that every `CallEvent` of one call shares."""

    partner: str
    endpoint: int
    message_id: str
    relay: str
    connection: int


@dataclass(slots=True, eq=False)
class PartnerCall:
    """A request and the endpoint that received it.

    Attributes:
        exchange: The request and its reply.
        partner: Name of the partner.
        endpoint: Id of the endpoint.
        is_repeat_of_key: Whether its key was known when the work began; None before that.
    """

    exchange: server.RequestContext
    partner: str
    endpoint: int
    is_repeat_of_key: bool | None = None

    @property
    def message_id(self) -> str:
        """The Message-ID; empty if there is none."""
        return self.exchange.head.headers.get("message-id")

    @property
    def subject(self) -> str:
        """The Subject; empty if there is none."""
        return self.exchange.head.headers.get("subject")

    @property
    def identity(self) -> CallIdentity:
        """The fields that identify the call in each of its events in the traffic record."""
        return {
            "partner": self.partner,
            "endpoint": self.endpoint,
            "message_id": self.message_id,
            "relay": self.exchange.head.headers.get("via").removeprefix("1.1 "),
            "connection": id(self.exchange.connection) % CONNECTION_MODULUS,
        }

    @property
    def can_be_answered(self) -> bool:
        """Whether it has no answer yet and the relay still waits."""
        return not self.exchange.answered and not self.exchange.connection.is_closing
