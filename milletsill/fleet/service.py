"""One gateway's place in its fleet: sockets around the machine of `members`. The `Plane` that other parts build on.

A gateway whose file has no `fleet` block loads none of this.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random, SystemRandom
from typing import Any

from twisted.internet.error import CannotListenError

from milletsill.errors import MilletsillError
from milletsill.fleet import errors
from milletsill.fleet.frames.codec import (
    MOST_BODY,
    MOST_DATAGRAM,
    Codec,
    FleetNameMismatch,
    FrameTooLong,
    FrameVersionTooNew,
    MalformedFrame,
)
from milletsill.fleet.frames.messages import VERSION, FleetMessage, FrameType
from milletsill.fleet.membership.effects import (
    ViewChanged,
    IncarnationChanged,
    Effect,
    OperatorEventKind,
    OperatorEvent,
    SendMessage,
)
from milletsill.fleet.membership.failure_detector import BEAT, Own, Terms
from milletsill.fleet.membership.membership import Membership
from milletsill.fleet.metrics import Figures
from milletsill.fleet.net.datagrams import listen
from milletsill.fleet.net.streams import Door, Streams
from milletsill.fleet.transport import (
    ViewChange,
    MessageKind,
    Member,
    MemberState,
    View,
)

GATHER = 200  # changes so close together make one view
SAY_EVERY = 100_000  # between lines about frames of one cause
LINES, LINES_OVER = (
    50,
    10_000,
)  # of members' changes, so many in that span; the rest are counted
ALONE_AFTER = 100_000
SAID_FROM = 5000  # a stall of this gateway that is worth a line
CAUSES: dict[type[MilletsillError], str] = {
    FrameTooLong: "too_long",
    MalformedFrame: "unreadable",
    FleetNameMismatch: "other_fleet",
    FrameVersionTooNew: "too_new",
}


def terms_of(link: Any) -> Terms:
    """From the block of a file."""
    return Terms(
        link.name,
        int(link.probe_ms * 10),
        int(link.answer_ms * 10),
        link.through,
        int(link.suspicion_ms * 10),
        int(link.exchange_s * 10_000),
        link.most_members,
        int(link.remember_s * 10_000),
    )


class Fleet:
    """`remark` takes a line that someone should look at, `note` one that says what goes on, `keep` a run to remember."""

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        file: Any,
        seed: int,
        run: int,
        remark: Callable[..., None],
        note: Callable[..., None],
        keep: Callable[[int], None],
        registry: Any,
        version: int = VERSION,
    ) -> None:
        self.reactor, self.now, self.link, self.name, self.first_run = (
            reactor,
            now,
            file.fleet,
            file.name,
            run,
        )
        self.remark, self.note, self.keep, self.chance = (
            remark,
            note,
            keep,
            Random(seed),
        )
        self.terms, self.codec, self.figures = (
            terms_of(file.fleet),
            Codec(file.fleet.name, version),
            Figures(registry),
        )
        self.member: Membership | None = None
        self.view, self.version = View(0, ()), 0
        self.ears: dict[MessageKind, list[Callable[[str, int, bytes], None]]] = {}
        self.watchers: list[
            Callable[[View, Sequence[tuple[ViewChange, Member]]], None]
        ] = []
        self.changes: list[tuple[ViewChange, Member]] = []
        self.said: dict[str, int] = {}
        self.lines, self.lines_since, self.began, self.alone = 0, 0, now(), False
        self.calls: dict[str, Any] = {}
        self.ports: list[Any] = []
        self.stopped = False

    # Life.

    def start(self) -> None:
        """Listen, and speak to the first others. Raises NoFleetAddress."""
        host, _, port = self.link.address.rpartition(":")
        self.door = Door(self.now, lambda data: self.came(data, "stream"), self.refused)
        self.streams = Streams(self.reactor, self.now, host)
        try:
            self.ports.append(
                self.reactor.listenTCP(int(port), self.door, interface=host)
            )
            number = self.ports[0].getHost().port
            self.datagrams, udp = listen(
                self.reactor, host, number, lambda data: self.came(data, "datagram")
            )
            self.ports.append(udp)
        except CannotListenError as error:
            raise errors.FleetAddressUnavailable(
                str(error), self.link.address
            ) from None
        address = self.link.advertise or f"{host}:{number}"
        self.began = self.now()
        self.member = Membership(
            self.name,
            address,
            self.first_run,
            SystemRandom().getrandbits(64),
            self.terms,
            self.chance,
            self.link.join,
            self.began,
        )
        self.note(
            "fleet_joining",
            fleet=self.link.name,
            address=address,
            run=self.incarnation,
            join=len(self.link.join),
        )
        self.change()
        self.tick()
        self.look()

    def leave(self) -> None:
        """SIGTERM: the others are told; what is told to this gateway is still heard until `stop`."""
        if self.member is not None and self.member.rolls.own is not Own.LEAVING:
            self.act(self.member.leave(self.now()))

    def stop(self) -> None:
        self.leave()
        self.stopped = True
        for each in self.calls.values():
            if each.active():
                each.cancel()
        for port in self.ports:
            port.stopListening()
        if self.member is not None:
            self.door.close()
            self.streams.close()

    def later(self, name: str, span: int, call: Callable[[], None]) -> None:
        """One timer a name."""
        if not self.stopped:
            self.calls[name] = self.reactor.callLater(span / 10_000, call)

    def tick(self) -> None:
        self.later("tick", BEAT, self.tick)
        self.act(self.member.tick(self.now()))

    def look(self) -> None:
        """Once a second: streams, gauges, and whether anybody is there."""
        self.later("look", 10_000, self.look)
        self.streams.look()
        self.door.look()
        member, figures = self.member, self.figures
        held = [each.standing for each in member.rolls.table.held.values()]
        for standing in MemberState:
            figures.members.labels(standing.name.lower()).set(held.count(standing))
        figures.doubt.set(member.score)
        figures.troubled.set(member.troubled)
        figures.run.set(self.incarnation)
        figures.waiting.set(self.streams.waiting())
        figures.streams.labels("out").set(len(self.streams.held))
        figures.streams.labels("in").set(len(self.door.ears))
        if len(held) > 1:
            self.alone = False
        elif not self.alone and member.join and self.now() - self.began >= ALONE_AFTER:
            self.alone = True
            self.say(
                errors.NoPeersReachable(
                    "no other gateway has answered", f"fleet {self.link.name!r}"
                )
            )

    # The plane.

    @property
    def incarnation(self) -> int:
        return self.member.rolls.me.run if self.member is not None else self.first_run

    @property
    def troubled(self) -> bool:
        """Whether most of this gateway's probes come to nothing: it may be cut off, and its view old."""
        return self.member is not None and self.member.troubled

    def send(self, member: str, kind: MessageKind, body: bytes) -> bool:
        held = self.view.by_name.get(member)
        if (
            held is None
            or member == self.name
            or len(body) > MOST_BODY
            or self.stopped
            or self.member is None
        ):
            return False
        return self.transmit(
            SendMessage(
                held.address,
                FleetMessage(
                    FrameType.BODY, self.member.rolls.sender, kind=kind, body=body
                ),
                True,
            )
        )

    def subscribe(
        self, kind: MessageKind, heard: Callable[[str, int, bytes], None]
    ) -> None:
        self.ears.setdefault(kind, []).append(heard)

    def watch_view(
        self, told: Callable[[View, Sequence[tuple[ViewChange, Member]]], None]
    ) -> None:
        self.watchers.append(told)

    # Frames.

    def came(self, data: bytes, over: str) -> None:
        """One frame's octets."""
        if self.stopped or self.member is None:
            return None
        self.figures.count("in", over, len(data))
        try:
            if over == "datagram" and len(data) > MOST_DATAGRAM:
                raise FrameTooLong(f"a datagram of more than {MOST_DATAGRAM} octets")
            message = self.codec.decode(data)
        except (MalformedFrame, FleetNameMismatch, FrameVersionTooNew) as error:
            return self.refused(error)
        self.act(self.member.heard(self.now(), message))
        if message.type is None:
            self.figures.refused.labels("unknown_what").inc()
        elif message.type is FrameType.BODY:
            self.body(message)

    def body(self, message: FleetMessage) -> None:
        """What another part of the program is told; from one that is in the view, in that start."""
        held = self.member.rolls.table.get(message.sender.name)
        if (
            message.kind is None
            or held is None
            or held.nonce != message.sender.nonce
            or not held.mark
        ):
            return self.figures.refused.labels(
                "unknown_kind" if message.kind is None else "not_a_member"
            ).inc()
        for each in self.ears.get(message.kind, ()):
            each(held.name, held.run, message.body)

    def refused(self, error: MilletsillError) -> None:
        """Counted; said now and then."""
        cause = CAUSES[type(error)]
        self.figures.refused.labels(cause).inc()
        now = self.now()
        if now - self.said.get(cause, now - SAY_EVERY) >= SAY_EVERY:
            self.said[cause] = now
            self.say(error)

    def say(self, error: MilletsillError, **values: Any) -> None:
        self.remark("fleet", **error.log_fields(), **values)

    def transmit(self, sent: SendMessage) -> bool:
        data, over = (
            self.codec.encode(sent.message),
            "stream" if sent.stream else "datagram",
        )
        went = (
            self.streams.say(sent.address, data)
            if sent.stream
            else self.datagrams.send(sent.address, data)
        )
        if went:
            self.figures.count("out", over, len(data))
        else:
            self.figures.unsent.labels(over).inc()
        return went

    # What the membership wants done.

    def act(self, effects: Sequence[Effect]) -> None:
        for each in effects:
            if isinstance(each, SendMessage):
                self.transmit(each)
            elif isinstance(each, ViewChanged):
                self.changed(each)
            elif isinstance(each, IncarnationChanged):
                self.keep(each.incarnation)
            else:
                self.speak(each)

    def changed(self, changed: ViewChanged) -> None:
        """Changes that come close together make one view."""
        change, member = changed.change, changed.member
        self.figures.changes.labels(change.name.lower()).inc()
        if change in (ViewChange.GONE, ViewChange.LEFT) and member.name != self.name:
            self.streams.away(member.address)
        now = self.now()
        if now - self.lines_since >= LINES_OVER:
            self.lines, self.lines_since = 0, now
        self.lines += 1
        if self.lines <= LINES:
            self.note(
                "member",
                change=change.name.lower(),
                member=member.name,
                run=member.incarnation,
                address=member.address,
            )
        if not self.changes:
            self.later("change", GATHER, self.change)
        self.changes.append((change, member))

    def change(self) -> None:
        """The next view, told to all who watch."""
        changes, self.changes = self.changes, []
        self.version += 1
        self.view = View(
            self.version,
            (each.member() for each in self.member.rolls.table.held.values()),
        )
        self.figures.view.set(self.view.digest & ((1 << 48) - 1))
        self.figures.version.set(self.version)
        self.note(
            "view",
            version=self.version,
            members=len(self.view.members),
            digest=f"{self.view.digest:016x}",
        )
        for each in self.watchers:
            each(self.view, changes)

    def speak(self, said: OperatorEvent) -> None:
        """Lines for an operator."""
        if said.what is OperatorEventKind.LOST_STATE:
            self.say(
                errors.IncarnationLost(
                    f"run {said.span} of {self.name!r} is known to others, at {said.where}",
                    "state_dir",
                ),
                run=self.incarnation,
            )
        elif said.what is OperatorEventKind.TWIN:
            self.say(
                errors.DuplicateMemberName(
                    f"another live gateway is called {self.name!r}", said.where
                ),
                resting=self.member.rolls.own is Own.DISPLACED,
            )
        elif said.what is OperatorEventKind.FULL:
            now = self.now()
            if now - self.said.get("full", now - SAY_EVERY) >= SAY_EVERY:
                self.said["full"] = now
                self.say(
                    errors.MemberLimitReached(
                        f"{said.where!r} has no place among {self.terms.most_members}",
                        "fleet.most_members",
                    )
                )
        elif said.what is OperatorEventKind.STOOD and said.span >= SAID_FROM:
            self.remark("fleet_stood", ms=said.span / 10)
        elif said.what is OperatorEventKind.REFUTED:
            self.remark("fleet_refuted", doubt=self.member.score)
