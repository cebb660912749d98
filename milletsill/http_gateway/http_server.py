"""The clients' door: one request at a time on a connection, one answer to each, bounds on all that is held."""

from __future__ import annotations

import typing
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

from milletsill.http1 import writer
from milletsill.http1.errors import MalformedHttpMessage
from milletsill.http1.message import HttpMessage
from milletsill.http1.message_limits import MessageLimits
from milletsill.http1.message_reader import RequestReader
from milletsill.http_gateway.gateway_limits import (
    BEGUN_BY,
    LOOK_SHORT,
    MOST_AHEAD,
    MOST_BODY,
    MOST_DISCARDED,
    MOST_REQUEST,
    OVER,
    SHORT_BODY,
    Cue,
    Octets,
    Stage,
    due,
    next_stage,
)
from milletsill.http_gateway.node_connections import Verdict

BOUNDS = MessageLimits(body=MOST_BODY)


class Around(typing.Protocol):
    """The gateway as its clients see it; `gateway.Gateway` is it. Times are tenths of a millisecond."""

    reactor: Any
    octets: Octets
    keeps: bool  # whether connections stay open behind an answer
    pause: int  # told with a refusal at the door, 0 for none
    now: Callable[[], int]
    note: Callable[..., None]

    def asked(self, client: Client, message: HttpMessage) -> None:
        """A request of a client, whole."""

    def abandoned(self, transfer: int) -> None: ...

    def left(self, client: Client) -> None: ...


@implementer(IHalfCloseableProtocol)
class Client(Protocol):
    """One connection of a client. It is the asker of its open transfer."""

    def __init__(self, gateway: Around) -> None:
        self.gateway, self.reader, self.stage = (
            gateway,
            RequestReader(BOUNDS),
            Stage.FRESH,
        )
        self.since = gateway.now()  # of the stage, or of a request's first octet
        self.transfer: int | None = None
        self.keep, self.stuck, self.discarded = True, False, 0
        self.reading = False  # within `read_on`
        self.gone = self.handed = (
            False  # the client has closed its side; all that we had to write is the system's
        )
        self.charged = 0  # octets of an answer that the client has not taken yet
        self.ahead: HttpMessage | None = (
            None  # the next request, whole, while one is open or the last answer is not taken
        )
        self.lent = self.borne = (
            0  # octets counted for what is ahead or comes in; for the open transfer's body
        )

    @property
    def begun(self) -> bool:
        """Whether a part of a request is here."""
        return self.ahead is not None or self.reader.has_partial_message

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    # The transport's word on a client that does not read.

    def pauseProducing(self) -> None:
        self.stuck = True

    def resumeProducing(self) -> None:
        self.stuck = False
        self.discharge()
        self.read_on()

    def stopProducing(self) -> None:
        self.stuck = True

    # What comes.

    def dataReceived(self, data: bytes) -> None:
        if self.stage in (Stage.ENDING, Stage.CLOSED):
            self.discarded += len(data)
            if self.discarded > MOST_DISCARDED:
                self.transport.pauseProducing()
            return
        if not self.begun:
            now = self.gateway.now()
            self.since = (
                min(now, self.since + BEGUN_BY) if self.stage is Stage.FRESH else now
            )
        self.reader.feed(data)
        self.read_on()

    def read_on(self) -> None:
        """The next request, once the last one has its answer. Never from within itself: what `has_gone` reads waits."""
        if not self.reading:
            self.reading = True
            try:
                while self.read_ahead() and self.ready and self.ahead is not None:
                    message, self.ahead = self.ahead, None
                    self.give_back()
                    if self.read_ahead():
                        self.keep = message.keep_alive
                        self.ask(message)
            finally:
                self.reading = False

    def ask(self, message: HttpMessage) -> None:
        """One whole request. The body of a long one is counted twice: a link's buffer holds it once more."""
        octets = 2 * len(message.body) if len(message.body) > SHORT_BODY else 0
        if octets and not self.gateway.octets.take(octets):
            self.gateway.note("refused", "no room for a long request")
            return self.turn_away(self.gateway.pause)
        self.borne = octets
        self.gateway.asked(self, message)

    @property
    def ready(self) -> bool:
        """Whether the next request may be taken."""
        return self.stage in (Stage.FRESH, Stage.WAITING) and not self.stuck

    def read_ahead(self) -> bool:
        """Read one request ahead, also while one is open. Guards a node against the first part of a body whose length was told
        too short, and the client's next ones against waiting behind what cannot be read: an error is known, and said, as soon
        as it is here. Harm: it takes the place of the open one's answer, for a client that does not tell its own requests
        apart. False once refused.
        """
        if self.stage in (Stage.ENDING, Stage.CLOSED):
            return False
        try:
            if self.ahead is None:
                self.ahead = self.reader.next_message()
        except MalformedHttpMessage as error:
            self.refuse(error.status, error.reason)
            return False
        if (
            not self.ready
            and self.ahead is not None
            and self.reader.buffered
            > (MOST_AHEAD if self.stage is Stage.BUSY else MOST_REQUEST)
        ):
            self.refuse(400, "too much ahead of an answer")
            return False
        return self.lend()

    def lend(self) -> bool:
        """Room for what is ahead, or for a long one that comes in: up to one whole request and a little. Short ones are not
        counted.
        """
        held = self.reader.buffered + (
            len(self.ahead.body) if self.ahead is not None else 0
        )
        if held > max(MOST_REQUEST if self.ready else MOST_AHEAD, self.lent):
            if not self.gateway.octets.take(held - self.lent):
                self.refuse(
                    503, "no room for a request that is long or ahead of an answer"
                )
                return False
            self.lent = held
        return True

    def has_gone(self) -> bool:
        """Whether the client's end came behind its request, whatever lies between. Guards nodes against work for who has left
        while the process stood still or the request waited before the door: octets are read a round before the end behind
        them. Harm: one more read for each request that is taken, and for each one more of what lies behind it.
        """
        came = -1
        while (
            came < self.reader.buffered <= MOST_BODY + MOST_REQUEST
        ):  # beyond, it is refused anyway
            came = self.reader.buffered
            if self.transport.doRead() is not None:
                self.step(Cue.GONE)
                return True
        return False

    def discharge(self) -> None:
        self.gateway.octets.held -= self.charged
        self.charged = 0

    def forget(self) -> None:
        """Nothing more is read."""
        self.reader, self.ahead = RequestReader(BOUNDS), None
        self.give_back()
        self.unburden()

    def give_back(self) -> None:
        self.gateway.octets.held -= self.lent
        self.lent = 0

    def unburden(self) -> None:
        """The open transfer is over."""
        self.gateway.octets.held -= self.borne
        self.borne = 0

    def readConnectionLost(self) -> None:
        """The client has closed its side, or all: it has gone. A last answer that is written to it may still be taken."""
        self.step(Cue.GONE)

    def writeConnectionLost(self) -> None:
        """Our side is closed behind all that was written."""
        self.handed, self.since = True, self.gateway.now()

    def connectionLost(self, reason: Any = None) -> None:
        self.step(Cue.LOST)
        self.discharge()
        self.forget()
        self.gateway.left(self)

    # What goes.

    def busy(self, transfer: int) -> None:
        self.transfer = transfer
        self.step(Cue.TAKEN)

    def succeeded(self, verdict: Verdict) -> None:
        self.gateway.note("answer", "satisfied")
        self.answer(200, verdict.body)

    def rejected(self, pause: int) -> None:
        self.gateway.note("answer", "declined")
        self.turn_away(pause)

    def turn_away(self, pause: int) -> None:
        """A refusal, with the time to come back where there is one to tell."""
        self.answer(
            503,
            b"",
            b"Retry-After: %d.%03d\r\n" % divmod(-(-pause // 10), 1000)
            if pause
            else b"",
        )

    def failed(self) -> None:
        self.gateway.note("answer", "aborted")
        self.answer(502, b"")

    def answer(self, status: int, body: bytes, extra: bytes = b"") -> None:
        """The one answer to the request that is open."""
        self.transfer = None
        self.unburden()
        keep = self.keep and (
            self.gateway.keeps or self.ahead is not None
        )  # what is read whole has its answer
        if self.stage is not Stage.CLOSED:
            self.transport.write(writer.encode_response(status, body, keep, extra))
            if self.stuck and not self.charged:
                self.charged = len(body)
                self.gateway.octets.held += self.charged
            self.since = self.gateway.now()
            self.step(Cue.ANSWERED if keep else Cue.LAST)

    def refuse(self, status: int, reason: str) -> None:
        """An error for what is no transfer; nothing more is read on this connection."""
        self.gateway.note("refused", reason)
        if self.stage in (Stage.ENDING, Stage.CLOSED):
            return
        self.transport.write(
            writer.encode_response(
                status, reason.encode("latin-1", "replace") + b"\n", False
            )
        )
        self.step(Cue.REFUSED)

    def step(self, cue: Cue) -> None:
        """Read the table and act."""
        self.stage, effect = next_stage(self.stage, cue)
        if effect == "read on":
            if self.begun:
                self.read_on()
        elif effect == "slow":
            self.gateway.note("refused", "a request that does not end")
            self.transport.write(writer.encode_response(408, b"", False))
            self.end()
        elif effect == "close":
            self.transport.unregisterProducer()
            self.transport.loseConnection()
        elif effect == "cut":
            self.cut()
        elif (
            effect in ("abandon", "abandon and end", "abandon and part")
            and self.transfer is not None
        ):
            transfer, self.transfer = self.transfer, None
            self.gateway.abandoned(transfer)
        if effect in ("end", "abandon and end"):
            self.end()
        elif effect in ("part", "abandon and part"):
            self.part()

    def end(self) -> None:
        """Close our side, and hear the client out for a while: a close with octets unread would tear the answer."""
        self.since = self.gateway.now()
        self.forget()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()

    def part(self) -> None:
        """The client has gone: closed once what was written is handed over."""
        self.gone, self.since = True, self.gateway.now()
        self.forget()
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def cut(self) -> None:
        """The end of a connection that its client leaves open. Where all is the system's, what the client has not fetched
        yet stays for it; a reset would throw it away. Who goes on sending, or takes nothing, gets the reset.
        """
        if self.handed and self.discarded <= MOST_DISCARDED:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def leave(self) -> None:
        """The gateway leaves: a request half read is refused; the rest ends, and what crosses that was never read."""
        self.catch_up()
        if self.begun and self.stage in (Stage.FRESH, Stage.WAITING):
            self.gateway.note("refused", "half a request at the end")
            self.keep = False
            self.turn_away(self.gateway.pause)
        else:
            self.step(Cue.LEAVE)

    def look(self, now: int, short: bool) -> None:
        """What time brings. What had come by then is read before."""
        if self.due(now, short) is not None:
            self.catch_up()
            cue = self.due(self.gateway.now(), short)
            if cue is not None:
                self.step(cue)

    def due(self, now: int, short: bool) -> Cue | None:
        return due(
            self.stage,
            self.begun,
            now - self.since,
            short,
            not (self.handed or self.gone),
        )

    def catch_up(self) -> None:
        """Guards clients against a process that stood still: timers go before what has come, and an idle close, a time-out or
        the end would meet a request that is here. Harm: one more read on a connection that is about to end.
        """
        if self.stage in (Stage.FRESH, Stage.WAITING):
            self.transport.doRead()  # an end is told again in the next turn


class Clients(Factory):
    """Accepts within the clients' share of descriptors."""

    noisy = False

    def __init__(self, gateway: Around, most: int) -> None:
        self.gateway, self.most = gateway, most
        self.open = dict[Client, None]()  # in the order of their coming
        self.port: Any = None
        self.paused = False
        self.look_call: Any = None

    def buildProtocol(self, address: Any) -> Client | None:
        if len(self.open) >= self.most:
            self.look(True)
        if len(self.open) >= self.most + OVER:
            self.gateway.note("refused", "no descriptor for a client")
            return None
        client = Client(self.gateway)
        self.open[client] = None
        if len(self.open) >= self.most:
            self.pause()
        self.ration()
        return client

    def ration(self) -> None:
        """The reactor accepts no more in a round than there is room for: those beyond wait before the door. Guards clients
        against being closed there, after which each comes again at once. Harm: they wait.
        """
        if self.port is not None:
            self.port.numberAccepts = max(self.most - len(self.open), 1)

    def pause(self) -> None:
        """Later clients wait before the door."""
        if self.port is not None and not self.paused:
            self.paused = True
            self.port.pauseProducing()
            if self.look_call is None:
                self.look_again()

    def look_again(self) -> None:
        """While clients wait before the door, it is looked more often whom to let go."""
        self.look_call = None
        if self.paused:
            self.look(True)
        if self.paused:
            self.look_call = self.gateway.reactor.callLater(
                LOOK_SHORT / 10_000, self.look_again
            )

    def left(self, client: Client) -> None:
        self.open.pop(client, None)
        if self.paused and len(self.open) < self.most and self.port is not None:
            self.paused = False
            self.ration()
            self.port.resumeProducing()

    def look(self, short: bool) -> None:
        now = self.gateway.now()
        for client in list(self.open):
            client.look(now, short)
