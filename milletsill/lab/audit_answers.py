"""Checks rules 1 and 2.

Rule 1: each command gets one final answer in time. Rule 2: no request takes effect
twice.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from milletsill.lab.breaches import SOCKET_SLACK, Breach, attempts_by_request
from milletsill.lab.evidence import (
    Evidence,
    NodeBoot,
    RecordedAttempt,
    RecordedCommand,
)
from milletsill.settings.milletsill_pb2 import Scenario

VERDICTS_WITHOUT_EFFECT = (1, 2)
"""A node's verdicts on attempts that had no effect."""


def answer_due(command: RecordedCommand, evidence: Evidence) -> float:
    """Return the latest time at which a command's answer is in time.

    A gateway that the laboratory suspended cannot answer; an answer that falls due
    during the stop is in time if it comes right after the gateway resumes.
    """
    due = command.at + command.client_timeout
    resumed = [
        stop.until + SOCKET_SLACK
        for stop in evidence.gateway_stops
        if stop.gateway == command.gateway
        and stop.since - SOCKET_SLACK <= due <= stop.until + SOCKET_SLACK
    ]
    return max([due, *resumed])


def late_answers(
    command: RecordedCommand, due: float, slack: float
) -> Iterator[Breach]:
    """Find a missing answer to a command, and answers that came too late.

    No answer is expected where the connection was lost before the answer was due.
    """
    line = command.describe()
    if not command.answers and (
        command.lost_at is None or command.lost_at > due + slack
    ):
        yield Breach(1, f"no answer within {command.client_timeout:g} s", [line])
    for answer in command.answers:
        if answer.at > due + slack:
            yield Breach(
                1,
                f"an answer {answer.at - due:.3f} s after the client timeout",
                [line, f"{answer.at:.4f} answer {answer.kind}"],
            )


def final_answer_times(evidence: Evidence) -> dict[str, float]:
    """Return, by mark and retry, the time after which no attempt may be sent.

    That time is a command's final answer. A channel number that a gateway answered with
    `x-aborted` may still be executed by the channel's owner until the client timeout.
    """
    found: dict[str, float] = {}
    for command in evidence.commands:
        if not command.mark:
            continue
        due = answer_due(command, evidence)
        for answer in command.answers:
            stays_open = command.handle and answer.language == "x-aborted"
            found[f"{command.mark}~{command.retry}"] = (
                max(answer.at, due) if stays_open else answer.at
            )
    return found


def check_answers(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 1: each command gets one answer in time, and no attempt is sent after it.

    A command whose connection ended before its answer was due needs no answer.
    """
    for answer_line in evidence.unmatched_answers:
        yield Breach(1, "an answer that no command is waiting for", [answer_line])
    slack = SOCKET_SLACK + evidence.client_lateness
    for command in evidence.commands:
        yield from late_answers(command, answer_due(command, evidence), slack)
    answered_at = final_answer_times(evidence)
    for attempt in evidence.attempts:
        answered = answered_at.get(attempt.mark)
        # An attempt's time is when the node read it. If the nodes' process had stopped
        # reading, the attempt may have arrived as early as the start of that gap.
        if (
            attempt.mark
            and answered is not None
            and evidence.earliest_arrival(attempt.at) > answered + slack
        ):
            yield Breach(
                1,
                "an attempt after the final answer",
                [f"{answered:.4f} final answer", attempt.describe()],
            )


class RetryCheck:
    """Rule 2: no request takes effect twice, and each rejection is true.

    A non-idempotent request is not retried once it may have run; an idempotency-keyed
    one is retried only within its retry window and scope. A request that was answered
    as declined must not have run, unless it may be retried at any node.
    """

    def __init__(self, evidence: Evidence, scenario: Scenario) -> None:
        self.request_classes = {each.name: each for each in scenario.gateway.category}
        self.last_answers = {
            f"{command.mark}~{command.retry}": answer.language
            for command in evidence.commands
            for answer in command.answers
            if command.mark
        }
        self.boots = {
            note.node: note for note in evidence.notes if isinstance(note, NodeBoot)
        }

    def check(self, attempts: list[RecordedAttempt]) -> Iterator[Breach]:
        """Find breaches in the attempts of one request."""
        request_class = self.request_classes.get(attempts[0].request_class)
        if request_class is None or request_class.repeats == "rerunnable":
            return
        ran = [each for each in attempts if each.verdict not in VERDICTS_WITHOUT_EFFECT]
        lines = [each.describe() for each in attempts]
        for later in attempts:
            before = [
                each
                for each in ran
                if each.at < later.at and each.number < later.number
            ]
            text = self.retry_violation(request_class, before, later)
            if text:
                yield Breach(2, text, lines)
        language = self.last_answers.get(attempts[0].mark, "")
        retries_anywhere = (request_class.repeats, request_class.group) == (
            "ticketed",
            "all",
        )
        if ran and language.startswith("x-declined") and not retries_anywhere:
            yield Breach(2, "declined though it may have run", lines)

    def retry_violation(
        self,
        request_class: Any,
        before: list[RecordedAttempt],
        later: RecordedAttempt,
    ) -> str:
        """Return which rule a retry violates, given the attempts that may have run.

        The text is empty where the retry is allowed.
        """
        if not before:
            return ""
        if request_class.repeats == "exclusive":
            return "a non-idempotent request retried after it may have run"
        window = request_class.repeat_window_ms / 1000
        if later.at > before[0].at + window + SOCKET_SLACK:
            return "an idempotency-keyed request retried past its retry window"
        scope = request_class.group
        if scope != "all" and any(
            self.boots[each.node].scope_id(scope)
            != self.boots[later.node].scope_id(scope)
            for each in before
        ):
            return "an idempotency-keyed request retried outside its retry scope"
        return ""


def check_retries(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 2, no request takes effect twice, over all requests: see `RetryCheck`."""
    check = RetryCheck(evidence, scenario)
    for attempts in attempts_by_request(evidence).values():
        yield from check.check(attempts)
