"""A fleet on a simulated clock: many memberships, the very machines of `fleet/members`, and a network between them that has latency,
loses and is cut. Gateways stand still, are killed, leave and come back. What others tell over the fleet's plane is played too.

Times are tenths of a millisecond. The same seed plays the same run.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from copy import copy
from random import Random
from typing import Any

from milletsill.fleet.frames.codec import MAX_BODY, FrameCodec
from milletsill.fleet.frames.messages import FleetMessage, FrameType
from milletsill.fleet.frames.stream_framing import add_length_prefix
from milletsill.fleet.membership.config import TICK_INTERVAL, MembershipConfig
from milletsill.fleet.membership.effects import (
    Effect,
    OperatorEvent,
    SendMessage,
    ViewChanged,
)
from milletsill.fleet.membership.local_member import LocalIdentity
from milletsill.fleet.membership.membership import Membership
from milletsill.fleet.transport import (
    MemberChange,
    MessageHandler,
    MessageKind,
    View,
    ViewChange,
    ViewHandler,
)

MS, SECOND = 10, 10_000
SOCKET = 400  # datagrams that a socket holds for a gateway that stands still
RETRY = 2000  # a lost piece of a stream comes that much later


class Stand:
    """One simulated gateway; a `Plane` for what is built on the fleet."""

    def __init__(
        self, clock: FleetClock, name: str, run: int, join: Sequence[str]
    ) -> None:
        self.clock, self.name, self.address = clock, name, f"{name}:1"
        self.chance = Random(clock.chance.getrandbits(64))
        self.member = Membership(
            LocalIdentity(name, self.address, run, self.chance.getrandbits(64)),
            clock.terms,
            join,
            self.chance,
            clock.now,
        )
        self.up, self.stands_until, self.backlog = True, 0, list[FleetMessage]()
        self.ears: dict[MessageKind, list[MessageHandler]] = {}
        self.watchers: list[ViewHandler] = []
        self.changes: list[MemberChange] = []
        self.version, self.made = 0, View(0, ())
        self.said: Counter[str] = Counter()
        clock.at(clock.now + self.chance.randrange(TICK_INTERVAL), self.beat)

    # The plane.

    @property
    def incarnation(self) -> int:
        return self.member.state.local.entry.incarnation

    @property
    def view(self) -> View:
        if self.made.version != self.version or not self.version:
            self.made = View(
                self.version,
                (each.to_member() for each in self.member.state.table.entries.values()),
            )
        return self.made

    def send(self, member: str, kind: MessageKind, body: bytes) -> bool:
        known = self.member.state.table.get(member)
        if (
            known is None
            or not known.in_view
            or member == self.name
            or len(body) > MAX_BODY
        ):
            return False
        self.clock.send(
            self,
            SendMessage(
                known.address,
                FleetMessage(
                    FrameType.APPLICATION,
                    self.member.state.local.update,
                    kind=kind,
                    body=body,
                ),
                True,
            ),
        )
        return True

    def subscribe(self, kind: MessageKind, handler: MessageHandler) -> None:
        self.ears.setdefault(kind, []).append(handler)

    def watch_view(self, handler: ViewHandler) -> None:
        self.watchers.append(handler)

    # Time and frames.

    def beat(self) -> None:
        if not self.up:
            return None
        if self.clock.now < self.stands_until:
            return self.clock.at(self.stands_until, self.beat)
        self.act(self.member.tick(self.clock.now))
        backlog, self.backlog = self.backlog, []
        for message in backlog:
            self.heard(message)
        self.clock.at(self.clock.now + TICK_INTERVAL, self.beat)

    def arrive(self, message: FleetMessage, stream: bool) -> None:
        """While it stands its sockets hold what comes, up to a bound; it wakes with its timers, then reads them."""
        if not self.up:
            return
        if self.clock.now < self.stands_until or self.backlog:
            if stream or len(self.backlog) < SOCKET:
                self.backlog.append(message)
            return
        self.heard(message)

    def heard(self, message: FleetMessage) -> None:
        self.act(self.member.on_message(self.clock.now, message))
        if message.type is FrameType.APPLICATION and message.kind is not None:
            held = self.member.state.table.get(message.sender.name)
            if held is not None and held.nonce == message.sender.nonce and held.in_view:
                for each in self.ears.get(message.kind, ()):
                    each(held.name, held.incarnation, message.body)

    def act(self, effects: Iterable[Effect]) -> None:
        for each in effects:
            if isinstance(each, SendMessage):
                self.clock.send(self, each)
            elif isinstance(each, ViewChanged):
                self.version += 1
                self.clock.changed(self, each)
                if self.watchers:
                    if not self.changes:
                        self.clock.at(self.clock.now, self.tell_watchers)
                    self.changes.append(MemberChange(each.change, each.member))
            elif isinstance(each, OperatorEvent):
                self.said[each.kind.name] += 1

    def tell_watchers(self) -> None:
        changes, self.changes = self.changes, []
        for each in self.watchers:
            each(self.view, changes)


class FleetClock:
    """`delay`: from and to, of a datagram one way. With `octets` every frame goes through the codec and is counted."""

    def __init__(
        self,
        seed: int,
        terms: MembershipConfig | None = None,
        delay: tuple[int, int] = (2, 20),
        loss: float = 0.0,
        octets: bool = False,
    ) -> None:
        self.chance, self.terms, self.delay, self.loss = (
            Random(seed),
            terms or MembershipConfig("fleet"),
            delay,
            loss,
        )
        self.now, self.events, self.numbers = (
            0,
            list[tuple[int, int, Callable[..., object], tuple[Any, ...]]](),
            0,
        )
        self.stands: dict[str, Stand] = {}
        self.walls: list[tuple[frozenset[str], frozenset[str]]] = []
        self.streams: dict[tuple[str, str], int] = {}
        self.codec = FrameCodec(self.terms.fleet) if octets else None
        self.packets: Counter[str] = Counter()
        self.octets: Counter[str] = Counter()
        self.false: list[
            tuple[int, str, str]
        ] = []  # deaths of members that live: when, at whom, of whom
        self.frames = 0

    def at(self, when: int, call: Callable[..., object], *values: Any) -> None:
        self.numbers += 1
        heapq.heappush(self.events, (when, self.numbers, call, values))

    def run(
        self, until: int, stop: Callable[[], bool] | None = None, look: int = 1000
    ) -> bool:
        """Up to that time, or until `stop` holds, looked at this often."""
        next_look = self.now + look
        while self.events and self.events[0][0] <= until:
            when, _, call, values = heapq.heappop(self.events)
            while stop is not None and when >= next_look:
                self.now, next_look = next_look, next_look + look
                if stop():
                    heapq.heappush(self.events, (when, _, call, values))
                    return True
            self.now = when
            call(*values)
        self.now = until
        return stop is not None and stop()

    # Gateways.

    def start(self, name: str, run: int = 1, join: Sequence[str] = ()) -> Stand:
        """A new one, or a new start of one that was killed; `join` names of others."""
        self.stands[name] = found = Stand(
            self, name, run, [f"{each}:1" for each in join]
        )
        return found

    def whole(self, count: int, settle: int = 30 * SECOND) -> None:
        """A fleet that knows itself: each is told of all, as after a long calm."""
        names = [f"gateway-{each}" for each in range(count)]
        for name in names:
            self.start(name, join=self.chance.sample(names, min(3, count)))
        self.acquaint()
        self.run(self.now + settle)

    def acquaint(self) -> None:
        """Each is told of all."""
        known = {
            name: stand.member.state.local.entry for name, stand in self.stands.items()
        }
        mark, ring = (
            0,
            sorted((each.ring_position, name) for name, each in known.items()),
        )
        for each in known.values():
            mark ^= each.digest
        for name, stand in self.stands.items():
            table = stand.member.state.table
            table.entries = {
                other: each if other == name else copy(each)
                for other, each in known.items()
            }
            table.ring, table.digest = list(ring), mark
            stand.member.state.gossip.discard(name)
            stand.version += 1

    def kill(self, name: str) -> None:
        self.stands[name].up = False

    def leave(self, name: str) -> None:
        """SIGTERM; the process ends with it."""
        stand = self.stands[name]
        stand.act(stand.member.leave(self.now))
        stand.up = False

    def stall(self, name: str, span: int) -> None:
        """It stands still from now."""
        stand = self.stands[name]
        stand.stands_until = max(stand.stands_until, self.now + span)

    # The network.

    def cut(self, one: Iterable[str], other: Iterable[str], both: bool = True) -> None:
        """Nothing goes from one to the other any more, nor back if both."""
        one, other = frozenset(one), frozenset(other)
        self.walls.append((one, other))
        if both:
            self.walls.append((other, one))

    def heal(self) -> None:
        self.walls.clear()

    def send(self, stand: Stand, sent: SendMessage) -> None:
        message, to = sent.message, sent.address.rpartition(":")[0]
        if self.codec is not None:
            data = self.codec.encode(message)
            message = self.codec.decode(data)
            self.packets[stand.name, sent.stream] += 1
            self.octets[stand.name, sent.stream] += (
                len(add_length_prefix(data)) if sent.stream else len(data)
            )
        self.frames += 1
        if any(stand.name in one and to in other for one, other in self.walls):
            return
        low, high = self.delay
        when = self.now + low + int((high - low) * self.chance.random())
        if sent.stream:
            while self.chance.random() < self.loss:
                when += RETRY
            when = self.streams[stand.name, to] = max(
                when + high, self.streams.get((stand.name, to), 0)
            )
        elif self.chance.random() < self.loss:
            return
        self.at(when, self.arrive, to, message, sent.stream)

    def arrive(self, to: str, message: FleetMessage, stream: bool) -> None:
        stand = self.stands.get(to)
        if stand is not None:
            stand.arrive(message, stream)

    # What is looked at.

    def changed(self, stand: Stand, changed: ViewChanged) -> None:
        if changed.change is ViewChange.GONE:
            about = self.stands.get(changed.member.name)
            if (
                about is not None
                and about.up
                and about.incarnation == changed.member.incarnation
            ):
                self.false.append((self.now, stand.name, changed.member.name))

    def live(self) -> list[Stand]:
        return [each for each in self.stands.values() if each.up]

    def truth(self) -> int:
        """The mark of a view that holds all that live and nobody else."""
        mark = 0
        for each in self.live():
            mark ^= each.member.state.local.entry.compute_digest()
        return mark

    def right(self, among: Sequence[Stand] | None = None) -> float:
        """The part of the live gateways whose view is the truth."""
        among, truth = self.live() if among is None else among, self.truth()
        return sum(each.member.state.table.digest == truth for each in among) / len(
            among
        )
