"""Results of messages that are not delivered: the client hears of it, or the platform by a notice."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from . import journal_codec
from .accepted import AcceptedMessages
from .http_frontend import HttpFrontend, reply
from .journal import Journal
from .notices import NoticeSender
from .records import Notice, NoticeResult, PendingNotice


class ResultReporter:
    """Ends messages that the engine has given up.

    Their client is answered, or the platform is notified if the client has its answer.

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
        """End a message of which no attempt took effect: it may be submitted again, after the time advised."""
        self._counts["refused"] += 1
        if self._answer_client(message_id, 503, "refused", retry_after_ms):
            return
        advice = int(retry_after_ms) if retry_after_ms > 0 else None
        self._notify(message_id, NoticeResult.REJECTED, advice)

    def fail(self, message_id: int) -> None:
        """End a message of which an attempt may have taken effect."""
        self._counts["failed"] += 1
        if not self._answer_client(message_id, 500, "failed"):
            self._notify(message_id, NoticeResult.FAILED)

    def _answer_client(self, message_id: int, status: int, text: str, retry_after_ms: float = 0.0) -> bool:
        """Return False if the client has its answer already."""
        message = self._accepted.by_id[message_id]
        request, message.request = message.request, None
        if request is None:
            return False
        reply(request, status, text, close=self._frontend.is_closing, retry_after_ms=retry_after_ms)
        self._accepted.remove(message_id)
        return True

    def _notify(self, message_id: int, result: NoticeResult, retry_after_ms: int | None = None) -> None:
        message = self._accepted.remove(message_id)
        pending = PendingNotice(message_id, Notice(message.submission_id, result, retry_after_ms), message.ordering_key)
        self._journal.add(journal_codec.encode_pending_notice(pending))
        self.post(pending)

    def post(self, pending: PendingNotice) -> None:
        """Owe a notice that is in the journal, and post it to the platform."""
        self.pending_notices[pending.id] = pending
        self._notice_sender.post(pending.id, pending.notice)

    def complete(self, message_ids: Sequence[int]) -> set[int]:
        """Forget notices that the platform has confirmed.

        Returns:
            The ordering keys of their messages.
        """
        ordering_keys = {self.pending_notices.pop(message_id).ordering_key for message_id in message_ids}
        for message_id in message_ids:
            self._journal.add(journal_codec.encode_completed(message_id))
        self._journal.flush()
        return ordering_keys
