"""Emulates discovery on loopback: sends its entries, or scripted faulty responses, to each watch."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from .http_messages import WATCH_RESPONSE_HEAD, chunk

FULL_LIST_REQUEST = "/api/targets?follow=1"
RESUME_PARAMETER = "&since="
INITIAL_VERSION = 40


def resume_request(version: int) -> str:
    """Return the path of a watch that resumes from a version."""
    return f"{FULL_LIST_REQUEST}{RESUME_PARAMETER}{version}"


class DiscoveryEmulator:
    """Emulates discovery: serves watches from a server of its own.

    Attributes:
        entries: The list entries of all endpoints, by name.
        version: Version of the list.
        scripted_responses: For each of the next watches, the first bytes of the response and whether the list follows
            them. Later watches get the usual head and the list.
        requested_paths: The path of each watch that was opened.
        watch_writers: The connection of each watch.
        indent: Indentation of the JSON; None for one line.
        resumed_changes: Entries that are sent to a watch that resumes from an older version.
        sends_full_list_on_resume: Whether each resumed watch gets the full list instead.
    """

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self.version = INITIAL_VERSION
        self.scripted_responses: list[tuple[bytes, bool]] = []
        self.requested_paths: list[str] = []
        self.watch_writers: list[asyncio.StreamWriter] = []
        self.indent: int | None = None
        self.resumed_changes: list[dict[str, Any]] = []
        self.sends_full_list_on_resume = False
        self.server: asyncio.Server | None = None

    async def start(self) -> tuple[str, int]:
        """Listen on a free port and return the address."""
        self.server = await asyncio.start_server(self._serve_watch, "127.0.0.1", 0)
        return "127.0.0.1", int(self.server.sockets[0].getsockname()[1])

    async def _serve_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        path = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
        self.requested_paths.append(path)
        self.watch_writers.append(writer)
        first_bytes, list_follows = (
            self.scripted_responses.pop(0) if self.scripted_responses else (WATCH_RESPONSE_HEAD, True)
        )
        writer.write(first_bytes)
        if list_follows:
            writer.write(self._first_list(resumed_from=path.partition(RESUME_PARAMETER)[2]))
        await reader.read()
        writer.close()

    def _first_list(self, resumed_from: str) -> bytes:
        if not resumed_from or self.sends_full_list_on_resume:
            return chunk(self.full_list())
        if int(resumed_from) < self.version:
            return chunk(self._changes(self.resumed_changes))
        return b""

    def full_list(self) -> bytes:
        return self.encode({"version": self.version, "full": True, "servers": list(self.entries.values())})

    def _changes(self, entries: list[dict[str, Any]]) -> bytes:
        return self.encode({"version": self.version, "full": False, "servers": entries})

    def encode(self, value: object) -> bytes:
        return json.dumps(value, indent=self.indent).encode() + b"\n"

    def change(self, *entries: dict[str, Any]) -> bytes:
        """Change entries under a new version, and return the list of changes to send to a watch."""
        self.version += 1
        for entry in entries:
            if entry["state"] == "DELETED":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
        return self._changes(list(entries))

    def close(self) -> None:
        for writer in self.watch_writers:
            writer.transport.abort()
        if self.server:
            self.server.close()
