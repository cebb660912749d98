"""Case 6: the body of a write that is sent behind another command is mixed up."""

from __future__ import annotations

import hashlib
import multiprocessing
import random
import time
from multiprocessing.connection import Connection as Pipe
from pathlib import Path

from review.common.case import Case, run_case, with_trouble
from review.common.client import HEAD_END, Call, Connection
from review.common.settings import LAUTOKA_CLASSES, settings

SEED = 6
CLIENTS = 2
SHARDS = 4
PLAY_S = 45.0
BODY = 65_536  # octets of a write's body: the most that the protocol page allows
PAUSE_S = (0.0, 0.0003)  # between the two pieces in which a message comes
# Capital letters and spaces, as in the sheets of older office programs.
WORDS = ("LANDING", "LOT", "BUYER", "SALE", "SHEET", "TUNA", "WALU", "CRATE", "ICE")

Notes = list[tuple[float, str]]


def calls(shard: int, draw: random.Random) -> list[Call]:
    """Return the commands that a client sends at once: read, write, read."""
    txns = [f"{draw.getrandbits(64):016x}" for _ in range(3)]
    words = " ".join(draw.choices(WORDS, k=BODY // 4))
    return [
        Call(txns[0], "record-read", shard, 3000),
        Call(txns[1], "record-write", shard, 5000, words.encode()[:BODY]),
        Call(txns[2], "record-read", shard, 3000),
    ]


def play_round(
    client: Connection, burst: list[Call], pause: float, notes: Notes
) -> bool:
    """Send the commands at once, or one by one; False if the connection is over.

    The octets come in two pieces: up to the end of the write's head, and the rest.
    """
    groups = [burst] if with_trouble() else [[each] for each in burst]
    for group in groups:
        octets = b"".join(each.encode() for each in group)
        cut = octets.find(HEAD_END, max(octets.find(b"PUT "), 0)) + len(HEAD_END)
        client.send(octets[:cut])
        time.sleep(pause)
        client.send(octets[cut:])
        for each in group:
            answer = client.read_answer(time.monotonic() + 6.0)
            status = answer.status if answer else None
            notes.append((time.monotonic(), f"{each.txn} {each.name}: answer {status}"))
            if answer is None or answer.closes:
                return False
    return True


def run_client(address: tuple[str, int], number: int, pipe: Pipe) -> None:
    """Send commands until the play is over; report what was sent and answered."""
    draw = random.Random(f"{SEED} client {number}")
    sent: list[Call] = []
    notes: Notes = []
    client = Connection(address)
    over_at = time.monotonic() + PLAY_S
    while time.monotonic() < over_at:
        burst = calls(draw.randrange(SHARDS), draw)
        sent += burst
        if not play_round(client, burst, draw.uniform(*PAUSE_S), notes):
            client.close()
            client = Connection(address)
    client.close()
    digests = {
        each.txn: (
            each.body is not None,
            hashlib.sha256(each.body or b"").hexdigest(),
            len(each.body or b""),
        )
        for each in sent
    }
    pipe.send((digests, notes))


def play(case: Case) -> list[str]:
    """Play the case; return each request that ran other than it was sent."""
    nodes = [
        {"name": f"s-{each}", "shard": each, "service_ms": 3, "answer_size": 200}
        for each in range(SHARDS)
    ]
    places = case.start_servers(nodes)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    case.start_gateway(places, settings(LAUTOKA_CLASSES, 3, SHARDS, 1000), limits)
    context = multiprocessing.get_context("fork")
    pipes = []
    for number in range(CLIENTS):
        ours, theirs = context.Pipe()
        arguments = (case.address, number, theirs)
        context.Process(target=run_client, args=arguments, daemon=True).start()
        pipes.append(ours)
    sent = {}
    for number, pipe in enumerate(pipes):
        digests, notes = pipe.recv()
        sent.update(digests)
        for at, text in notes:
            case.note(f"client {number} {text}", at)
    return judge(case, sent)


def judge(case: Case, sent: dict[str, tuple[bool, str, int]]) -> list[str]:
    """Compare what the storage nodes ran with what clients sent."""
    breaks = []
    for run in case.runs():
        if run["txn"] not in sent:
            breaks.append(f"{run['node']} got {run['line']!r}: nobody sent it")
            continue
        write, digest, size = sent[run["txn"]]
        text = f"{run['node']} ran {run['txn']} {run['line']!r} {run['sha256'][:16]}"
        case.note(f"{text}, {run['size']} octets", run["at"])
        if write != run["line"].startswith("PUT") or digest != run["sha256"]:
            breaks.append(
                f"{run['node']} ran {run['txn']} with another body than was sent: "
                f"{run['size']} octets, SHA-256 {run['sha256'][:16]}; sent were "
                f"{size}, {digest[:16]}"
            )
    return breaks


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
