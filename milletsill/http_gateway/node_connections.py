"""Links to storage nodes: one dispatch at a time on each, none resent, every dispatch with exactly one end."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from milletsill.gateway.active_requests import AttemptEnded
from milletsill.gateway.reactor_turn import NextReactorTurn
from milletsill.http1.errors import MalformedHttpMessage
from milletsill.http1.message import HttpMessage
from milletsill.http1.message_limits import MessageLimits
from milletsill.http1.message_reader import ResponseReader
from milletsill.http1.writer import encode_request
from milletsill.http_gateway.endpoint_watcher import Dial
from milletsill.http_gateway.endpoints import Place
from milletsill.http_gateway.gateway_limits import (
    IDLE_PART,
    MOST_BODY,
    MOST_EACH,
    MOST_WAITING,
    SHORT_BODY,
    Octets,
    kept_from,
)
from milletsill.http_gateway.request_parser import Cargo, number_in, report_in
from milletsill.interface import AttemptOutcome, Readiness

BOUNDS = MessageLimits(body=MOST_BODY)


class Verdict:
    """What a node's answer says beside its body."""

    __slots__ = ("body", "used", "elsewhere", "report")

    def __init__(self, message: HttpMessage) -> None:
        fields = message.fields
        used = number_in(fields.get(b"x-volume-use"), 65_535)
        self.body, self.used = message.body, None if used is None else int(used)
        self.elsewhere = int(number_in(fields.get(b"x-served-elsewhere"), 65_535) or 0)
        self.report = report_in(fields.get(b"x-pressure"))


def outcome_of(message: HttpMessage) -> AttemptOutcome:
    """How a dispatch ended that was answered whole."""
    if message.status == 200:
        return AttemptOutcome.SUCCEEDED
    turned = (
        message.status in (503, 504) and message.fields.get(b"x-turned-away") == b"1"
    )
    return AttemptOutcome.REJECTED if turned else AttemptOutcome.ERROR


class Sending:
    """One dispatch on its way."""

    __slots__ = ("node", "cargo", "ends", "ended", "link", "since", "over")

    def __init__(
        self, node: Node, cargo: Cargo, ends: int, ended: AttemptEnded, now: int
    ) -> None:
        self.node, self.cargo, self.ends, self.ended, self.since = (
            node,
            cargo,
            ends,
            ended,
            now,
        )
        self.link: Link | None = None
        self.over = False

    @property
    def begun(self) -> bool:
        """Whether an octet of it may be on its way."""
        return self.link is not None

    def end(self, outcome: AttemptOutcome, verdict: Verdict | None = None) -> None:
        """The one word on it."""
        if not self.over:
            self.over, self.link = True, None
            self.ended(outcome, verdict)

    def withdraw(self, outcome: AttemptOutcome) -> None:
        """Given up: its connection closes, which tells the node."""
        link, self.over, self.link = self.link, True, None
        if link is not None:
            link.close()
            self.node.fleet.cut()
        elif self in self.node.waiting:
            self.node.waiting.remove(self)


class Link(Protocol):
    """One connection to a node. A pull producer only to hear when the last byte was handed over."""

    def __init__(self, node: Node) -> None:
        self.node, self.address = node, node.address  # where it was dialled
        self.reader = ResponseReader(BOUNDS)
        self.sending: Sending | None = None
        self.written, self.closed, self.uses, self.since = True, False, 0, 0
        self.charged = 0  # octets counted for a long answer

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)
        self.node.up(self)

    def resumeProducing(self) -> None:
        self.written = True

    def stopProducing(self) -> None:
        """The connection is lost: connectionLost says so."""

    def start(self, sending: Sending) -> None:
        """Write one dispatch."""
        self.sending, sending.link, self.written = sending, self, False
        self.uses += 1
        cargo, left = (
            sending.cargo,
            max((sending.ends - self.node.fleet.now()) // 10, 1),
        )
        self.transport.write(
            encode_request(
                cargo.method,
                cargo.target,
                self.node.host_field,
                cargo.fields + [(b"X-Remaining-Ms", b"%d" % left)],
                cargo.body,
            )
        )

    def dataReceived(self, data: bytes) -> None:
        if (
            self.sending is None
        ):  # behind a whole answer, or out of nothing: of no further use
            return self.close()
        if not self.written and self.uses > 1:
            # Guards a client against an answer to what this link carried before: octets that come while ours are not all
            # written. The node begins a request once it has the whole, so ours never ran. Harm: another link for it.
            sending = self.sending
            sending.link = None
            self.close()
            return self.node.again(sending)
        self.reader.feed(data)
        try:
            message = self.reader.next_message()
        except MalformedHttpMessage as error:
            self.node.fleet.note("spoilt", error.reason)
            return self.finish(AttemptOutcome.ERROR, None, False)
        if message is None:
            return self.charge()
        keep = (
            message.keep_alive and self.written and not self.reader.has_partial_message
        )
        self.finish(outcome_of(message), Verdict(message), keep)

    def charge(self) -> None:
        """A long answer is on its way: there must be room for it."""
        length = self.reader.expected_body_size(SHORT_BODY)
        if length > SHORT_BODY and not self.charged:
            if not self.node.fleet.octets.take(length):
                self.node.fleet.note("spoilt", "no room for a long answer")
                return self.finish(AttemptOutcome.ERROR, None, False)
            self.charged = length

    def discharge(self) -> None:
        self.node.fleet.octets.held -= self.charged
        self.charged = 0

    def finish(
        self, outcome: AttemptOutcome, verdict: Verdict | None, keep: bool
    ) -> None:
        """The present dispatch has its answer."""
        sending, self.sending = self.sending, None
        self.discharge()
        if keep:
            self.node.idle(self)
        else:
            self.close()
        if sending is not None:
            sending.end(outcome, verdict)

    def close(self) -> None:
        """Cut it; a dispatch on it is given up by who calls."""
        self.sending = None
        if not self.closed and self.transport is not None:
            self.transport.abortConnection()
        self.gone()

    def gone(self) -> None:
        if not self.closed:
            self.closed = True
            self.discharge()
            self.node.lost(self)

    def connectionLost(self, reason: Any = None) -> None:
        # An answer without a length ends with its connection, but a reset is no end: it may have lost octets on the way.
        whole = (
            self.reader.on_close()
            if reason is not None and reason.check(ConnectionDone)
            else None
        )
        sending, self.sending = self.sending, None
        self.gone()
        if sending is None:
            return
        if whole is not None:
            sending.end(outcome_of(whole), Verdict(whole))
        elif self.written:
            sending.end(AttemptOutcome.RESET)
        elif (
            self.uses > 1
        ):  # an idle link that was closed before we wrote all: it never ran, and the node may be fine
            sending.link = None
            self.node.again(sending)
        else:
            sending.end(AttemptOutcome.UNREACHABLE)


class Node:
    """The links to one node; the last used is used first."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number = fleet, number
        self.address, self.host_field, self.name = ("", 0), b"", ""
        self.retired = False
        self.turn = NextReactorTurn(fleet.reactor, fleet.now, self.serve)
        self.links = set[Link]()
        self.free: list[Link] = []
        self.waiting = deque[Sending]()
        self.dials = 0

    def moved(self, place: Place) -> None:
        """Where the list has it now."""
        self.name = place.name
        if place.host and (place.host, place.port) != self.address:
            self.address, self.host_field = (
                (place.host, place.port),
                f"{place.host}:{place.port}".encode(),
            )
            self.clear()
        self.retired = place.listed.readiness is not Readiness.READY
        if self.retired:
            self.retire()

    def retire(self) -> None:
        """It drains or is gone: nothing begins here any more."""
        self.retired = True
        self.clear()
        waiting, self.waiting = self.waiting, deque()
        for sending in waiting:
            sending.end(AttemptOutcome.WITHDRAWN)

    def clear(self) -> None:
        """Idle links close."""
        for link in list(self.free):
            link.close()

    def put(self, sending: Sending) -> bool:
        """Onto a link that is free, else in line for one."""
        if self.retired or len(self.waiting) >= MOST_WAITING:
            return False
        if self.free and not self.waiting and not self.fleet.cutting:
            self.free.pop().start(sending)
            return True
        self.waiting.append(sending)
        self.dial()
        if self.free:
            self.serve_soon()
        return True

    def again(self, sending: Sending) -> None:
        """One that never ran is first in line once more, and begins only if it still may."""
        self.waiting.appendleft(sending)
        self.serve_soon()

    def dial(self) -> None:
        """New links for those that wait, as descriptors allow."""
        while (
            self.dials + len(self.free) < len(self.waiting)
            and self.dials + len(self.links) < MOST_EACH
            and self.fleet.room()
        ):
            self.dials += 1
            self.fleet.open += 1
            self.fleet.note("dial", "")
            self.fleet.connect(
                *self.address, Link(self), partial(self.failed, self.address)
            )

    def failed(self, address: tuple[str, int]) -> None:
        """A dial came to nothing, and so did the dispatch that waited longest, unless the node has moved since."""
        self.dials -= 1
        self.fleet.open -= 1
        self.fleet.note("dial failed", "")
        if self.waiting and address == self.address:
            self.waiting.popleft().end(AttemptOutcome.UNREACHABLE)
        self.serve_soon()
        self.fleet.freed()

    def up(self, link: Link) -> None:
        self.dials -= 1
        self.links.add(link)
        self.idle(link)

    def idle(self, link: Link) -> None:
        """A link stands ready; one to where the node was is of no use."""
        if self.retired or link.address != self.address:
            link.close()
        else:
            link.since = self.fleet.now()
            self.free.append(link)
        self.serve_soon()

    def serve_soon(self) -> None:
        """Those that wait are served in the next turn, once all that lies in the sockets was read. Guards against beginning a
        dispatch whose client's close, or whose node's end, came in the same round. Harm: a turn of the loop.
        """
        if self.waiting:
            self.turn.schedule()

    def serve(self) -> None:
        """The one place where a dispatch that had to wait begins."""
        now = self.fleet.now()
        while self.waiting and (self.free or self.kept(self.waiting[0], now)):
            sending = self.waiting.popleft()
            if self.kept(sending, now):
                self.fleet.note("kept from", "")
                sending.end(AttemptOutcome.UNREACHABLE)
            else:
                self.free.pop().start(sending)
        self.dial()

    def kept(self, sending: Sending, now: int) -> bool:
        return kept_from(now - sending.since, self.fleet.dial_span, sending.ends - now)

    def lost(self, link: Link) -> None:
        self.links.discard(link)
        if link in self.free:
            self.free.remove(link)
        self.fleet.open -= 1
        self.fleet.freed()

    def look(self, now: int, idle: int) -> None:
        """Dispatches that waited too long for a link, and links that stood idle too long."""
        while self.waiting and self.kept(self.waiting[0], now):
            self.waiting.popleft().end(AttemptOutcome.UNREACHABLE)
        while self.free and now - self.free[0].since >= idle:
            self.free[0].close()

    @property
    def over(self) -> bool:
        return self.retired and not (self.links or self.waiting or self.dials)


class Fleet:
    """All links to nodes, within one bound."""

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        most: int,
        octets: Octets,
        dial: int,
        idle: int,
        note: Callable[..., None],
    ) -> None:
        self.reactor, self.now, self.most, self.octets, self.note = (
            reactor,
            now,
            most,
            octets,
            note,
        )
        self.dial_span, self.idle_span = dial, int(idle * IDLE_PART)
        self.nodes = dict[int, Node]()
        self.open = 0
        self.short = False  # somebody waits for a descriptor
        self.cutting = (
            False  # a link was cut under its dispatch in this turn of the reactor
        )

    def listed(self, whole: bool, places: Sequence[Place]) -> None:
        """Nodes as the list has them."""
        for place in places:
            number = place.listed.node
            if place.listed.readiness is not Readiness.GONE or number in self.nodes:
                node = self.nodes.get(number) or self.nodes.setdefault(
                    number, Node(self, number)
                )
                node.moved(place)
        for number in (
            self.nodes.keys() - {each.listed.node for each in places} if whole else ()
        ):
            self.nodes[number].retire()

    def carry(
        self, cargo: Cargo, node: int, ends: int, ended: AttemptEnded
    ) -> Sending | None:
        """Start one dispatch; None where no link leads there."""
        there = self.nodes.get(node)
        if there is None or not there.address[1]:
            return None
        sending = Sending(there, cargo, ends, ended, self.now())
        return sending if there.put(sending) else None

    def cut(self) -> None:
        """A dispatch was given up. Guards rule 2 where settings allow no second copy: the system closes its connection in the next
        turn, before any octet of that one goes; a further dispatch that began in this one would be out beside it. Harm: what
        begins now waits for a turn.
        """
        if not self.cutting:
            self.cutting = True
            self.reactor.callLater(0, self.have_cut)

    def have_cut(self) -> None:
        self.cutting = False

    def connect(
        self, host: str, port: int, link: Link, failed: Callable[[], None]
    ) -> None:
        self.reactor.connectTCP(
            host, port, Dial(link, failed), timeout=max(self.dial_span, 100) / 10_000
        )

    def room(self) -> bool:
        """Whether one more link may be opened; the one idle longest makes way."""
        if self.open >= self.most:
            oldest = min(
                (node.free[0] for node in self.nodes.values() if node.free),
                key=lambda link: link.since,
                default=None,
            )
            if oldest is not None:
                oldest.close()
        self.short = self.open >= self.most
        return not self.short

    def freed(self) -> None:
        """A descriptor came back: later, for who waits."""
        if self.short:
            self.short = False
            self.reactor.callLater(0, self.dial_waiting)

    def dial_waiting(self) -> None:
        for node in self.nodes.values():
            if node.waiting:
                node.dial()

    def look(self) -> None:
        """What time brings; nodes that left go with their last link."""
        now = self.now()
        for node in list(self.nodes.values()):
            node.look(now, self.idle_span)
            if node.over:
                del self.nodes[node.number]

    def stop(self) -> None:
        for node in self.nodes.values():
            for link in list(node.links):
                link.close()
