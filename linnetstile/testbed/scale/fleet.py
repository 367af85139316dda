"""Simulates the fleet in worker processes that have time and memory limits and never outlive the run."""

from __future__ import annotations

import contextlib
import multiprocessing
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from multiprocessing.connection import Connection, wait
from multiprocessing.process import BaseProcess

from . import comparison_bench
from .errors import RunFailedError
from .list_cost import ListCost
from .membership_simulation import MembershipResult
from .options import ScaleOptions
from .platform_model import PlatformModel
from .trace import RelayTrace
from .worker import Job, JobKind, PeakMemory, WorkerError, WorkerMessage, run_job

MEMORY_BYTES = 12 * 1000**3
"""Memory limit of the whole run."""
RESERVED_MEMORY_BYTES = 1000**3 + comparison_bench.MEMORY_BYTES
"""Part of `MEMORY_BYTES` that is reserved for the main process, which builds the report, and the relay processes."""
PROGRESS_INTERVAL_S = 2.0
GRACE_S = 20.0
"""Time that a worker has after the time limit to finish the list that it is reading."""
JOIN_S = 5.0
FIXED_JOBS = 2
"""Number of jobs that do not simulate relays: list costs and membership."""


@dataclass(slots=True)
class FleetResult:
    """The results that the workers have sent.

    Attributes:
        traces: Trace of each simulated relay, sorted by relay number once all workers have ended.
        costs: Measured cost of endpoint lists of several lengths.
        membership: Result of the membership simulation; None = it was not run.
        peak_memory: Peak resident memory of each worker in bytes, by its name.
    """

    traces: list[RelayTrace] = field(default_factory=list)
    costs: list[ListCost] = field(default_factory=list)
    membership: MembershipResult | None = None
    peak_memory: dict[str, int] = field(default_factory=dict)

    def check(self, platform: PlatformModel) -> None:
        """Check that all workers have simulated this platform, as the report compares their traces with its outages.

        Raises:
            RunFailedError: A worker has simulated a different platform.
        """
        fingerprint = platform.fingerprint()
        for trace in self.traces:
            if trace.platform_fingerprint != fingerprint:
                raise RunFailedError(
                    f"relay {trace.relay} simulated a different platform: the program was changed during the run"
                )


@dataclass(frozen=True, slots=True)
class Worker:
    """A worker process and its name."""

    name: str
    process: BaseProcess


class Fleet:
    """The worker processes of one run. The caller must call `close`, also after an error."""

    def __init__(
        self,
        options: ScaleOptions,
        resumes_by_version: bool,
        seconds_left: float,
        report_progress: Callable[[str], None],
    ) -> None:
        """Start the workers.

        Args:
            options: Options of the run.
            resumes_by_version: As in `SimulatedRelay`.
            seconds_left: Time limit of the workers.
            report_progress: Called with a line of progress about every `PROGRESS_INTERVAL_S`.
        """
        self.options = options
        self.report_progress = report_progress
        self.began_s = time.monotonic()
        self.deadline_s = self.began_s + seconds_left + GRACE_S
        self.workers: dict[Connection, Worker] = {}
        self.result = FleetResult()
        for job in _jobs(options, resumes_by_version, seconds_left):
            self._start(job)

    def _start(self, job: Job) -> None:
        context = multiprocessing.get_context("spawn")
        receiver, sender = context.Pipe(duplex=False)
        process = context.Process(target=run_job, daemon=True, name=job.name, args=(sender, job))
        self.workers[receiver] = Worker(job.name, process)
        process.start()
        sender.close()

    def play(self) -> FleetResult:
        """Wait until all workers have ended.

        Raises:
            RunFailedError: A worker failed or did not end in time.
        """
        running = dict(self.workers)
        reported_at_s = time.monotonic()
        while running:
            for pipe in wait(list(running), timeout=PROGRESS_INTERVAL_S):
                assert isinstance(pipe, Connection)
                self._receive(pipe, running)
            now = time.monotonic()
            if now > self.deadline_s:
                unfinished = ", ".join(worker.name for worker in running.values())
                raise RunFailedError(f"expected all workers to end within the time limit, found running: {unfinished}")
            if now - reported_at_s > PROGRESS_INTERVAL_S:
                reported_at_s = now
                self._report_progress(now, running)
        self.result.traces.sort(key=lambda trace: trace.relay)
        return self.result

    def _receive(self, pipe: Connection, running: dict[Connection, Worker]) -> None:
        name = running[pipe].name
        try:
            self._record(name, pipe.recv())
        except EOFError:
            if name not in self.result.peak_memory:
                raise RunFailedError(f"{name}: the process exited before it had sent all results") from None
            del running[pipe]

    def _record(self, name: str, message: WorkerMessage) -> None:
        match message:
            case RelayTrace():
                self.result.traces.append(message)
            case ListCost():
                self.result.costs.append(message)
            case MembershipResult():
                self.result.membership = message
            case PeakMemory(size):
                self.result.peak_memory[name] = size
            case WorkerError(text):
                raise RunFailedError(text)

    def _report_progress(self, now: float, running: dict[Connection, Worker]) -> None:
        names = ", ".join(sorted(worker.name for worker in running.values()))
        total = len(self.options.simulated_relays)
        played = len(self.result.traces)
        self.report_progress(f"{now - self.began_s:6.1f} s  {played} of {total} relays played; running: {names}")

    def close(self) -> None:
        """Kill the workers that still run, each through its process handle, and close the pipes."""
        for pipe, worker in self.workers.items():
            with contextlib.suppress(ValueError):
                worker.process.kill()
            worker.process.join(JOIN_S)
            pipe.close()


def _jobs(options: ScaleOptions, resumes_by_version: bool, seconds_left: float) -> list[Job]:
    """Return one job for the list costs, one for the membership, and the jobs among which the relays are divided."""
    relays = options.simulated_relays
    relay_jobs = min(options.workers, len(relays))
    memory_bytes = (MEMORY_BYTES - RESERVED_MEMORY_BYTES) // (FIXED_JOBS + relay_jobs)

    def job(name: str, kind: JobKind, relays: list[int]) -> Job:
        """Return a job with the settings that all jobs of the run share."""
        return Job(name, kind, options, relays, resumes_by_version, seconds_left, memory_bytes)

    return [
        job(JobKind.LIST_COSTS.value, JobKind.LIST_COSTS, []),
        job(JobKind.MEMBERSHIP.value, JobKind.MEMBERSHIP, []),
        *(
            job(f"{JobKind.RELAYS.value}-{number + 1}", JobKind.RELAYS, relays[number::relay_jobs])
            for number in range(relay_jobs)
        ),
    ]
