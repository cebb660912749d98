"""Starts and stops a gateway's acceptor, with its timers and its thread."""

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
    """Runs an acceptor from construction until `stop`.

    Args:
        settings: Settings of the lease service.
        environment: The program's interfaces that the lease service uses.
        messenger: Sends messages to other gateways and dispatches received ones.
        timers: Timers of the lease service.
        worker: Runs the acceptor's jobs.
        nonce: Random number for the identity of a new state.

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
        nonce: int,
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
            acceptor_settings, environment, messenger, worker.run, nonce
        )
        messenger.acceptor = self.service
        self.service.start()
        self._timers.start("announce", ANNOUNCE_INTERVAL, self._announce)
        self._timers.start("recovery", QUERY_INTERVAL, self._check_recovery)

    def stop(self) -> None:
        """Wait for the running job and close the file."""
        self._worker.stop()
        self.service.stop()

    def _announce(self) -> None:
        self._timers.start("announce", ANNOUNCE_INTERVAL, self._announce)
        self._messenger.announce_identity()

    def _check_recovery(self) -> None:
        self._timers.start("recovery", QUERY_INTERVAL, self._check_recovery)
        self.service.on_timer()
