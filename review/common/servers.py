"""Stand-ins of the storage nodes and of discovery, in one process of their own.

Run as `python -m review.common.servers FILE`: the file is a JSON object with the log's
path and the nodes. One line on standard output tells the addresses. A node answers each
request with a body of its own, one at a time on a connection, after its service time;
it keeps a record of every request that came whole. It turns away, unrun, a request for
another shard.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import IO, Any

HEAD_END = b"\r\n\r\n"
HEARTBEAT_S = 2.0


def answer_body(node: str, txn: str, size: int) -> bytes:
    """Return the body of a node's answer to one request; clients check it."""
    line = f"{txn} from {node};".encode()
    return (line * (size // len(line) + 1))[: max(size, len(line))]


@dataclass
class Node:
    """One storage node."""

    name: str
    shard: int
    service_ms: float
    answer_size: int
    log: IO[str]
    port: int = 0
    held: int = 0
    connections: int = 0
    server: Any = field(default=None, repr=False)

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection of a gateway."""
        self.connections += 1
        connection = self.connections
        with suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
            while True:
                head = await reader.readuntil(HEAD_END)
                fields = parse_head(head)
                length = int(fields.get("content-length", "0"))
                body = await reader.readexactly(length)
                await self.answer(writer, connection, fields, body)
        writer.close()

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        connection: int,
        fields: dict[str, str],
        body: bytes,
    ) -> None:
        """Run one request and answer it."""
        txn = fields.get("x-txn", "")
        entry = {
            "at": time.monotonic(),
            "event": "run",
            "node": self.name,
            "connection": connection,
            "line": fields[""],
            "txn": txn,
            "key": fields.get("idempotency-key"),
            "remaining_ms": fields.get("x-remaining-ms"),
            "size": len(body),
            "sha256": hashlib.sha256(body).hexdigest(),
            "body": body[:4096].decode("latin-1"),
        }
        if not txn:
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            entry["event"] = "no id"
            write_line(self.log, entry)
            return
        write_line(self.log, entry)
        self.held += 1
        await asyncio.sleep(self.service_ms / 1000)
        self.held -= 1
        reply = answer_body(self.name, txn, self.answer_size)
        load = f"X-Pressure: queue=0,inflight={self.held}"
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(reply)}\r\n{load}\r\n\r\n"
        writer.write(head.encode() + reply)
        await writer.drain()


class Discovery:
    """The list of the nodes; nothing in it changes."""

    def __init__(self, nodes: list[Node]) -> None:
        self.nodes = nodes
        self.port = 0
        self.server: Any = None

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def list(self) -> dict[str, Any]:
        """Return the whole list."""
        entries = [
            {
                "id": node.name,
                "addr": f"127.0.0.1:{node.port}",
                "zone": "hall-a",
                "kind": "small-3core",
                "cell": node.shard,
                "state": "active",
                "weight": 1.0,
                "started_ms": 0,
            }
            for node in self.nodes
        ]
        return {"version": 41, "full": True, "servers": entries}

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call: the list, or a watch with an empty line every 2 s."""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(HEAD_END)
            watch = b"watch=1" in head.split(b"\r\n", 1)[0]
            text = json.dumps(self.list()).encode() + b"\n"
            if not watch:
                start = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text)
                writer.write(start + text)
                await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                line = text
                while not reader.at_eof():
                    writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                    await writer.drain()
                    line = b"\n"
                    await asyncio.sleep(HEARTBEAT_S)
        writer.close()


def parse_head(head: bytes) -> dict[str, str]:
    """Return the header fields by lower-case name; the request line is under ''."""
    first, *lines = head[: -len(HEAD_END)].decode("latin-1").split("\r\n")
    fields = {"": first}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return fields


def write_line(log: IO[str], entry: dict[str, Any]) -> None:
    """Add one line to the log."""
    log.write(json.dumps(entry) + "\n")


async def main(path: str) -> None:
    """Run until standard input ends."""
    with open(path) as file:
        given = json.load(file)
    with open(given["log"], "w", buffering=1) as log:
        nodes = [Node(log=log, **each) for each in given["nodes"]]
        for node in nodes:
            await node.start()
        discovery = Discovery(nodes)
        await discovery.start()
        ports = {"discovery": discovery.port, "list": discovery.list()}
        print(json.dumps(ports), flush=True)
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
