"""Scripted clients: their connections to edges, and one thing wanted with its tries; every byte read is checked."""

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

MOST_HANDLES, AGAIN = (
    200,
    0.25,
)  # of a connection; seconds until a lost one is dialled again


class ClientLink(Protocol):
    """One client connection to one edge."""

    keeps = (64, 160)  # bytes of a packet that came in and that goes out

    def __init__(self, door: EdgeDoor, number: int) -> None:
        self.door, self.number, self.ids = door, number, 0
        self.deframer = PacketSplitter(64_000_000)
        self.waiting: dict[int, Callable[[Any], None]] = {}
        self.handles: OrderedDict[str, bytes] = OrderedDict()
        self.open = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.door.load.recorder.note(
            what="connect", conn=self.number, edge=self.door.name
        )
        self.send(packets.Init(packets.PROTOCOL_VERSION))

    def dataReceived(self, data: bytes) -> None:
        self.deframer.feed(data)
        while (body := self.deframer.next()) is not None:
            self.door.load.recorder.put(self.number, IN, body, self.keeps[0])
            packet = packet_codec.decode(body)
            if isinstance(packet, packets.Version):
                self.open = True
                self.door.ready(self)
                continue
            call = self.waiting.pop(packet.id, None)
            if call is None:
                self.door.load.count("answers nobody waits for")
            else:
                call(packet)

    def connectionLost(self, reason: Any = None) -> None:
        self.open = False
        self.door.load.recorder.note(what="lost", conn=self.number, edge=self.door.name)
        waiting, self.waiting = list(self.waiting.values()), {}
        self.door.lost(self)
        for call in waiting:
            call(None)

    def send(self, packet: Any) -> None:
        data = packet_codec.encode(packet)
        self.door.load.recorder.put(self.number, OUT, data[4:], self.keeps[1])
        self.transport.write(data)

    def command(
        self, command: Any, terms: CommandTerms, call: Callable[[Any], None]
    ) -> None:
        """A command under terms; `call` gets its answer, None where the connection ended."""
        self.word(
            lambda id: extensions.encode_command(
                terms, packet_codec.with_id(command, id)
            ),
            call,
        )

    def word(self, made: Callable[[int], Any], call: Callable[[Any], None]) -> None:
        """A packet made for its id."""
        self.ids += 1
        self.waiting[self.ids] = call
        self.send(made(self.ids))


class EdgeDoor:
    """The connections to one edge; dialled again when they end."""

    def __init__(self, load: Any, name: str, address: str, count: int) -> None:
        self.load, self.name = load, name
        host, _, port = address.rpartition(":")
        self.endpoint = TCP4ClientEndpoint(load.reactor, host, int(port), timeout=2)
        self.links: list[ClientLink] = []
        self.over = False
        for _ in range(count):
            self.dial()

    def dial(self) -> None:
        if self.over:
            return
        self.load.connections += 1
        link = ClientLink(self, self.load.connections)
        factory = Factory.forProtocol(lambda: link)
        factory.noisy = False
        self.endpoint.connect(factory).addCallbacks(
            lambda _: self.links.append(link),
            lambda _: self.load.reactor.callLater(AGAIN, self.dial),
        )

    def ready(self, link: ClientLink) -> None:
        """It may be used."""

    def lost(self, link: ClientLink) -> None:
        if link in self.links:
            self.links.remove(link)
        self.load.reactor.callLater(AGAIN, self.dial)

    def pick(self, chance: Random) -> ClientLink | None:
        ready = [each for each in self.links if each.open]
        return chance.choice(ready) if ready else None


class Operation:
    """One thing that a client wants: its tries, and what came of it."""

    def __init__(
        self,
        load: Any,
        row: Any,
        volume: Any,
        edge: EdgeDoor,
        path: str,
        offset: int,
        length: int,
    ) -> None:
        self.load, self.row, self.volume, self.edge = load, row, volume, edge
        self.path, self.offset, self.length = path, offset, length
        self.category = load.categories[row.category]
        self.began, self.tries, self.over, self.number = (
            load.now(),
            0,
            False,
            load.next_operation(),
        )
        self.retries = load.retries_of(volume.plan)
        self.patience = load.try_timeout_of(self.category, volume.plan)
        self.turn = 0
        self.try_once()

    def left(self) -> float:
        """Seconds of patience left in this try."""
        return self.try_ends - self.load.now()

    def terms(self, what: str) -> CommandTerms:
        return CommandTerms(
            max(int(self.left() * 1000), 1), self.tries, f"op{self.number}.{what}"
        )

    def try_once(self) -> None:
        self.turn += 1
        self.try_ends = self.load.now() + self.patience
        link = self.edge.pick(self.load.random)
        if link is None:
            return self.again("unreached", 0.0)
        self.load.reactor.callLater(self.patience, self.give_up, self.turn)
        if self.row.operation in ("list", "look"):
            return self.ask(link, "l", packets.Stat(0, self.path))
        handle = link.handles.get(self.path)
        if handle is not None:
            return self.use(link, handle)
        flags = (
            packets.READ_FLAG
            | packets.WRITE_FLAG
            | (packets.CREATE_FLAG if self.row.operation == "new" else 0)
        )
        turn = self.turn
        link.command(
            packets.Open(0, self.path, flags, FileAttributes()),
            self.terms("o"),
            lambda answer: self.opened(link, answer, turn),
        )

    def opened(self, link: ClientLink, answer: Any, turn: int) -> None:
        if isinstance(answer, packets.Handle):
            link.handles[self.path] = answer.handle
            if len(link.handles) > MOST_HANDLES:
                _, old = link.handles.popitem(last=False)
                link.command(packets.Close(0, old), CommandTerms(), lambda _: None)
            if turn == self.turn and not self.over and self.left() > 0.001:
                self.use(link, answer.handle)
        elif turn == self.turn:
            self.answered(answer)

    def use(self, link: ClientLink, handle: bytes) -> None:
        if self.row.operation == "read":
            return self.ask(
                link, "r", packets.Read(0, handle, self.offset, self.length)
            )
        self.ask(
            link,
            "w",
            packets.Write(
                0, handle, self.offset, pattern(self.path, self.offset, self.length)
            ),
        )

    def ask(self, link: ClientLink, what: str, command: Any) -> None:
        turn = self.turn
        link.command(
            command,
            self.terms(what),
            lambda answer: self.answered(answer) if turn == self.turn else None,
        )

    def answered(self, answer: Any) -> None:
        if self.over:
            return None
        if answer is None:
            return self.again("lost", 0.0)
        if isinstance(answer, packets.Status) and answer.language.startswith(
            "x-declined-"
        ):
            return self.again("declined", int(answer.language[11:] or 0) / 1000)
        if isinstance(answer, packets.Status) and answer.language == "x-aborted":
            return self.again("aborted", 0.0)
        fine = not isinstance(answer, packets.Status) or answer.code == packets.OK
        if isinstance(answer, packets.Data) and answer.data != pattern(
            self.path, self.offset, len(answer.data)
        ):
            self.load.count("reads with wrong bytes")
        elif isinstance(answer, packets.Data):
            self.load.count("reads with right bytes")
        if not fine:
            self.load.count(f"status {answer.code} {self.row.operation}")
        if fine and self.row.operation == "new":
            self.load.on_file_created(self)
        self.end("satisfied" if fine else "status")

    def give_up(self, turn: int) -> None:
        if turn == self.turn and not self.over:
            self.again("given up", 0.0)

    def again(self, why: str, pause: float) -> None:
        """Another try, if the client has one left."""
        self.load.count(f"tries {why}")
        self.turn += 1
        clients = self.load.scenario.clients
        abused = self.retries > clients.retries
        if (
            self.tries >= self.retries
            or why == "aborted"
            and self.category.repeats == "exclusive"
        ):
            return self.end(why)
        self.tries += 1
        wait = 0.0 if abused else clients.pause_ms / 1000
        if pause and not abused and self.load.random.random() < clients.honour:
            wait = max(wait, pause)
        self.load.reactor.callLater(wait, self.try_once)

    def end(self, final: str) -> None:
        self.over = True
        self.load.on_operation_ended(self, final)
