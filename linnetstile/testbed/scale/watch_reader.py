"""Reads the bytes of a discovery watch with the parser and the endpoint directory of the platform relay.

This is the only module of the package that depends on the internals of the platform relay's endpoint directory.
"""

from __future__ import annotations

from ...codec.json_stream import JsonStreamReader, ObjectPart
from ...engine.events import EndpointList, ListKind
from ...platform_relay import discovery
from ...platform_relay.directory import Directory
from ...platform_relay.list_update import ListUpdate
from .workload import DESTINATION_KINDS, ZONES

READ_BYTES = 64 * 1024
"""Largest piece that is passed to the parser at a time, as in a read from a socket."""


class WatchReader:
    """Converts the bytes of a watch into events for the engine; owns the endpoint directory of one relay."""

    def __init__(self) -> None:
        self.directory = Directory(DESTINATION_KINDS, tuple(f"z{n}" for n in range(ZONES)))
        self.reopen()

    def reopen(self) -> None:
        """Begin a new watch with a new stream; an incomplete list of the previous watch is discarded."""
        self._objects = JsonStreamReader(discovery.MAX_LIST_BYTES, "servers", ("version", "full"))
        self._update: ListUpdate | None = None

    def read(self, data: bytes) -> list[EndpointList]:
        """Read bytes of the watch and return the events for the engine.

        Raises:
            ValueError: The data is invalid, so that the relay would refuse it.
        """
        events: list[EndpointList] = []
        for start in range(0, len(data), READ_BYTES):
            for value in self._objects.feed(data[start : start + READ_BYTES]):
                events += (
                    self._read_part(value) if isinstance(value, ObjectPart) else [self.directory.apply_list(value)]
                )
        if self._objects.error:
            raise self._objects.error
        return events

    def _read_part(self, part: ObjectPart) -> list[EndpointList]:
        if part.is_first:
            self._update = self.directory.begin_update(part.members)
        assert self._update is not None
        events = list(discovery.change_events(self._update.add_entries(part.elements)))
        while part.is_last and not self._update.is_complete:
            events += discovery.change_events(self._update.remove_missing())
        if part.is_last:  # an empty event marks the end of the list, even if the list changed nothing
            events.append(EndpointList(ListKind.CHANGES))
        return events

    @property
    def endpoint_count(self) -> int:
        """Number of endpoints that the directory knows."""
        return len(self.directory)

    def endpoint_name(self, endpoint: int) -> str:
        """Return the name of an endpoint by its number; an empty string if the number is unknown."""
        address = self.directory.address_of(endpoint)
        return address.name if address else ""

    def endpoint_number(self, name: str) -> int:
        """Return the number of an endpoint by its name."""
        return self.directory.id_of(name)

    def endpoint_port(self, endpoint: int) -> int:
        """Return the port of an endpoint by its number; 0 if the number is unknown."""
        address = self.directory.address_of(endpoint)
        return address.port if address else 0

    def is_listed(self, destination: int) -> bool:
        """Whether the directory knows a destination."""
        return self.directory.knows_destination(destination)
