"""The results of a comparison of relay processes with their reference models, and their form in the report."""

from __future__ import annotations

from dataclasses import dataclass, field

from .discovery_model import ChangeKind
from .relay_process import ProcessMemory
from .report_schema import BurstEntryJson, BurstJson, ChangeResultJson, ComparisonJson, EndpointCountJson


@dataclass(frozen=True, slots=True)
class EndpointCount:
    """Endpoints that a relay process and its reference model know."""

    process: int
    model: int

    def to_json(self) -> EndpointCountJson:
        """Return the entry of the report."""
        return {"real": self.process, "hollow": self.model}


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Where messages went after a change.

    Attributes:
        version: Version of the list with the change.
        kind: Kind of the change.
        expected: The endpoint that is in force after the change.
        models: The endpoint to which each reference model delivered a message.
        model_ms: Simulated ms until each reference model delivered its message.
        processes: The endpoint to which each relay process delivered its last message.
        process_ms: Time in ms until each relay process delivered a message as expected, or the time limit was reached.
    """

    version: int
    kind: ChangeKind
    expected: str
    models: list[str]
    model_ms: list[float]
    processes: list[str]
    process_ms: list[float]

    @property
    def agrees(self) -> bool:
        """Whether all processes and models delivered to the expected endpoint."""
        return self.processes == self.models == [self.expected] * len(self.processes)

    def to_json(self) -> ChangeResultJson:
        """Return the row of the report."""
        return {
            "version": self.version,
            "what": self.kind.value,
            "expected": self.expected,
            "hollow": self.models,
            "hollow_ms": self.model_ms,
            "real": self.processes,
            "real_ms": self.process_ms,
        }


@dataclass(frozen=True, slots=True)
class BurstResult:
    """How relay processes handled many changes at once.

    Attributes:
        changes: Number of changes.
        until_next_shows_ms: Time in ms from sending a further change, right after them, until it is in force.
        cpu_s: Processor time that each relay process spent on the changes, in seconds.
    """

    changes: int
    until_next_shows_ms: float
    cpu_s: list[float]

    def to_json(self) -> BurstJson:
        """Return the entry of the report."""
        return {"changes": self.changes, "until_next_shows_ms": self.until_next_shows_ms, "cpu_s": self.cpu_s}


@dataclass(slots=True)
class Comparison:
    """What a comparison found.

    Attributes:
        relays: Number of relay processes, without the baseline.
        list_bytes: Bytes of the list.
        is_list_accepted: All reference models accepted the list.
        endpoints: Endpoints known at the start, for each relay.
        start_cpu_s: Processor time that each relay process needed to start, less that of the baseline.
        memory: Memory of each relay process after its start.
        baseline_memory: Memory of the baseline, the relay process with few destinations.
        changes: Where messages went after each change that was compared.
        burst: Result of many changes at once; None if the list was not accepted.
        reopened_watches: Request targets of the watches that were opened after all watches had been broken.
        resumes_by_version: Whether reopened watches asked for the changes since a version instead of the full list.
        sent_bytes: Bytes that discovery sent to the relay processes.
        watches: Number of watches that the relay processes opened.
        seconds: Length of the comparison.
    """

    relays: int
    list_bytes: int
    is_list_accepted: bool
    endpoints: list[EndpointCount]
    start_cpu_s: list[float]
    memory: list[ProcessMemory]
    baseline_memory: ProcessMemory
    changes: list[ChangeResult] = field(default_factory=list)
    burst: BurstResult | None = None
    reopened_watches: list[str] = field(default_factory=list)
    resumes_by_version: bool = False
    sent_bytes: int = 0
    watches: int = 0
    seconds: float = 0.0

    @property
    def agrees(self) -> bool:
        """Whether relay processes and reference models agree on the list and on each change."""
        same_changes = all(change.agrees for change in self.changes)
        return same_changes and all(count.process == count.model for count in self.endpoints)

    def to_json(self) -> ComparisonJson:
        """Return the section of the report."""
        return {
            "relays": self.relays,
            "list_bytes": self.list_bytes,
            "list_taken_by_hollow": self.is_list_accepted,
            "endpoints": [count.to_json() for count in self.endpoints],
            "start_cpu_s": self.start_cpu_s,
            "memory": [memory.to_json() for memory in self.memory],
            "memory_small": self.baseline_memory.to_json(),
            "changes": [change.to_json() for change in self.changes],
            **self._burst_entry(),
            "reopened": self.reopened_watches,
            "since_version": self.resumes_by_version,
            "sent_bytes": self.sent_bytes,
            "watches": self.watches,
            "seconds": self.seconds,
            "agrees": self.agrees,
        }

    def _burst_entry(self) -> BurstEntryJson:
        return {"burst": self.burst.to_json()} if self.burst else {}
