"""The platform's discovery service: the whole list, and watches with heartbeats."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
from typing import Any

from review.standins.http import ConnectionEndedError, MessageStream
from review.standins.record import Record

HEARTBEAT_SECONDS = 2.0


class Discovery:
    """Serves one list of storage nodes, whose changes it writes to every watch."""

    def __init__(self, record: Record, servers: list[dict[str, Any]]) -> None:
        self.record = record
        self.servers = {each["id"]: each for each in servers}
        self.version = 1
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = threading.Condition()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The address on which it listens."""
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def known(self) -> dict[str, Any]:
        """Return the whole list."""
        with self.changed:
            return {
                "version": self.version,
                "full": True,
                "servers": list(self.servers.values()),
            }

    def change(self, entry: dict[str, Any]) -> None:
        """Change one entry, and tell it to all watches."""
        with self.changed:
            self.version += 1
            self.servers[entry["id"]] = entry
            if entry["state"] == "left":
                del self.servers[entry["id"]]
            self.changes.append((self.version, entry))
            self.changed.notify_all()
        self.record.write("discovery", f"version {self.version}: {entry}")

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ConnectionEndedError), sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            first, _, _ = MessageStream(sock).read()
            _, _, query = first.split(" ")[1].partition("?")
            if "watch=1" not in query:
                body = json.dumps(self.known()).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                sock.sendall(head + body)
                return
            since = int(query.partition("from=")[2] or "0")
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._stream(sock, since)

    def _stream(self, sock: socket.socket, since: int) -> None:
        """Write the changes after a version, then each change as it comes."""
        if not 0 < since <= self.version:
            known = self.known()
            since = known["version"]
            self._write_line(sock, json.dumps(known))
        while True:
            with self.changed:
                if self.version == since:
                    self.changed.wait(HEARTBEAT_SECONDS)
                entries = [entry for at, entry in self.changes if at > since]
                since = self.version
            update = {"version": since, "full": False, "servers": entries}
            self._write_line(sock, json.dumps(update) if entries else "")

    def _write_line(self, sock: socket.socket, line: str) -> None:
        data = line.encode() + b"\n"
        sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
