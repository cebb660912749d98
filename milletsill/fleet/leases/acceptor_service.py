"""One gateway's acceptor: its file, its recovery, and the requests that it answers.

All that touches the file runs in one thread, one job at a time. What decides is
`acceptor` and `acceptor_recovery`.
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

CLEANUP_RECORDS = 500  # looked at in one round of removals
# A file beside the acceptor's: an operator's order to go on with what there is.
OVERRIDE_SUFFIX = ".go-on"


@dataclass(frozen=True, slots=True)
class _OpenedStore:
    """An open file, and the error of the one that was set aside for it, if any."""

    store: AcceptorStore
    damage: AcceptorStateCorruptError | None


class AcceptorService:
    """The acceptor of one gateway.

    Args:
        settings: Its settings.
        environment: What it needs of the program.
        peers: Sends to other gateways.
        run_blocking: Runs jobs in one thread.
        chance: Random number for the identity of a new state.
    """

    def __init__(
        self,
        settings: AcceptorSettings,
        environment: LeaseEnvironment,
        peers: AcceptorPeers,
        run_blocking: RunBlocking,
        chance: int,
    ) -> None:
        self.settings = settings
        self._context = AcceptorContext(settings, environment)
        self._peers = peers
        self._run_blocking = run_blocking
        self._chance = chance
        self._acceptor_set = _digest_of_names([settings.name, *settings.others])
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
            self._context, peers, run_blocking, self._queue, chance
        )

    # Life.

    def start(self) -> None:
        """Open the file; the acceptor answers once it may."""
        self._run_blocking(self._open, self._on_opened)

    def stop(self) -> None:
        """Close the file; to be called once the thread has ended."""
        self._is_stopped = True
        self._queue.is_stopped = True
        if self.store is not None:
            self.store.close()
            self._context.store = None

    def on_timer(self) -> None:
        """Do what is to be done now and then: ask others, remove idle records."""
        if not self._recovery.is_started or self._is_stopped:
            return
        if self._recovery.on_timer() or self.store is None:
            return
        self._queue.pump()
        self._run_blocking(self._remove_idle, self._on_removed)

    def _open(self) -> _OpenedStore:
        """Open the file, in the thread.

        One that is torn is set aside; the new file knows that there was another.
        """
        settings = self.settings
        path = settings.store_path
        try:
            store = AcceptorStore.open(
                path,
                self._chance,
                self._acceptor_set,
                max_pages=settings.max_store_pages,
            )
            return _OpenedStore(store, None)
        except AcceptorStateCorruptError as error:
            set_aside(path)
            store = AcceptorStore.open(
                path,
                self._chance,
                self._acceptor_set,
                True,
                settings.max_store_pages,
            )
            return _OpenedStore(store, error)

    def _on_opened(self, result: _OpenedStore | MilletsillError) -> None:
        if isinstance(result, MilletsillError):
            self._context.log_error(result)  # away until a restart
            return
        store = result.store
        self._context.store = store
        if result.damage is not None:
            self._context.log_error(result.damage)
        self._context.previous_uptime = store.state.uptime
        path = self.settings.store_path
        is_overridden = os.path.exists(path + OVERRIDE_SUFFIX)
        if store.acceptor_set != self._acceptor_set and not is_overridden:
            what = "not the acceptors that its state was made for"
            self._context.log_error(AcceptorSetChangedError(what, path))
            return  # away until a restart
        store.acceptor_set = self._acceptor_set
        if is_overridden:
            os.remove(path + OVERRIDE_SUFFIX)
            self._context.log("acceptor_overridden", file=path + OVERRIDE_SUFFIX)
        self._recovery.start(store, is_overridden)
        self.on_timer()

    # What it is.

    @property
    def store(self) -> AcceptorStore | None:
        """The open file, if any."""
        return self._context.store

    def is_serving(self) -> bool:
        """Whether the acceptor may answer."""
        return self._recovery.is_serving()

    def identity(self) -> StateIdentity:
        """Return the identity of its state."""
        return NO_IDENTITY if self.store is None else self.store.identity

    # What other gateways send.

    def on_requests(
        self, gateway: str, requests: Sequence[AcceptorRequest], settings_digest: int
    ) -> None:
        """Answer requests of one gateway after the next commit.

        Or at once with UNAVAILABLE, where the acceptor may not answer.
        """
        has_same_settings = settings_digest == self.settings.settings_digest
        if not has_same_settings:
            what = "its acceptors or timings are not this gateway's"
            self._context.log_error(LeaseSettingsMismatchError(what, gateway))
        is_disk_full = self._context.now() < self._queue.disk_full_until
        if not has_same_settings or not self.is_serving() or is_disk_full:
            retry_delay = self._recovery.retry_delay()
            self._peers.send_replies(gateway, unavailable(requests, retry_delay))
            return
        self._queue.add(gateway, requests)

    def on_witness(self, gateway: str, known: StateIdentity | None) -> None:
        """Handle the last identity that a gateway knows of this acceptor."""
        self._recovery.on_witness(gateway, known)

    def on_page(self, acceptor: str, after: str, page: SnapshotPage) -> None:
        """Handle records of another acceptor."""
        self._recovery.on_page(acceptor, after, page)

    def read_page(self, after: str, on_page: Callable[[SnapshotPage], None]) -> None:
        """Read records after a key for another acceptor, if this one may answer."""
        store = self.store
        if not self.is_serving() or store is None:
            return

        def deliver(result: SnapshotPage | MilletsillError) -> None:
            if isinstance(result, MilletsillError):
                self._context.log_error(result)
            else:
                on_page(result)

        self._run_blocking(lambda: store.read_page(after), deliver)

    # What it knows of other acceptors.

    def remember_identity(self, acceptor: str, identity: StateIdentity) -> None:
        """Keep the identity of another acceptor; written with the next commit."""
        if self.store is None or acceptor not in self.settings.others:
            return
        known = self.store.known.get(acceptor, identity)
        self.store.known[acceptor] = max(known, identity)

    def known_identity(self, acceptor: str) -> StateIdentity | None:
        """Return the greatest identity that is known of an acceptor."""
        return None if self.store is None else self.store.known.get(acceptor)

    # Removal of idle records.

    def _remove_idle(self) -> int:
        """Remove some idle records, in the thread; return how many."""
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
