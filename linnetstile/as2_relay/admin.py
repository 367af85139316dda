"""The local admin socket: the state of a running relay for operators (`linnetstile show`) and metrics scrapers.

It is a Unix socket that only its owner can open, and it is read-only: no request changes what the relay does.
"""

from __future__ import annotations

import contextlib
import json
import os
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from ..config.relay import split_address
from ..net import server
from ..telemetry.metrics import render_metrics
from .admin_metrics import metric_samples
from .connections_view import connections_view
from .queues_view import queues_view
from .relay_view import RelayView
from .slow_partners_view import slow_partners_view

METRICS_PATH = "/metrics"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
LISTENER_LIMITS = server.ServerLimits(max_connections=16, idle_timeout_s=5.0, min_response_rate=1024.0)


class View(Protocol):
    """The state of a relay at one moment, as an operator sees it."""

    def to_json(self) -> dict[str, Any]:
        """Return the view under its JSON names."""


class AdminServer:
    """Serves the views and the metrics on a local socket, and the metrics on a TCP port as well.

    Attributes:
        metrics_address: Where scrapers read the metrics; None if the settings name no such address.
    """

    def __init__(self, relay: RelayView, socket_path: Path | None, metrics_address: str | None) -> None:
        """Create the server without listening; `start` makes it listen.

        Args:
            relay: The relay whose state is shown.
            socket_path: Path of the socket; None for no socket.
            metrics_address: Host and port for the metrics; None for no such listener.
        """
        self.relay = relay
        self.socket_path = socket_path
        self.metrics_address = metrics_address
        self.views: dict[str, Callable[[RelayView], View]] = {
            "connections": connections_view,
            "queues": queues_view,
            "slow": slow_partners_view,
        }
        self.inode: int | None = None  # inode of the socket file; None before `start`
        self.socket_listener = server.Server(self._serve, limits=LISTENER_LIMITS)
        self.metrics_listener = server.Server(self._serve_metrics, limits=LISTENER_LIMITS)

    async def start(self) -> None:
        """Listen; replaces a socket that an earlier relay left, and raises OSError for anything else at the path."""
        if self.metrics_address is not None:
            host, port = split_address(self.metrics_address)
            self.metrics_address = f"{host}:{await self.metrics_listener.start(host, port)}"
        if self.socket_path is None:
            return
        _remove_stale_socket(self.socket_path)
        await self.socket_listener.start_local(str(self.socket_path))
        self.inode = os.lstat(self.socket_path).st_ino

    def close(self) -> None:
        """Stop listening and remove the socket, unless a relay that started later has replaced it."""
        self.socket_listener.close()
        self.metrics_listener.close()
        with contextlib.suppress(OSError):
            if self.socket_path is not None and os.lstat(self.socket_path).st_ino == self.inode:
                self.socket_path.unlink()

    def _serve_metrics(self, request: server.RequestContext) -> None:
        if request.head.method == "GET" and request.head.target == METRICS_PATH:
            page = render_metrics(metric_samples(self.relay))
            request.reply(200, [("Content-Type", METRICS_CONTENT_TYPE)], page)
        else:
            request.reply(404, [("Content-Type", "text/plain")], b"/metrics only\n")

    def _serve(self, request: server.RequestContext) -> None:
        name = request.head.target.strip("/")
        if request.head.method != "GET":
            request.reply(405, [("Content-Type", "text/plain")], b"GET only\n")
        elif name == "metrics":
            self._serve_metrics(request)
        elif name in self.views:
            view = self.views[name](self.relay)
            document = json.dumps({"relay": self.relay.settings.name, **view.to_json()}).encode()
            request.reply(200, [("Content-Type", "application/json")], document)
        else:
            request.reply(404, [("Content-Type", "text/plain")], b"connections, queues, slow or metrics\n")


def _remove_stale_socket(path: Path) -> None:
    """Remove the socket at a path, if there is one; raises OSError for any other file."""
    try:
        if not stat.S_ISSOCK(os.lstat(path).st_mode):
            raise OSError(f"{path}: expected a socket or no file, found another kind of file")
        path.unlink()
    except FileNotFoundError:
        pass
