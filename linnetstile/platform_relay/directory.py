"""The directory of endpoints: look-up by id and by name, and the entry point for lists from discovery."""

from __future__ import annotations

from collections.abc import Iterator

from ..engine.events import Endpoint, EndpointList, ListKind
from ..engine.watch_policy import ListVersionGuard
from .endpoint_record import EndpointAddress, address_from_record, endpoint_from_record
from .endpoint_table import EndpointTable
from .list_entry import ENTRIES_KEY, FULL_KEY, VERSION_KEY, encode_name
from .list_update import InvalidListError, ListUpdate


class Directory:
    """The endpoints that discovery lists, by name and by their id in the engine.

    Attributes:
        kinds: Index of each kind of destination in the settings, by its name.
        zones: Index of each zone in the settings, by its name.
        table: The endpoints.
        version_guard: Rejects outdated lists.
        skipped_entry_count: Number of list entries since the start that could not be read.
    """

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds = {name: index for index, name in enumerate(kinds)}
        self.zones = {name: index for index, name in enumerate(zones)}
        self.table = EndpointTable()
        self.version_guard = ListVersionGuard()
        self.skipped_entry_count = 0

    def __len__(self) -> int:
        return len(self.table)

    def __iter__(self) -> Iterator[int]:
        """Iterate over the ids of all endpoints. No list may be applied during the iteration."""
        return self.table.ids()

    def __contains__(self, endpoint_id: int) -> bool:
        return self.table.record_of(endpoint_id) is not None

    def endpoints(self) -> Iterator[Endpoint]:
        """Iterate over all endpoints as the engine uses them. No list may be applied during the iteration."""
        found = map(self.endpoint, self)
        return (endpoint for endpoint in found if endpoint is not None)

    def records(self) -> Iterator[bytes]:
        """Iterate over the records of all endpoints. No list may be applied during the iteration."""
        return (record for record in self.table.records if record is not None)

    def id_of(self, name: str) -> int:
        """Return the id of the endpoint with this name; 0 if there is none."""
        row = self.table.find_row(encode_name(name))
        return 0 if row is None else self.table.row_id(row)

    def address_of(self, endpoint_id: int) -> EndpointAddress | None:
        """Return the address of an endpoint; None after its removal."""
        record = self.table.record_of(endpoint_id)
        return None if record is None else address_from_record(endpoint_id, record)

    def endpoint(self, endpoint_id: int) -> Endpoint | None:
        """Return an endpoint in the form that the engine uses; None after its removal."""
        record = self.table.record_of(endpoint_id)
        return None if record is None else endpoint_from_record(endpoint_id, record)

    def knows_destination(self, destination: int) -> bool:
        """Return whether a destination has endpoints, or recently lost its last one."""
        return destination in self.table.destinations

    def begin_update(self, raw_list: object, cached: bool = False) -> ListUpdate:
        """Begin to read a list.

        Args:
            raw_list: The parsed JSON object of the list, or only its members before the array of servers.
            cached: Whether it is the cached list of the configuration, which may be outdated.

        Raises:
            InvalidListError: The value is not a list, or the list is outdated.
        """
        if not isinstance(raw_list, dict):
            raise InvalidListError("expected an object with a list of servers")
        is_full = bool(raw_list.get(FULL_KEY))
        version = raw_list.get(VERSION_KEY)
        if isinstance(version, bool) or not isinstance(version, int):
            version = None
        if not cached and not self.version_guard.accepts(version, is_full):
            newest = self.version_guard.newest_version
            raise InvalidListError(
                f"version: expected {newest} or later, found {version}",
                field=VERSION_KEY,
                expected=f"{newest} or later",
                found=str(version),
            )
        return ListUpdate(
            self.table,
            kinds=self.kinds,
            zones=self.zones,
            is_full=is_full,
            version=version,
            version_guard=None if cached else self.version_guard,
            on_entry_skipped=self._count_skipped_entry,
        )

    def _count_skipped_entry(self) -> None:
        self.skipped_entry_count += 1

    def apply_list(self, raw_list: object, cached: bool = False) -> EndpointList:
        """Apply a complete list at once and return one event with all changed endpoints.

        Raises:
            InvalidListError: The value is not a list, or the list is outdated.
        """
        servers = raw_list.get(ENTRIES_KEY) if isinstance(raw_list, dict) else None
        if not isinstance(servers, list):
            raise InvalidListError("expected an object with a list of servers")
        update = self.begin_update(raw_list, cached)
        changed = update.add_entries(servers)
        while not update.is_complete:
            changed += update.remove_missing()
        return EndpointList(ListKind.CACHED if cached else ListKind.CHANGES, tuple(changed))
