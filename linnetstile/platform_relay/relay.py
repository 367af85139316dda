"""One relay on the platform: connects intake, delivery, results, recovery and shutdown with the delivery engine.

The engine makes all decisions about messages. This module passes events to it and carries out its actions.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import replace

from ..engine.actions import Action, Cancel, CancelIfUnsent, CloseIdle, Fail, Log, Reject, Send
from ..engine.engine import DeliveryEngine
from ..engine.events import EndpointList, EndpointStatus, Event, ListKind
from ..engine.resource_limits import NOTICE_BYTES, resource_limits
from ..engine.unknown_class import unknown_class
from ..net import client
from ..net.engine_loop import EngineLoop
from ..net.fault_boundary import FaultBoundary
from . import clock, log_events
from .accepted import AcceptedMessages
from .config import Address, RelaySettings
from .delivery import Delivery
from .directory import Directory
from .discovery import Watch
from .endpoint_client import EndpointClient
from .http_frontend import HttpFrontend
from .intake import Intake
from .journal import Journal
from .list_store import ListStore, StoredNames, newer_list
from .list_update import InvalidListError
from .log_events import EventLog
from .notices import NoticeSender
from .process_memory import resident_bytes
from .records import JournalRecord
from .recovery import Recovery, wait_for_first_list
from .results import ResultReporter
from .shutdown import GracefulShutdown
from .turn_recovery import TurnRecovery

BYTES_PER_MB = 1e6


class PlatformRelay:
    """One relay: `start` it, end it with `begin_shutdown`, and `close` it once `shutdown.stopped` is set.

    Attributes:
        settings: The configuration of the relay.
        log: Writes log events.
        loop: The event loop.
        limits: Bounds of memory, connections and disk, from the platform's limits.
        counts: Counters by the names in `counters`.
        engine: The delivery engine, which makes all decisions about messages.
        engine_loop: Passes events to the engine and its actions to this relay.
        directory: The endpoints that discovery lists.
        journal: Journal of messages, attempts and notices.
        accepted: Messages that were accepted and have no result yet.
        list_store: The list of endpoints in the state folder.
        watch: Reads the list of endpoints from discovery.
        notice_sender: Posts notices to the platform.
        endpoint_client: Makes calls to endpoints.
        intake: Accepts submissions.
        frontend: The HTTP front end for clients.
        reporter: Reports messages that are not delivered.
        delivery: Makes attempts.
        recovery: Resumes the messages and notices of an earlier process.
        shutdown: Runs the phases of the graceful shutdown.
        turn_recovery: Restores the state of the engine after a turn that raised an exception.
    """

    def __init__(self, settings: RelaySettings, log: EventLog) -> None:
        self.settings = settings
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.counts: Counter[str] = Counter()
        engine_settings = settings.engine_settings
        self.limits = resource_limits(
            settings.limits.sockets,
            settings.limits.disk_mb * BYTES_PER_MB,
            engine_settings.max_in_flight,
            settings.limits.memory_mb * BYTES_PER_MB,
            resident_bytes(),
        )

        # The engine.
        classes = (*engine_settings.classes, unknown_class(engine_settings.classes))
        # The engine sheds load by value and quota, before there is no memory left for any message.
        max_pending = min(engine_settings.max_pending_messages, self.limits.max_messages)
        self.engine = DeliveryEngine(
            replace(engine_settings, classes=classes, max_pending_messages=max_pending), settings.seed
        )
        self.engine_loop = EngineLoop(
            self.engine, self._run_turn, on_turn_failed=lambda plan: self.turn_recovery.recover(plan)
        )

        # Endpoints, journal and accepted messages.
        self.directory = Directory(tuple(kind.name for kind in engine_settings.kinds), settings.zones)
        self.journal = Journal(settings.state, self.limits.compaction_bytes)
        self.accepted = AcceptedMessages(self.journal, self.limits.max_ended_ids)

        self.list_store = ListStore(settings.state, self.limits.max_list_bytes)
        self._list_write_scheduled = False

        # Connections to discovery, the platform and endpoints. All backoffs share one random number generator.
        rng = random.Random(settings.seed)
        self.watch = Watch(
            directory=self.directory, address=settings.discovery, on_event=self._on_list_event, rng=rng, log=log
        )
        self.notice_sender = NoticeSender(address=settings.discovery, on_delivered=self._on_notices_delivered, rng=rng)
        self.endpoint_client = EndpointClient(settings, self.limits)

        # The path of a message: from its client, through intake and delivery, to its result.
        self.intake = self._make_intake()
        self.frontend = self._make_frontend()
        self.reporter = self._make_reporter()
        self.delivery = self._make_delivery()

        # Recovery at the start of the process and after a failed turn of the engine, shutdown at the end.
        self.recovery = self._make_recovery()
        self.shutdown = GracefulShutdown(frontend=self.frontend, post_event=self.engine_loop.post)
        self.turn_recovery = self._make_turn_recovery()

    def _make_intake(self) -> Intake:
        return Intake(
            self.settings.engine_settings,
            self.limits,
            accepted=self.accepted,
            journal=self.journal,
            directory=self.directory,
            is_closing=lambda: self.frontend.is_closing,
            held_memory_bytes=self.held_memory_bytes,
            post_event=self.engine_loop.post,
            counts=self.counts,
        )

    def _make_frontend(self) -> HttpFrontend:
        return HttpFrontend(
            self.settings.engine_settings,
            self.limits,
            on_submission=self.intake.submit,
            is_ready=lambda: self.intake.is_open,
        )

    def _make_reporter(self) -> ResultReporter:
        return ResultReporter(
            accepted=self.accepted,
            journal=self.journal,
            frontend=self.frontend,
            notice_sender=self.notice_sender,
            counts=self.counts,
        )

    def _make_delivery(self) -> Delivery:
        return Delivery(
            accepted=self.accepted,
            pending_notices=self.reporter.pending_notices,
            journal=self.journal,
            directory=self.directory,
            endpoint_client=self.endpoint_client,
            engine_loop=self.engine_loop,
            counts=self.counts,
            on_handed_over_ended=lambda message: self.recovery.resume(message, clock.unix_ms()),
        )

    def _make_recovery(self) -> Recovery:
        return Recovery(
            accepted=self.accepted,
            reporter=self.reporter,
            directory=self.directory,
            submission_reader=self.frontend.reader,
            post_event=self.engine_loop.post,
        )

    def _make_turn_recovery(self) -> TurnRecovery:
        return TurnRecovery(
            accepted=self.accepted,
            intake=self.intake,
            delivery=self.delivery,
            reporter=self.reporter,
            recovery=self.recovery,
            directory=self.directory,
            shutdown=self.shutdown,
            post_event=self.engine_loop.post,
            counts=self.counts,
            log=self.log,
        )

    # -- life cycle ------------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Read the journal, listen, wait for the list of endpoints, and resume the journaled messages and notices.

        Raises:
            OSError: The state folder or the address to listen at cannot be used.
        """
        self.settings.state.mkdir(parents=True, exist_ok=True)
        records = self.journal.open()
        self.accepted.restore_ended(self.journal.ended_ids)
        self.journal.ended_ids = []
        self._load_cached_list()
        await self.frontend.start(*self.settings.listen)
        self.watch.start()
        # Recovered messages wait for discovery's list, as endpoints of the cached list may be gone.
        if not await wait_for_first_list(self.watch):
            self.log(log_events.DISCOVERY_SILENT, known=len(self.directory))
        self.recovery.restore(records)
        self.intake.is_open = True
        self.log(
            log_events.READY,
            listening=client.format_address(self.settings.listen),
            endpoints=len(self.directory),
            resumed=len(self.accepted),
            notices=len(self.reporter.pending_notices),
            damaged=self.journal.damaged_bytes,
        )

    def _load_cached_list(self) -> None:
        """Go by the list that an earlier process was told, or by that of the configuration if it is newer."""
        known_list = self.settings.known_list
        with FaultBoundary("the stored list of endpoints"):
            known_list = newer_list(self.list_store.read(), known_list)
        with contextlib.suppress(InvalidListError):  # the configuration has no valid cached list
            self._on_list_event(self.directory.apply_list(known_list, cached=True))
        # The parsed JSON takes ten times the memory of the directory, so the reference to it is dropped.
        self.settings = replace(self.settings, known_list={})

    def held_memory_bytes(self) -> int:
        """Return the memory of all accepted messages and of all notices that are not confirmed."""
        return self.accepted.memory_bytes + len(self.reporter.pending_notices) * NOTICE_BYTES

    def move_discovery(self, discovery: Address) -> None:
        """Use discovery at another address from now on."""
        self.log(log_events.DISCOVERY_MOVED, to=client.format_address(discovery))
        self.watch.move(discovery)
        self.notice_sender.move(discovery)

    def begin_shutdown(self, signalled_at: float | None = None) -> None:
        """Start the graceful shutdown (engine/graceful_shutdown.py); a second call has no effect.

        Args:
            signalled_at: Loop time (s) of the signal; now if not given.
        """
        if self.shutdown.started_at is None:
            self.log(log_events.SHUTDOWN_STARTED, held=len(self.accepted))
            self.shutdown.begin(self.loop.time() if signalled_at is None else signalled_at)

    def close(self) -> None:
        """Close every connection; the next process resumes the journaled messages and notices."""
        # The engine loop is closed first, so that attempts that end here are not reported to the engine: the next
        # process decides about them by the journal.
        self.engine_loop.close()
        self.journal.flush()
        self.watch.close()
        self.notice_sender.close()
        self.frontend.server.close()
        self.endpoint_client.close()
        self.journal.close()

    def _schedule_list_write(self) -> None:
        if not self._list_write_scheduled:
            self._list_write_scheduled = True
            self.loop.call_soon(self._write_list)

    def _write_list(self) -> None:
        """Store the list for the next process: what this one was told binds that one, too."""
        self._list_write_scheduled = False
        names = StoredNames(
            self.directory.version_guard.newest_version, tuple(self.directory.kinds), tuple(self.directory.zones)
        )
        self.list_store.write(names, self.directory.records())

    # -- the engine ------------------------------------------------------------------------------------------

    def _run_turn(self, events: list[Event], actions: list[Action]) -> None:
        """Carry out the actions of one turn of the engine.

        The order guarantees that a message is journaled before its client gets the 202, and an attempt before its call
        begins.
        """
        uncommitted = self.intake.take_uncommitted()
        sends = [action for action in actions if isinstance(action, Send)]
        for action in actions:
            if not isinstance(action, (Send, CloseIdle)):
                self._carry_out(action)
        self.intake.commit(uncommitted)
        self.delivery.send_all(sends)
        for action in actions:  # after the sends, which may reuse idle connections
            if isinstance(action, CloseIdle):
                self._close_idle(action.endpoint)
        self.journal.flush()
        if self.journal.needs_rewrite:
            pending: list[JournalRecord] = [*self.accepted.journaled(), *self.reporter.pending_notices.values()]
            self.journal.rewrite(pending, self.accepted.submission_ids.ended)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Reject(id=message_id, retry_after_ms=retry_after_ms):
                self.reporter.reject(message_id, retry_after_ms)
            case Fail(id=message_id):
                self.reporter.fail(message_id)
            case Cancel(id=message_id, attempt=attempt_number):
                self.delivery.cancel(message_id, attempt_number)
            case CancelIfUnsent(id=message_id):
                self.delivery.cancel_if_unsent(message_id)
            case Log(text=text):
                self.log(log_events.ENGINE_MESSAGE, text=text)

    def _close_idle(self, endpoint_id: int) -> None:
        address = self.directory.address_of(endpoint_id)
        if address is not None:
            self.endpoint_client.close_idle(address)

    def _on_list_event(self, event: EndpointList) -> None:
        """Pass a list to the engine, and close the idle connections to endpoints that drain.

        The address of a removed endpoint is no longer known: its idle connections are closed by the idle timeout.
        """
        self.engine_loop.post(event)
        if event.kind is not ListKind.CACHED:
            self._schedule_list_write()
        for entry in event.endpoints:
            if entry.status is not EndpointStatus.READY:
                self._close_idle(entry.id)

    def _on_notices_delivered(self, message_ids: list[int]) -> None:
        ordering_keys = self.reporter.complete(message_ids)
        self.delivery.send_waiting(ordering_keys)
