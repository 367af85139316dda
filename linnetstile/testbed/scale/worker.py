"""Main function of the worker processes of a scale run: each does one job and sends the results through a pipe."""

from __future__ import annotations

import multiprocessing
import os
import resource
import signal
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from multiprocessing.connection import Connection

from . import membership_simulation, scenarios
from .list_cost import ListCost, measure_list_cost
from .membership_simulation import MembershipResult
from .options import ScaleOptions
from .simulated_relay import SimulatedRelay
from .trace import RelayTrace

LIST_SIZE_DIVISORS = (4, 2, 1)
"""The cost of a list is measured for the longest list divided by each of these numbers."""
KIB = 1024


class JobKind(StrEnum):
    """Kind of the job of a worker; the value is part of the worker's name."""

    LIST_COSTS = "costs"
    MEMBERSHIP = "members"
    RELAYS = "relays"


@dataclass(frozen=True, slots=True)
class PeakMemory:
    """The last message of a worker: its peak resident memory in bytes."""

    bytes: int


@dataclass(frozen=True, slots=True)
class WorkerError:
    """A worker failed to do its job; the message is one line."""

    message: str


WorkerMessage = RelayTrace | ListCost | MembershipResult | PeakMemory | WorkerError


@dataclass(frozen=True, slots=True)
class Job:
    """The job of one worker.

    Attributes:
        name: Name of the worker, for progress lines and errors.
        kind: Kind of the job.
        options: Options of the run.
        relays: Numbers of the relays to simulate; empty unless the kind is `JobKind.RELAYS`.
        resumes_by_version: See `SimulatedRelay`.
        seconds_left: Time limit of the worker.
        memory_bytes: Limit of the address space of the worker.
    """

    name: str
    kind: JobKind
    options: ScaleOptions
    relays: list[int]
    resumes_by_version: bool
    seconds_left: float
    memory_bytes: int


def run_job(pipe: Connection, job: Job) -> None:
    """Do a job and send its results; this is the main function of a worker process."""
    _end_with_parent()
    resource.setrlimit(resource.RLIMIT_AS, (job.memory_bytes, job.memory_bytes))
    deadline_s = time.monotonic() + job.seconds_left
    try:
        for message in _play(job, lambda: time.monotonic() > deadline_s):
            pipe.send(message)
        pipe.send(PeakMemory(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB))
    except MemoryError:
        limit_mb = job.memory_bytes / 1e6
        pipe.send(WorkerError(f"{job.name}: more than {limit_mb:.0f} MB: expected fewer --destinations or --workers"))
    pipe.close()


def _play(job: Job, is_overdue: Callable[[], bool]) -> Iterator[WorkerMessage]:
    if job.kind is JobKind.LIST_COSTS:
        for divisor in LIST_SIZE_DIVISORS:
            yield measure_list_cost(job.options, job.options.cost_most // divisor)
    elif job.kind is JobKind.MEMBERSHIP:
        yield membership_simulation.play(scenarios.build(job.options), is_overdue)
    else:
        platform = scenarios.build(job.options)
        for relay in job.relays:
            if is_overdue():
                break
            yield SimulatedRelay(platform, relay, job.resumes_by_version, is_overdue).play()


def _end_with_parent() -> None:
    """Ignore SIGINT, which the main process handles, and exit when the main process has ended."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    parent = multiprocessing.parent_process()
    assert parent is not None

    def exit_after_parent() -> None:
        parent.join()
        os._exit(1)

    threading.Thread(target=exit_after_parent, daemon=True).start()
