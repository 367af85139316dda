"""Packed records of endpoints: one `bytes` object each, of 64 or 80 bytes in memory for names of usual length.

A record begins with flags, destination, port, kind, zone and advertised rate, in one of two layouts. The host follows
as the 4 bytes of an IPv4 address, or as a length byte and the host name. The remaining bytes are the endpoint's name.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

from ..engine.events import Endpoint, EndpointStatus

# Both layouts hold flags, destination, port, kind, zone and advertised rate.
NARROW_LAYOUT = struct.Struct("<BIHBBd")
WIDE_LAYOUT = struct.Struct("<BIHIId")
FLAG_DRAINING = 1
FLAG_WIDE = 2  # the record has the wide layout, needed for more than 256 kinds or zones
FLAG_TEXT_HOST = 4  # the host is a host name, not an IPv4 address
MAX_NARROW_INDEX = 255  # the largest index of a kind or zone in the narrow layout
IPV4_BYTES = 4
NAME_OFFSET = NARROW_LAYOUT.size + IPV4_BYTES  # of the name in a narrow record with an IPv4 address


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """The address of an endpoint.

    Attributes:
        id: Id of the endpoint in the engine.
        name: Name of the endpoint in discovery's lists.
        host: IPv4 address or host name.
        port: TCP port.
        zone: Index of the zone in the settings.
        destination: Number of the destination.
    """

    id: int
    name: str
    host: str
    port: int
    zone: int
    destination: int


@dataclass(slots=True)
class EndpointDetails:
    """The fields of a list entry besides name and state.

    Attributes:
        host: IPv4 address or host name.
        port: TCP port.
        destination: Number of the destination.
        kind: Index of the kind of destination in the settings.
        zone: Index of the zone in the settings.
        advertised_rate: Message rate (1/s) that the endpoint advertises; 0 if it advertises none.
    """

    host: str
    port: int
    destination: int
    kind: int
    zone: int
    advertised_rate: float


def pack_record(name: bytes, details: EndpointDetails) -> bytes:
    """Return the record of an endpoint with the status `READY`."""
    flags = 0
    if details.kind > MAX_NARROW_INDEX or details.zone > MAX_NARROW_INDEX:
        flags = FLAG_WIDE
    layout = WIDE_LAYOUT if flags else NARROW_LAYOUT
    try:
        host_bytes = socket.inet_pton(socket.AF_INET, details.host)
    except OSError:
        host_bytes = bytes([len(details.host)]) + details.host.encode()
        flags |= FLAG_TEXT_HOST
    fields = layout.pack(flags, details.destination, details.port, details.kind, details.zone, details.advertised_rate)
    return fields + host_bytes + name


def with_draining(record: bytes) -> bytes:
    """Return the record of the same endpoint with the status `DRAINING`."""
    flags = record[0]
    return record if flags & FLAG_DRAINING else bytes([flags | FLAG_DRAINING]) + record[1:]


def record_name(record: bytes) -> bytes:
    """Return the name of the endpoint, in UTF-8."""
    flags = record[0]
    if not flags & (FLAG_WIDE | FLAG_TEXT_HOST):
        return record[NAME_OFFSET:]
    host_start = WIDE_LAYOUT.size if flags & FLAG_WIDE else NARROW_LAYOUT.size
    if flags & FLAG_TEXT_HOST:
        return record[host_start + 1 + record[host_start] :]
    return record[host_start + IPV4_BYTES :]


def record_destination(record: bytes) -> int:
    """Return the destination of the endpoint."""
    return int(NARROW_LAYOUT.unpack_from(record)[1])  # at the same offset in both layouts


def record_host_port(record: bytes) -> tuple[str, int]:
    """Return the host and the port of the endpoint."""
    address = address_from_record(0, record)
    return address.host, address.port


def endpoint_from_record(endpoint_id: int, record: bytes, status: EndpointStatus | None = None) -> Endpoint:
    """Return the endpoint for the engine; a `status` overrides that of the record."""
    layout = WIDE_LAYOUT if record[0] & FLAG_WIDE else NARROW_LAYOUT
    flags, destination, _, kind, zone, advertised_rate = layout.unpack_from(record)
    status = status or (EndpointStatus.DRAINING if flags & FLAG_DRAINING else EndpointStatus.READY)
    return Endpoint(
        id=endpoint_id, destination=destination, status=status, kind=kind, zone=zone, advertised_rate=advertised_rate
    )


def address_from_record(endpoint_id: int, record: bytes) -> EndpointAddress:
    """Return the address of the endpoint."""
    layout = WIDE_LAYOUT if record[0] & FLAG_WIDE else NARROW_LAYOUT
    flags, destination, port, _, zone, _ = layout.unpack_from(record)
    host_start = layout.size
    if flags & FLAG_TEXT_HOST:
        host = record[host_start + 1 : host_start + 1 + record[host_start]].decode()
    else:
        host = socket.inet_ntoa(record[host_start : host_start + IPV4_BYTES])
    return EndpointAddress(
        id=endpoint_id,
        name=record_name(record).decode(),
        host=host,
        port=port,
        zone=zone,
        destination=destination,
    )
