"""A worker process of a scale run: it does its job and sends the results through a pipe."""

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
"""The cost of a list is measured at these parts of the longest one."""
KIB = 1024


class JobKind(StrEnum):
    """What a worker does; the values are part of its name."""

    LIST_COSTS = "costs"
    MEMBERSHIP = "members"
    RELAYS = "relays"


@dataclass(frozen=True, slots=True)
class PeakMemory:
    """The last message of a worker: its resident memory in bytes at its largest."""

    bytes: int


@dataclass(frozen=True, slots=True)
class WorkerError:
    """A worker cannot do its job; the message is one line."""

    message: str


WorkerMessage = RelayTrace | ListCost | MembershipResult | PeakMemory | WorkerError


@dataclass(frozen=True, slots=True)
class Job:
    """What one worker does.

    Attributes:
        name: Name of the worker, for progress and errors.
        kind: What the worker does.
        options: Options of the run.
        relays: Relays to play.
        resumes_by_version: As in `SimulatedRelay`.
        seconds_left: Time that it has.
        memory_bytes: Address space that it may use.
    """

    name: str
    kind: JobKind
    options: ScaleOptions
    relays: list[int]
    resumes_by_version: bool
    seconds_left: float
    memory_bytes: int


def run_job(pipe: Connection, job: Job) -> None:
    """Do a job and send its messages; the main function of a worker process."""
    _end_with_parent()
    resource.setrlimit(resource.RLIMIT_AS, (job.memory_bytes, job.memory_bytes))
    until = time.monotonic() + job.seconds_left
    try:
        for message in _play(job, lambda: time.monotonic() > until):
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
    """Leave SIGINT to the main process, and exit when that has ended."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    parent = multiprocessing.parent_process()
    assert parent is not None

    def watch() -> None:
        parent.join()
        os._exit(1)

    threading.Thread(target=watch, daemon=True).start()
