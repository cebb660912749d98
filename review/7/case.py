"""Case 7: what clients with endless bodies have sent stays in the gateway's memory."""

from __future__ import annotations

import random
import select
import socket
import threading
import time
from pathlib import Path

from review.common.case import Case, run_case, with_trouble
from review.common.client import Call, Connection
from review.common.settings import LAUTOKA_CLASSES, settings

SEED = 7
SHARDS = 4
SOCKETS = 1024
MEMORY_MB = 192  # the most that a gateway gets on scored days
PLAY_S = 60.0
BAD_CLIENTS = 8  # at the same time
BODY_MB = 60
OWED_S = 6.0  # a client with 60 MB is owed an error or a close by then
PLATFORM_S = 0.02  # how often the platform looks at the gateway's memory
USUAL_CLIENTS = 4
USUAL_EVERY_S = 0.05
CHUNK = b"10000\r\n" + b"y" * 0x10000 + b"\r\n"


class Platform(threading.Thread):
    """Kills the gateway once it holds more memory than its configuration allows."""

    def __init__(self, case: Case, over: threading.Event) -> None:
        super().__init__()
        self.case = case
        self.over = over
        self.most_mb = 0.0
        self.killed = False

    def run(self) -> None:
        """Look at the memory until the case is over."""
        assert self.case.gateway is not None
        status = Path(f"/proc/{self.case.gateway.pid}/status")
        shown = 0.0
        while not self.over.wait(PLATFORM_S):
            try:
                lines = status.read_text().splitlines()
            except OSError:
                return
            held = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
            self.most_mb = max(self.most_mb, *(int(each) / 1024 for each in held), 0)
            if self.most_mb > shown + 10:
                shown = self.most_mb
                self.case.note(f"platform: the gateway holds {shown:.1f} MB")
            if self.most_mb > MEMORY_MB:
                self.case.note("platform: over the limit, kills the gateway")
                self.killed = True
                self.case.has_ended_gateway = True
                self.case.gateway.kill()
                self.over.set()


def bad_client(case: Case, draw: random.Random, over: threading.Event) -> None:
    """Send one endless body after the other, each until there is an error or a close.

    A body has up to 60 MB, in chunks.
    """
    while not over.is_set():
        txn = f"{draw.getrandbits(64):016x}"
        whole = Call(txn, "record-write", 0, 5000, b"").encode()
        head = whole.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        end = send_body(case.address, head)
        case.note(f"bad client {txn}: {end}")


def send_body(address: tuple[str, int], head: bytes) -> str:
    """Send a request with a body of 60 MB; return how the gateway ended it."""
    over_at = time.monotonic() + OWED_S
    try:
        with socket.create_connection(address, timeout=OWED_S) as client:
            client.sendall(head)
            for number in range(BODY_MB * 16):
                client.sendall(CHUNK)
                if select.select([client], [], [], 0)[0]:
                    got = client.recv(4096)
                    line = got.split(b"\r\n", 1)[0].decode("latin-1")
                    return f"{line or 'close'} after {number + 1} chunks of 64 KiB"
                if time.monotonic() > over_at:
                    return "neither error nor close"
    except OSError as error:
        return f"{type(error).__name__}"
    return "all sent"


def usual_client(case: Case, draw: random.Random, over: threading.Event) -> None:
    """Send a read every now and then, on one connection while it stays open."""
    client: Connection | None = None
    while not over.wait(USUAL_EVERY_S):
        txn = f"{draw.getrandbits(64):016x}"
        try:
            client = client or Connection(case.address)
            client.send(Call(txn, "record-read", 1, 3000).encode())
            answer = client.read_answer(time.monotonic() + 4.0)
        except OSError as error:
            case.note(f"usual client {txn}: {type(error).__name__}")
            client = None
            continue
        case.note(f"usual client {txn}: {answer.status if answer else 'closed'}")
        if answer is None or answer.closes:
            client.close()
            client = None


def play(case: Case) -> list[str]:
    """Play the case; return whether the platform had to kill the gateway."""
    nodes = [
        {"name": f"s-{each}", "shard": each, "service_ms": 30, "answer_size": 200}
        for each in range(SHARDS)
    ]
    places = case.start_servers(nodes)
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    case.start_gateway(places, settings(LAUTOKA_CLASSES, 3, SHARDS, 1000), limits)
    over = threading.Event()
    platform = Platform(case, over)
    threads: list[threading.Thread] = [platform]
    kinds = [("usual", usual_client, USUAL_CLIENTS)]
    if with_trouble():
        kinds.append(("bad", bad_client, BAD_CLIENTS))
    for name, target, count in kinds:
        for number in range(count):
            draw = random.Random(f"{SEED} {name} {number}")
            threads.append(threading.Thread(target=target, args=(case, draw, over)))
    for thread in threads:
        thread.start()
    over.wait(PLAY_S)
    over.set()
    for thread in threads:
        thread.join()
    case.note(f"platform: at most {platform.most_mb:.1f} MB of {MEMORY_MB}")
    if platform.killed:
        return [
            f"the gateway held {platform.most_mb:.1f} MB, over its limit of "
            f"{MEMORY_MB}: the platform killed it"
        ]
    return []


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
