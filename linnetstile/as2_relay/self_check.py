"""Invariants of a running relay: each reservation, slot, receipt token and call belongs to a message or request."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..engine.engine import DeliveryEngine
from ..net import client, server
from ..net.engine_loop import EngineLoop
from .accepted_message import AcceptedMessage, Attempt
from .admission import AdmissionController
from .async_receipts import AsyncReceiptEndpoint
from .receipt_delivery import ReceiptDelivery


@dataclass(frozen=True, slots=True)
class SelfCheck:
    """Asserts the invariants of a relay; it runs every `limits.self_check_ms`.

    Attributes:
        accepted: The messages that have no final answer yet.
        admission: Knows the memory that is reserved.
        engine: Knows the slots in use.
        engine_loop: Holds the events that the engine has not processed yet.
        listener: The connections of clients, and their requests.
        pool: The connections to partners, and their calls.
        receipt_endpoint: The receipt addresses that are open.
        receipt_delivery: The receipts that are being posted.
    """

    accepted: Mapping[int, AcceptedMessage]
    admission: AdmissionController
    engine: DeliveryEngine
    engine_loop: EngineLoop
    listener: server.Server
    pool: client.ConnectionPool
    receipt_endpoint: AsyncReceiptEndpoint
    receipt_delivery: ReceiptDelivery

    def run(self) -> None:
        """Check all invariants; raises AssertionError."""
        attempts = [message.attempt for message in self.accepted.values() if message.attempt is not None]
        self.admission.fair_share.verify_invariants()
        self._check_reservations()
        self._check_attempts(attempts)
        self._check_calls(attempts)

    def _check_reservations(self) -> None:
        requests = [
            connection.current_request
            for connection in self.listener.connections
            if connection.current_request is not None
        ]
        of_requests = {id(request.reservation) for request in requests if request.reservation}
        of_messages = {id(message.reservation) for message in self.accepted.values() if message.reservation is not None}
        reserved = {id(reservation) for reservation in self.admission.reservations}
        counts = f"{len(reserved)} reservations, {len(of_requests)} of requests, {len(of_messages)} of messages"
        assert reserved == of_requests | of_messages, (
            f"reservations differ from those of requests and messages: {counts}"
        )

    def _check_attempts(self, attempts: list[Attempt]) -> None:
        in_flight = self.engine.in_flight
        assert len(attempts) <= in_flight + len(self.engine_loop.events), (
            f"{len(attempts)} attempts, expected at most {in_flight} slots in use plus the pending events"
        )
        by_partner = sum(len(partner.in_flight) for partner in self.admission.slow_partners.partners.values())
        assert by_partner == len(attempts), f"{by_partner} attempts counted by partner, {len(attempts)} in flight"
        tokens = {attempt.receipt_token for attempt in attempts if attempt.receipt_token}
        assert set(self.receipt_endpoint.pending) == tokens, (
            "open receipt addresses differ from those of the attempts in flight"
        )

    def _check_calls(self, attempts: list[Attempt]) -> None:
        """Check that each call belongs to an attempt or to the delivery of a receipt."""
        calls = {
            id(connection.call)
            for connection in self.pool.connections
            if connection.call is not None and connection.call.on_done is not None
        }
        of_attempts = {id(attempt.call) for attempt in attempts if attempt.call is not None}
        assert len(calls - of_attempts) <= len(self.receipt_delivery.post_timers), (
            "a call belongs to neither an attempt nor the delivery of a receipt"
        )
