"""Batches of requests to one acceptor.

Requests that arrive during a commit go into the next batch. The store's thread handles
a batch with one commit, and the replies are sent after it. If a batch cannot be
written, its requests have no effect and are answered with UNAVAILABLE.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from milletsill.errors import MilletsillError
from milletsill.fleet.leases.acceptor import (
    LeaseGrant,
    LeaseRecord,
    LeaseState,
    handle_request,
)
from milletsill.fleet.leases.acceptor_context import (
    RETRY_INTERVAL,
    AcceptorContext,
    AcceptorPeers,
    RunBlocking,
)
from milletsill.fleet.leases.acceptor_store import AcceptorStore
from milletsill.fleet.leases.errors import DiskFullError
from milletsill.fleet.leases.messages import (
    AcceptorReply,
    AcceptorRequest,
    ReplyStatus,
    RequestKind,
)
from milletsill.fleet.leases.metrics import REPLY_LABELS

MAX_BATCH = 1000
MAX_WAITING = 20_000


class QueuedLeaseRequest(NamedTuple):
    """A request and the gateway that sent it."""

    gateway: str
    request: AcceptorRequest


class AddressedReply(NamedTuple):
    """A reply and the gateway that receives it."""

    gateway: str
    reply: AcceptorReply


@dataclass(frozen=True, slots=True)
class BatchResult:
    """The result of a batch; `seconds` is how long its job ran."""

    replies: list[AddressedReply]
    requests: int
    is_committed: bool
    seconds: float


def unavailable(
    requests: Iterable[AcceptorRequest], retry_delay: int
) -> list[AcceptorReply]:
    """Return the replies of an acceptor that may not answer.

    A RELEASE has no reply.
    """
    return [
        AcceptorReply.to_request(each, ReplyStatus.UNAVAILABLE, retry_delay)
        for each in requests
        if each.kind is not RequestKind.RELEASE
    ]


class _Batch:
    """One batch of requests; it runs in the store's thread.

    It reads the clock once, after all of its requests have arrived, so that no grant
    counts from a time before the receipt of its request.
    """

    def __init__(self, context: AcceptorContext, store: AcceptorStore) -> None:
        self.context = context
        self.store = store
        self.now = context.now()
        self.uptime = context.uptime()
        self.records: dict[str, LeaseRecord | None] = {}
        self.grants: dict[str, LeaseGrant] = {}
        self.changed: dict[str, LeaseRecord | None] = {}
        self.replies: list[AddressedReply] = []
        self.added = 0

    def handle(self, queued: QueuedLeaseRequest) -> None:
        request = queued.request
        key = request.key
        if key not in self.records:
            self.records[key] = self.store.read(key)
        record = self.records[key]
        grant = self.grants.get(key) or self.context.grants.get(key)
        floor = self.store.ballot_floor
        state = LeaseState(record, grant if record is not None else None, floor)
        timings = self.context.settings.timings
        outcome = handle_request(state, request, self.now, self.uptime, timings)
        if record is None and outcome.record is not None:
            if self.store.count + self.added >= self.context.settings.max_records:
                reply = AcceptorReply.to_request(
                    request, ReplyStatus.UNAVAILABLE, RETRY_INTERVAL
                )
                self.replies.append(AddressedReply(queued.gateway, reply))
                return
            self.added += 1
        if outcome.record is not record:
            self.records[key] = outcome.record
            self.changed[key] = outcome.record
        if outcome.grant is not None:
            self.grants[key] = outcome.grant
        if outcome.reply is not None:
            self.replies.append(AddressedReply(queued.gateway, outcome.reply))

    def commit(self) -> None:
        """Write the changed records, and then apply the grants."""
        if self.changed:
            self.store.commit(self.changed, self.uptime, added=self.added)
        self.context.grants.update(self.grants)


class RequestQueue:
    """Waiting requests and the batch in progress.

    Args:
        context: State that the acceptor's components share.
        peers: Sends the replies.
        run_blocking: Runs jobs in the store's thread.
        is_serving: Returns whether the acceptor may answer.
        on_unusable: Called when the file can no longer be used.

    Attributes:
        is_busy: Whether a batch is in progress or a rebuilt state is being written.
        is_stopped: Whether the queue starts no more batches and sends no more replies.
        disk_full_until: Until when requests are answered with UNAVAILABLE because the
            disk was full, in ticks.
    """

    def __init__(
        self,
        context: AcceptorContext,
        peers: AcceptorPeers,
        run_blocking: RunBlocking,
        is_serving: Callable[[], bool],
        on_unusable: Callable[[], None],
    ) -> None:
        self._context = context
        self._metrics = context.metrics
        self._peers = peers
        self._run_blocking = run_blocking
        self._is_serving = is_serving
        self._on_unusable = on_unusable
        self._waiting: list[QueuedLeaseRequest] = []
        self.is_busy = False
        self.is_stopped = False
        self.disk_full_until = 0

    def add(self, gateway: str, requests: Sequence[AcceptorRequest]) -> None:
        """Queue requests of one gateway; drop those beyond `MAX_WAITING`."""
        free = MAX_WAITING - len(self._waiting)
        self._waiting += [QueuedLeaseRequest(gateway, each) for each in requests[:free]]
        if len(requests) > free:
            self._metrics.dropped.labels("waiting").inc(len(requests) - free)
        self.start_next_batch()

    def clear(self, cause: str) -> None:
        """Drop all waiting requests."""
        self._metrics.dropped.labels(cause).inc(len(self._waiting))
        self._waiting = []

    def start_next_batch(self) -> None:
        """Start a batch if requests wait and no batch is in progress."""
        if self.is_busy or self.is_stopped or not self._waiting:
            return
        if not self._is_serving():
            return
        batch = self._waiting[:MAX_BATCH]
        self._waiting = self._waiting[MAX_BATCH:]
        self.is_busy = True
        self._run_blocking(
            lambda: self._run(batch), lambda result: self._on_result(batch, result)
        )

    def _run(self, requests: Sequence[QueuedLeaseRequest]) -> BatchResult:
        """Handle the requests of a batch in order. Runs in the store's thread."""
        store = self._context.store
        started_at = time.perf_counter()
        assert store is not None
        batch = _Batch(self._context, store)
        for each in requests:
            batch.handle(each)
        batch.commit()
        seconds = time.perf_counter() - started_at
        return BatchResult(batch.replies, len(requests), bool(batch.changed), seconds)

    def _on_result(
        self, batch: Sequence[QueuedLeaseRequest], result: BatchResult | MilletsillError
    ) -> None:
        self.is_busy = False
        if self.is_stopped:
            return
        if isinstance(result, MilletsillError):
            self._on_failure(batch, result)
        elif self._is_serving():  # not if the state was found stale meanwhile
            self._on_success(result)
        self._metrics.waiting.set(len(self._waiting))
        self.start_next_batch()

    def _on_success(self, result: BatchResult) -> None:
        by_gateway: dict[str, list[AcceptorReply]] = {}
        for each in result.replies:
            by_gateway.setdefault(each.gateway, []).append(each.reply)
            self._metrics.replies.labels(REPLY_LABELS[each.reply.status]).inc()
        for gateway, replies in by_gateway.items():
            self._peers.send_replies(gateway, replies)
        self._metrics.batch.observe(result.requests)
        if result.is_committed:
            self._metrics.commits.inc()
            self._metrics.commit_seconds.observe(result.seconds)

    def _on_failure(
        self, batch: Sequence[QueuedLeaseRequest], error: MilletsillError
    ) -> None:
        """Answer all requests with UNAVAILABLE: the batch had no effect."""
        self._context.log_error(error)
        self._metrics.dropped.labels(type(error).__name__).inc(len(batch))
        by_gateway: dict[str, list[AcceptorReply]] = {}
        for queued in batch:
            for reply in unavailable([queued.request], RETRY_INTERVAL):
                by_gateway.setdefault(queued.gateway, []).append(reply)
        for gateway, replies in by_gateway.items():
            self._peers.send_replies(gateway, replies)
        if isinstance(error, DiskFullError):
            self.disk_full_until = self._context.now() + RETRY_INTERVAL
            return
        self._on_unusable()
        self.clear("unusable")
