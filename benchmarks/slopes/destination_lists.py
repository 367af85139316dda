"""Lists of destinations in one process: memory, reading them, and an engine that knows so many. No I/O."""

from __future__ import annotations

from functools import partial
from statistics import median
from typing import Any

from benchmarks.slopes import inside, internals
from benchmarks.slopes.series import Measurements
from benchmarks.slopes.timing import processor_time_us
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import Endpoint, EndpointList, EndpointStatus, Event, ListKind

BYTES_PER_MB = 2**20
MESSAGES = 300
CHANGED_DESTINATIONS = 7
DAYS_MS = 3 * 86_400_000.0
CHANGE_INTERVAL_MS = 20_000.0
FIRST_NEW_ENDPOINT = 10**7
STRIDE = 7919
"""Destinations are visited in steps of this prime, so that neighbours are not visited one after the other."""
_kept_alive: list[Any] = []  # directories: as in a relay, garbage collection sees them


def measure_memory(count: int, endpoints_each: int = 1) -> Measurements:
    """Bytes that a list takes in directory and engine, by tracemalloc."""
    endpoint_count = count * endpoints_each
    data = internals.discovery_line(inside.discovery_entries(count, endpoints_each), 1, True)

    def read() -> Any:
        directory = internals.new_directory()
        events: list[Event] = []
        for value in internals.parse_stream(data)[0]:
            more: list[Event] | None = internals.read_value(directory, value)
            while more is not None:
                events += more
                more = internals.remove_missing(value)
        return directory, events

    read_bytes, (directory, events) = inside.allocated_bytes(read)
    # What the event alone holds is counted apart: it goes once the engine has read it.
    engine = inside.create_engine(1)
    engine_bytes, _ = inside.allocated_bytes(lambda: engine.handle(1.0, list(events)))
    freed_bytes, _ = inside.allocated_bytes(events.clear)  # negative
    del directory
    directory_bytes = read_bytes + freed_bytes
    return {
        "directory_bytes": directory_bytes,
        "module_bytes": engine_bytes,
        "directory_bytes_an_endpoint": directory_bytes / endpoint_count,
        "module_bytes_an_endpoint": engine_bytes / endpoint_count,
        "all_mb": (read_bytes + engine_bytes + freed_bytes) / BYTES_PER_MB,
    }


def measure_reading(count: int, endpoints_each: int = 1) -> Measurements:
    """The full list from its text to the engine, then the engine's steady state.

    Where the inner parts are not to be had, the engine alone is measured.
    """
    found, events = read_list(count, endpoints_each)
    engine = DeliveryEngine(inside.settings(), 1)
    turns_us = [processor_time_us(partial(engine.handle, 0.0, [event])) for event in events]
    engine_us = sum(turns_us)
    found["module_us"] = engine_us
    text_us, directory_us, longest_us = found.get("text_us"), found.get("directory_us"), found.get("longest_step_us")
    if isinstance(text_us, float) and isinstance(directory_us, float) and isinstance(longest_us, float):
        found["all_us_an_endpoint"] = (text_us + directory_us + engine_us) / count / endpoints_each
        found["longest_step_us"] = max(longest_us, *turns_us)  # the engine has its turn after the directory's step
    events.clear()
    return found | measure_steady_state(engine, count, endpoints_each)


class TimedReading:
    """Reads a list and keeps the longest step. The bytes that complete a value, or a part of it, bring it in one go."""

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

    def _time_step(self, step: Any) -> None:
        self.longest_step_us = max(self.longest_step_us, processor_time_us(step))

    def _read(self, value: Any) -> None:
        self._more = internals.read_value(self.directory, value)

    def _remove_missing(self, value: Any) -> None:
        self._more = internals.remove_missing(value)


def read_list(count: int, endpoints_each: int) -> tuple[Measurements, list[Event]]:
    """From the text to events for the engine; where that fails, the events are made without reading."""
    data = internals.discovery_line(inside.discovery_entries(count, endpoints_each), 1, True)
    bound = internals.list_bound_bytes()
    found: Measurements = {
        "list_bytes": float(len(data)),
        "list_bytes_an_endpoint": len(data) / count / endpoints_each,
        "within_bound": "yes" if len(data) <= bound else f"refused: over {bound} bytes",
    }
    try:
        reading = TimedReading(data)
        text_us, directory_us = processor_time_us(reading.parse), processor_time_us(reading.fill_directory)
        found |= {
            "text_us": text_us,
            "directory_us": directory_us,
            "longest_step_us": reading.longest_parse_us + reading.longest_step_us,
        }
        _kept_alive.append(reading.directory)
        return found, reading.events
    except Exception as error:  # noqa: BLE001 (whatever a changed inner surface raises is the result)
        found["text_us"] = f"not measured: {error!r}"
        return found, [EndpointList(ListKind.FULL, inside.endpoints(count, endpoints_each))]


def measure_steady_state(engine: DeliveryEngine, count: int, endpoints_each: int) -> Measurements:
    """An engine that knows so many destinations: a change, a message, a turn."""
    inside.freeze_garbage()
    changes, now_ms = _measure_changes(engine, count, endpoints_each)
    messages, now_ms = _measure_messages(engine, count, now_ms)
    turns_us = processor_time_us(lambda: [engine.handle(now_ms + 100.0, []) for _ in range(50)], 5)
    return changes | messages | {"turn_us": turns_us / 50}


def _measure_changes(engine: DeliveryEngine, count: int, endpoints_each: int) -> tuple[Measurements, float]:
    """Processor time of a change, the best of some destinations; and the time of the engine's clock then."""
    now_ms = 1000.0
    samples: dict[str, list[float]] = {"drains": [], "goes": [], "comes": []}
    for number in range(CHANGED_DESTINATIONS):
        destination = (number + 1) * count // (CHANGED_DESTINATIONS + 1)
        first = destination * endpoints_each + 1
        rate = inside.LISTED_RATE
        for name, change in (
            ("drains", Endpoint(first, destination, EndpointStatus.DRAINING)),
            ("comes", Endpoint(first, destination, EndpointStatus.READY, 0, 0, rate)),
            ("goes", Endpoint(first, destination, EndpointStatus.GONE)),
            ("comes", Endpoint(FIRST_NEW_ENDPOINT + number, destination, EndpointStatus.READY, 0, 0, rate)),
        ):
            now_ms += CHANGE_INTERVAL_MS
            event = EndpointList(ListKind.CHANGES, (change,))
            samples[name].append(processor_time_us(partial(engine.handle, now_ms, [event])))
    return {f"{name}_us": min(values) for name, values in samples.items()}, now_ms


def _measure_messages(engine: DeliveryEngine, count: int, now_ms: float) -> tuple[Measurements, float]:
    """Processor time of a message: the first for a destination, the next, and one after days; the clock then."""
    found: Measurements = {}
    destinations = [(number * STRIDE) % count for number in range(min(MESSAGES, count))]
    message_id = 0
    for name, gap_ms in (("first_message_us", 0.0), ("message_us", 1000.0), ("after_days_us", DAYS_MS)):
        now_ms += 10_000.0 + gap_ms
        samples = []
        for destination in destinations:
            message_id += 1
            now_ms += 0.5
            deliver = partial(inside.delivered, engine, message_id, destination, now_ms)
            samples.append(processor_time_us(deliver))
        found[name] = median(samples)
    return found, now_ms
