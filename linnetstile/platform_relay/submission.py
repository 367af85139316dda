"""Parses the head of a client's request: the result is a typed submission, or an error with its HTTP status."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ..codec import http1
from ..engine.resource_limits import MAX_DEADLINE_MULTIPLE
from ..engine.settings import Effect, MessageClass, Settings
from ..errors import ProtocolError

IDENTIFIER = re.compile(r"[\x21-\x7e]{1,128}\Z")
TIME_LEFT = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])\Z")  # a number and its unit: m for ms, u for us
SUBMISSION_PATH = re.compile(r"/api(?:/([\x21-\x2e\x30-\x7e]{1,128}))?\Z")  # the ordering key is optional
DESTINATION = re.compile(r"(?:^|[;,]\s*)dest=(\d{1,9})\s*(?:[;,]|\Z)")
MICROSECONDS = "u"  # unit in `TIME_LEFT`
US_PER_MS = 1000.0

# Values of X-Repeat, which marks a message that was submitted before.
REPEAT_AFTER_REJECTION = "1"
REPEAT_AFTER_RELAY_DEATH = "again"


class BadRequestError(ProtocolError):
    """A request that is not a valid submission.

    Attributes:
        status: HTTP status of the response.
        text: Body of the response.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


@dataclass(slots=True)
class Submission:
    """The head of a client's request.

    Attributes:
        submission_id: The client's correlation id.
        class_index: Index of the message class in the settings.
        tenant_index: Index of the tenant in the settings; 0 if they name no tenants.
        destination: Number of the destination.
        idempotency_key: Empty without one.
        ordering_key: Messages of an ordered class that share it keep their order; empty without one.
        remaining_ms: Time until the deadline, counted from the first byte of the request.
        is_retry: Whether the client marks the message as submitted before.
        from_dead_relay: Whether the client marks it as submitted before to a relay that died.
    """

    submission_id: str
    class_index: int
    tenant_index: int
    destination: int
    idempotency_key: str
    ordering_key: str
    remaining_ms: float
    is_retry: bool
    from_dead_relay: bool


def _required_field(headers: http1.Headers, name: str) -> str:
    values = headers.get_all(name)
    if len(values) != 1 or not values[0]:
        raise BadRequestError(400, f"{name}: expected once")
    return values[0]


class SubmissionReader:
    """Parses heads of requests by the names of classes and tenants in the settings.

    Attributes:
        classes: Index of each message class in the settings, by its name.
        tenants: Index of each tenant in the settings, by its name.
    """

    def __init__(self, settings: Settings) -> None:
        self.classes = {message_class.name: index for index, message_class in enumerate(settings.classes)}
        self.tenants = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self._settings = settings

    def read(self, head: http1.Request) -> Submission:
        """Return the submission that a head describes.

        Raises:
            BadRequestError: The head is not a valid submission. Of several faults, the first one found is reported.
        """
        path = SUBMISSION_PATH.match(head.target.partition("?")[0])
        if not path:
            raise BadRequestError(404, "messages are handed in at /api")
        if head.method != "POST":
            raise BadRequestError(405, "messages are handed in by POST")
        headers = head.headers
        submission_id = self._submission_id(headers)
        class_index = self._class_index(headers)
        tenant_index = self._tenant_index(headers)
        message_class = self._settings.classes[class_index]
        remaining_ms = self._remaining_ms(headers, message_class)
        destination = self._destination(headers)
        idempotency_key = self._idempotency_key(headers, message_class)
        ordering_key = path[1] or ""
        if ordering_key and not message_class.in_order:
            raise BadRequestError(404, "messages of this class are handed in at /api")
        repeat = headers.get("X-Repeat")
        return Submission(
            submission_id=submission_id,
            class_index=class_index,
            tenant_index=tenant_index,
            destination=destination,
            idempotency_key=idempotency_key,
            ordering_key=ordering_key,
            remaining_ms=remaining_ms,
            is_retry=repeat == REPEAT_AFTER_REJECTION,
            from_dead_relay=repeat.lower() == REPEAT_AFTER_RELAY_DEATH,
        )

    @staticmethod
    def _submission_id(headers: http1.Headers) -> str:
        submission_id = _required_field(headers, "X-Correlation-Id")
        if not IDENTIFIER.match(submission_id):
            raise BadRequestError(400, "X-Correlation-Id: expected at most 128 visible characters")
        return submission_id

    def _class_index(self, headers: http1.Headers) -> int:
        index = self.classes.get(_required_field(headers, "X-Service-Class"))
        if index is None:
            raise BadRequestError(400, "X-Service-Class: no such class")
        return index

    def _tenant_index(self, headers: http1.Headers) -> int:
        if not self.tenants:
            return 0
        index = self.tenants.get(_required_field(headers, "X-Account"))
        if index is None:
            raise BadRequestError(400, "X-Account: no such account")
        return index

    @staticmethod
    def _remaining_ms(headers: http1.Headers, message_class: MessageClass) -> float:
        time_left = TIME_LEFT.match(_required_field(headers, "X-Time-Left"))
        if not time_left:
            raise BadRequestError(400, "X-Time-Left: expected a number and m or u")
        number, unit = time_left.groups()
        remaining_ms = float(number) / (US_PER_MS if unit == MICROSECONDS else 1.0)
        if remaining_ms > MAX_DEADLINE_MULTIPLE * message_class.deadline_ms:
            raise BadRequestError(400, "X-Time-Left: longer than any message of its class has")
        return remaining_ms

    @staticmethod
    def _destination(headers: http1.Headers) -> int:
        match = DESTINATION.search(_required_field(headers, "Envelope"))
        if not match:
            raise BadRequestError(400, "Envelope: expected dest=NUMBER")
        return int(match[1])

    @staticmethod
    def _idempotency_key(headers: http1.Headers, message_class: MessageClass) -> str:
        keys = headers.get_all("Idempotency-Key")
        required = message_class.effect is Effect.DEDUPLICATED
        if len(keys) > 1 or (keys and not IDENTIFIER.match(keys[0])) or (required and not keys):
            raise BadRequestError(400, "Idempotency-Key: expected once in this class, at most 128 visible characters")
        return keys[0] if keys else ""
