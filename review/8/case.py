"""Case 8: bad clients with bodies in tiny chunks hold up everybody's answers."""

from __future__ import annotations

import random
import socket
import threading
import time
from pathlib import Path

from review.common.case import Case, run_case, with_trouble
from review.common.client import Answer, Call, Connection
from review.common.settings import WALU_CLASSES, settings

SEED = 8
SHARDS = 4
BURSTS = 4
BURST_S = 16.0  # from one burst of bad clients to the next
BAD_CLIENTS = 200  # of a burst
CHUNKS = 9_000  # of one octet, in the body of a bad client
USUAL_CLIENTS = 6
USUAL_EVERY_S = 0.2
REMAINING_MS = 480
GRACE_S = 0.5 + 0.05  # half a second, and the socket's 50 ms
WAIT_S = 25.0


def bad_client(case: Case, txn: str, all_connected: threading.Barrier) -> None:
    """Send one write in tiny chunks, and wait for the error."""
    whole = Call(txn, "lot-write", 0, 3000, b"").encode()
    head = whole.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    octets = head + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n"
    begun_at = time.monotonic()
    try:
        with socket.create_connection(case.address, timeout=WAIT_S) as client:
            all_connected.wait(2.0)
            client.sendall(octets)
            got = client.recv(4096)
            end = got.split(b"\r\n", 1)[0].decode("latin-1") or "close"
    except (OSError, threading.BrokenBarrierError) as error:
        end = type(error).__name__
    case.note(f"bad client {txn}: {end} after {time.monotonic() - begun_at:.3f} s")


def usual_client(
    case: Case, draw: random.Random, over: threading.Event, breaks: list[str]
) -> None:
    """Send a read every now and then, on one connection, and judge its answer."""
    client: Connection | None = None
    while not over.wait(USUAL_EVERY_S):
        txn = f"{draw.getrandbits(64):016x}"
        call = Call(txn, "lot-read", draw.randrange(SHARDS), REMAINING_MS)
        answer: Answer | None = None
        end = "no answer"
        try:
            client = client or Connection(case.address, WAIT_S)
            client.send(call.encode())
        except OSError as error:
            case.note(f"usual client {txn}: not sent: {error}")
            client = None
            continue
        written_at = time.monotonic()
        try:
            answer = client.read_answer(written_at + WAIT_S)
            end = str(answer.status) if answer else "closed"
        except TimeoutError:
            pass
        taken = time.monotonic() - written_at
        case.note(f"usual client {txn}: {end} after {taken:.3f} s")
        if taken > REMAINING_MS / 1000 + GRACE_S:
            breaks.append(
                f"request {txn}: {end} after {taken:.3f} s, "
                f"its client's time was {REMAINING_MS} ms"
            )
        if answer is None or answer.closes:
            client.close()
            client = None


def play(case: Case) -> list[str]:
    """Play the case; return each request that was answered too late or never."""
    nodes = [
        {"name": f"s-{each}", "shard": each, "service_ms": 30, "answer_size": 200}
        for each in range(SHARDS)
    ]
    places = case.start_servers(nodes)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    case.start_gateway(places, settings(WALU_CLASSES, 3, SHARDS, 250), limits)
    over = threading.Event()
    breaks: list[str] = []
    threads = []
    for number in range(USUAL_CLIENTS):
        draw = random.Random(f"{SEED} usual {number}")
        arguments = (case, draw, over, breaks)
        threads.append(threading.Thread(target=usual_client, args=arguments))
        threads[-1].start()
    draw = random.Random(SEED)
    time.sleep(1.0)
    for burst in range(BURSTS):
        txns = [f"{draw.getrandbits(64):016x}" for _ in range(BAD_CLIENTS)]
        if with_trouble():
            case.note(f"burst {burst}: {BAD_CLIENTS} bad clients")
            barrier = threading.Barrier(BAD_CLIENTS)
            for txn in txns:
                arguments = (case, txn, barrier)
                threads.append(threading.Thread(target=bad_client, args=arguments))
                threads[-1].start()
        time.sleep(BURST_S)
    over.set()
    for thread in threads:
        thread.join()
    return breaks


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
