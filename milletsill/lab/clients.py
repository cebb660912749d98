"""Implements the laboratory's clients.

A client has SFTP connections to gateways and runs operations over them, with retries.
Every byte that it reads is compared with the expected contents of the file.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from milletsill.lab.record import IN, OUT
from milletsill.lab.stored_files import pattern
from milletsill.sftp import extensions, packet_codec, packets
from milletsill.sftp.extensions import CommandTerms
from milletsill.sftp.framing import PacketSplitter
from milletsill.sftp.wire import FileAttributes

MAX_HANDLES, RECONNECT_DELAY_S = (
    200,  # open file handles per connection
    0.25,  # from the loss of a connection to the next attempt to connect
)


class ClientLink(Protocol):
    """One client connection to one gateway, which records its packets."""

    recorded_bytes = (64, 160)  # of each received and each sent packet

    def __init__(self, owner: GatewayConnections, number: int) -> None:
        self.owner, self.number, self.ids = owner, number, 0
        self.splitter = PacketSplitter(64_000_000)
        self.waiting: dict[int, Callable[[Any], None]] = {}
        self.handles: OrderedDict[str, bytes] = OrderedDict()
        self.open = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.owner.load.recorder.note(
            what="connect", conn=self.number, edge=self.owner.name
        )
        self.send(packets.Init(packets.PROTOCOL_VERSION))

    def dataReceived(self, data: bytes) -> None:
        self.splitter.feed(data)
        while (body := self.splitter.next()) is not None:
            self.owner.load.recorder.put(self.number, IN, body, self.recorded_bytes[0])
            packet = packet_codec.decode(body)
            if isinstance(packet, packets.Version):
                self.open = True
                self.owner.ready(self)
                continue
            call = self.waiting.pop(packet.id, None)
            if call is None:
                self.owner.load.count("answers nobody waits for")
            else:
                call(packet)

    def connectionLost(self, reason: Any = None) -> None:
        self.open = False
        self.owner.load.recorder.note(
            what="lost", conn=self.number, edge=self.owner.name
        )
        waiting, self.waiting = list(self.waiting.values()), {}
        self.owner.lost(self)
        for call in waiting:
            call(None)

    def send(self, packet: Any) -> None:
        data = packet_codec.encode(packet)
        self.owner.load.recorder.put(self.number, OUT, data[4:], self.recorded_bytes[1])
        self.transport.write(data)

    def command(
        self, command: Any, terms: CommandTerms, call: Callable[[Any], None]
    ) -> None:
        """Send a command; `call` gets the answer, or None if the connection ends."""
        self.send_request(
            lambda id: extensions.encode_command(
                terms, packet_codec.with_id(command, id)
            ),
            call,
        )

    def send_request(
        self, build: Callable[[int], Any], call: Callable[[Any], None]
    ) -> None:
        """Send the packet that `build` returns for a new packet id."""
        self.ids += 1
        self.waiting[self.ids] = call
        self.send(build(self.ids))


class GatewayConnections:
    """A client's connections to one gateway; lost connections are replaced."""

    def __init__(self, load: Any, name: str, address: str, count: int) -> None:
        self.load, self.name = load, name
        host, _, port = address.rpartition(":")
        self.endpoint = TCP4ClientEndpoint(load.reactor, host, int(port), timeout=2)
        self.links: list[ClientLink] = []
        self.ended = False
        for _ in range(count):
            self.connect()

    def connect(self) -> None:
        if self.ended:
            return
        self.load.connections += 1
        link = ClientLink(self, self.load.connections)
        factory = Factory.forProtocol(lambda: link)
        factory.noisy = False
        self.endpoint.connect(factory).addCallbacks(
            lambda _: self.links.append(link),
            lambda _: self.load.reactor.callLater(RECONNECT_DELAY_S, self.connect),
        )

    def ready(self, link: ClientLink) -> None:
        """Do nothing; `pick` finds connections whose handshake is complete."""

    def lost(self, link: ClientLink) -> None:
        if link in self.links:
            self.links.remove(link)
        self.load.reactor.callLater(RECONNECT_DELAY_S, self.connect)

    def pick(self, random: Random) -> ClientLink | None:
        ready = [each for each in self.links if each.open]
        return random.choice(ready) if ready else None


class Operation:
    """An operation of a client, with its retries, until it has an outcome."""

    def __init__(
        self,
        load: Any,
        row: Any,
        volume: Any,
        gateway: GatewayConnections,
        path: str,
        offset: int,
        length: int,
    ) -> None:
        self.load, self.row, self.volume, self.gateway = load, row, volume, gateway
        self.path, self.offset, self.length = path, offset, length
        self.category = load.categories[row.category]
        self.began, self.tries, self.ended, self.number = (
            load.now(),
            0,
            False,
            load.next_operation(),
        )
        self.retries = load.retries_of(volume.plan)
        self.client_timeout = load.patience_of(self.category, volume.plan)
        self.attempt = 0
        self.start_attempt()

    def time_left(self) -> float:
        """Return the seconds until the client timeout of the present attempt."""
        return self.attempt_deadline - self.load.now()

    def terms(self, what: str) -> CommandTerms:
        return CommandTerms(
            max(int(self.time_left() * 1000), 1), self.tries, f"op{self.number}.{what}"
        )

    def start_attempt(self) -> None:
        self.attempt += 1
        self.attempt_deadline = self.load.now() + self.client_timeout
        link = self.gateway.pick(self.load.chance)
        if link is None:
            return self.retry("unreached", 0.0)
        self.load.reactor.callLater(self.client_timeout, self.give_up, self.attempt)
        if self.row.operation in ("list", "look"):
            return self.send_command(link, "l", packets.Stat(0, self.path))
        handle = link.handles.get(self.path)
        if handle is not None:
            return self.use_handle(link, handle)
        flags = (
            packets.READ_FLAG
            | packets.WRITE_FLAG
            | (packets.CREATE_FLAG if self.row.operation == "new" else 0)
        )
        attempt = self.attempt
        link.command(
            packets.Open(0, self.path, flags, FileAttributes()),
            self.terms("o"),
            lambda answer: self.opened(link, answer, attempt),
        )

    def opened(self, link: ClientLink, answer: Any, attempt: int) -> None:
        if isinstance(answer, packets.Handle):
            link.handles[self.path] = answer.handle
            if len(link.handles) > MAX_HANDLES:
                _, old = link.handles.popitem(last=False)
                link.command(packets.Close(0, old), CommandTerms(), lambda _: None)
            if attempt == self.attempt and not self.ended and self.time_left() > 0.001:
                self.use_handle(link, answer.handle)
        elif attempt == self.attempt:
            self.answered(answer)

    def use_handle(self, link: ClientLink, handle: bytes) -> None:
        if self.row.operation == "read":
            return self.send_command(
                link, "r", packets.Read(0, handle, self.offset, self.length)
            )
        self.send_command(
            link,
            "w",
            packets.Write(
                0, handle, self.offset, pattern(self.path, self.offset, self.length)
            ),
        )

    def send_command(self, link: ClientLink, what: str, command: Any) -> None:
        attempt = self.attempt
        link.command(
            command,
            self.terms(what),
            lambda answer: self.answered(answer) if attempt == self.attempt else None,
        )

    def answered(self, answer: Any) -> None:
        if self.ended:
            return None
        if answer is None:
            return self.retry("lost", 0.0)
        if isinstance(answer, packets.Status) and answer.language.startswith(
            "x-declined-"
        ):
            return self.retry("declined", int(answer.language[11:] or 0) / 1000)
        if isinstance(answer, packets.Status) and answer.language == "x-aborted":
            return self.retry("aborted", 0.0)
        succeeded = not isinstance(answer, packets.Status) or answer.code == packets.OK
        if isinstance(answer, packets.Data) and answer.data != pattern(
            self.path, self.offset, len(answer.data)
        ):
            self.load.count("reads with wrong bytes")
        elif isinstance(answer, packets.Data):
            self.load.count("reads with right bytes")
        if not succeeded:
            self.load.count(f"status {answer.code} {self.row.operation}")
        if succeeded and self.row.operation == "new":
            self.load.made(self)
        self.end("satisfied" if succeeded else "status")

    def give_up(self, attempt: int) -> None:
        if attempt == self.attempt and not self.ended:
            self.retry("given up", 0.0)

    def retry(self, reason: str, retry_delay: float) -> None:
        """Retry the operation, or end it if no retry is left or allowed.

        A client that abuses retries waits neither its own pause nor the retry delay.
        """
        self.load.count(f"tries {reason}")
        self.attempt += 1
        clients = self.load.scenario.clients
        abuses_retries = self.retries > clients.retries
        if (
            self.tries >= self.retries
            or reason == "aborted"
            and self.category.repeats == "exclusive"
        ):
            return self.end(reason)
        self.tries += 1
        wait = 0.0 if abuses_retries else clients.pause_ms / 1000
        if (
            retry_delay
            and not abuses_retries
            and self.load.chance.random() < clients.honour
        ):
            wait = max(wait, retry_delay)
        self.load.reactor.callLater(wait, self.start_attempt)

    def end(self, outcome: str) -> None:
        self.ended = True
        self.load.ended(self, outcome)
