"""Carries out what `AcceptorRecovery` decides: asks, copies, writes, serves."""

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

# One of so many questions goes to all gateways, the others to the acceptors alone.
QUERY_ALL_EVERY = 10


class RecoveryController:
    """One acceptor's recovery, over its file and its peers.

    Args:
        context: What the acceptor's parts share.
        peers: Whom to ask.
        run_blocking: Runs jobs in the store's thread.
        queue: Requests that wait until the acceptor serves.
        chance: Random number for the identity of a state that is made anew.
    """

    def __init__(
        self,
        context: AcceptorContext,
        peers: AcceptorPeers,
        run_blocking: RunBlocking,
        queue: RequestQueue,
        chance: int,
    ) -> None:
        self._context = context
        self._peers = peers
        self._run_blocking = run_blocking
        self._queue = queue
        self._chance = chance
        self._recovery: AcceptorRecovery | None = None
        self._queries = 0

    def start(self, store: AcceptorStore, is_overridden: bool) -> None:
        """Begin with an open file; `is_overridden` by an operator's order."""
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
            self._act(recovery.on_override())
        else:
            self._act(recovery.on_timer(self._context.now()))
        self.show_status()

    def stop(self) -> None:
        """Answer nothing any more, until a restart."""
        self._recovery = None
        self.show_status()

    @property
    def is_started(self) -> bool:
        """Whether there is a file that can be used."""
        return self._recovery is not None

    def is_serving(self) -> bool:
        """Whether the acceptor may answer."""
        recovery = self._recovery
        return recovery is not None and recovery.status is RecoveryStatus.SERVING

    def retry_delay(self) -> int:
        """Return when to come back, in ticks."""
        if self._recovery is None or self.is_serving():
            return RETRY_INTERVAL
        return self._recovery.retry_delay(self._context.now())

    def on_timer(self) -> bool:
        """Handle what time alone brings; return whether others had to be asked."""
        if self._recovery is None:
            return False
        self._act(self._recovery.on_timer(self._context.now()))
        return self._query_others()

    def on_witness(self, gateway: str, known: StateIdentity | None) -> None:
        """Handle the last identity that a gateway knows of this one, also unasked."""
        store = self._context.store
        if self._recovery is None or store is None:
            return
        self._recovery.own = store.identity
        now = self._context.now()
        self._act(self._recovery.on_witness(gateway, known, now))

    def on_page(self, acceptor: str, after: str, page: SnapshotPage) -> None:
        """Copy some records of another acceptor, and ask for the next."""
        recovery = self._recovery
        if recovery is None:
            return
        self._act(recovery.on_page(acceptor, after, page, self._context.uptime()))
        if recovery.needs_page_from(acceptor):
            self._peers.query_page(acceptor, recovery.last_key(acceptor))

    def show_status(self) -> None:
        """Set the metric of the status."""
        recovery = self._recovery
        status = None if recovery is None else recovery.status
        self._context.metrics.show_status(status)

    def _query_others(self) -> bool:
        recovery = self._recovery
        if recovery is None:
            return False
        self._queries += 1
        if recovery.status is RecoveryStatus.VERIFYING:
            self._peers.query_witnesses(self._queries % QUERY_ALL_EVERY == 1)
            return True
        if recovery.status is not RecoveryStatus.CATCHING_UP:
            return False
        for acceptor in self._context.settings.others:
            if recovery.needs_page_from(acceptor):
                self._peers.query_page(acceptor, recovery.last_key(acceptor))
        return True

    def _act(self, action: RecoveryAction) -> None:
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
                self._queue.pump()

    def _stop_serving(self, recovery: AcceptorRecovery, store: AcceptorStore) -> None:
        identity = store.identity
        is_new = identity.generation == 0
        error_type = (
            AcceptorStateMissingError if is_new else AcceptorStateRolledBackError
        )
        what = (
            f"others know of state {recovery.highest_age}, past "
            f"{identity.age}.{identity.generation}"
        )
        self._context.log_error(error_type(what, self._context.settings.store_path))
        self._queue.clear("doubted")
        uptime = self._context.uptime()
        self._run_blocking(lambda: store.mark_incomplete(uptime), self._on_marked)

    def _on_marked(self, result: MilletsillError | None) -> None:
        if result is not None:
            self._context.log_error(result)

    def _adopt(self, recovery: AcceptorRecovery, store: AcceptorStore) -> None:
        """Write what was copied before anything is answered; until then be busy."""
        identity = recovery.renewed_identity(self._chance)
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
                "acceptor_caught_up", records=store.count, age=identity.age
            )
            self._queue.pump()

        self._run_blocking(job, on_adopted)


def _adoption(
    recovery: AcceptorRecovery,
    store: AcceptorStore,
    identity: StateIdentity,
    uptime: int,
) -> Callable[[], None]:
    """Return the job that writes what was copied, merged with what is here."""
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
