"""Counts, traces and logs answered commands."""

from __future__ import annotations

from typing import Any

from milletsill.sftp_gateway.answer_log import AnswerLogLimiter
from milletsill.sftp_gateway.command_execution import CommandExecution
from milletsill.sftp_gateway.gateway_context import GatewayContext
from milletsill.sftp_gateway.metrics import GatewayMetrics

TICKS_PER_SECOND = 10_000


class CommandReport:
    """Counts and traces each finished command, and logs some of them."""

    def __init__(
        self,
        gateway: GatewayContext,
        metrics: GatewayMetrics,
        limiter: AnswerLogLimiter,
        log: Any,
    ) -> None:
        self.gateway = gateway
        self.metrics = metrics
        self.limiter = limiter
        self.log = log

    def on_command_finished(
        self, execution: CommandExecution, final: str, reason: str
    ) -> None:
        """Count, trace and log an answered command."""
        now = self.gateway.now()
        latency = now - execution.began
        name = self.gateway.request_class_name(execution.request_class)
        self.metrics.count_answer(name, final, latency / TICKS_PER_SECOND)
        if self.gateway.traces is not None:
            self._trace(now, execution, final, reason)
        suppressed = self.limiter.take(now)
        if suppressed is not None:
            self.log.info(
                "answer",
                final=final,
                why=reason,
                category=name,
                volume=execution.volume.name,
                operation=execution.operation,
                ms=latency / 10,
                legs=execution.steps_done,
                tries=execution.terms.retry_count,
                unsaid=suppressed,
            )

    def _trace(
        self, now: int, execution: CommandExecution, final: str, reason: str
    ) -> None:
        # The trace package is imported only if the file enables traces.
        from milletsill.trace.recorder import CommandRecord

        table = self.gateway.routing_table
        record = CommandRecord(
            began=execution.began,
            volume=execution.volume.name,
            service_plan=execution.volume.plan,
            request_class=execution.request_class,
            operation=execution.operation,
            units=table.units(execution.operation, execution.size),
            requests=execution.steps_done,
            attempts=execution.terms.retry_count,
            answer=final,
            reason=reason,
        )
        self.gateway.traces.record_command(now, record)
