"""Whether a request may be sent again.

This depends on its number of attempts, on idempotency, on the node's retry credit and
on the retry budget.
"""

from milletsill.deployment_config import DeploymentConfig
from milletsill.scheduler.constants import NEVER
from milletsill.scheduler.idempotency import may_execute_at
from milletsill.scheduler.records import QueuedRequest, StorageNode
from milletsill.scheduler.retry_budget import RetryBudget


class RetryPolicy:
    """Admits all attempts of a request but the first."""

    def __init__(self, config: DeploymentConfig, budget: RetryBudget) -> None:
        self._max_attempts = config.max_attempts
        self._may_hedge = config.may_hedge
        self._dial_timeout = config.dial_timeout
        self._budget = budget

    def wait_time(self, request: QueuedRequest, node: StorageNode, now: int) -> int:
        """Return 0 if the request may go now, how long to wait, or NEVER."""
        if not request.attempts:
            return 0
        if (
            len(request.attempts) >= self._max_attempts
            or (not self._may_hedge and request.is_in_flight())
            or (not request.has_spent_credit and node.available_credit(now) <= 0)
            or not may_execute_at(request, node, self._dial_timeout, now)
        ):
            return NEVER
        return self._budget.wait_time(now)

    def charge(self, request: QueuedRequest, node: StorageNode, now: int) -> None:
        """Charge a retry to the node's credit and to the retry budget."""
        if not request.has_spent_credit:
            node.retry_credit -= 1
        self._budget.record_retry(now)
