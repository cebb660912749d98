"""A storage node of the platform's protocol, and the link in front of it.

A node runs a request once its last octet has come, and answers with a body that names
the request that it was made for. A connection carries one request at a time.
"""

from __future__ import annotations

import contextlib
import queue
import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from review.standins.http import ConnectionEndedError, MessageStream, encode
from review.standins.record import Record


@dataclass(frozen=True)
class NodeRequest:
    """One request as a node sees it."""

    txn: str
    lane: str
    size: int
    remaining_ms: int


# Returns for how many seconds a node works on a request.
WorkTime = Callable[[NodeRequest], float]
# Returns after how many seconds a second answer follows the first; None for none.
SecondAnswer = Callable[[NodeRequest], float | None]


class StorageNode:
    """One storage node.

    Attributes:
        runs: how often each request was run.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        work_time: WorkTime,
        second_answer: SecondAnswer = lambda request: None,
    ) -> None:
        self.record = record
        self.name = name
        self.work_time = work_time
        self.second_answer = second_answer
        self.runs: dict[str, int] = {}
        self.second_answers = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return int(self.listener.getsockname()[1])

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ConnectionEndedError), sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = MessageStream(sock)
            while True:
                first, fields, body = stream.read()
                request = NodeRequest(
                    fields.get("x-txn", ""),
                    first.split(" ")[1].strip("/"),
                    len(body),
                    int(fields.get("x-remaining-ms", "0")),
                )
                self._run(sock, request)

    def _run(self, sock: socket.socket, request: NodeRequest) -> None:
        self.runs[request.txn] = self.runs.get(request.txn, 0) + 1
        self.record.write(self.name, f"runs {request}")
        time.sleep(self.work_time(request))
        answer = encode("HTTP/1.1 200 OK", {}, f"made for {request.txn}".encode())
        sock.sendall(answer)
        self.record.write(self.name, f"answers {request.txn}")
        delay = self.second_answer(request)
        if delay is None:
            return
        time.sleep(delay)
        # Only when nothing else is waiting on the connection.
        if not select.select([sock], [], [], 0)[0]:
            sock.sendall(answer)
            self.second_answers += 1
            self.record.write(self.name, f"answers {request.txn} a second time")


class Link:
    """The network between gateways and a node: each octet takes the same time."""

    def __init__(self, port: int, seconds: float) -> None:
        self.node_port = port
        self.seconds = seconds
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return int(self.listener.getsockname()[1])

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = self.listener.accept()
                far = socket.create_connection(("127.0.0.1", self.node_port))
                for source, target in ((near, far), (far, near)):
                    source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    Direction(source, target, self.seconds)


class Direction:
    """One direction of a connection over a link."""

    def __init__(
        self, source: socket.socket, target: socket.socket, seconds: float
    ) -> None:
        self.source = source
        self.target = target
        self.seconds = seconds
        self.pieces: queue.SimpleQueue[tuple[float, bytes]] = queue.SimpleQueue()
        for work in (self._read, self._write):
            threading.Thread(target=work, daemon=True).start()

    def _read(self) -> None:
        data = b"-"
        while data:
            try:
                data = self.source.recv(65_536)
            except OSError:
                data = b""
            self.pieces.put((time.monotonic() + self.seconds, data))

    def _write(self) -> None:
        data = b"-"
        while data:
            due, data = self.pieces.get()
            time.sleep(max(due - time.monotonic(), 0))
            with contextlib.suppress(OSError):
                if data:
                    self.target.sendall(data)
                else:
                    self.target.shutdown(socket.SHUT_WR)
