"""The trace reader against files that were changed by chance, for as long as is said.

    python -m benchmarks.fuzz --seconds 120 [--seed N]

Bytes are flipped, cut, doubled, zeroed in pages, lengths overwritten; compressed bodies
are changed and given sound checksums, so that what lies behind the checksums is reached
too. Anything but a reading or one line of `MalformedTraceError` is a finding and ends the run.
"""

from __future__ import annotations

import argparse
import os
import resource
import tempfile
import time
import zlib
from collections import Counter
from random import Random

import zstandard

from milletsill.trace import file_format
from milletsill.trace.cut import cut_trace
from milletsill.trace.file_format import MalformedTraceError
from milletsill.trace.record_filter import RecordFilter
from milletsill.trace.records import BLOCK_HEADER, FLOAT, KINDS, TEXT
from milletsill.trace.repair import verify
from milletsill.trace.summary import summarise_trace
from milletsill.trace.volume_index import VolumeIndexBuilder


def base(chance: Random) -> bytes:
    """A file of all kinds in several blocks."""
    rows = [
        (
            at * 3,
            kind,
            tuple(
                f"{name}{chance.randrange(9)}"
                if coding == TEXT
                else chance.random()
                if coding == FLOAT
                else chance.randrange(-5, 1 << chance.randrange(1, 40))
                for name, coding in kind.fields
            ),
        )
        for at in range(30)
        for kind in KINDS
    ]
    data, heads, stores = (
        file_format.encode_header({"name": "f", "seed": 1}),
        [],
        VolumeIndexBuilder(),
    )
    for at in range(0, len(rows), 150):
        block = file_format.encode_block(
            rows[at : at + 150], stores.add_block(rows[at : at + 150])
        )
        heads.append(file_format.decode_block_header(block, len(data)))
        data += block
    return data + file_format.encode_footer(heads, len(data), stores.blocks)


def rough(data: bytes, chance: Random) -> bytes:
    """Changed anywhere."""
    held = bytearray(data)
    for _ in range(chance.randrange(1, 6)):
        at = chance.randrange(len(held))
        what = chance.randrange(6)
        if what == 0:
            held[at] ^= 1 << chance.randrange(8)
        elif what == 1:
            del held[at : at + chance.randrange(1, 400)]
        elif what == 2:
            held[at:at] = held[at : at + chance.randrange(1, 200)]
        elif what == 3:
            held[at : at + 512] = bytes(len(held[at : at + 512]))
        elif what == 4:
            held[at : at + 4] = chance.randrange(1 << 32).to_bytes(4, "little")
        else:
            del held[at:]
        if not held:
            break
    return bytes(held)


def sealed(data: bytes, chance: Random) -> bytes:
    """A block's unpacked body changed, packed again, checksums made right."""
    header = file_format.header_size(data[: file_format.FILE_HEADER.size])
    head = file_format.decode_block_header(data[header:], header)
    raw = rough(
        zstandard.ZstdDecompressor().decompress(
            data[header + BLOCK_HEADER.size : head.end]
        ),
        chance,
    )
    body = zstandard.ZstdCompressor(level=1).compress(raw)
    fields = BLOCK_HEADER.pack(
        file_format.BLOCK_MAGIC,
        len(body),
        len(raw),
        head.record_count,
        head.first_time,
        head.last_time,
        zlib.crc32(body),
        head.volume_filter,
        0,
    )
    return (
        data[:header]
        + fields[:-4]
        + zlib.crc32(fields[:-4]).to_bytes(4, "little")
        + body
        + data[head.end :]
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    chance, count, said, data = Random(given.seed), 0, Counter[str](), b""
    ends = time.monotonic() + given.seconds
    with tempfile.TemporaryDirectory() as folder:
        path, out = f"{folder}/t", f"{folder}/o"
        while time.monotonic() < ends:
            data = base(chance) if count % 200 == 0 else data
            with open(path, "wb") as sink:
                sink.write(
                    rough(data, chance)
                    if chance.random() < 0.5
                    else sealed(data, chance)
                )
            count += 1
            for name, call in (
                ("verify", lambda: verify(path)),
                ("cut", lambda: cut_trace(path, out, RecordFilter(volume="store3"))),
                ("summary", lambda: summarise_trace(path)),
            ):
                try:
                    call()
                    said[f"{name} read"] += 1
                except MalformedTraceError as error:
                    assert "\n" not in str(error)
                    said[f"{name} one line"] += 1
                if os.path.exists(out):
                    os.unlink(out)
    print(
        f"{count} files, seed {given.seed}: {dict(said)}; peak memory "
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB"
    )


if __name__ == "__main__":
    main()
