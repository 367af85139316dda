"""The receive buffer that all connections of a process share.

A selector event loop fills the buffer and passes it to the protocol within one callback, so two connections never use
it at the same time. A separate buffer for each of 10,000 connections would occupy 640 MB.
"""

from __future__ import annotations

LARGE_BUFFER_BYTES = 64 * 1024
# Maximum read at once from a peer without granted capacity; limits the memory of incomplete requests.
SMALL_BUFFER_BYTES = 16 * 1024
# Maximum read at once from a peer whose messages have next to no body; limits the work of one pass on its input.
HEAD_BUFFER_BYTES = 2 * 1024

LARGE_BUFFER = memoryview(bytearray(LARGE_BUFFER_BYTES))
HEAD_BUFFER = LARGE_BUFFER[:HEAD_BUFFER_BYTES]
SMALL_BUFFER = LARGE_BUFFER[:SMALL_BUFFER_BYTES]  # the first part of the same memory
