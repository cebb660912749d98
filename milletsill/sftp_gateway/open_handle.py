"""What a client's handle stands for, and how a directory is read through it."""

from __future__ import annotations

from milletsill.sftp import packets
from milletsill.sftp.wire import DirectoryEntry
from milletsill.sftp_gateway.object_location import ObjectLocation
from milletsill.sftp_gateway.routing_table import RoutedVolume

MAX_REMEMBERED_NAMES = 10_000  # of directories, to list each once
FILE_TYPE_MASK = 0o170000
DIRECTORY_TYPE = 0o040000


class OpenHandle:
    """What a client's handle stands for.

    Attributes:
        volume: None for a directory above all volumes.
        path: canonical.
        location: of a file's bytes; None for a directory.
        seen_names: subdirectories that were listed already.
        after: the last name of the page before, from the shard at hand.
        shard_index: the shard that is being read, in the order of the listing.
        found: whether the directory stands at any shard.
    """

    __slots__ = (
        "after",
        "found",
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
        self.found = False

    def take_page(self, page: packets.DirectoryEntries) -> tuple[DirectoryEntry, ...]:
        """Take one page of the directory; return the names that are new."""
        names = tuple(
            each for each in page.names if each.filename not in self.seen_names
        )
        self.after = page.names[-1].filename if page.names else ""
        self.found = True
        if len(self.seen_names) < MAX_REMEMBERED_NAMES:
            self.seen_names |= {each.filename for each in names if is_directory(each)}
        return names

    def next_shard(self, shard_index: int) -> None:
        """Read on at the next shard, from its first name."""
        self.shard_index = shard_index
        self.after = ""


def is_directory(name: DirectoryEntry) -> bool:
    """Return whether a listed name is a directory's."""
    return (name.attrs.mode or 0) & FILE_TYPE_MASK == DIRECTORY_TYPE
