"""Writes traces in a separate thread, so that callers never wait for the disk.

The reactor's thread calls `TraceWriter.put`, which only appends to a bounded queue. The
writer's thread encodes blocks, writes and syncs them, finishes files by size and age,
and deletes the oldest files to respect the limit on total bytes. After a disk error the
writer abandons the current file.
"""

from __future__ import annotations

import contextlib
import os
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, BinaryIO

from milletsill.errors import StateNotStoredError
from milletsill.trace.file_format import (
    decode_block_header,
    encode_block,
    encode_footer,
    encode_header,
)
from milletsill.trace.recording_policy import (
    MAX_BLOCK_AGE,
    MAX_BLOCK_RECORDS,
    ShedRecords,
    WriterEffect,
    WriterEvent,
    WriterState,
    block_is_due,
    file_is_due,
    files_to_delete,
    next_state,
    queue_limit,
    retry_delay,
)
from milletsill.trace.records import (
    BY_NAME,
    TICKS_PER_SECOND,
    BlockHeader,
    TraceRecord,
)
from milletsill.trace.volume_index import VolumeIndexBuilder

POLL_SECONDS = 0.1
FILE_SUFFIX = ".mtrace"
DEFAULT_STOP_TIMEOUT_SECONDS = 5.0


class TraceNotStoredError(StateNotStoredError):
    """A trace that cannot be written to disk."""

    remedy = (
        "free space on or repair the disk of trace.folder; traffic continues, and "
        "tracing resumes in a new file once the disk accepts writes"
    )


@dataclass(frozen=True, slots=True)
class TraceWriterSettings:
    """Folder and limits of a trace writer. Times are tenths of a millisecond.

    Attributes:
        folder: folder of the files; created if it is missing.
        name: the gateway's name, the prefix of the file names.
        max_queued: maximum number of records that wait for the writer's thread.
        max_file_bytes: size at which a file is finished.
        max_file_age: age at which a file is finished.
        max_total_bytes: maximum size of all files of this gateway, beyond which the
            oldest files are deleted.
        sync: `blocks` syncs after each write, `files` at the end of a file, `never` not
            at all.
        max_block_age: age at which a block is written.
    """

    folder: str
    name: str
    max_queued: int = 200_000
    max_file_bytes: int = 64 << 20
    max_file_age: int = 3600 * TICKS_PER_SECOND
    max_total_bytes: int = 1 << 30
    sync: str = "blocks"
    max_block_age: int = MAX_BLOCK_AGE


class TraceWriter:
    """Writes one gateway's traces to files in one folder.

    `header` holds fields for the header of each file, and `now` reads the gateway's
    clock. `log` receives one line per message; the writer's thread may call it.

    Attributes:
        path: path of the current file, or of the last one.
        state: the state of the writer.
        records_written: number of records written to files.
        records_shed: number of records that were not accepted, or lost with the block
            of a failed write.
    """

    def __init__(
        self,
        settings: TraceWriterSettings,
        header: dict[str, Any],
        now: Callable[[], int],
        log: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.header = header
        self.now = now
        self.log = log
        self.queue: deque[TraceRecord] = deque()
        self.kind_limits = {
            name: (kind, queue_limit(name, settings.max_queued))
            for name, kind in BY_NAME.items()
        }
        self.closed = False
        self.shed: dict[str, ShedRecords] = {}
        self.state = WriterState.STOPPED
        self.failures = 0
        self.retry_at = 0
        self.records_written = 0
        self.records_shed = 0
        self.block: list[TraceRecord] = []
        self.file: BinaryIO | None = None
        self.path = ""
        self.file_size = 0
        self.file_opened_at = 0
        self.files_opened = 0
        self.blocks: list[BlockHeader] = []
        self.volume_index = VolumeIndexBuilder()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f"trace-{settings.name}", daemon=True
        )

    # --- Called by the reactor's thread.

    def start(self) -> None:
        """Open the first file and start the thread."""
        self.on_event(WriterEvent.START)
        self.thread.start()

    def put(self, name: str, at: int, *values: Any) -> None:
        """Queue one record.

        The record is shed and counted if the queue is too full for its kind, or if the
        writer is suspended or stopping.
        """
        kind, limit = self.kind_limits[name]
        if (
            len(self.queue) >= limit
            or self.state is WriterState.SUSPENDED
            or self.closed
        ):
            self.records_shed += 1
            self.shed.setdefault(name, ShedRecords()).add(at)
            return
        # The writer's thread may remove the entry concurrently, hence the default None.
        shed = self.shed.pop(name, None) if self.shed else None
        if shed is not None:
            gap = (kind.number, shed.count, shed.since)
            self.queue.append((at, BY_NAME["gap"], gap))
        self.queue.append((at, kind, values))

    def stop(self, timeout: float = DEFAULT_STOP_TIMEOUT_SECONDS) -> None:
        """Write the queued records and finish the file within `timeout` seconds."""
        self.closed = True
        self.stopping.set()
        if self.thread.is_alive():
            self.thread.join(timeout)

    # --- The writer's thread.

    def run(self) -> None:
        """Write queued records until the writer is stopped, then finish the file."""
        while not self.stopping.wait(POLL_SECONDS):
            self.poll()
        self.poll()
        if self.state is WriterState.WRITING:
            self.add_gaps()
            self.run_disk_operation(self.write_block)
        self.on_event(WriterEvent.STOP)

    def poll(self) -> None:
        """Process the queue once: write the blocks and rotate the file that are due."""
        now = self.now()
        if self.state is WriterState.SUSPENDED and now >= self.retry_at:
            self.on_event(WriterEvent.RETRY_DUE)
        while self.queue and self.state is WriterState.WRITING:
            self.block.append(self.queue.popleft())
            if len(self.block) >= MAX_BLOCK_RECORDS:
                self.run_disk_operation(self.write_block)
        if self.state is WriterState.WRITING and self.block_is_due(now):
            self.run_disk_operation(self.write_block)
        if self.state is WriterState.WRITING and self.file_is_due(now):
            self.run_disk_operation(self.rotate)

    def block_is_due(self, now: int) -> bool:
        """Whether the current block is due to be written."""
        first_time = self.block[0][0] if self.block else 0
        return block_is_due(
            len(self.block), first_time, now, self.settings.max_block_age
        )

    def file_is_due(self, now: int) -> bool:
        """Whether the current file holds blocks and is due to be finished."""
        return bool(self.blocks) and file_is_due(
            self.file_size,
            self.file_opened_at,
            now,
            self.settings.max_file_bytes,
            self.settings.max_file_age,
        )

    def add_gaps(self) -> None:
        """Add a `gap` to the last block for shed records that have none yet."""
        now = self.now()
        for name in list(self.shed):
            shed = self.shed.pop(name, None)
            if shed is not None:
                gap = (BY_NAME[name].number, shed.count, shed.since)
                self.block.append((now, BY_NAME["gap"], gap))

    def on_event(self, event: WriterEvent) -> None:
        """Change the state by the transition table and perform the effect."""
        self.state, effect = next_state(self.state, event)
        if effect is WriterEffect.OPEN_FILE:
            self.run_disk_operation(self.open)
        elif effect is WriterEffect.FINISH_FILE:
            self.run_disk_operation(self.finish)
        elif effect is WriterEffect.ABANDON_FILE:
            self.abandon()

    def abandon(self) -> None:
        """Close the file as it is and count the current block's records as shed."""
        self.retry_at = self.now() + retry_delay(self.failures)
        self.failures += 1
        self.records_shed += len(self.block)
        for at, kind, _ in self.block:
            self.shed.setdefault(kind.name, ShedRecords()).add(at)
        self.block = []
        self.blocks = []
        file = self.file
        self.file = None
        if file is not None:
            with contextlib.suppress(OSError):
                file.close()

    def run_disk_operation(self, action: Callable[[], None]) -> None:
        """Perform a disk operation; an OSError suspends the writer.

        Only the first error after a success is logged.
        """
        try:
            action()
        except OSError as error:
            if not self.failures:
                reason = error.strerror or str(error)
                not_stored = TraceNotStoredError(reason, self.settings.folder)
                self.log(f"tracing stops: {not_stored.describe()}")
            self.on_event(WriterEvent.WRITE_FAILED)

    def open(self) -> None:
        """Open a new file, never an existing one; delete files beyond the total size.

        Raises:
            OSError: if a disk operation fails.
        """
        os.makedirs(self.settings.folder, exist_ok=True)
        self.delete_oldest()
        self.file = self.create_file()
        header = encode_header(
            {**self.header, "opened": self.now(), "wall_ms": int(time.time() * 1000)}
        )
        self.write(header)
        self.file_size = len(header)
        self.file_opened_at = self.now()
        self.blocks = []
        self.volume_index = self.volume_index.next_file()
        if self.failures:
            self.log(f"tracing resumes in {self.path}")
        self.failures = 0

    def create_file(self) -> BinaryIO:
        """Create the next file, under a name that does not exist yet."""
        while True:
            self.files_opened += 1
            stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
            name = f"{self.settings.name}-{stamp}-{self.files_opened:06d}{FILE_SUFFIX}"
            self.path = os.path.join(self.settings.folder, name)
            with contextlib.suppress(FileExistsError):
                return open(self.path, "xb", buffering=0)

    def write(self, data: bytes, is_last: bool = False) -> None:
        """Write all of the data, and sync the file as the settings require."""
        assert self.file is not None
        view = memoryview(data)
        while view:
            view = view[self.file.write(view) :]
        sync = self.settings.sync
        if sync == "blocks" or (sync == "files" and is_last):
            os.fsync(self.file.fileno())

    def write_block(self) -> None:
        """Write the current block if it holds records."""
        if not self.block:
            return
        records = self.block
        data = encode_block(records, self.volume_index.add_block(records))
        self.write(data)
        self.block = []
        self.blocks.append(decode_block_header(data, self.file_size))
        self.file_size += len(data)
        self.records_written += len(records)

    def rotate(self) -> None:
        """Finish the file and open the next one."""
        self.write_block()
        self.finish()
        self.open()

    def finish(self) -> None:
        """Write the footer and close the file."""
        if self.file is None:
            return
        footer = encode_footer(self.blocks, self.file_size, self.volume_index.blocks)
        self.write(footer, is_last=True)
        self.file.close()
        self.file = None

    def delete_oldest(self) -> None:
        """Delete the oldest files of this gateway while they exceed the total size."""
        folder = self.settings.folder
        names = sorted(
            name
            for name in os.listdir(folder)
            if name.startswith(f"{self.settings.name}-") and name.endswith(FILE_SUFFIX)
        )
        files = [(name, os.path.getsize(os.path.join(folder, name))) for name in names]
        # This entry stands for the file that is about to be opened, the newest.
        files.append(("", 0))
        for name in files_to_delete(files, self.settings.max_total_bytes):
            os.unlink(os.path.join(folder, name))
