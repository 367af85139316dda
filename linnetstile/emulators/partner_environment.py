"""State that all partners of one emulator process share."""

from __future__ import annotations

import fnmatch
import random
from collections.abc import Iterator

from ..codec import cms
from ..net import client
from .faults import Fault, FaultKind
from .partner_settings import PartnersSpec
from .record import Recorder, now_ms


class PartnerEnvironment:
    """Shared state of the partners: script clock, random numbers, traffic record, faults, outgoing connections.

    Attributes:
        spec: The settings of the process.
        rng: Source of all random numbers of the process; they are drawn in the order of the calls.
        recorder: Records its traffic.
        script_start_ms: Start of the script by the clock of the run; infinite until it is known.
        pool: Connections for asynchronous receipts.
        forger: The identity that signs forged receipts; None if no fault asks for one.
    """

    def __init__(self, spec: PartnersSpec) -> None:
        self.spec = spec
        self.rng = random.Random(spec.seed)
        self.recorder = Recorder(spec.record)
        self.script_start_ms = spec.t0_ms if spec.t0_ms is not None else now_ms()
        self.pool = client.ConnectionPool(min_idle_s=0.0)
        has_forgery = any(fault.kind is FaultKind.FORGED_RECEIPT for fault in spec.faults)
        self.forger = cms.generate_identity("nobody") if has_forgery else None

    def elapsed_s(self) -> float:
        """Return the time since the start of the script in s; negative before it."""
        return (now_ms() - self.script_start_ms) / 1000

    def active_faults(self, partner: str, endpoint: int, elapsed_s: float) -> Iterator[Fault]:
        """Yield the faults that are active for an endpoint at a time, in the order of the script."""
        for fault in self.spec.faults:
            if fault.is_active(elapsed_s) and fault.affects(partner, endpoint):
                yield fault

    def fault_of_call(self, partner: str, endpoint: int, subject: str) -> Fault | None:
        """Draw the fault that one call meets: the first in the order of the script, or None."""
        for fault in self.active_faults(partner, endpoint, self.elapsed_s()):
            if fnmatch.fnmatchcase(subject, fault.subject) and self.rng.random() < fault.share:
                return fault
        return None
