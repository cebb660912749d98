"""Writes traces from a thread of its own; who hands records over never waits.

`Writer.put` is called by the reactor's thread and only appends to a bounded list. The thread forms blocks, writes and syncs
them, ends files by size and age, and deletes the oldest past the total. A disk that refuses ends the file at hand.
"""

from __future__ import annotations

import os
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from milletsill.errors import StateNotStored
from milletsill.trace import format
from milletsill.trace.recording_policy import (
    MOST_AGE,
    MOST_ROWS,
    SECOND,
    Shed,
    Stores,
    Tracing,
    Word,
    block_ends,
    file_ends,
    retry_after,
    room,
    step,
    to_delete,
)
from milletsill.trace.records import BY_NAME, BlockHead, Row

LOOK, SUFFIX = 0.1, ".mtrace"


class TraceNotStored(StateNotStored):
    """A trace that the disk does not take."""

    remedy = "make room or mend the disk of trace.folder; traffic goes on, and tracing in a new file once it is taken again"


class Writer:
    """One gateway's traces in one folder. `about` goes into each file's header; `remark` gets one line for the log, from
    the writer's thread; `now` is the gateway's clock.
    """

    def __init__(
        self,
        folder: str,
        name: str,
        about: dict[str, Any],
        now: Callable[[], int],
        remark: Callable[[str], None],
        most_held: int = 200_000,
        most_bytes: int = 64 << 20,
        most_age: int = 3600 * SECOND,
        most_total: int = 1 << 30,
        sync: str = "blocks",
        block_age: int = MOST_AGE,
    ) -> None:
        self.folder, self.name, self.about, self.now, self.remark = (
            folder,
            name,
            about,
            now,
            remark,
        )
        self.most_held, self.most_bytes, self.most_age = most_held, most_bytes, most_age
        self.most_total, self.sync, self.block_age = most_total, sync, block_age
        self.held: deque[Row] = deque()
        self.kinds = {
            name: (kind, room(name, most_held)) for name, kind in BY_NAME.items()
        }
        self.over = False
        self.shed: dict[str, Shed] = {}
        self.rows: list[Row] = []
        self.heads: list[BlockHead] = []
        self.stores = Stores()
        self.sink: Any = None
        self.path, self.size, self.opened, self.count = "", 0, 0, 0
        self.tracing, self.failures, self.retry_at = Tracing.OFF, 0, 0
        self.written = self.lost = 0
        self.ending = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f"trace-{name}", daemon=True
        )

    def start(self) -> None:
        self.word(Word.START)
        self.thread.start()

    def put(self, name: str, at: int, *values: Any) -> None:
        """One record; shed and counted where the hand-over is too full for its kind, tracing ails or has ended."""
        kind, most = self.kinds[name]
        if len(self.held) >= most or self.tracing is Tracing.AILING or self.over:
            self.lost += 1
            self.shed.setdefault(name, Shed()).add(at)
            return
        gone = (
            self.shed.pop(name, None) if self.shed else None
        )  # the thread may take it at the same moment
        if gone is not None:
            self.held.append(
                (at, BY_NAME["gap"], (kind.number, gone.count, gone.since))
            )
        self.held.append((at, kind, values))

    def stop(self, within: float = 5.0) -> None:
        """Write what is held, end the file; give up after so many seconds."""
        self.over = True
        self.ending.set()
        if self.thread.is_alive():
            self.thread.join(within)

    # The thread.

    def run(self) -> None:
        while not self.ending.wait(LOOK):
            self.look()
        self.look()
        if self.tracing is Tracing.ON:
            self.flush_gaps()
            self.guarded(self.end_block)
        self.word(Word.STOP)

    def look(self) -> None:
        """What has come since, and what is due."""
        now = self.now()
        if self.tracing is Tracing.AILING and now >= self.retry_at:
            self.word(Word.RETRY)
        while self.held and self.tracing is Tracing.ON:
            self.rows.append(self.held.popleft())
            if len(self.rows) >= MOST_ROWS:
                self.guarded(self.end_block)
        if self.tracing is Tracing.ON and block_ends(
            len(self.rows), self.rows[0][0] if self.rows else 0, now, self.block_age
        ):
            self.guarded(self.end_block)
        if (
            self.tracing is Tracing.ON
            and self.heads
            and file_ends(self.size, self.opened, now, self.most_bytes, self.most_age)
        ):
            self.guarded(self.turn_over)

    def flush_gaps(self) -> None:
        """What was shed and not yet told stands at the end."""
        now = self.now()
        for name in list(self.shed):
            gone = self.shed.pop(name, None)
            if gone is not None:
                self.rows.append(
                    (
                        now,
                        BY_NAME["gap"],
                        (BY_NAME[name].number, gone.count, gone.since),
                    )
                )

    def word(self, word: Word) -> None:
        """Read the table and act."""
        self.tracing, effect = step(self.tracing, word)
        if effect == "open":
            self.guarded(self.open)
        elif effect == "finish":
            self.guarded(self.finish)
        elif effect == "give_up":
            self.retry_at = self.now() + retry_after(self.failures)
            self.failures += 1
            self.lost += len(self.rows)
            for at, kind, _ in self.rows:
                self.shed.setdefault(kind.name, Shed()).add(at)
            self.rows, self.heads = [], []
            sink, self.sink = self.sink, None
            if sink is not None:
                try:
                    sink.close()
                except OSError:
                    pass

    def guarded(self, call: Callable[[], None]) -> None:
        """Whatever the disk refuses ends the file, never the program."""
        try:
            call()
        except OSError as error:
            if not self.failures:
                self.remark(
                    f"tracing stops: {TraceNotStored(error.strerror or str(error), self.folder).describe()}"
                )
            self.word(Word.FAILED)

    def open(self) -> None:
        """A new file, never one that is there; what would be past the total goes."""
        os.makedirs(self.folder, exist_ok=True)
        self.prune()
        while True:
            self.count += 1
            stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
            self.path = os.path.join(
                self.folder, f"{self.name}-{stamp}-{self.count:06d}{SUFFIX}"
            )
            try:
                self.sink = open(self.path, "xb", buffering=0)
                break
            except FileExistsError:
                continue
        header = format.put_header(
            {**self.about, "opened": self.now(), "wall_ms": int(time.time() * 1000)}
        )
        self.write(header)
        self.size, self.opened, self.heads, self.stores = (
            len(header),
            self.now(),
            [],
            self.stores.next_file(),
        )
        if self.failures:
            self.remark(f"tracing goes on: {self.path}")
        self.failures = 0

    def write(self, data: bytes, last: bool = False) -> None:
        """All of it, synced where set."""
        view = memoryview(data)
        while view:
            view = view[self.sink.write(view) :]
        if self.sync == "blocks" or self.sync == "files" and last:
            os.fsync(self.sink.fileno())

    def end_block(self) -> None:
        if not self.rows:
            return
        rows = self.rows
        data = format.put_block(rows, self.stores.touched(rows))
        self.write(data)
        self.rows = []
        self.heads.append(format.get_head(data, self.size))
        self.size += len(data)
        self.written += len(rows)

    def turn_over(self) -> None:
        self.end_block()
        self.finish()
        self.open()

    def finish(self) -> None:
        """The index, and the end of the file."""
        if self.sink is not None:
            self.write(
                format.put_footer(self.heads, self.size, self.stores.blocks), last=True
            )
            self.sink.close()
            self.sink = None

    def prune(self) -> None:
        """The oldest files of this gateway go while the total is passed."""
        names = sorted(
            each
            for each in os.listdir(self.folder)
            if each.startswith(f"{self.name}-") and each.endswith(SUFFIX)
        )
        files = [
            (each, os.path.getsize(os.path.join(self.folder, each))) for each in names
        ]
        for each in to_delete(files + [("", 0)], self.most_total):
            os.unlink(os.path.join(self.folder, each))
