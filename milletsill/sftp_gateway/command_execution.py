"""One client command on its way: transfers one after another as edge/decide.py's table says, then one answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from milletsill.interface import Request
from milletsill.sftp import extensions, packets
from milletsill.sftp.extensions import ELSEWHERE, Terms, Verdict
from milletsill.sftp_gateway.gateway_context import GatewayContext
from milletsill.sftp_gateway.routing import (
    FREE,
    MUTATING_STEPS,
    OPERATIONS,
    WRITE_OPERATIONS,
    CommandStep,
    CommandStrategy,
    LocationCache,
    ObjectLocation,
    RoutedVolume,
    StepResult,
    client_deadline,
    first_step,
    format_location,
    next_step,
    page,
    parse_location,
    step_result,
    strategy_for,
    told,
)

Answered = Callable[[Any], None]
MOST_SEEN = 10_000  # names of directories that a listing remembers, to tell each once


class OpenHandle:
    """What a client's handle stands for; `names`, `after`, `turn` and `found` are of a directory being read."""

    __slots__ = ("volume", "path", "location", "names", "after", "turn", "found")

    def __init__(
        self, volume: RoutedVolume | None, path: str, spot: ObjectLocation | None
    ) -> None:
        self.volume, self.path, self.location = volume, path, spot
        self.names: set[str] = set()
        self.after, self.turn, self.found = "", 0, False


def declined(id: int, pause: int) -> packets.Status:
    """The answer to a declined command; the pause in tenths of a millisecond."""
    wait = -(-pause // 10)
    return packets.Status(
        id,
        packets.FAILURE,
        f"declined: nothing was done, come again in {wait} ms",
        f"x-declined-{wait}",
    )


def aborted(id: int) -> packets.Status:
    return packets.Status(
        id, packets.FAILURE, "aborted: it may have been done or not", "x-aborted"
    )


@dataclass(frozen=True, slots=True)
class CommandPayload:
    """What a dispatch to a disk box carries beside the transfer's figures."""

    command: Any
    ticket: str
    mark: str
    category: str
    attempt_guard: Any = (
        None  # of a channel's transfer: whether it may still leave (fleet/channels)
    )


class CommandExecution:
    """One command that costs boxes work. Made, then `start`; `answered` is called once, unless it is abandoned."""

    def __init__(
        self,
        edge: GatewayContext,
        command: Any,
        terms: Terms,
        volume: RoutedVolume,
        path: str,
        opened: OpenHandle | None,
        answered: Answered,
        came: int,
        gate: Any = None,
    ) -> None:
        self.edge, self.command, self.terms, self.answered = (
            edge,
            command,
            terms,
            answered,
        )
        self.volume, self.path, self.opened = volume, path, opened
        self.operation = OPERATIONS[type(command)]
        self.size = (
            len(command.data)
            if isinstance(command, packets.Write)
            else getattr(command, "length", 0)
        )
        self.category = edge.routing_table.category(self.operation, volume, self.size)
        self.began = came
        figures = edge.host.config.request_classes[self.category]
        self.ends = client_deadline(
            self.began, figures.client_timeout, terms.patience * 10, edge.answer_margin
        )
        self.mark = f"{volume.number}/{terms.mark}" if terms.mark else edge.mark()
        self.attempt_guard, self.repeat = gate, terms.tries > 0
        if gate is not None:
            # Its end is the office's or its ticket's, which says nothing of when its client first tried.
            self.mark, self.ends, self.repeat = (
                gate.idempotency_key,
                min(self.ends, gate.deadline),
                False,
            )
        self.course, self.leg = CommandStrategy.PLAIN, CommandStep.HOME
        self.location: ObjectLocation | None = None
        self.legs, self.done_before, self.turn = 0, False, 0
        self.transfer: int | None = None
        self.octets, self.final = 0, "abandoned"  # of the client's packet; how it ended
        self.made: Any = None  # the answer of the leg whose result the client gets

    @property
    def remembered(self) -> LocationCache:
        return self.edge.location_cache

    def start(self) -> None:
        """The first transfer."""
        if self.opened is not None and self.operation != "list":
            self.location, self.leg = self.opened.location, CommandStep.THERE
            return self.launch()
        self.course, self.leg = strategy_for(
            self.command, self.volume.placement, len(self.volume.cells)
        )
        if self.volume.placement == FREE:
            self.location = self.remembered.get(self.path)
            self.leg = first_step(self.course, self.leg, self.location)
        if self.course is CommandStrategy.LIST and self.opened is not None:
            self.turn = self.opened.turn
        self.launch()

    def cells(self) -> list[int]:
        """The volume's cells, the home of the path last."""
        home = self.edge.routing_table.home(self.volume, self.path)
        return [each for each in self.volume.cells if each != home] + [home]

    def target(self) -> tuple[int | None, str, Any]:
        """Cell, object name and command of the present leg."""
        command, home = self.command, self.edge.routing_table.home
        if self.leg is CommandStep.THERE and self.location is not None:
            return (
                self.location.cell,
                self.location.name,
                self.named(command, self.location.name),
            )
        if self.leg is CommandStep.PLACING:
            name = self.edge.object_name()
            self.location = ObjectLocation(-1, name)
            return None, name, replace(command, path=name)
        if self.leg is CommandStep.LINKING and self.location is not None:
            return (
                home(self.volume, self.path),
                self.path,
                packets.Symlink(0, self.path, format_location(self.location)),
            )
        if self.leg is CommandStep.MOVING and self.location is not None:
            target = self.edge.canonical(command.target)
            return (
                home(self.volume, target),
                target,
                packets.Symlink(0, target, format_location(self.location)),
            )
        if (
            self.leg in (CommandStep.CLEARING, CommandStep.UNLINKING)
            and self.location is not None
        ):
            return (
                home(self.volume, self.path),
                self.path,
                packets.Symlink(0, self.path, "-" + format_location(self.location)),
            )
        if self.leg is CommandStep.SOURCE:
            return (
                home(self.volume, self.path),
                self.path,
                packets.Readlink(0, self.path),
            )
        if self.leg is CommandStep.SWEEPING:
            after = self.opened.after if self.opened is not None else ""
            return (
                self.cells()[self.turn],
                self.path,
                self.named(
                    command,
                    self.path + "\0" + after
                    if self.course is CommandStrategy.LIST
                    else self.path,
                ),
            )
        if isinstance(command, packets.Open) and self.course is CommandStrategy.MAKE:
            command = replace(command, flags=command.flags & ~packets.CREATE_FLAG)
        return home(self.volume, self.path), self.path, self.named(command, self.path)

    def named(self, command: Any, name: str) -> Any:
        """The client's command with the name that the box knows."""
        if isinstance(command, packets.Extended):
            return extensions.put_fsync(0, name.encode("utf-8", "surrogateescape"))
        if hasattr(command, "handle"):
            command = replace(command, handle=name.encode("utf-8", "surrogateescape"))
            if isinstance(command, packets.Read):
                command = replace(
                    command,
                    length=min(command.length, self.edge.routing_table.most_bytes),
                )
            return command
        if isinstance(command, packets.Rename):
            return replace(
                command, path=name, target=self.edge.canonical(command.target)
            )
        return replace(command, path=name)

    def launch(self) -> None:
        """Hand the present leg to the module as a transfer."""
        edge = self.edge
        why = edge.refusal(self.ends)
        if why:
            return self.gave_up(
                StepResult.DECLINED, edge.host.config.max_retry_after, why
            )
        cell, name, command = self.target()
        self.transfer = edge.next_transfer()
        write = self.operation in WRITE_OPERATIONS or self.leg in MUTATING_STEPS
        arrival = Request(
            self.transfer,
            edge.routing_table.extent(name, getattr(command, "offset", 0)),
            self.volume.number,
            self.volume.gateways,
            self.category,
            self.volume.plan,
            self.repeat,
            write,
            cell,
            edge.routing_table.units(self.operation, self.size),
            self.ends,
        )
        if edge.parts is not None:
            edge.parts.arrived(arrival)
        if edge.traces is not None:
            edge.traces.path(name)
        edge.host.take(
            arrival,
            self,
            CommandPayload(
                command,
                f"{self.mark}#{self.leg.name}.{self.turn}",
                f"{self.terms.mark}~{self.terms.tries}" if self.terms.mark else "",
                edge.category_name(self.category),
                self.attempt_guard,
            ),
        )

    def abandon(self) -> None:
        """The client has left."""
        self.answered = lambda packet: None
        if self.transfer is not None:
            self.edge.host.cancel_request(self.transfer)

    # The host's word on the present transfer.

    def succeeded(self, verdict: Verdict) -> None:
        self.transfer = None
        answer, moved = verdict.answer, verdict.verdict == ELSEWHERE
        code = answer.code if isinstance(answer, packets.Status) else None
        reply = step_result(moved, code)
        if (
            self.leg is CommandStep.PLACING
            and self.location is not None
            and verdict.text.isdecimal()
        ):
            self.location = ObjectLocation(int(verdict.text), self.location.name)
        before, self.legs = self.leg, self.legs + 1
        self.leg, effect = next_step(self.course, before, reply, self.legs)
        self.done_before |= before in MUTATING_STEPS and reply is StepResult.FINE
        self.follow(effect, verdict, answer)

    def rejected(self, pause: int) -> None:
        self.transfer = None
        self.gave_up(StepResult.DECLINED, pause, "declined")

    def failed(self) -> None:
        self.transfer = None
        self.gave_up(StepResult.ABORTED, 0, "aborted")

    def gave_up(self, reply: StepResult, pause: int, why: str) -> None:
        """The command ends without having been done in full."""
        told_as, id = told(reply, self.done_before), self.command.id
        packet = aborted(id) if told_as is StepResult.ABORTED else declined(id, pause)
        self.finish(
            packet, "aborted" if told_as is StepResult.ABORTED else "declined", why
        )

    def follow(self, effect: str, verdict: Verdict, answer: Any) -> None:
        """Do what the table says and go on, or end."""
        if effect in ("follow", "carry"):
            self.location = parse_location(verdict.text)
            if self.location is None:
                return self.finish(
                    packets.Status(
                        self.command.id, packets.FAILURE, "a link that leads nowhere"
                    )
                )
            self.remembered.put(self.path, self.location)
        elif effect == "forget":
            self.remembered.drop(self.path)
        elif effect == "keep":
            self.made = answer
        elif effect == "next":
            self.turn += 1
            if self.turn >= len(self.volume.cells):
                return self.finish(answer)
        elif effect == "page":
            return self.paged(answer)
        elif effect:
            return self.conclude(effect, answer)
        self.launch()

    def conclude(self, effect: str, answer: Any) -> None:
        """The last answer of a course."""
        id = self.command.id
        if effect == "made" and self.location is not None:
            self.remembered.put(self.path, self.location)
            answer = self.made
        elif effect == "done":
            answer = packets.Status(id, packets.OK)
        elif effect == "unsupported":
            answer = packets.Status(
                id, packets.UNSUPPORTED, "this object cannot be renamed"
            )
        elif effect == "taken":
            answer = packets.Status(id, packets.FAILURE, "the new name stands already")
        elif effect == "tangled":
            return self.gave_up(StepResult.ABORTED, 0, "links that lead in a circle")
        elif answer is None:
            answer = packets.Status(id, packets.FAILURE, "a link where none belongs")
        self.finish(answer)

    def paged(self, answer: Any) -> None:
        """One page of a directory."""
        opened, names = self.opened, ()
        assert opened is not None
        if isinstance(answer, packets.Names):
            names = tuple(
                each for each in answer.names if each.filename not in opened.names
            )
            opened.after, opened.found = (
                answer.names[-1].filename if answer.names else "",
                True,
            )
            folders = {
                each.filename
                for each in names
                if (each.attrs.mode or 0) & 0o170000 == 0o040000
            }
            if len(opened.names) < MOST_SEEN:
                opened.names |= folders
        else:
            opened.found |= answer.code != packets.NO_SUCH_FILE
        what = page(
            len(names),
            not isinstance(answer, packets.Names),
            len(self.volume.cells) - 1 - self.turn,
        )
        if what == "next":
            self.turn += 1
            opened.turn, opened.after = self.turn, ""
        if what == "answer":
            return self.finish(packets.Names(self.command.id, names))
        if what == "end":
            root = self.path == self.volume.root
            code = packets.EOF if opened.found or root else packets.NO_SUCH_FILE
            return self.finish(
                packets.Status(
                    self.command.id,
                    code,
                    "the end" if code == packets.EOF else "no such file",
                )
            )
        self.launch()

    def finish(self, packet: Any, final: str = "satisfied", why: str = "") -> None:
        """The one answer to the client."""
        self.leg, self.final = CommandStep.OVER, final
        answered, self.answered = self.answered, lambda packet: None
        self.edge.told(self, final, why)
        answered(packets.with_id(packet, self.command.id))
