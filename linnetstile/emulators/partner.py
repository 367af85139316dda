"""Partner emulator: AS2 endpoints with simulated work, limits, key memory, an effects ledger and scripted faults.

Written from RFC 4130 and the users' description of their partners, independently of the relay.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

from .faults import Fault, FaultKind
from .partner_behavior import PartnerBehavior
from .partner_endpoint import Endpoint
from .partner_environment import PartnerEnvironment
from .partner_settings import PartnerSpec
from .partner_settings import PartnersSpec as PartnersSpec
from .traffic_events import OutageChanged


class Partner:
    """One partner: its behavior and its endpoints."""

    def __init__(self, environment: PartnerEnvironment, spec: PartnerSpec) -> None:
        self.behavior = PartnerBehavior(environment, spec)
        self.endpoints = [Endpoint(self.behavior, endpoint) for endpoint in spec.endpoints]

    @property
    def name(self) -> str:
        """Its AS2 name."""
        return self.behavior.spec.name

    def endpoints_affected_by(self, fault: Fault) -> list[Endpoint]:
        """Return the endpoints that a fault affects."""
        return [endpoint for endpoint in self.endpoints if fault.affects(self.name, endpoint.spec.id)]


@dataclass(frozen=True, slots=True)
class _Outage:
    """A fault that makes endpoints of one partner unavailable."""

    partner: Partner
    endpoints: list[Endpoint]
    fault: Fault

    @property
    def affects_all_endpoints(self) -> bool:
        return len(self.endpoints) == len(self.partner.endpoints)


class PartnerEmulator(PartnerEnvironment):
    """All partners of one process."""

    def __init__(self, spec: PartnersSpec) -> None:
        super().__init__(spec)
        self.partners = [Partner(self, partner) for partner in spec.partners]
        self._timers: list[asyncio.TimerHandle] = []

    async def start(self) -> dict[int, int]:
        """Open all endpoints; return their ports by id."""
        for endpoint in self._endpoints():
            await endpoint.open()
        if math.isfinite(self.script_start_ms):
            self.schedule_outages()
        return {endpoint.spec.id: endpoint.port for endpoint in self._endpoints()}

    def start_script(self, start_ms: float) -> None:
        """Set the start of a script that was not known at the start of the process."""
        self.script_start_ms = start_ms
        self.schedule_outages()

    def _endpoints(self) -> list[Endpoint]:
        return [endpoint for partner in self.partners for endpoint in partner.endpoints]

    def schedule_outages(self) -> None:
        """Set the timers of all outages again, for times relative to the start of the script."""
        loop = asyncio.get_running_loop()
        self._cancel_timers()
        for outage in self._outages():
            start_s = max(0.0, outage.fault.at_s - self.elapsed_s())
            self._timers += [
                loop.call_later(start_s, self._begin_outage, outage),
                loop.call_later(start_s + outage.fault.for_s, self._end_outage, outage),
            ]

    def _outages(self) -> list[_Outage]:
        return [
            _Outage(partner, endpoints, fault)
            for fault in self.spec.faults
            for partner in self.partners
            if fault.is_outage and (endpoints := partner.endpoints_affected_by(fault))
        ]

    def _begin_outage(self, outage: _Outage) -> None:
        kind = outage.fault.kind
        if outage.affects_all_endpoints:
            self.recorder.write(OutageChanged(partner=outage.partner.name, is_on=True, kind=kind))
        for endpoint in outage.endpoints:
            if kind is FaultKind.CRASH:
                endpoint.crash()
            elif kind in (FaultKind.HANG, FaultKind.VANISH):
                endpoint.waiting.clear()

    def _end_outage(self, outage: _Outage) -> None:
        if outage.affects_all_endpoints:
            outage.partner.behavior.end_outage(outage.fault.kind)
        if outage.fault.kind is FaultKind.CRASH:
            for endpoint in outage.endpoints:
                asyncio.get_running_loop().create_task(endpoint.open())

    def _cancel_timers(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()

    def close(self) -> None:
        """Close all endpoints and connections immediately and flush the record."""
        self._cancel_timers()
        for endpoint in self._endpoints():
            endpoint.close()
        self.pool.close()
        self.recorder.flush()
