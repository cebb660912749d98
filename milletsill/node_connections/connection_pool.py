"""Twisted around links/decide.py: dials a disk box, sends dispatches, hears verdicts, tells how each one ended.

Every dispatch that is handed to `Pool.dispatch` gets exactly one `ended` call, never from within `dispatch` itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from milletsill.errors import MalformedInput
from milletsill.interface import AttemptOutcome
from milletsill.node_connections.connection_state import (
    Bounds,
    Load,
    Sign,
    Stage,
    Way,
    due,
    route,
    step,
)
from milletsill.sftp import extensions, packets
from milletsill.sftp.extensions import Order, Verdict
from milletsill.sftp.framing import Deframer
from milletsill.sftp.wire import MalformedPacket

Ended = Callable[[AttemptOutcome, "Verdict | None"], None]
# Told of each dispatch that ended, and of other packets without an order: order, outcome, octets to the box and back,
# the time it took.
Metered = Callable[["Order | None", str, int, int, int], None]
LOOKS_A_SPAN = (
    4  # how often within the shortest bound the connections of a pool are looked at
)
MOST_REPLY = 64_000_000
OUTCOMES = {
    extensions.DONE: AttemptOutcome.SUCCEEDED,
    extensions.ELSEWHERE: AttemptOutcome.SUCCEEDED,
    extensions.FULL: AttemptOutcome.REJECTED,
    extensions.DRAINING: AttemptOutcome.REJECTED,
    extensions.ERROR: AttemptOutcome.ERROR,
}


def forget(outcome: AttemptOutcome, verdict: Verdict | None) -> None:
    """Whom a dispatch that is over tells."""


class Sending:
    """One dispatch at the pool: where it is and whom to tell."""

    __slots__ = (
        "pool",
        "order",
        "ended",
        "link",
        "id",
        "over",
        "since",
        "octets",
        "gate",
    )

    def __init__(
        self, pool: Pool, order: Order, ended: Ended, now: int, gate: Any = None
    ) -> None:
        self.pool, self.order, self.ended, self.since, self.gate = (
            pool,
            order,
            ended,
            now,
            gate,
        )
        self.link: Link | None = None
        self.id, self.over, self.octets = 0, False, 0

    @property
    def begun(self) -> bool:
        """Whether an octet of it may be on its way."""
        return self.link is not None

    def withdraw(self, outcome: AttemptOutcome) -> None:
        """Given up: silent for good."""
        self.pool.withdraw(self, outcome)

    def end(self, outcome: AttemptOutcome, verdict: Verdict | None = None) -> None:
        """The one word on this dispatch; later ones are dropped."""
        if not self.over:
            self.over = True
            ended, self.ended = self.ended, forget  # no circle through who was told
            ended(outcome, verdict)


class Link(Protocol):
    """One connection to a disk box."""

    def __init__(self, pool: Pool) -> None:
        self.pool, self.load = pool, Load(Stage.DIALING)
        self.deframer = Deframer(pool.most_packet)
        self.out: dict[int, Sending] = {}
        self.ids, self.beats = 0, 0
        self.made = self.heard = pool.now()

    def connectionMade(self) -> None:
        if self.load.stage is Stage.CLOSED:  # given up while it was dialled
            return self.transport.abortConnection()
        self.transport.registerProducer(self, True)
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        self.sign(Sign.CONNECTED)

    def dataReceived(self, data: bytes) -> None:
        self.heard = self.pool.now()
        self.deframer.feed(data)
        try:
            while (body := self.deframer.next()) is not None:
                self.packet(packets.decode(body), len(body) + 4)
        except MalformedInput as error:
            self.pool.remark(f"broken bytes from the box: {error.describe()}")
            return self.sign(Sign.BROKEN)
        self.sign(Sign.WORD)

    def packet(self, packet: Any, octets: int) -> None:
        """One packet of the box."""
        sending = (
            self.out.get(packet.id)
            if isinstance(packet, packets.ExtendedReply)
            else None
        )
        if (
            sending is None
        ):  # a greeting, a beat, or the answer to a dispatch that was given up
            self.pool.meter(None, "", 0, octets, 0)
        if isinstance(packet, packets.Version):
            return self.sign(Sign.VERSION)
        if isinstance(packet, packets.Status):
            self.beats = max(self.beats - 1, 0)
            return None
        if not isinstance(packet, packets.ExtendedReply):
            raise MalformedPacket(f"{type(packet).__name__} where a verdict was due")
        verdict = extensions.read_verdict(packet)
        if (
            verdict.verdict in (extensions.DONE, extensions.ELSEWHERE)
            and verdict.answer is None
        ):
            raise MalformedPacket("a verdict without the answer it speaks of")
        if sending is not None:
            del self.out[packet.id]
            self.load.out = len(self.out)
            outcome = OUTCOMES[verdict.verdict]
            self.pool.ended(sending, outcome, octets)
            sending.end(outcome, verdict)

    def connectionLost(self, reason: Any = None) -> None:
        self.sign(Sign.LOST)
        self.close_out()

    def pauseProducing(self) -> None:
        self.load.stuck = True

    def resumeProducing(self) -> None:
        self.load.stuck = False
        self.pool.serve_waiting()

    def stopProducing(self) -> None:
        self.load.stuck = True

    def sign(self, sign: Sign) -> None:
        """Read the table and act."""
        self.load.stage, effect = step(self.load.stage, sign)
        if effect == "greet":
            self.control(packets.Init(packets.VERSION_SPOKEN))
        elif effect == "serve":
            if sign is Sign.VERSION:
                self.ids += 1
                self.beats += 1
                self.control(
                    extensions.put_hello(
                        self.ids, self.pool.gateway, self.pool.incarnation
                    )
                )
            self.pool.serve_waiting()
        elif effect == "beat":
            self.ids += 1
            self.beats += 1
            self.heard = self.pool.now()
            self.control(packets.Extended(self.ids, extensions.BEAT))
        elif effect == "close":
            self.transport.loseConnection()
        elif effect == "cut":
            if self.transport is not None:
                self.transport.abortConnection()
            self.close_out()

    def close_out(self) -> None:
        """What is out on a link that ended may have run."""
        out, self.out = list(self.out.values()), {}
        self.load.out = 0
        self.pool.drop(self)
        for each in out:
            self.pool.ended(each, AttemptOutcome.RESET)
            each.end(AttemptOutcome.RESET)

    def send(self, packet: Any) -> int:
        """Bytes put on the link."""
        if self.transport is None:
            return 0
        data = packets.encode(packet)
        self.transport.write(data)
        return len(data)

    def control(self, packet: Any) -> None:
        """A packet that is no dispatch."""
        self.pool.meter(None, "", self.send(packet), 0, 0)

    def dispatch(self, sending: Sending) -> None:
        """Put one dispatch on this link."""
        self.ids += 1
        if not self.out and not self.beats:
            self.heard = self.pool.now()
        sending.link, sending.id = self, self.ids
        self.out[self.ids] = sending
        self.load.out = len(self.out)
        waited = (
            self.pool.now() - sending.since
        ) // 10  # what is left to the client was told when it was decided on
        order = replace(sending.order, left=max(sending.order.left - waited, 1))
        sending.octets = self.send(extensions.put_order(self.ids, order))

    def withdraw(self, sending: Sending) -> None:
        """Tell the box that nobody waits any more; its answer, if one comes, is dropped."""
        if self.out.pop(sending.id, None) is not None:
            self.load.out = len(self.out)
            self.ids += 1
            self.control(
                extensions.put_cancel(
                    self.ids, sending.order.transfer, sending.order.number
                )
            )


class Pool:
    """All connections to one disk box. `remark` takes one line for the log."""

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        address: str,
        bounds: Bounds,
        gateway: str,
        incarnation: int,
        most_packet: int,
        remark: Callable[[str], None],
        endpoint: Any = None,
        metered: Metered | None = None,
    ) -> None:
        self.metered = metered
        self.reactor, self.now, self.address, self.bounds = (
            reactor,
            now,
            address,
            bounds,
        )
        self.gateway, self.incarnation, self.most_packet, self.remark = (
            gateway,
            incarnation,
            most_packet,
            remark,
        )
        host, _, port = address.rpartition(":")
        self.endpoint = endpoint or TCP4ClientEndpoint(
            reactor, host, int(port), timeout=bounds.dial / 10_000
        )
        self.links: list[Link] = []
        self.waiting: list[Sending] = []
        self.look_call: Any = None
        self.closed = self.barred = False

    def bar(self, barred: bool) -> None:
        """Whether the box drains or is gone: then nothing begins here, and what waits for a link is told so at once, to be
        placed elsewhere. Guards rule 3 against a handshake that ends long after the list said it. Harm: none.
        """
        self.barred = barred
        if barred:
            waiting, self.waiting = self.waiting, []
            for each in waiting:
                self.ended(each, AttemptOutcome.WITHDRAWN)
                each.end(AttemptOutcome.WITHDRAWN)

    def dispatch(self, order: Order, ended: Ended, gate: Any = None) -> Sending:
        """Send a dispatch as the bounds allow; `ended` is told how it went. A `gate` is asked again where it had to wait."""
        sending = Sending(self, order, ended, self.now(), gate)
        way, place = route(
            [each.load for each in self.links], len(self.waiting), self.bounds
        )
        if self.closed or self.barred:
            way = Way.REFUSE
        if way is Way.USE:
            self.links[place].dispatch(sending)
        elif way is Way.REFUSE:
            self.unreach(sending)
        else:
            self.waiting.append(sending)
            if way is Way.DIAL:
                self.dial()
        self.look_soon()
        return sending

    def meter(
        self,
        order: Order | None,
        outcome: str,
        octets_to: int,
        octets_back: int,
        span: int,
    ) -> None:
        """Tell flow export, where there is any."""
        if self.metered is not None and (order is not None or octets_to or octets_back):
            self.metered(order, outcome, octets_to, octets_back, span)

    def ended(
        self, sending: Sending, outcome: AttemptOutcome, octets_back: int = 0
    ) -> None:
        """Tell flow export how a dispatch ended, once."""
        if not sending.over:
            self.meter(
                sending.order,
                outcome.value,
                sending.octets,
                octets_back,
                self.now() - sending.since,
            )

    def unreach(self, sending: Sending) -> None:
        """It was never sent; told later, never from within."""
        self.ended(sending, AttemptOutcome.UNREACHABLE)
        self.reactor.callLater(0, sending.end, AttemptOutcome.UNREACHABLE)

    def dial(self) -> None:
        """Start one connection."""
        link = Link(self)
        self.links.append(link)
        factory = Factory.forProtocol(lambda: link)
        factory.noisy = False
        self.endpoint.connect(factory).addErrback(lambda failure: self.unreached(link))

    def unreached(self, link: Link) -> None:
        """The dial failed: what waited for it was never sent."""
        link.load.stage = Stage.CLOSED
        self.drop(link)

    def drop(self, link: Link) -> None:
        """A link that ended leaves; what waits with nothing left to wait for was not reached."""
        if link in self.links:
            self.links.remove(link)
        if self.waiting and not any(
            each.load.stage is not Stage.CLOSED for each in self.links
        ):
            waiting, self.waiting = self.waiting, []
            for each in waiting:
                self.unreach(each)

    def serve_waiting(self) -> None:
        """Hand what waits to links that take more."""
        while self.waiting:
            way, place = route([each.load for each in self.links], 0, self.bounds)
            if way is not Way.USE:
                return
            sending = self.waiting.pop(0)
            if (
                sending.gate is not None
                and not sending.over
                and not sending.gate.may_send()
            ):
                self.unreach(sending)
            elif not sending.over:
                self.links[place].dispatch(sending)

    def withdraw(
        self, sending: Sending, outcome: AttemptOutcome = AttemptOutcome.CANCELLED
    ) -> None:
        """Give a dispatch up: silent for good."""
        self.ended(sending, outcome)
        sending.over, sending.ended = True, forget
        if sending.link is not None:
            sending.link.withdraw(sending)
        elif sending in self.waiting:
            self.waiting.remove(sending)

    def look_soon(self) -> None:
        """One look at all connections in a while, as long as there are any."""
        if self.look_call is None and (self.links or self.waiting):
            span = (
                min(self.bounds.silent, self.bounds.dial, self.bounds.idle)
                / 10_000
                / LOOKS_A_SPAN
            )
            self.look_call = self.reactor.callLater(max(span, 0.001), self.look)

    def look(self) -> None:
        self.look_call = None
        now = self.now()
        for link in list(self.links):
            spare = self.closed and not link.out
            sign = (
                Sign.RETIRE
                if spare
                else due(
                    link.load.stage,
                    len(link.out) + link.beats,
                    now - link.heard,
                    now - link.made,
                    self.bounds,
                )
            )
            if sign is not None:
                link.sign(sign)
        late = [each for each in self.waiting if now - each.since >= self.bounds.dial]
        for each in late:
            self.waiting.remove(each)
            self.ended(each, AttemptOutcome.UNREACHABLE)
            each.end(AttemptOutcome.UNREACHABLE)
        self.look_soon()

    def close(self) -> None:
        """The box has left: idle links close now, busy ones when their time comes."""
        self.closed = True
        self.bar(True)
        for link in list(self.links):
            if link.out:
                continue
            link.sign(Sign.RETIRE)

    def abort(self) -> None:
        """Cut everything: the process ends."""
        self.closed = True
        if self.look_call is not None:
            self.look_call.cancel()
            self.look_call = None
        for link in list(self.links):
            link.sign(Sign.BROKEN)
