"""How one partner behaves at all of its endpoints: limits, work, effects, receipts."""

from __future__ import annotations

import email.utils
import time

from ..codec import as2, cms, mime
from ..net.tls import TlsContextFiles
from .faults import Fault, FaultKind
from .messages import HeaderField
from .partner_call import PartnerCall
from .partner_environment import PartnerEnvironment
from .partner_limits import KeyMemory, SlowStart, make_rate_limit
from .partner_receipts import ReceiptBuilder, Response
from .partner_settings import PartnerSpec
from .record import now_ms
from .traffic_events import EffectApplied, OutageChanged, PartnerOverloaded

NO_ENDPOINT = -1  # matches only faults that affect all endpoints of a partner


class PartnerBehavior:
    """State that the endpoints of one partner share: limit, key memory, ledger, health.

    Attributes:
        spec: The settings of the partner.
        environment: What it shares with the other partners of the process.
        keys: The Message-IDs that it remembers.
        tls: Its TLS keys; None for plain HTTP.
    """

    def __init__(self, environment: PartnerEnvironment, spec: PartnerSpec) -> None:
        self.environment = environment
        self.spec = spec
        self.keys = KeyMemory(spec.deduplicated_subjects, spec.deduplication_window_ms)
        self.tls = (
            TlsContextFiles(True, spec.tls_pem, None, spec.tls_clients, spec.tls_clients is not None)
            if spec.tls_pem
            else None
        )
        self._decryption = cms.load_identity(spec.decrypt_pem.read_bytes()) if spec.decrypt_pem else None
        identity = cms.load_identity(spec.pem.read_bytes()) if spec.pem else None
        self._receipts = ReceiptBuilder(spec.name, identity, environment.forger)
        self._rate_limit = make_rate_limit(spec, now_ms())
        self._slow_start = SlowStart(spec)

    @property
    def is_overloaded(self) -> bool:
        """Whether it got too many calls in slow start; from then on it answers no call."""
        return self._slow_start.is_overloaded

    def fault_of_call(self, endpoint: int, subject: str) -> Fault | None:
        """Draw the fault that this call meets, if any."""
        return self.environment.fault_of_call(self.spec.name, endpoint, subject)

    def record_arrival(self) -> None:
        """Count a call; too many in slow start overload the partner."""
        if self._slow_start.record_arrival(now_ms()):
            self.environment.recorder.write(PartnerOverloaded(partner=self.spec.name))

    def is_repeat_of_key(self, call: PartnerCall) -> bool:
        """Whether the call's key is known when its work begins; a new key is remembered from then on."""
        return self.keys.is_repeat(call.message_id, call.subject, now_ms())

    def work_s(self, endpoint: int) -> float:
        """Draw how long the work of one call takes."""
        elapsed_s = self.environment.elapsed_s()
        work_ms = self.spec.work_ms * self.environment.rng.lognormvariate(0, self.spec.spread)
        work_ms /= self._slow_start.capacity_fraction(now_ms())
        for fault in self.environment.active_faults(self.spec.name, endpoint, elapsed_s):
            if fault.kind is FaultKind.SLOW:
                work_ms *= fault.factor
            elif fault.kind is FaultKind.PAUSES:  # stalls for the first part of each period
                work_ms += max(0.0, fault.stall_ms - (elapsed_s - fault.at_s) * 1000 % fault.every_ms)
        return work_ms / 1000

    def rejection_wait_ms(self, is_unavailable: bool) -> float | None:
        """Return None if the call is accepted, else the wait to advertise in ms; 0 = advertise none."""
        advertises = self.environment.rng.random() < self.spec.retry_after_share
        wait_ms = self._unavailable_left_ms() if is_unavailable else self._rate_limit.try_acquire(now_ms())
        if wait_ms is None or advertises:
            return wait_ms
        return 0.0

    def _unavailable_left_ms(self) -> float:
        elapsed_s = self.environment.elapsed_s()
        ends_s = max(
            (
                fault.at_s + fault.for_s
                for fault in self.environment.active_faults(self.spec.name, NO_ENDPOINT, elapsed_s)
                if fault.kind is FaultKind.UNAVAILABLE
            ),
            default=0.0,
        )
        return max(0.0, (ends_s - elapsed_s) * 1000)

    def retry_after(self, wait_ms: float) -> list[HeaderField]:
        """Return the Retry-After field for a wait, as this partner writes it; none for 0."""
        if not wait_ms:
            return []
        if self.spec.retry_after_format == "date":
            retry_at_s = int(time.time() + wait_ms / 1000) + 1
            return [("Retry-After", email.utils.formatdate(retry_at_s, usegmt=True))]
        return [("Retry-After", str(int(wait_ms / 1000) + 1))]

    def process(self, call: PartnerCall, fault: Fault | None) -> Response:
        """Do the work of one message: the effect, unless it is a repeat, and the receipt."""
        headers = call.exchange.head.headers
        try:
            head = as2.As2Headers.parse(headers)
            content, _ = cms.extract_digest_input(
                headers.get("content-type"),
                headers.get("content-transfer-encoding"),
                call.exchange.body,
                self._decryption,
            )
        except (as2.As2Error, cms.CmsError, mime.MimeError) as error:
            return Response(400, [], f"{error}\n".encode())
        is_duplicate = bool(call.is_repeat_of_key)
        if not is_duplicate:
            self.environment.recorder.write(
                EffectApplied(**call.identity, subject=headers.get("subject"), is_repeat_of_key=call.is_repeat_of_key)
            )
        kind = fault.kind if fault else None
        if not head.receipt_to or kind is FaultKind.NO_RECEIPT:
            return Response(200, [])
        return self._receipts.build(head, content, is_duplicate, kind)

    def end_outage(self, kind: FaultKind) -> None:
        """Begin the slow start of the partner: all its endpoints are back."""
        if self.environment.elapsed_s() > 0:
            self._slow_start.begin(now_ms())
        self.environment.recorder.write(OutageChanged(partner=self.spec.name, is_on=False, kind=kind))
