"""Carries out the actions of `AcceptorRecovery`: queries, copies and writes."""

from __future__ import annotations

from collections.abc import Callable

from milletsill.errors import MilletsillError
from milletsill.fleet.leases.acceptor import LeaseRecord
from milletsill.fleet.leases.acceptor_context import (
    RETRY_INTERVAL,
    AcceptorContext,
    AcceptorPeers,
    RunBlocking,
)
from milletsill.fleet.leases.acceptor_recovery import (
    AcceptorRecovery,
    RecoveryAction,
    RecoveryStatus,
    SnapshotPage,
    StateIdentity,
    merge_records,
    raise_to_floor,
)
from milletsill.fleet.leases.acceptor_store import AcceptorStore
from milletsill.fleet.leases.errors import (
    AcceptorStateMissingError,
    AcceptorStateRolledBackError,
)
from milletsill.fleet.leases.request_queue import RequestQueue

# Every tenth query goes to all gateways, the others only to the acceptors.
QUERY_ALL_EVERY = 10


class RecoveryController:
    """Runs one acceptor's recovery with its file and its peers.

    Args:
        context: State that the acceptor's components share.
        peers: Sends queries to other gateways.
        run_blocking: Runs jobs in the store's thread.
        queue: Requests that wait until the acceptor serves.
        nonce: Random number for the identity of a rebuilt state.
    """

    def __init__(
        self,
        context: AcceptorContext,
        peers: AcceptorPeers,
        run_blocking: RunBlocking,
        queue: RequestQueue,
        nonce: int,
    ) -> None:
        self._context = context
        self._peers = peers
        self._run_blocking = run_blocking
        self._queue = queue
        self._nonce = nonce
        self._recovery: AcceptorRecovery | None = None
        self._queries = 0

    def start(self, store: AcceptorStore, is_overridden: bool) -> None:
        """Start with an open file.

        `is_overridden` is an operator's order to continue with the state in the file.
        """
        settings = self._context.settings
        recovery = self._recovery = AcceptorRecovery(
            store.identity,
            settings.others,
            settings.timings,
            self._context.started_at,
            store.identity.generation == 0,
            store.state.is_incomplete,
        )
        if is_overridden:
            self._carry_out(recovery.on_override())
        else:
            self._carry_out(recovery.on_timer(self._context.now()))
        self.show_status()

    def stop(self) -> None:
        """Stop answering until a restart."""
        self._recovery = None
        self.show_status()

    @property
    def is_started(self) -> bool:
        """Whether the acceptor has a usable file."""
        return self._recovery is not None

    def is_serving(self) -> bool:
        """Whether the acceptor may answer."""
        recovery = self._recovery
        return recovery is not None and recovery.status is RecoveryStatus.SERVING

    def retry_delay(self) -> int:
        """Return after how many ticks a refused request should be retried."""
        if self._recovery is None or self.is_serving():
            return RETRY_INTERVAL
        return self._recovery.retry_delay(self._context.now())

    def on_timer(self) -> bool:
        """Advance the recovery; return whether it is still querying other gateways."""
        if self._recovery is None:
            return False
        self._carry_out(self._recovery.on_timer(self._context.now()))
        return self._query_others()

    def on_known_identity(self, gateway: str, known: StateIdentity | None) -> None:
        """Handle a report of the latest identity that a gateway knows of this one.

        Gateways send such reports as replies to queries and also unasked.
        """
        store = self._context.store
        if self._recovery is None or store is None:
            return
        self._recovery.own = store.identity
        now = self._context.now()
        self._carry_out(self._recovery.on_known_identity(gateway, known, now))

    def on_page(self, acceptor: str, after: str, page: SnapshotPage) -> None:
        """Copy a page of another acceptor's records, and query the next page."""
        recovery = self._recovery
        if recovery is None:
            return
        self._carry_out(recovery.on_page(acceptor, after, page, self._context.uptime()))
        if recovery.needs_page_from(acceptor):
            self._peers.query_page(acceptor, recovery.last_key(acceptor))

    def show_status(self) -> None:
        """Update the metric of the recovery status."""
        recovery = self._recovery
        status = None if recovery is None else recovery.status
        self._context.metrics.show_status(status)

    def _query_others(self) -> bool:
        recovery = self._recovery
        if recovery is None:
            return False
        self._queries += 1
        if recovery.status is RecoveryStatus.VERIFYING:
            self._peers.query_known_identity(self._queries % QUERY_ALL_EVERY == 1)
            return True
        if recovery.status is not RecoveryStatus.CATCHING_UP:
            return False
        for acceptor in self._context.settings.others:
            if recovery.needs_page_from(acceptor):
                self._peers.query_page(acceptor, recovery.last_key(acceptor))
        return True

    def _carry_out(self, action: RecoveryAction) -> None:
        recovery = self._recovery
        store = self._context.store
        if action is RecoveryAction.NONE or recovery is None or store is None:
            return
        self.show_status()
        match action:
            case RecoveryAction.WAIT:
                self._stop_serving(recovery, store)
            case RecoveryAction.CATCH_UP:
                others = len(self._context.settings.others)
                self._context.log("acceptor_catching_up", others=others)
                self._query_others()
            case RecoveryAction.ADOPT:
                self._adopt(recovery, store)
            case RecoveryAction.SERVE:
                generation = store.identity.generation
                self._context.log(
                    "acceptor_serving", records=store.count, generation=generation
                )
                self._queue.start_next_batch()

    def _stop_serving(self, recovery: AcceptorRecovery, store: AcceptorStore) -> None:
        identity = store.identity
        is_new = identity.generation == 0
        error_type = (
            AcceptorStateMissingError if is_new else AcceptorStateRolledBackError
        )
        what = (
            f"other gateways know a later state (epoch {recovery.highest_epoch}) than "
            f"this one (epoch {identity.epoch}, generation {identity.generation})"
        )
        self._context.log_error(error_type(what, self._context.settings.store_path))
        self._queue.clear("doubted")
        uptime = self._context.uptime()
        self._run_blocking(lambda: store.mark_incomplete(uptime), self._on_marked)

    def _on_marked(self, result: MilletsillError | None) -> None:
        if result is not None:
            self._context.log_error(result)

    def _adopt(self, recovery: AcceptorRecovery, store: AcceptorStore) -> None:
        """Write the copied records; the queue is busy until they are written."""
        identity = recovery.renewed_identity(self._nonce)
        job = _adoption(recovery, store, identity, self._context.uptime())
        self._queue.is_busy = True

        def on_adopted(result: MilletsillError | None) -> None:
            self._queue.is_busy = False
            if result is not None:
                self._context.log_error(result)
                recovery.on_write_failed(self._context.now() + RETRY_INTERVAL)
                self.show_status()
                return
            self._context.grants.reset(self._context.now())
            recovery.own = identity
            recovery.records = {}
            self._context.log(
                "acceptor_caught_up", records=store.count, age=identity.epoch
            )
            self._queue.start_next_batch()

        self._run_blocking(job, on_adopted)


def _adoption(
    recovery: AcceptorRecovery,
    store: AcceptorStore,
    identity: StateIdentity,
    uptime: int,
) -> Callable[[], None]:
    """Return the job that merges the copied records into the file's and writes them."""
    copied = dict(recovery.records)
    floor = max(recovery.ballot_floor, store.ballot_floor)

    def write() -> None:
        records: dict[str, LeaseRecord] = {}
        for key in copied:
            own = store.read(key)
            if own is not None:
                records[key] = own
        merge_records(records, copied.items(), uptime)
        raise_to_floor(records, floor)
        store.adopt(records, floor, identity, uptime)

    return write
