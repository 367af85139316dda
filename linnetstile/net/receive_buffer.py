"""The receive buffer that all connections of a process share.

A selector loop fills a buffer and passes it on within one callback, so one buffer is never in use twice. A buffer for
each of 10,000 connections would occupy 640 MB for nothing.
"""

from __future__ import annotations

LARGE_BUFFER_BYTES = 64 * 1024
# Read at a time from a peer that was granted no memory: bounds the memory of incomplete requests.
SMALL_BUFFER_BYTES = 16 * 1024

LARGE_BUFFER = memoryview(bytearray(LARGE_BUFFER_BYTES))
SMALL_BUFFER = LARGE_BUFFER[:SMALL_BUFFER_BYTES]  # the first part of the same memory
