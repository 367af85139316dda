"""Dispatches each action of the delivery engine to the component that carries it out."""

from __future__ import annotations

from collections.abc import Sequence

from ..engine.actions import (
    Action,
    Cancel,
    CancelIfUnsent,
    CloseIdle,
    Fail,
    Log,
    Reject,
    Send,
    WatchEndpoints,
)
from ..telemetry import log_events
from .accepted_message import AcceptedMessage
from .answers import AnswerKind, text_answer
from .delivery import Delivery
from .receipts import ReceiptIssuer
from .registry import RegistryClient
from .relay_context import RelayContext
from .submissions import SubmissionHandler


class ActionDispatcher:
    """Passes each action to the component of the relay that carries it out."""

    def __init__(
        self,
        context: RelayContext,
        delivery: Delivery,
        submissions: SubmissionHandler,
        receipt_issuer: ReceiptIssuer,
        registry: RegistryClient,
    ) -> None:
        """Create a dispatcher to these components.

        Args:
            context: Shared state of the relay's components.
            delivery: Starts and cancels attempts.
            submissions: Sends the final answers of messages.
            receipt_issuer: Issues the receipt of a message that failed.
            registry: Watches the endpoint list.
        """
        self.context = context
        self.delivery = delivery
        self.submissions = submissions
        self.receipt_issuer = receipt_issuer
        self.registry = registry

    def carry_out(self, actions: Sequence[Action]) -> None:
        """Carry out the actions of one engine turn, in the order in which the engine returned them."""
        for action in actions:
            self._carry_out_one(action)

    def _carry_out_one(self, action: Action) -> None:
        accepted = self.context.accepted
        match action:
            case Send():
                self.delivery.send(accepted[action.id], action)
            case Reject():
                self._refuse(accepted[action.id], action.retry_after_ms)
            case Fail():
                self._fail(accepted[action.id])
            case Cancel():
                self.delivery.cancel(accepted.get(action.id), action.attempt)
            case CancelIfUnsent():
                self.delivery.cancel_if_unsent(accepted.get(action.id))
            case CloseIdle():
                self.delivery.close_idle(action.endpoint)
            case WatchEndpoints():
                self.registry.watch()
            case Log():
                self.context.log.info(log_events.ENGINE_MESSAGE, text=action.text)

    def end(self, message: AcceptedMessage) -> None:
        """End a message by what its attempts prove, for an engine that does not know of it any more."""
        if message.attempt_count:
            self._fail(message)
        else:
            self._refuse(message, retry_after_ms=0.0)

    def _refuse(self, message: AcceptedMessage, retry_after_ms: float) -> None:
        """Answer that the message had no effect and may be submitted again after `retry_after_ms`."""
        text = f"refused: {_failure_reason(message)}; nothing was done, it may be handed in again"
        self.submissions.complete(message, text_answer(503, text, AnswerKind.REFUSED, retry_after_ms))

    def _fail(self, message: AcceptedMessage) -> None:
        """Answer that the message failed and may or may not have taken effect."""
        text = f"failed: {_failure_reason(message)}; it may or may not have taken effect"
        self.submissions.complete(message, self.receipt_issuer.failure(message.head, text))


def _failure_reason(message: AcceptedMessage) -> str:
    """Return the reason why a message was not delivered, as readable text."""
    if not message.attempt_count:
        return "no room, or no way to deliver it in time"
    attempts = f"{message.attempt_count} attempt{'s' * (message.attempt_count > 1)}"
    return f"{attempts}, the last one: {message.last_verdict_reason}"
