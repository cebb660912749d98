"""Executes a client command by requests in the order that `command_steps` defines."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from milletsill.interface import Request
from milletsill.sftp import packet_codec, packets
from milletsill.sftp.extensions import CommandTerms, NodeReply, NodeReplyStatus
from milletsill.sftp_gateway.command_classification import (
    OPERATIONS,
    WRITE_OPERATIONS,
    canonical_path,
)
from milletsill.sftp_gateway.command_payload import (
    AnswerCallback,
    AttemptGuard,
    CommandPayload,
    failed_status,
    rejected_status,
)
from milletsill.sftp_gateway.command_steps import (
    MUTATING_STEPS,
    CommandStep,
    CommandStrategy,
    PageOutcome,
    StepEffect,
    StepResult,
    final_result,
    first_step,
    next_step,
    page_outcome,
    step_result,
    strategy_for,
)
from milletsill.sftp_gateway.command_targets import (
    StepTarget,
    command_with_name,
    link_target,
    unlink_target,
)
from milletsill.sftp_gateway.gateway_context import GatewayContext
from milletsill.sftp_gateway.gateway_state import client_deadline
from milletsill.sftp_gateway.object_location import ObjectLocation, parse_location
from milletsill.sftp_gateway.open_handle import OpenHandle
from milletsill.sftp_gateway.routing_table import RoutedVolume, VolumePlacement

UNKNOWN_SHARD = -1


@dataclass(frozen=True, slots=True)
class ClientCommand:
    """A client's command that needs requests to nodes.

    Attributes:
        packet: the command as the client sent it.
        terms: the terms that the client sent with the command.
        volume: the volume of the path.
        path: canonical path.
        handle: the handle that it refers to; None for a command on a path.
        arrived: the earliest possible arrival time, in tenths of a millisecond.
        octets: size of the client's packet.
        attempt_guard: the guard of a channel's request, else None.
    """

    packet: Any
    terms: CommandTerms
    volume: RoutedVolume
    path: str
    handle: OpenHandle | None
    arrived: int
    octets: int = 0
    attempt_guard: AttemptGuard | None = None


def data_size(packet: Any) -> int:
    """Return the number of bytes that a command reads or writes."""
    if isinstance(packet, packets.Write):
        return len(packet.data)
    return getattr(packet, "length", 0)


class CommandExecution:
    """A command in execution; the response sink of its requests.

    `start` sends the first request. The callback is called exactly once with the
    answer, but not after `abandon`.

    Attributes:
        steps_done: number of answered requests.
        mutated: whether one of the requests changed something at a node.
        final: the final outcome, for metrics and flow records.
    """

    def __init__(
        self, gateway: GatewayContext, given: ClientCommand, on_answer: AnswerCallback
    ) -> None:
        self.gateway = gateway
        self.on_answer = on_answer
        self.command = given.packet
        self.terms = given.terms
        self.volume = given.volume
        self.path = given.path
        self.handle = given.handle
        self.began = given.arrived
        self.octets = given.octets
        self.attempt_guard = given.attempt_guard
        self.operation = OPERATIONS[type(given.packet)]
        self.size = data_size(given.packet)
        self.request_class = gateway.routing_table.request_class(
            self.operation, given.volume, self.size
        )
        self._set_key_and_deadline()
        self.strategy = CommandStrategy.SINGLE_REQUEST
        self.step = CommandStep.HOME
        self.location: ObjectLocation | None = None
        self.steps_done = 0
        self.mutated = False
        self.shard_index = 0
        self.request_id: int | None = None
        self.final = "abandoned"
        self.saved_answer: Any = None

    def _set_key_and_deadline(self) -> None:
        gateway, terms = self.gateway, self.terms
        timeout = gateway.host.config.request_classes[self.request_class].client_timeout
        self.deadline = client_deadline(
            self.began, timeout, terms.client_timeout_ms * 10, gateway.answer_margin
        )
        guard = self.attempt_guard
        if guard is not None:
            # The guard's deadline follows from the lease and the idempotency key. It
            # does not depend on the client's first attempt.
            self.idempotency_key = guard.idempotency_key
            self.deadline = min(self.deadline, guard.deadline)
            self.is_retry = False
            return
        self.is_retry = terms.retry_count > 0
        if terms.idempotency_key:
            self.idempotency_key = f"{self.volume.number}/{terms.idempotency_key}"
        else:
            self.idempotency_key = gateway.new_idempotency_key()

    def start(self) -> None:
        """Send the first request."""
        if self.handle is not None and self.operation != "list":
            self.location = self.handle.location
            self.step = CommandStep.THERE
            self._send_request()
            return
        self.strategy, self.step = strategy_for(
            self.command, self.volume.placement, len(self.volume.shards)
        )
        if self.volume.placement == VolumePlacement.FREE:
            self.location = self.gateway.location_cache.get(self.path)
            self.step = first_step(self.strategy, self.step, self.location)
        if self.strategy is CommandStrategy.LIST and self.handle is not None:
            self.shard_index = self.handle.shard_index
        self._send_request()

    def abandon(self) -> None:
        """Cancel the current request and discard the answer: the client is gone."""
        self.on_answer = _ignore_answer
        if self.request_id is not None:
            self.gateway.host.cancel_request(self.request_id)

    # The current step.

    def _home(self, path: str) -> int:
        return self.gateway.routing_table.home_shard(self.volume, path)

    def _listed_shards(self) -> list[int]:
        """Return the volume's shards with the home shard of the path last."""
        home = self._home(self.path)
        return [each for each in self.volume.shards if each != home] + [home]

    def _named_command(self, command: Any, name: str) -> Any:
        most = self.gateway.routing_table.max_request_bytes
        return command_with_name(command, name, most)

    def _target(self) -> StepTarget:
        """Return the target of the current step."""
        if self.step is CommandStep.PLACING:
            name = self.gateway.new_object_name()
            self.location = ObjectLocation(UNKNOWN_SHARD, name)
            return StepTarget(None, name, replace(self.command, path=name))
        if self.step is CommandStep.SOURCE:
            link = packets.Readlink(0, self.path)
            return StepTarget(self._home(self.path), self.path, link)
        if self.step is CommandStep.SWEEPING:
            return self._listing_target()
        if self.location is not None and self.step is not CommandStep.HOME:
            return self._location_target(self.location)
        command = self.command
        if (
            isinstance(command, packets.Open)
            and self.strategy is CommandStrategy.CREATE
        ):
            command = replace(command, flags=command.flags & ~packets.CREATE_FLAG)
        home = self._home(self.path)
        return StepTarget(home, self.path, self._named_command(command, self.path))

    def _location_target(self, location: ObjectLocation) -> StepTarget:
        """Return the target of a step that refers to a known location."""
        if self.step is CommandStep.LINKING:
            return link_target(self._home(self.path), self.path, location)
        if self.step is CommandStep.MOVING:
            target = canonical_path(self.command.target)
            return link_target(self._home(target), target, location)
        if self.step in (CommandStep.CLEARING, CommandStep.UNLINKING):
            return unlink_target(self._home(self.path), self.path, location)
        command = self._named_command(self.command, location.name)
        return StepTarget(location.shard, location.name, command)

    def _listing_target(self) -> StepTarget:
        shard = self._listed_shards()[self.shard_index]
        name = self.path
        if self.strategy is CommandStrategy.LIST:
            after = self.handle.after if self.handle is not None else ""
            name = f"{self.path}\0{after}"
        return StepTarget(shard, self.path, self._named_command(self.command, name))

    def _send_request(self) -> None:
        """Pass the current step to the scheduler as a request."""
        gateway = self.gateway
        reason = gateway.refusal(self.deadline)
        if reason:
            delay = gateway.host.config.max_retry_after
            self._give_up(StepResult.REJECTED, delay, reason)
            return
        target = self._target()
        self.request_id = gateway.next_request_id()
        request = self._request(self.request_id, target)
        if gateway.quota_client is not None:
            gateway.quota_client.on_request(request)
        if gateway.traces is not None:
            gateway.traces.set_next_path(target.name)
        gateway.host.accept_request(request, self, self._payload(target))

    def _request(self, request_id: int, target: StepTarget) -> Request:
        table, volume = self.gateway.routing_table, self.volume
        return Request(
            request_id,
            table.request_key(target.name, getattr(target.command, "offset", 0)),
            volume.number,
            volume.sharing_gateways,
            self.request_class,
            volume.plan,
            self.is_retry,
            self.operation in WRITE_OPERATIONS or self.step in MUTATING_STEPS,
            target.shard,
            table.units(self.operation, self.size),
            self.deadline,
        )

    def _payload(self, target: StepTarget) -> CommandPayload:
        terms = self.terms
        return CommandPayload(
            target.command,
            f"{self.idempotency_key}#{self.step.name}.{self.shard_index}",
            f"{terms.idempotency_key}~{terms.retry_count}"
            if terms.idempotency_key
            else "",
            self.gateway.request_class_name(self.request_class),
            self.attempt_guard,
        )

    # Calls from the scheduler host (`ResponseSink`).

    def succeeded(self, reply: NodeReply) -> None:
        """Handle a node's answer: continue with the next step, or finish."""
        self.request_id = None
        answer = reply.answer
        status = answer.code if isinstance(answer, packets.Status) else None
        result = step_result(reply.status == NodeReplyStatus.ELSEWHERE, status)
        step = self.step
        if step is CommandStep.PLACING and self.location and reply.text.isdecimal():
            self.location = ObjectLocation(int(reply.text), self.location.name)
        self.steps_done += 1
        self.step, effect = next_step(self.strategy, step, result, self.steps_done)
        self.mutated |= step in MUTATING_STEPS and result is StepResult.SUCCEEDED
        self._apply(effect, reply.text, answer)

    def rejected(self, pause: int) -> None:
        """Finish the command: the scheduler rejected the request."""
        self.request_id = None
        self._give_up(StepResult.REJECTED, pause, "declined")

    def failed(self) -> None:
        """Finish the command: the request failed, and a node may have executed it."""
        self.request_id = None
        self._give_up(StepResult.FAILED, 0, "aborted")

    def _give_up(self, result: StepResult, retry_delay: int, reason: str) -> None:
        """Finish a command that is not executed completely."""
        id = self.command.id
        if final_result(result, self.mutated) is StepResult.FAILED:
            self._finish(failed_status(id), "aborted", reason)
        else:
            self._finish(rejected_status(id, retry_delay), "declined", reason)

    # Effects of a step.

    def _apply(self, effect: StepEffect, link: str, answer: Any) -> None:
        """Carry out the effect of a step: continue or finish the command."""
        if effect is StepEffect.HANDLE_PAGE:
            self._handle_page(answer)
            return
        if effect is StepEffect.NEXT_STEP:
            self._send_request()
        elif effect is StepEffect.FOLLOW_LINK:
            self._follow_link(link)
        elif effect is StepEffect.FORGET_LOCATION:
            self.gateway.location_cache.drop(self.path)
            self._send_request()
        elif effect is StepEffect.SAVE_ANSWER:
            self.saved_answer = answer
            self._send_request()
        elif effect is StepEffect.NEXT_SHARD:
            self._sweep_next_shard(answer)
        elif effect is StepEffect.FAIL_LINK_LOOP:
            self._give_up(StepResult.FAILED, 0, "the command's links form a loop")
        else:
            self._finish(self._last_answer(effect, answer))

    def _follow_link(self, link: str) -> None:
        self.location = parse_location(link)
        if self.location is None:
            self._finish(self._failure("the link contains no valid location"))
            return
        self.gateway.location_cache.put(self.path, self.location)
        self._send_request()

    def _sweep_next_shard(self, answer: Any) -> None:
        self.shard_index += 1
        if self.shard_index >= len(self.volume.shards):
            self._finish(answer)
            return
        self._send_request()

    def _last_answer(self, effect: StepEffect, answer: Any) -> Any:
        """Return the final answer to the command."""
        id = self.command.id
        if effect is StepEffect.ANSWER_CREATED and self.location is not None:
            self.gateway.location_cache.put(self.path, self.location)
            return self.saved_answer
        if effect is StepEffect.ANSWER_OK:
            return packets.Status(id, packets.OK)
        if effect is StepEffect.ANSWER_UNSUPPORTED:
            reason = "this object cannot be renamed"
            return packets.Status(id, packets.UNSUPPORTED, reason)
        if effect is StepEffect.ANSWER_NAME_EXISTS:
            return self._failure("the new name already exists")
        if answer is None:
            return self._failure("unexpected link instead of an object")
        return answer

    def _failure(self, reason: str) -> packets.Status:
        return packets.Status(self.command.id, packets.FAILURE, reason)

    def _handle_page(self, answer: Any) -> None:
        """Handle one page of a directory listing."""
        handle = self.handle
        assert handle is not None
        ended = not isinstance(answer, packets.DirectoryEntries)
        names = () if ended else handle.add_page(answer)
        if ended:
            handle.directory_found |= answer.code != packets.NO_SUCH_FILE
        shards_left = len(self.volume.shards) - 1 - self.shard_index
        outcome = page_outcome(len(names), ended, shards_left)
        if outcome is PageOutcome.ANSWER:
            self._finish(packets.DirectoryEntries(self.command.id, names))
            return
        if outcome is PageOutcome.END:
            self._finish(self._end_of_directory(handle))
            return
        if outcome is PageOutcome.NEXT_SHARD:
            self.shard_index += 1
            handle.next_shard(self.shard_index)
        self._send_request()

    def _end_of_directory(self, handle: OpenHandle) -> packets.Status:
        id = self.command.id
        if handle.directory_found or self.path == self.volume.root:
            return packets.Status(id, packets.EOF, "end of directory")
        return packets.Status(id, packets.NO_SUCH_FILE, "no such file")

    def _finish(self, packet: Any, final: str = "satisfied", reason: str = "") -> None:
        """Pass the final answer to the callback."""
        self.step = CommandStep.OVER
        self.final = final
        on_answer = self.on_answer
        self.on_answer = _ignore_answer
        self.gateway.on_command_finished(self, final, reason)
        on_answer(packet_codec.with_id(packet, self.command.id))


def _ignore_answer(packet: Any) -> None:
    """Ignore the answer to a command that is abandoned or already answered."""
