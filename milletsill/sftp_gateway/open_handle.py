"""The file or directory of a client's handle, and the progress of a listing."""

from __future__ import annotations

from milletsill.sftp import packets
from milletsill.sftp.wire import DirectoryEntry
from milletsill.sftp_gateway.object_location import ObjectLocation
from milletsill.sftp_gateway.routing_table import RoutedVolume

MAX_REMEMBERED_NAMES = 10_000  # subdirectory names kept, to list each only once
FILE_TYPE_MASK = 0o170000
DIRECTORY_TYPE = 0o040000


class OpenHandle:
    """The file or directory that a client's handle refers to.

    Attributes:
        volume: its volume; None for a directory above the volume roots.
        path: canonical path.
        location: where a file's data is stored; None for a directory.
        seen_names: names of the subdirectories that were already listed.
        after: the last name of the previous page from the current shard.
        shard_index: index of the current shard, in the order of the listing.
        directory_found: whether the directory exists on any shard read so far.
    """

    __slots__ = (
        "after",
        "directory_found",
        "location",
        "path",
        "seen_names",
        "shard_index",
        "volume",
    )

    def __init__(
        self, volume: RoutedVolume | None, path: str, location: ObjectLocation | None
    ) -> None:
        self.volume = volume
        self.path = path
        self.location = location
        self.seen_names: set[str] = set()
        self.after = ""
        self.shard_index = 0
        self.directory_found = False

    def add_page(self, page: packets.DirectoryEntries) -> tuple[DirectoryEntry, ...]:
        """Process a page of the directory; return the entries not listed before."""
        names = tuple(
            each for each in page.names if each.filename not in self.seen_names
        )
        self.after = page.names[-1].filename if page.names else ""
        self.directory_found = True
        if len(self.seen_names) < MAX_REMEMBERED_NAMES:
            self.seen_names |= {each.filename for each in names if is_directory(each)}
        return names

    def next_shard(self, shard_index: int) -> None:
        """Continue the listing at the first name of the next shard."""
        self.shard_index = shard_index
        self.after = ""


def is_directory(name: DirectoryEntry) -> bool:
    """Return whether a directory entry is itself a directory."""
    return (name.attrs.mode or 0) & FILE_TYPE_MASK == DIRECTORY_TYPE
