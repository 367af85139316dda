"""Lists of destinations in one process: memory, reading them, and an engine that knows so many. No I/O."""

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

MESSAGES = 300
MESSAGE_INTERVAL_MS = 0.5
MESSAGES_INTERVAL_MS = 10_000.0
"""Between the rounds of messages, at the least."""
IDLE_TURNS = 50
IDLE_ROUNDS = 5
IDLE_TURN_AFTER_MS = 100.0
CHANGED_DESTINATIONS = 7
DAYS_MS = 3 * 86_400_000.0
CHANGE_INTERVAL_MS = 20_000.0
FIRST_NEW_ENDPOINT = 10**7
STRIDE = 7919
"""Destinations are visited in steps of this prime, so that neighbours are not visited one after the other."""
_directories: list[Any] = []  # kept alive: as in a relay, garbage collection sees them


def measure_memory(count: int, endpoints_per_destination: int = 1) -> Measurements:
    """Bytes that a list takes in directory and engine, by tracemalloc."""
    endpoint_count = count * endpoints_per_destination
    data = internals.discovery_line(inside.discovery_entries(count, endpoints_per_destination), 1, True)

    def read() -> tuple[Directory, list[Event]]:
        directory = internals.new_directory()
        events: list[Event] = []
        for value in internals.parse_stream(data).values:
            more: list[Event] | None = internals.read_value(directory, value)
            while more is not None:
                events += more
                more = internals.remove_missing(value)
        return directory, events

    read_bytes, (directory, events) = inside.measure_allocation(read)
    # What the events alone refer to is counted apart: it is freed once the engine has read them.
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
    """The full list from its text to the engine, then the engine's steady state.

    Where the inner parts are not to be had, the engine alone is measured.
    """
    found, events = read_list(count, endpoints_per_destination)
    engine = DeliveryEngine(inside.settings(), 1)
    turns_us = [processor_time_us(partial(engine.handle, 0.0, [event])) for event in events]
    engine_us = sum(turns_us)
    found["module_us"] = engine_us
    text_us, directory_us, longest_us = found.get("text_us"), found.get("directory_us"), found.get("longest_step_us")
    if isinstance(text_us, float) and isinstance(directory_us, float) and isinstance(longest_us, float):
        found["all_us_an_endpoint"] = (text_us + directory_us + engine_us) / count / endpoints_per_destination
        found["longest_step_us"] = max(longest_us, *turns_us)  # the engine has its turn after the directory's step
    events.clear()
    return found | SteadyState(engine, count, endpoints_per_destination).measure()


class TimedReading:
    """Reads a list and notes the longest step. The bytes that complete a value, or a part of it, bring it in one go."""

    def __init__(self, data: bytes) -> None:
        """Prepare to read the bytes of a list."""
        self.data = data
        self.values: list[Any] = []
        self.events: list[Event] = []
        self.longest_parse_us = 0.0
        self.longest_step_us = 0.0
        self.directory = internals.new_directory()
        self._more: list[Event] | None = None

    def parse(self) -> None:
        """From bytes to values."""
        self.values, self.longest_parse_us = internals.parse_stream(self.data)

    def fill_directory(self) -> None:
        """From values to events, by the directory."""
        for value in self.values:
            self._time_step(partial(self._read, value))
            while self._more is not None:
                self.events += self._more
                self._time_step(partial(self._remove_missing, value))

    def _time_step(self, step: Callable[[], None]) -> None:
        self.longest_step_us = max(self.longest_step_us, processor_time_us(step))

    def _read(self, value: Any) -> None:
        self._more = internals.read_value(self.directory, value)

    def _remove_missing(self, value: Any) -> None:
        self._more = internals.remove_missing(value)


class ListReading(NamedTuple):
    """What reading a list took, and the events that it brought for the engine."""

    found: Measurements
    events: list[Event]


def read_list(count: int, endpoints_per_destination: int) -> ListReading:
    """From the text to events for the engine; where that fails, the events are made without reading."""
    data = internals.discovery_line(inside.discovery_entries(count, endpoints_per_destination), 1, True)
    bound = internals.list_bound_bytes()
    found: Measurements = {
        "list_bytes": float(len(data)),
        "list_bytes_an_endpoint": len(data) / count / endpoints_per_destination,
        "within_bound": "yes" if len(data) <= bound else f"refused: over {bound} bytes",
    }
    try:
        reading = TimedReading(data)
        text_us = processor_time_us(reading.parse)
        directory_us = processor_time_us(reading.fill_directory)
        found |= {
            "text_us": text_us,
            "directory_us": directory_us,
            "longest_step_us": reading.longest_parse_us + reading.longest_step_us,
        }
        _directories.append(reading.directory)
        return ListReading(found, reading.events)
    except Exception as error:  # noqa: BLE001 (whatever a changed inner surface raises is the result)
        found["text_us"] = f"not measured: {error!r}"
        events: list[Event] = [EndpointList(ListKind.FULL, inside.endpoints(count, endpoints_per_destination))]
        return ListReading(found, events)


class SteadyState:
    """An engine that knows so many destinations, each step later on its clock: a change, a message, a turn."""

    def __init__(self, engine: DeliveryEngine, count: int, endpoints_per_destination: int) -> None:
        """Take over an engine that has read the list."""
        self.engine = engine
        self.count = count
        self.endpoints_per_destination = endpoints_per_destination
        self.now_ms = 1000.0

    def measure(self) -> Measurements:
        """Processor time of each kind of step."""
        inside.freeze_garbage()
        return self.measure_changes() | self.measure_messages() | self.measure_idle_turn()

    def measure_changes(self) -> Measurements:
        """Processor time of a change, the best of some destinations."""
        samples: dict[str, list[float]] = {"drains": [], "goes": [], "comes": []}
        for number in range(CHANGED_DESTINATIONS):
            destination = (number + 1) * self.count // (CHANGED_DESTINATIONS + 1)
            first = destination * self.endpoints_per_destination + 1
            new = FIRST_NEW_ENDPOINT + number
            samples["drains"].append(self._change_us(first, destination, EndpointStatus.DRAINING))
            samples["comes"].append(self._change_us(first, destination, EndpointStatus.READY, inside.LISTED_RATE))
            samples["goes"].append(self._change_us(first, destination, EndpointStatus.GONE))
            samples["comes"].append(self._change_us(new, destination, EndpointStatus.READY, inside.LISTED_RATE))
        return {f"{name}_us": min(values) for name, values in samples.items()}

    def _change_us(self, endpoint: int, destination: int, status: EndpointStatus, rate: float = 0.0) -> float:
        self.now_ms += CHANGE_INTERVAL_MS
        change = Endpoint(endpoint, destination, status, advertised_rate=rate)
        event = EndpointList(ListKind.CHANGES, (change,))
        return processor_time_us(partial(self.engine.handle, self.now_ms, [event]))

    def measure_messages(self) -> Measurements:
        """Processor time of a message: the first for a destination, the next, and one after days."""
        found: Measurements = {}
        destinations = [(number * STRIDE) % self.count for number in range(min(MESSAGES, self.count))]
        message_id = 0
        for name, gap_ms in (("first_message_us", 0.0), ("message_us", 1000.0), ("after_days_us", DAYS_MS)):
            self.now_ms += MESSAGES_INTERVAL_MS + gap_ms
            samples = []
            for destination in destinations:
                message_id += 1
                self.now_ms += MESSAGE_INTERVAL_MS
                deliver = partial(inside.delivered, self.engine, message_id, destination, self.now_ms)
                samples.append(processor_time_us(deliver))
            found[name] = median(samples)
        return found

    def measure_idle_turn(self) -> Measurements:
        """Processor time of a turn without events."""
        now_ms = self.now_ms + IDLE_TURN_AFTER_MS
        turns_us = processor_time_us(lambda: [self.engine.handle(now_ms, []) for _ in range(IDLE_TURNS)], IDLE_ROUNDS)
        return {"turn_us": turns_us / IDLE_TURNS}
