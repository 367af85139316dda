"""One endpoint as packed bytes: 64 or 80 bytes as Python counts them, for names of usual length.

A record holds flags, destination, port, kind, zone and rate in one of two layouts; then the address, 4 bytes or a
length and its text; then the name. What is asked of an endpoint is unpacked then.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass

from ..engine.events import Endpoint, EndpointStatus

NARROW_LAYOUT, WIDE_LAYOUT = struct.Struct("<BIHBBd"), struct.Struct("<BIHIId")
FLAG_DRAINING = 1
FLAG_WIDE = 2  # WIDE_LAYOUT, for more than 256 kinds or zones
FLAG_TEXT_HOST = 4  # a host that is no IPv4 address
MAX_NARROW_INDEX = 255
IPV4_BYTES = 4
NAME_OFFSET = NARROW_LAYOUT.size + IPV4_BYTES  # where the name begins in most records


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """Where an endpoint is to be called; `id` is the number that the engine knows it by."""

    id: int
    name: str
    host: str
    port: int
    zone: int
    destination: int


@dataclass(slots=True)
class EndpointDetails:
    """What a list says of an endpoint besides its name and state; kind and zone are indexes of the settings' names."""

    host: str
    port: int
    destination: int
    kind: int
    zone: int
    rate: float


def pack_record(name: bytes, details: EndpointDetails) -> bytes:
    """Return the record of an endpoint that is ready."""
    flags, host = 0, details.host
    if details.kind > MAX_NARROW_INDEX or details.zone > MAX_NARROW_INDEX:
        flags = FLAG_WIDE
    layout = WIDE_LAYOUT if flags else NARROW_LAYOUT
    try:
        host_bytes = socket.inet_pton(socket.AF_INET, host)
    except OSError:
        host_bytes = bytes([len(host)]) + host.encode()
        flags |= FLAG_TEXT_HOST
    fields = layout.pack(flags, details.destination, details.port, details.kind, details.zone, details.rate)
    return fields + host_bytes + name


def with_draining(record: bytes) -> bytes:
    """Return the record of the same endpoint while it drains."""
    flags = record[0]
    return record if flags & FLAG_DRAINING else bytes([flags | FLAG_DRAINING]) + record[1:]


def record_name(record: bytes) -> bytes:
    """Return the endpoint's name, in UTF-8."""
    flags = record[0]
    if not flags & (FLAG_WIDE | FLAG_TEXT_HOST):
        return record[NAME_OFFSET:]
    at = WIDE_LAYOUT.size if flags & FLAG_WIDE else NARROW_LAYOUT.size
    return record[at + 1 + record[at] :] if flags & FLAG_TEXT_HOST else record[at + IPV4_BYTES :]


def record_destination(record: bytes) -> int:
    """Return the endpoint's destination."""
    return int(NARROW_LAYOUT.unpack_from(record)[1])  # which stands at the same place in both layouts


def endpoint_from_record(endpoint_id: int, record: bytes, status: EndpointStatus | None = None) -> Endpoint:
    """Return the endpoint as the engine knows it, with another status if one is given."""
    layout = WIDE_LAYOUT if record[0] & FLAG_WIDE else NARROW_LAYOUT
    flags, destination, _, kind, zone, rate = layout.unpack_from(record)
    status = status or (EndpointStatus.DRAINING if flags & FLAG_DRAINING else EndpointStatus.READY)
    return Endpoint(endpoint_id, destination, status, kind, zone, rate)


def address_from_record(endpoint_id: int, record: bytes) -> EndpointAddress:
    """Return where the endpoint is to be called."""
    layout = WIDE_LAYOUT if record[0] & FLAG_WIDE else NARROW_LAYOUT
    flags, destination, port, _, zone, _ = layout.unpack_from(record)
    at = layout.size
    if flags & FLAG_TEXT_HOST:
        host = record[at + 1 : at + 1 + record[at]].decode()
    else:
        host = socket.inet_ntoa(record[at : at + IPV4_BYTES])
    return EndpointAddress(endpoint_id, record_name(record).decode(), host, port, zone, destination)
