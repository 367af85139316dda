"""Limits an unexpected exception to the work that raised it, and reports it."""

from __future__ import annotations

import asyncio
from types import TracebackType


class FaultBoundary:
    """Context manager around work on one connection, message or watch, among several that must go on without it.

    An exception in the block is reported to the exception handler of the event loop, which logs and counts it, and the
    code after the block runs. That code must not use the state that the block was changing: it closes the connection,
    ends the attempt, or whatever else discards that state.

    Attributes:
        failed: Whether the block raised an exception.
    """

    def __init__(self, work: str) -> None:
        """Create a boundary.

        Args:
            work: What the block does, for the log.
        """
        self.work = work
        self.failed = False

    def __enter__(self) -> FaultBoundary:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> bool:
        if not isinstance(error, Exception):  # a cancellation or the end of the process is no fault
            return False
        self.failed = True
        context = {"message": f"exception in {self.work}", "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)
        return True
