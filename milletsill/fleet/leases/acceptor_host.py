"""Runs the acceptor of a gateway that is one: its thread, its timers, its end."""

from __future__ import annotations

from milletsill.fleet.leases.acceptor_recovery import ANNOUNCE_INTERVAL, QUERY_INTERVAL
from milletsill.fleet.leases.acceptor_service import AcceptorService
from milletsill.fleet.leases.blocking_worker import BlockingExecutor
from milletsill.fleet.leases.lease_messenger import LeaseMessenger
from milletsill.fleet.leases.lease_settings import (
    AcceptorSettings,
    LeaseEnvironment,
    LeaseSettings,
)
from milletsill.fleet.leases.timers import LeaseTimers


class AcceptorHost:
    """An acceptor that runs from now on.

    Args:
        settings: Of the lease service.
        environment: What it needs of the program.
        messenger: Sends to other gateways, and hands on what they send.
        timers: Of the lease service.
        worker: Runs the acceptor's jobs.
        chance: Random number for the identity of a new state.

    Attributes:
        service: The acceptor.
    """

    def __init__(
        self,
        settings: LeaseSettings,
        environment: LeaseEnvironment,
        messenger: LeaseMessenger,
        timers: LeaseTimers,
        worker: BlockingExecutor,
        chance: int,
    ) -> None:
        name = environment.transport.name
        acceptor_settings = AcceptorSettings(
            name=name,
            others=tuple(each for each in settings.acceptors if each != name),
            timings=settings.timings,
            settings_digest=messenger.settings_digest,
            max_records=settings.max_leases,
            idle_after=settings.idle_after,
            store_path=settings.store_path,
            max_store_pages=settings.max_store_pages,
        )
        self._messenger = messenger
        self._timers = timers
        self._worker = worker
        self.service = AcceptorService(
            acceptor_settings, environment, messenger, worker.run, chance
        )
        messenger.acceptor = self.service
        self.service.start()
        self._timers.start("announce", ANNOUNCE_INTERVAL, self._announce)
        self._timers.start("recovery", QUERY_INTERVAL, self._check_recovery)

    def stop(self) -> None:
        """Wait for the job under way and close the file."""
        self._worker.stop()
        self.service.stop()

    def _announce(self) -> None:
        self._timers.start("announce", ANNOUNCE_INTERVAL, self._announce)
        self._messenger.announce_identity()

    def _check_recovery(self) -> None:
        self._timers.start("recovery", QUERY_INTERVAL, self._check_recovery)
        self.service.on_timer()
