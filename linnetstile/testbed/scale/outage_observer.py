"""Records which outages a simulated relay meets, and when its engine detects that they have begun and ended."""

from __future__ import annotations

from .destination_model import CallResult
from .relay_engine import believes_down
from .relay_runtime import RelayRuntime
from .trace import Count, SlowStartCall


class OutageObserver:
    """Compares the calls of one relay with the outages of the platform model and records the result in its trace."""

    def __init__(self, runtime: RelayRuntime) -> None:
        self.runtime = runtime

    # -- start of a call --

    def count_call(self, result: CallResult) -> None:
        """Count a call, and whether it was made in an outage or to an endpoint that has left the list."""
        runtime = self.runtime
        runtime.count(Count.CALLS)
        if result.outage:
            runtime.count(Count.CALLS_DOWN)
            if result.outage.number in runtime.trace.believed_down_ms:
                runtime.count(Count.CALLS_DOWN_KNOWN)
        elif result.endpoint_gone:
            runtime.count(Count.CALLS_GONE)

    def record_slow_start_call(self, destination: int, now_ms: float) -> None:
        """Record a call if its destination is in slow start after an outage."""
        trace = self.runtime.trace
        slow_start_ms = self.runtime.engine.settings.safety.slow_start_ms
        for outage in self.runtime.platform.outages_of(destination):
            if outage.has_slow_start and outage.end_ms <= now_ms < outage.end_ms + slow_start_ms:
                trace.slow_start_calls.append(SlowStartCall(outage.number, now_ms, outage.number in trace.outages_met))
                return

    # -- end of a call --

    def record_failure(self, destination: int, began_ms: float, now_ms: float) -> None:
        """Record that a call failed in an outage, and when the engine first believed the destination down."""
        runtime = self.runtime
        trace = runtime.trace
        outage = runtime.platform.current_outage(destination, runtime.region, began_ms)
        if outage is None:
            return
        trace.outages_met.add(outage.number)
        is_undetected = now_ms < outage.end_ms and outage.number not in trace.believed_down_ms
        if is_undetected and believes_down(runtime.engine, destination, now_ms):
            trace.believed_down_ms[outage.number] = now_ms

    def outage_still_believed(self, destination: int, now_ms: float) -> int | None:
        """Return the latest outage that has ended if this relay still believes the destination down, else None."""
        runtime = self.runtime
        ended = [
            outage
            for outage in runtime.platform.outages_of(destination)
            if outage.end_ms <= now_ms and outage.affects_calls_from(runtime.region)
        ]
        if not ended or ended[-1].number not in runtime.trace.believed_down_ms:
            return None
        return ended[-1].number if believes_down(runtime.engine, destination, now_ms) else None

    def record_recovery(self, outage: int | None, now_ms: float) -> None:
        """Record the first success after an outage.

        Args:
            outage: Number of the ended outage for which the relay still believed the destination down at `now_ms`;
                None = there is nothing to record.
            now_ms: Time of the success.
        """
        if outage is not None:
            self.runtime.trace.believed_up_ms.setdefault(outage, now_ms)
