"""No request takes effect twice (rule 2 in docs/design.md)."""

from milletsill.deployment_config import RetrySafety, RetryScope
from milletsill.scheduler.records import Attempt, QueuedRequest, StorageNode


def may_execute_at(
    request: QueuedRequest, node: StorageNode, dial_timeout: int, now: int
) -> bool:
    """Whether a request may be executed at a node, given its earlier attempts.

    The attempt may wait up to `dial_timeout` for its connection before it starts.
    """
    attempts = request.possibly_executed()
    if not attempts:
        return True
    request_class = request.request_class
    safety = request_class.retry_safety
    if safety is RetrySafety.IDEMPOTENT:
        return True
    if safety is RetrySafety.NON_IDEMPOTENT:
        return False
    if now + dial_timeout >= attempts[0].sent_at + request_class.retry_window:
        return False
    return _is_in_scope(request_class.retry_scope, attempts, node)


def is_rejection_harmless(request: QueuedRequest) -> bool:
    """Whether a client that retries after a rejection cannot cause the effect twice."""
    request_class = request.request_class
    safety = request_class.retry_safety
    if safety is RetrySafety.IDEMPOTENT:
        return True
    if (
        safety is RetrySafety.IDEMPOTENCY_KEYED
        and request_class.retry_scope is RetryScope.ALL
    ):
        return True
    return not request.possibly_executed()


def _is_in_scope(scope: RetryScope, attempts: list[Attempt], node: StorageNode) -> bool:
    if scope is RetryScope.ALL:
        return True
    if scope is RetryScope.ZONE:
        return all(each.node.zone == node.zone for each in attempts)
    if scope is RetryScope.SHARD:
        return all(each.node.shard == node.shard for each in attempts)
    return all(each.node.id == node.id for each in attempts)
