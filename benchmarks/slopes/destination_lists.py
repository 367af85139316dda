"""Lists of destinations in one process, without I/O: memory, reading a list, and the engine's steady state with it."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from statistics import median
from typing import Any, NamedTuple

from benchmarks.common import BYTES_PER_MB
from benchmarks.slopes import inside, internals
from benchmarks.slopes.series import Measurements
from benchmarks.slopes.timing import processor_time_us
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import Endpoint, EndpointList, EndpointStatus, Event, ListKind
from linnetstile.platform_relay.directory import Directory

MESSAGE_COUNT = 300
MESSAGE_INTERVAL_MS = 0.5
MESSAGE_ROUND_INTERVAL_MS = 10_000.0
"""Minimum interval between two rounds of messages."""
IDLE_TURNS = 50
IDLE_ROUNDS = 5
IDLE_TURN_AFTER_MS = 100.0
CHANGED_DESTINATIONS = 7
LONG_IDLE_MS = 3 * 86_400_000.0
CHANGE_INTERVAL_MS = 20_000.0
FIRST_ADDED_ENDPOINT = 10**7
STRIDE = 7919
"""Destinations are visited in steps of this prime number, so that successive messages don't go to neighbours."""
_directories: list[Any] = []  # kept alive, so that garbage collection scans them as in a relay


def measure_memory(count: int, endpoints_per_destination: int = 1) -> Measurements:
    """Measure by tracemalloc the bytes that a list takes in the directory and in the engine."""
    endpoint_count = count * endpoints_per_destination
    data = internals.discovery_line(inside.discovery_entries(count, endpoints_per_destination), 1, True)

    def read() -> tuple[Directory, list[Event]]:
        directory = internals.new_directory()
        events: list[Event] = []
        for value in internals.parse_stream(data).values:
            next_events: list[Event] | None = internals.read_value(directory, value)
            while next_events is not None:
                events += next_events
                next_events = internals.remove_missing(value)
        return directory, events

    read_bytes, (directory, events) = inside.measure_allocation(read)
    # The events are discarded once the engine has handled them: the memory that only they hold is measured here, and
    # not counted for the directory.
    engine = inside.create_engine(1)
    engine_bytes = inside.measure_allocation(lambda: engine.handle(1.0, list(events))).size_bytes
    freed_bytes = -inside.measure_allocation(events.clear).size_bytes
    del directory
    directory_bytes = read_bytes - freed_bytes
    return {
        "directory_bytes": directory_bytes,
        "module_bytes": engine_bytes,
        "directory_bytes_an_endpoint": directory_bytes / endpoint_count,
        "module_bytes_an_endpoint": engine_bytes / endpoint_count,
        "all_mb": (read_bytes + engine_bytes - freed_bytes) / BYTES_PER_MB,
    }


def measure_reading(count: int, endpoints_per_destination: int = 1) -> Measurements:
    """Measure reading the full list from its text to the engine, then the engine's steady state.

    Where the relay's internals can't be called (see `read_list`), only the engine is measured.
    """
    measurements, events = read_list(count, endpoints_per_destination)
    engine = DeliveryEngine(inside.settings(), 1)
    turns_us = [processor_time_us(partial(engine.handle, 0.0, [event])) for event in events]
    engine_us = sum(turns_us)
    measurements["module_us"] = engine_us
    text_us, directory_us, longest_us = (
        measurements.get("text_us"),
        measurements.get("directory_us"),
        measurements.get("longest_step_us"),
    )
    if isinstance(text_us, float) and isinstance(directory_us, float) and isinstance(longest_us, float):
        measurements["all_us_an_endpoint"] = (text_us + directory_us + engine_us) / count / endpoints_per_destination
        # The engine's turn is separate from the directory's step, so that the two are not added up.
        measurements["longest_step_us"] = max(longest_us, *turns_us)
    events.clear()
    return measurements | SteadyState(engine, count, endpoints_per_destination).measure()


class TimedReading:
    """Reads a list and records the longest step.

    The bytes that complete a value, or a part of a long one, deliver all of it in one step.
    """

    def __init__(self, data: bytes) -> None:
        """Prepare to read the bytes of a list."""
        self.data = data
        self.values: list[Any] = []
        self.events: list[Event] = []
        self.longest_parse_us = 0.0
        self.longest_step_us = 0.0
        self.directory = internals.new_directory()
        self._next_events: list[Event] | None = None

    def parse(self) -> None:
        """Parse the bytes into values."""
        self.values, self.longest_parse_us = internals.parse_stream(self.data)

    def fill_directory(self) -> None:
        """Apply the values to the directory, and collect the events for the engine."""
        for value in self.values:
            self._time_step(partial(self._read, value))
            while self._next_events is not None:
                self.events += self._next_events
                self._time_step(partial(self._remove_missing, value))

    def _time_step(self, step: Callable[[], None]) -> None:
        self.longest_step_us = max(self.longest_step_us, processor_time_us(step))

    def _read(self, value: Any) -> None:
        self._next_events = internals.read_value(self.directory, value)

    def _remove_missing(self, value: Any) -> None:
        self._next_events = internals.remove_missing(value)


class ListReading(NamedTuple):
    """Measurements of reading a list, and the resulting events for the engine."""

    measurements: Measurements
    events: list[Event]


def read_list(count: int, endpoints_per_destination: int) -> ListReading:
    """Read a list from its text to events for the engine; if that fails, create the events directly."""
    data = internals.discovery_line(inside.discovery_entries(count, endpoints_per_destination), 1, True)
    bound = internals.list_bound_bytes()
    measurements: Measurements = {
        "list_bytes": float(len(data)),
        "list_bytes_an_endpoint": len(data) / count / endpoints_per_destination,
        "within_bound": "yes" if len(data) <= bound else f"refused: over {bound} bytes",
    }
    try:
        reading = TimedReading(data)
        text_us = processor_time_us(reading.parse)
        directory_us = processor_time_us(reading.fill_directory)
        measurements |= {
            "text_us": text_us,
            "directory_us": directory_us,
            "longest_step_us": reading.longest_parse_us + reading.longest_step_us,
        }
        _directories.append(reading.directory)
        return ListReading(measurements, reading.events)
    except Exception as error:  # noqa: BLE001 (any error of a changed internal interface is reported as the result)
        measurements["text_us"] = f"not measured: {error!r}"
        events: list[Event] = [EndpointList(ListKind.FULL, inside.endpoints(count, endpoints_per_destination))]
        return ListReading(measurements, events)


class SteadyState:
    """Measures an engine that has read a list: changes, messages and idle turns, each later on the engine's clock."""

    def __init__(self, engine: DeliveryEngine, count: int, endpoints_per_destination: int) -> None:
        """Take over an engine that has read the list."""
        self.engine = engine
        self.count = count
        self.endpoints_per_destination = endpoints_per_destination
        self.now_ms = 1000.0

    def measure(self) -> Measurements:
        """Measure the processor time of each kind of step."""
        inside.freeze_live_objects()
        return self.measure_changes() | self.measure_messages() | self.measure_idle_turn()

    def measure_changes(self) -> Measurements:
        """Measure the processor time of each kind of change, as the minimum over several destinations."""
        samples: dict[str, list[float]] = {"drains": [], "goes": [], "comes": []}
        for number in range(CHANGED_DESTINATIONS):
            destination = (number + 1) * self.count // (CHANGED_DESTINATIONS + 1)
            first = destination * self.endpoints_per_destination + 1
            added_endpoint = FIRST_ADDED_ENDPOINT + number
            samples["drains"].append(self._change_us(first, destination, EndpointStatus.DRAINING))
            samples["comes"].append(self._change_us(first, destination, EndpointStatus.READY, inside.LISTED_RATE))
            samples["goes"].append(self._change_us(first, destination, EndpointStatus.GONE))
            samples["comes"].append(
                self._change_us(added_endpoint, destination, EndpointStatus.READY, inside.LISTED_RATE)
            )
        return {f"{name}_us": min(values) for name, values in samples.items()}

    def _change_us(self, endpoint: int, destination: int, status: EndpointStatus, rate: float = 0.0) -> float:
        self.now_ms += CHANGE_INTERVAL_MS
        change = Endpoint(endpoint, destination, status, advertised_rate=rate)
        event = EndpointList(ListKind.CHANGES, (change,))
        return processor_time_us(partial(self.engine.handle, self.now_ms, [event]))

    def measure_messages(self) -> Measurements:
        """Measure the processor time of a message: a destination's first, its second, and one after three days."""
        measurements: Measurements = {}
        destinations = [(number * STRIDE) % self.count for number in range(min(MESSAGE_COUNT, self.count))]
        message_id = 0
        for name, gap_ms in (("first_message_us", 0.0), ("message_us", 1000.0), ("after_days_us", LONG_IDLE_MS)):
            self.now_ms += MESSAGE_ROUND_INTERVAL_MS + gap_ms
            samples = []
            for destination in destinations:
                message_id += 1
                self.now_ms += MESSAGE_INTERVAL_MS
                deliver = partial(inside.delivered, self.engine, message_id, destination, self.now_ms)
                samples.append(processor_time_us(deliver))
            measurements[name] = median(samples)
        return measurements

    def measure_idle_turn(self) -> Measurements:
        """Measure the processor time of a turn without events."""
        now_ms = self.now_ms + IDLE_TURN_AFTER_MS
        turns_us = processor_time_us(lambda: [self.engine.handle(now_ms, []) for _ in range(IDLE_TURNS)], IDLE_ROUNDS)
        return {"turn_us": turns_us / IDLE_TURNS}
