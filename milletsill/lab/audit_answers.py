"""Rules 1 and 2: one final answer in time, and no effect twice."""

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

WITHOUT_EFFECT = (1, 2)
"""Verdicts of a node after which an attempt had no effect."""


def answer_due(command: RecordedCommand, evidence: Evidence) -> float:
    """Return when a command has to be answered at the latest.

    A gateway that the laboratory stopped is not running: it owes its answer once it
    runs again.
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
    """Find a command's answers that are missing or came too late."""
    line = command.describe()
    if not command.answers and (
        command.lost_at is None or command.lost_at > due + slack
    ):
        yield Breach(1, f"no answer within {command.client_timeout:g} s", [line])
    for answer in command.answers:
        if answer.at > due + slack:
            yield Breach(
                1,
                f"an answer {answer.at - due:.3f} s after patience",
                [line, f"{answer.at:.4f} answer {answer.kind}"],
            )


def final_answer_times(evidence: Evidence) -> dict[str, float]:
    """Return by mark and retry from when on nothing of a command may be sent.

    A number that a gateway gave up with `aborted` may yet be done by its channel's
    owner, as long as its client's timeout.
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
    """Rule 1: each command has one answer in time, and nothing is sent after it.

    A command whose connection ended before is owed none.
    """
    for stray in evidence.unowed_answers:
        yield Breach(1, "an answer that is not owed", [stray])
    slack = SOCKET_SLACK + evidence.client_lateness
    for command in evidence.commands:
        yield from late_answers(command, answer_due(command, evidence), slack)
    answered_at = final_answer_times(evidence)
    for attempt in evidence.attempts:
        answered = answered_at.get(attempt.mark)
        # Its time is that of the node's read: where the nodes' process stood, it may
        # have been there since that began.
        if (
            attempt.mark
            and answered is not None
            and evidence.earliest_arrival(attempt.at) > answered + slack
        ):
            yield Breach(
                1,
                "a dispatch after the final answer",
                [f"{answered:.4f} final answer", attempt.describe()],
            )


class RepeatCheck:
    """Rule 2: nothing takes effect twice, and no rejection is untrue.

    A non-idempotent request is not sent again once it may have run; one with an
    idempotency key only within its retry window and scope.
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
        ran = [each for each in attempts if each.verdict not in WITHOUT_EFFECT]
        lines = [each.describe() for each in attempts]
        for later in attempts:
            before = [
                each
                for each in ran
                if each.at < later.at and each.number < later.number
            ]
            text = self.fault_of_repeat(request_class, before, later)
            if text:
                yield Breach(2, text, lines)
        language = self.last_answers.get(attempts[0].mark, "")
        retries_anywhere = (request_class.repeats, request_class.group) == (
            "ticketed",
            "all",
        )
        if ran and language.startswith("x-declined") and not retries_anywhere:
            yield Breach(2, "declined though it may have run", lines)

    def fault_of_repeat(
        self,
        request_class: Any,
        before: list[RecordedAttempt],
        later: RecordedAttempt,
    ) -> str:
        """Return what is wrong with an attempt after others that may have run."""
        if not before:
            return ""
        if request_class.repeats == "exclusive":
            return "an exclusive transfer sent again after it may have run"
        window = request_class.repeat_window_ms / 1000
        if later.at > before[0].at + window + SOCKET_SLACK:
            return "a ticketed transfer sent again past its window"
        scope = request_class.group
        if scope != "all" and any(
            self.boots[each.node].place(scope) != self.boots[later.node].place(scope)
            for each in before
        ):
            return "a ticketed transfer sent again outside its group"
        return ""


def check_repeats(evidence: Evidence, scenario: Scenario) -> Iterator[Breach]:
    """Rule 2, over all requests: see `RepeatCheck`."""
    check = RepeatCheck(evidence, scenario)
    for attempts in attempts_by_request(evidence).values():
        yield from check.check(attempts)
