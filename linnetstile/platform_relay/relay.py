"""One relay on the platform: joins intake, delivery, results, recovery and shutdown around the delivery engine.

The engine decides about messages; nothing here does.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from ..engine.actions import Action, Cancel, CancelIfUnsent, CloseIdle, Fail, Log, Reject, Send
from ..engine.engine import DeliveryEngine
from ..engine.events import EndpointList, EndpointStatus, Event
from ..engine.resource_limits import resource_limits
from ..engine.unknown_class import unknown_class
from ..net import client
from ..net.engine_loop import EngineLoop
from .accepted import AcceptedMessages
from .config import Address, RelaySettings
from .delivery import Delivery
from .directory import Directory, InvalidListError
from .discovery import Watch
from .endpoint_client import EndpointClient
from .http_frontend import HttpFrontend
from .intake import Intake
from .journal import Journal
from .notices import NoticeSender
from .recovery import Recovery, wait_for_first_list
from .results import ResultReporter
from .shutdown import GracefulShutdown


class PlatformRelay:
    """One relay: `start` it, end it with `begin_shutdown`, and `close` it once `shutdown.stopped` is set.

    Attributes:
        accepted: The messages that were accepted and have no result yet.
        counts: What happened so far, by name; for the log.
    """

    def __init__(self, settings: RelaySettings, log: Callable[..., None]) -> None:
        self.settings = settings
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.counts: Counter[str] = Counter()
        engine_settings = settings.engine_settings
        self.limits = resource_limits(
            settings.limits.sockets, settings.limits.disk_mb * 1e6, engine_settings.max_in_flight
        )
        classes = (*engine_settings.classes, unknown_class(engine_settings.classes))
        self.engine = DeliveryEngine(replace(engine_settings, classes=classes), settings.seed)
        self.engine_loop = EngineLoop(self.engine, self._run_turn)
        self.directory = Directory(tuple(kind.name for kind in engine_settings.kinds), settings.zones)
        self.journal = Journal(settings.state, self.limits.compaction_bytes)
        self.accepted = AcceptedMessages(self.journal)
        rng = random.Random(settings.seed)
        self.watch = Watch(self.directory, settings.discovery, self._on_list_event, rng, log)
        self.notice_sender = NoticeSender(settings.discovery, self._on_notices_delivered, rng)
        self.endpoint_client = EndpointClient(settings, self.limits)
        self._join_parts()

    def _join_parts(self) -> None:
        post = self.engine_loop.post
        self.intake = Intake(
            self.settings.engine_settings,
            self.limits,
            accepted=self.accepted,
            journal=self.journal,
            directory=self.directory,
            is_closing=lambda: self.frontend.is_closing,
            post=post,
            counts=self.counts,
        )
        self.frontend = HttpFrontend(
            self.settings.engine_settings, self.limits, self.intake.submit, lambda: self.intake.is_open
        )
        self.reporter = ResultReporter(
            accepted=self.accepted,
            journal=self.journal,
            frontend=self.frontend,
            notice_sender=self.notice_sender,
            counts=self.counts,
        )
        self.delivery = Delivery(
            accepted=self.accepted,
            pending_notices=self.reporter.pending_notices,
            journal=self.journal,
            directory=self.directory,
            endpoint_client=self.endpoint_client,
            engine_loop=self.engine_loop,
            counts=self.counts,
        )
        self.recovery = Recovery(
            accepted=self.accepted,
            reporter=self.reporter,
            directory=self.directory,
            reader=self.frontend.reader,
            post=post,
        )
        self.shutdown = GracefulShutdown(self.frontend, post)

    # -- life cycle ------------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Read the journal, listen, wait for the list of endpoints, and go on with what the journal holds.

        Raises:
            OSError: The state folder or the address to listen at cannot be used.
        """
        self.settings.state.mkdir(parents=True, exist_ok=True)
        records = self.journal.open()
        self._load_known_list()
        await self.frontend.start(*self.settings.listen)
        self.watch.start()
        if not await wait_for_first_list(self.watch):  # what is owed goes on after it: a known list may be old
            self.log("discovery_silent", known=len(self.directory))
        self.recovery.restore(records)
        self.intake.is_open = True
        self.log(
            "ready",
            listening=client.format_address(self.settings.listen),
            endpoints=len(self.directory),
            resumed=len(self.accepted),
            notices=len(self.reporter.pending_notices),
            damaged=self.journal.damaged_bytes,
        )

    def _load_known_list(self) -> None:
        with contextlib.suppress(InvalidListError):  # the platform knows none
            self._on_list_event(self.directory.apply_list(self.settings.known_list, cached=True))
        # As text it takes ten times the memory of the directory.
        self.settings = replace(self.settings, known_list={})

    def move_discovery(self, discovery: Address) -> None:
        """Follow discovery, which answers at another address from now on."""
        self.log("discovery_moved", to=client.format_address(discovery))
        self.watch.move(discovery)
        self.notice_sender.move(discovery)

    def begin_shutdown(self, signalled_at: float | None = None) -> None:
        """Shut down as engine/graceful_shutdown.py says; a second call changes nothing.

        Args:
            signalled_at: Loop time, s, of the signal; now if not given.
        """
        if self.shutdown.started_at is None:
            self.log("shutdown_started", held=len(self.accepted))
            self.shutdown.begin(self.loop.time() if signalled_at is None else signalled_at)

    def close(self) -> None:
        """End every connection; what is owed is in the journal."""
        self.engine_loop.close()  # what ends with the process is judged by the next one, from the journal
        self.journal.flush()
        self.watch.close()
        self.notice_sender.close()
        self.frontend.server.close()
        self.endpoint_client.close()
        self.journal.close()

    # -- the engine ------------------------------------------------------------------------------------------

    def _run_turn(self, events: list[Event], actions: list[Action]) -> None:
        """Carry out one turn of the engine.

        What it accepts is in the journal before its client hears of it, and an attempt is before its call begins.
        """
        uncommitted = self.intake.take_uncommitted()
        sends = [action for action in actions if isinstance(action, Send)]
        for action in actions:
            if not isinstance(action, (Send, CloseIdle)):
                self._carry_out(action)
        self.intake.commit(uncommitted)
        self.delivery.send_all(sends)
        for action in actions:  # what has just gone out may be on a connection that was idle
            if isinstance(action, CloseIdle):
                self._close_idle(action.endpoint)
        self.journal.flush()
        if self.journal.needs_rewrite:
            self.journal.rewrite([*self.accepted.journaled(), *self.reporter.pending_notices.values()])

    def _carry_out(self, action: Action) -> None:
        match action:
            case Reject(message_id, retry_after_ms):
                self.reporter.reject(message_id, retry_after_ms)
            case Fail(message_id):
                self.reporter.fail(message_id)
            case Cancel(message_id, attempt_number):
                self.delivery.cancel(message_id, attempt_number)
            case CancelIfUnsent(message_id):
                self.delivery.cancel_if_unsent(message_id)
            case Log(text):
                self.log("engine", text=text)

    def _close_idle(self, endpoint_id: int) -> None:
        address = self.directory.address_of(endpoint_id)
        if address is not None:
            self.endpoint_client.close_idle(address)

    def _on_list_event(self, event: EndpointList) -> None:
        self.engine_loop.post(event)
        for entry in event.endpoints:
            if entry.status is not EndpointStatus.READY:
                self._close_idle(entry.id)

    def _on_notices_delivered(self, message_ids: list[int]) -> None:
        ordering_keys = self.reporter.complete(message_ids)
        self.delivery.send_waiting(ordering_keys)
