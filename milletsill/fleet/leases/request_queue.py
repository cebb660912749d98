"""Requests to one acceptor: what came during one commit goes into the next.

A batch is worked off in the store's thread with one commit; its replies go out after
it. A batch that cannot be written is answered with UNAVAILABLE, and nothing of it
counts.
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
    """A reply and the gateway that it goes to."""

    gateway: str
    reply: AcceptorReply


@dataclass(frozen=True, slots=True)
class BatchResult:
    """What a batch came to; `seconds` is how long its job ran."""

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
    """One batch on its way through the store; runs in the store's thread.

    The time is read once, after all of the requests came: a lease that is granted
    counts from no earlier.
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
        """Write what changed; only then do the grants count."""
        if self.changed:
            self.store.commit(self.changed, self.uptime, added=self.added)
        self.context.grants.update(self.grants)


class RequestQueue:
    """Requests that wait, and the batch under way.

    Args:
        context: What the acceptor's parts share.
        peers: Where replies go.
        run_blocking: Runs jobs in the store's thread.
        is_serving: Whether the acceptor may answer.
        on_unusable: Called when the file cannot be used any more.

    Attributes:
        is_busy: A batch is under way, or the state is being written anew.
        disk_full_until: Until when requests are answered with UNAVAILABLE, in ticks.
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
        """Queue requests of one gateway; what has no room is dropped."""
        room = MAX_WAITING - len(self._waiting)
        self._waiting += [QueuedLeaseRequest(gateway, each) for each in requests[:room]]
        if len(requests) > room:
            self._metrics.dropped.labels("waiting").inc(len(requests) - room)
        self.pump()

    def clear(self, cause: str) -> None:
        """Drop all that wait."""
        self._metrics.dropped.labels(cause).inc(len(self._waiting))
        self._waiting = []

    def pump(self) -> None:
        """Begin a batch if there is something to do and nothing under way."""
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
        """Work off a batch, each request in its order. In the store's thread."""
        store = self._context.store
        began = time.perf_counter()
        assert store is not None
        batch = _Batch(self._context, store)
        for each in requests:
            batch.handle(each)
        batch.commit()
        seconds = time.perf_counter() - began
        return BatchResult(batch.replies, len(requests), bool(batch.changed), seconds)

    def _on_result(
        self, batch: Sequence[QueuedLeaseRequest], result: BatchResult | MilletsillError
    ) -> None:
        self.is_busy = False
        if self.is_stopped:
            return
        if isinstance(result, MilletsillError):
            self._on_failure(batch, result)
        elif self._is_serving():  # one found stale meanwhile answers nothing
            self._on_success(result)
        self._metrics.waiting.set(len(self._waiting))
        self.pump()

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
        """Send each sender UNAVAILABLE: nothing of the batch counts."""
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
