"""The part of a running relay that the admin socket can read."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ..config.relay import RelaySettings
from ..engine.engine import DeliveryEngine
from ..net import client, server
from .accepted_message import AcceptedMessage
from .admission import AdmissionController
from .registry import RegistryClient

MAX_ROWS = 1000  # limit of the rows in one answer of the admin socket, whose `total` counts all rows


class RelayView(Protocol):
    """The read-only interface of a relay for operators, implemented by `relay.As2Relay`."""

    @property
    def settings(self) -> RelaySettings:
        """The settings of the relay."""

    @property
    def counts(self) -> Mapping[str, int]:
        """Counters of what the relay did, by name."""

    @property
    def accepted(self) -> Mapping[int, AcceptedMessage]:
        """The messages that have no final answer yet, by message id."""

    @property
    def engine(self) -> DeliveryEngine:
        """The delivery engine, with the queue of each destination."""

    @property
    def listener(self) -> server.Server:
        """The listener for clients."""

    @property
    def pool(self) -> client.ConnectionPool:
        """The connections to partners."""

    @property
    def registry(self) -> RegistryClient:
        """The client of the partner registry."""

    @property
    def admission(self) -> AdmissionController:
        """Admission control, with the memory that each party holds and the requests that wait for memory."""
