"""Case 9: requests wait unread while clients that stopped hold the connections."""

from __future__ import annotations

import random
import socket
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from review.common.case import Case, run_case, with_trouble
from review.common.client import Answer, Call, Connection
from review.common.settings import WALU_CLASSES, settings

SEED = 9
SHARDS = 4
SOCKETS = 256
WAVES = 6
WAVE_S = 8.0  # from one wave of clients that stop to the next
STOPPED = 140  # clients of a wave
USUAL_EVERY_S = 0.1
REMAINING_MS = 480
GRACE_S = 0.5 + 0.05  # half a second, and the socket's 50 ms
WAIT_S = 5.0


@dataclass
class Try:
    """One request of a usual client, on a new connection."""

    call: Call
    written_at: float = 0.0
    answer: Answer | None = None
    end: str = "no answer"
    over_at: float = field(default=0.0)


def stopped_client(address: tuple[str, int], call: Call) -> None:
    """Send half a request and stay until the gateway sends an error or a close."""
    octets = call.encode()
    try:
        with socket.create_connection(address, timeout=WAIT_S) as client:
            client.sendall(octets[: len(octets) // 2])
            while client.recv(4096):
                pass
    except OSError:
        pass


def usual_client(address: tuple[str, int], each: Try) -> None:
    """Send one request on a new connection, and wait for its answer."""
    try:
        client = Connection(address, WAIT_S)
        client.send(each.call.encode())
        each.written_at = time.monotonic()
    except OSError as error:
        each.end = f"not connected: {error}"
        return
    try:
        each.answer = client.read_answer(each.written_at + WAIT_S)
        each.end = "closed" if each.answer is None else str(each.answer.status)
    except TimeoutError:
        pass
    each.over_at = time.monotonic()
    client.close()


def play(case: Case) -> list[str]:
    """Play the case; return each request that was answered too late or never."""
    nodes = [
        {"name": f"s-{each}", "shard": each, "service_ms": 30, "answer_size": 200}
        for each in range(SHARDS)
    ]
    places = case.start_servers(nodes)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}
    case.start_gateway(places, settings(WALU_CLASSES, 3, SHARDS, 250), limits)
    draw = random.Random(SEED)
    threads: list[threading.Thread] = []
    tries: list[Try] = []
    start = time.monotonic()
    next_wave = start + 1.0
    waves = 0
    while time.monotonic() < start + WAVES * WAVE_S:
        now = time.monotonic()
        if waves < WAVES and now >= next_wave:
            waves += 1
            next_wave += WAVE_S
            if with_trouble():
                case.note(f"wave {waves}: {STOPPED} clients send half a request")
                for number in range(STOPPED):
                    txn = f"{draw.getrandbits(64):016x}"
                    half = Call(txn, "lot-read", number % SHARDS, 1500)
                    arguments = (case.address, half)
                    threads.append(
                        threading.Thread(target=stopped_client, args=arguments)
                    )
                    threads[-1].start()
        txn = f"{draw.getrandbits(64):016x}"
        call = Call(txn, "lot-read", len(tries) % SHARDS, REMAINING_MS)
        tries.append(Try(call))
        threads.append(
            threading.Thread(target=usual_client, args=(case.address, tries[-1]))
        )
        threads[-1].start()
        time.sleep(USUAL_EVERY_S)
    for thread in threads:
        thread.join()
    return judge(case, tries)


def judge(case: Case, tries: list[Try]) -> list[str]:
    """Return the requests without a final answer half a second after their time."""
    runs = {each["txn"]: each["at"] for each in case.runs()}
    breaks = []
    for each in tries:
        txn = each.call.txn
        if not each.written_at:
            case.note(f"usual client {txn}: {each.end}")
            continue
        taken = each.over_at - each.written_at
        ran = runs.get(txn)
        ran_after = "never" if ran is None else f"after {ran - each.written_at:.3f} s"
        text = f"{txn}: {each.end} after {taken:.3f} s, run {ran_after}"
        case.note(f"usual client {text}", each.over_at)
        # A connection that is shut unread, without an answer, is allowed here.
        is_shut = each.end == "closed" and ran is None
        if taken > REMAINING_MS / 1000 + GRACE_S and not is_shut:
            breaks.append(f"request {text}, its client's time was {REMAINING_MS} ms")
    return breaks


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
