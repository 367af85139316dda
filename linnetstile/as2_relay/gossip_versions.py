"""Versions of this relay's claims: which of them changed since the last poll of a peer."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..engine.gossip import RouteClaim

EVIDENCE_STEP_MS = 2000.0  # a claim counts as changed when its latest evidence moved by this much
NO_EVIDENCE = -1


class ClaimFingerprint(NamedTuple):
    """The parts of a claim that are compared: when one changes, peers get the claim again.

    Attributes:
        endpoints: The endpoints that the claim was learned from.
        is_available: Whether the route is not in an outage.
        is_warm: Whether the route is not in slow start.
        is_waiting: Whether a Retry-After is in force.
        answered_step: Time of the latest answer, in steps of `EVIDENCE_STEP_MS`.
        failed_step: Time of the latest failure, in steps of `EVIDENCE_STEP_MS`.
    """

    endpoints: tuple[int, ...]
    is_available: bool
    is_warm: bool
    is_waiting: bool
    answered_step: int
    failed_step: int


class VersionedFingerprint(NamedTuple):
    """A fingerprint, and the version in which it appeared."""

    fingerprint: ClaimFingerprint
    version: int


class ClaimVersions:
    """Records the version in which each claim changed last.

    Attributes:
        current: The version of the latest change; 0 before the first one.
    """

    def __init__(self) -> None:
        self.current = 0
        self._latest: dict[tuple[str, int], VersionedFingerprint] = {}

    def update(self, now_ms: float, claims: Iterable[RouteClaim]) -> None:
        """Assign a new version to each claim that has changed."""
        for claim in claims:
            route = (claim.partner, claim.route)
            fingerprint = _fingerprint(now_ms, claim)
            known = self._latest.get(route)
            if known is None or known.fingerprint != fingerprint:
                self.current += 1
                self._latest[route] = VersionedFingerprint(fingerprint, self.current)

    def changed_since(self, claim: RouteClaim, version: int) -> bool:
        """Return whether a claim that `update` has seen changed after a version."""
        return self._latest[claim.partner, claim.route].version > version


def _fingerprint(now_ms: float, claim: RouteClaim) -> ClaimFingerprint:
    return ClaimFingerprint(
        endpoints=claim.endpoints,
        is_available=claim.outage_age_ms is None,
        is_warm=claim.slow_start_age_ms is None,
        is_waiting=claim.retry_after_ms > 0,
        answered_step=_evidence_step(now_ms, claim.answer_age_ms),
        failed_step=_evidence_step(now_ms, claim.failure_age_ms),
    )


def _evidence_step(now_ms: float, age_ms: float | None) -> int:
    return NO_EVIDENCE if age_ms is None else int((now_ms - age_ms) / EVIDENCE_STEP_MS)
