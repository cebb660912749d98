"""One gateway's acceptor: its file, its recovery, and its request handling.

Every access to the file runs in one thread, one job at a time. `acceptor` and
`acceptor_recovery` make the decisions.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash

from milletsill.errors import MilletsillError
from milletsill.fleet.leases.acceptor_context import (
    AcceptorContext,
    AcceptorPeers,
    RunBlocking,
)
from milletsill.fleet.leases.acceptor_recovery import (
    NO_IDENTITY,
    SnapshotPage,
    StateIdentity,
)
from milletsill.fleet.leases.acceptor_store import AcceptorStore, RemovalResult
from milletsill.fleet.leases.errors import (
    AcceptorSetChangedError,
    AcceptorStateCorruptError,
    LeaseSettingsMismatchError,
)
from milletsill.fleet.leases.lease_settings import AcceptorSettings, LeaseEnvironment
from milletsill.fleet.leases.messages import AcceptorRequest
from milletsill.fleet.leases.recovery_controller import RecoveryController
from milletsill.fleet.leases.request_queue import RequestQueue, unavailable
from milletsill.fleet.leases.store_file import set_aside

CLEANUP_RECORDS = 500  # records that one round of removals examines
# With a file of this suffix beside the acceptor's file, an operator orders the acceptor
# to continue with the state that it has.
OVERRIDE_SUFFIX = ".go-on"


@dataclass(frozen=True, slots=True)
class _OpenedStore:
    """An open file, and the error of the corrupt file that it replaces, if any."""

    store: AcceptorStore
    damage: AcceptorStateCorruptError | None


class AcceptorService:
    """The acceptor of one gateway.

    Args:
        settings: The acceptor's settings.
        environment: The program's interfaces that the lease service uses.
        peers: Sends messages to other gateways.
        run_blocking: Runs jobs in one thread.
        nonce: Random number for the identity of a new state.
    """

    def __init__(
        self,
        settings: AcceptorSettings,
        environment: LeaseEnvironment,
        peers: AcceptorPeers,
        run_blocking: RunBlocking,
        nonce: int,
    ) -> None:
        self.settings = settings
        self._context = AcceptorContext(settings, environment)
        self._peers = peers
        self._run_blocking = run_blocking
        self._nonce = nonce
        self._acceptor_set_digest = _digest_of_names([settings.name, *settings.others])
        self._cleanup_key = ""
        self._is_stopped = False
        self._queue = RequestQueue(
            self._context,
            peers,
            run_blocking,
            lambda: self._recovery.is_serving(),
            lambda: self._recovery.stop(),
        )
        self._recovery = RecoveryController(
            self._context, peers, run_blocking, self._queue, nonce
        )

    # Start and stop.

    def start(self) -> None:
        """Open the file; the acceptor answers once its recovery allows it."""
        self._run_blocking(self._open, self._on_opened)

    def stop(self) -> None:
        """Close the file; the caller must have stopped the thread of the jobs."""
        self._is_stopped = True
        self._queue.is_stopped = True
        if self.store is not None:
            self.store.close()
            self._context.store = None

    def on_timer(self) -> None:
        """Advance the recovery; remove idle records once the acceptor is serving."""
        if not self._recovery.is_started or self._is_stopped:
            return
        if self._recovery.on_timer() or self.store is None:
            return
        self._queue.start_next_batch()
        self._run_blocking(self._remove_idle, self._on_removed)

    def _open(self) -> _OpenedStore:
        """Open the file. Runs in the thread of the jobs.

        A corrupt file is set aside; its replacement is marked incomplete.
        """
        settings = self.settings
        path = settings.store_path
        try:
            store = AcceptorStore.open(
                path,
                self._nonce,
                self._acceptor_set_digest,
                max_pages=settings.max_store_pages,
            )
            return _OpenedStore(store, None)
        except AcceptorStateCorruptError as error:
            set_aside(path)
            store = AcceptorStore.open(
                path,
                self._nonce,
                self._acceptor_set_digest,
                True,
                settings.max_store_pages,
            )
            return _OpenedStore(store, error)

    def _on_opened(self, result: _OpenedStore | MilletsillError) -> None:
        if isinstance(result, MilletsillError):
            self._context.log_error(result)  # unavailable until a restart
            return
        store = result.store
        self._context.store = store
        if result.damage is not None:
            self._context.log_error(result.damage)
        self._context.previous_uptime = store.state.uptime
        path = self.settings.store_path
        is_overridden = os.path.exists(path + OVERRIDE_SUFFIX)
        if store.acceptor_set_digest != self._acceptor_set_digest and not is_overridden:
            what = "the settings name other acceptors than the state was created for"
            self._context.log_error(AcceptorSetChangedError(what, path))
            return  # unavailable until a restart
        store.acceptor_set_digest = self._acceptor_set_digest
        if is_overridden:
            os.remove(path + OVERRIDE_SUFFIX)
            self._context.log("acceptor_overridden", file=path + OVERRIDE_SUFFIX)
        self._recovery.start(store, is_overridden)
        self.on_timer()

    # Status.

    @property
    def store(self) -> AcceptorStore | None:
        """The open file, if any."""
        return self._context.store

    def is_serving(self) -> bool:
        """Whether the acceptor may answer."""
        return self._recovery.is_serving()

    def identity(self) -> StateIdentity:
        """Return the identity of the acceptor's state."""
        return NO_IDENTITY if self.store is None else self.store.identity

    # Messages from other gateways.

    def on_requests(
        self, gateway: str, requests: Sequence[AcceptorRequest], settings_digest: int
    ) -> None:
        """Queue requests of one gateway; the replies follow after the next commit.

        An acceptor that may not answer replies UNAVAILABLE at once.
        """
        has_same_settings = settings_digest == self.settings.settings_digest
        if not has_same_settings:
            what = "its acceptors or timings differ from this gateway's"
            self._context.log_error(LeaseSettingsMismatchError(what, gateway))
        is_disk_full = self._context.now() < self._queue.disk_full_until
        if not has_same_settings or not self.is_serving() or is_disk_full:
            retry_delay = self._recovery.retry_delay()
            self._peers.send_replies(gateway, unavailable(requests, retry_delay))
            return
        self._queue.add(gateway, requests)

    def on_known_identity(self, gateway: str, known: StateIdentity | None) -> None:
        """Handle a report of the latest identity that a gateway knows of this one."""
        self._recovery.on_known_identity(gateway, known)

    def on_page(self, acceptor: str, after: str, page: SnapshotPage) -> None:
        """Handle a page of another acceptor's records."""
        self._recovery.on_page(acceptor, after, page)

    def read_page(self, after: str, on_page: Callable[[SnapshotPage], None]) -> None:
        """Read a page of records for another acceptor, if this one may answer."""
        store = self.store
        if not self.is_serving() or store is None:
            return

        def deliver(result: SnapshotPage | MilletsillError) -> None:
            if isinstance(result, MilletsillError):
                self._context.log_error(result)
            else:
                on_page(result)

        self._run_blocking(lambda: store.read_page(after), deliver)

    # Identities of other acceptors.

    def remember_identity(self, acceptor: str, identity: StateIdentity) -> None:
        """Keep the identity of another acceptor; written with the next commit."""
        if self.store is None or acceptor not in self.settings.others:
            return
        known = self.store.known.get(acceptor, identity)
        self.store.known[acceptor] = max(known, identity)

    def known_identity(self, acceptor: str) -> StateIdentity | None:
        """Return the greatest known identity of an acceptor."""
        return None if self.store is None else self.store.known.get(acceptor)

    # Removal of idle records.

    def _remove_idle(self) -> int:
        """Remove some idle records and return how many. Runs in the jobs' thread."""
        store = self.store
        now = self._context.now()
        uptime = self._context.uptime()
        assert store is not None
        grants = self._context.grants
        result: RemovalResult = store.remove_idle(
            self._cleanup_key,
            CLEANUP_RECORDS,
            uptime,
            self.settings.idle_after,
            lambda key: now >= grants.get(key).until,
        )
        self._cleanup_key = result.next_key
        for key in result.removed:
            grants.discard(key)
        return len(result.removed)

    def _on_removed(self, result: int | MilletsillError) -> None:
        if isinstance(result, MilletsillError):
            self._context.log_error(result)
            return
        self._context.metrics.removed.inc(result)
        if self.store is not None:
            self._context.metrics.records.set(self.store.count)


def _digest_of_names(names: Sequence[str]) -> int:
    return xxhash.xxh64_intdigest("\0".join(sorted(names)).encode())
