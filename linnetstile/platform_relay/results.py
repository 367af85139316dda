"""Reports messages that are not delivered: to the client if it still waits for its response, else to the platform."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from . import counters, journal_codec
from .accepted import AcceptedMessages
from .http_frontend import HttpFrontend, reply
from .journal import Journal
from .notices import NoticeSender
from .records import Notice, NoticeResult, PendingNotice


class ResultReporter:
    """Ends messages that the engine has rejected or failed.

    The client gets the result as its response. If it has been answered already, the platform gets a notice.

    Attributes:
        pending_notices: Notices that the platform has not confirmed, by message id.
    """

    def __init__(
        self,
        *,
        accepted: AcceptedMessages,
        journal: Journal,
        frontend: HttpFrontend,
        notice_sender: NoticeSender,
        counts: Counter[str],
    ) -> None:
        self.pending_notices: dict[int, PendingNotice] = {}
        self._accepted = accepted
        self._journal = journal
        self._frontend = frontend
        self._notice_sender = notice_sender
        self._counts = counts

    def reject(self, message_id: int, retry_after_ms: float) -> None:
        """End a message that has had no effect: it may be submitted again after `retry_after_ms`."""
        self._counts[counters.MESSAGES_REJECTED] += 1
        if self._answer_client(message_id, 503, "refused", retry_after_ms):
            return
        advice = int(retry_after_ms) if retry_after_ms > 0 else None
        self._notify(message_id, NoticeResult.REJECTED, advice)

    def fail(self, message_id: int) -> None:
        """End a message whose attempts may have taken effect."""
        self._counts[counters.MESSAGES_FAILED] += 1
        if not self._answer_client(message_id, 500, "failed"):
            self._notify(message_id, NoticeResult.FAILED)

    def _answer_client(self, message_id: int, status: int, text: str, retry_after_ms: float = 0.0) -> bool:
        """Answer the client and end the message; return False if the client has been answered before."""
        message = self._accepted.by_id[message_id]
        request = message.request
        if request is None:
            return False
        message.request = None
        reply(request, status, text, close=self._frontend.is_closing, retry_after_ms=retry_after_ms)
        self._accepted.remove(message_id)
        return True

    def _notify(self, message_id: int, result: NoticeResult, retry_after_ms: int | None = None) -> None:
        message = self._accepted.remove(message_id)
        notice = Notice(message.submission_id, result, retry_after_ms)
        pending = PendingNotice(id=message_id, notice=notice, ordering_key=message.ordering_key)
        self._journal.add(journal_codec.encode_pending_notice(pending))
        self.post(pending)

    def post(self, pending: PendingNotice) -> None:
        """Post a notice to the platform; it is in the journal already."""
        self.pending_notices[pending.id] = pending
        self._notice_sender.post(pending.id, pending.notice)

    def complete(self, message_ids: Sequence[int]) -> set[int]:
        """Complete the messages whose notices the platform has confirmed.

        Returns:
            The ordering keys of these messages.
        """
        ordering_keys = {self.pending_notices.pop(message_id).ordering_key for message_id in message_ids}
        for message_id in message_ids:
            self._journal.add(journal_codec.encode_completed(message_id))
        self._journal.flush()
        return ordering_keys
