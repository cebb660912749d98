"""Fuzz the trace reader with randomly damaged files, for a given time.

    python -m benchmarks.fuzz --seconds 120 [--seed N]

Bits are flipped, bytes removed or duplicated, blocks of 512 bytes zeroed and lengths
overwritten. Some files get a damaged block body with valid checksums, so that the code
behind the checksum tests is reached too. Each read must succeed or raise
`MalformedTraceError` with a message of one line; anything else ends the run.
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


def make_trace(rng: Random) -> bytes:
    """Return a trace with records of all kinds in several blocks."""
    rows = [
        (
            at * 3,
            kind,
            tuple(
                f"{name}{rng.randrange(9)}"
                if coding == TEXT
                else rng.random()
                if coding == FLOAT
                else rng.randrange(-5, 1 << rng.randrange(1, 40))
                for name, coding in kind.fields
            ),
        )
        for at in range(30)
        for kind in KINDS
    ]
    data, headers, volumes = (
        file_format.encode_header({"name": "f", "seed": 1}),
        [],
        VolumeIndexBuilder(),
    )
    for at in range(0, len(rows), 150):
        block = file_format.encode_block(
            rows[at : at + 150], volumes.add_block(rows[at : at + 150])
        )
        headers.append(file_format.decode_block_header(block, len(data)))
        data += block
    return data + file_format.encode_footer(headers, len(data), volumes.blocks)


def damage(data: bytes, rng: Random) -> bytes:
    """Return the bytes with one to five random changes at any position."""
    damaged = bytearray(data)
    for _ in range(rng.randrange(1, 6)):
        at = rng.randrange(len(damaged))
        what = rng.randrange(6)
        if what == 0:
            damaged[at] ^= 1 << rng.randrange(8)
        elif what == 1:
            del damaged[at : at + rng.randrange(1, 400)]
        elif what == 2:
            damaged[at:at] = damaged[at : at + rng.randrange(1, 200)]
        elif what == 3:
            damaged[at : at + 512] = bytes(len(damaged[at : at + 512]))
        elif what == 4:
            damaged[at : at + 4] = rng.randrange(1 << 32).to_bytes(4, "little")
        else:
            del damaged[at:]
        if not damaged:
            break
    return bytes(damaged)


def damage_block_body(data: bytes, rng: Random) -> bytes:
    """Damage the first block's decompressed body, and recompute its checksums."""
    header_size = file_format.header_size(data[: file_format.FILE_HEADER.size])
    block = file_format.decode_block_header(data[header_size:], header_size)
    raw = damage(
        zstandard.ZstdDecompressor().decompress(
            data[header_size + BLOCK_HEADER.size : block.end]
        ),
        rng,
    )
    body = zstandard.ZstdCompressor(level=1).compress(raw)
    fields = BLOCK_HEADER.pack(
        file_format.BLOCK_MAGIC,
        len(body),
        len(raw),
        block.record_count,
        block.first_time,
        block.last_time,
        zlib.crc32(body),
        block.volume_filter,
        0,
    )
    return (
        data[:header_size]
        + fields[:-4]
        + zlib.crc32(fields[:-4]).to_bytes(4, "little")
        + body
        + data[block.end :]
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rng, count, outcomes, data = Random(options.seed), 0, Counter[str](), b""
    deadline = time.monotonic() + options.seconds
    with tempfile.TemporaryDirectory() as folder:
        path, out = f"{folder}/t", f"{folder}/o"
        while time.monotonic() < deadline:
            data = make_trace(rng) if count % 200 == 0 else data
            with open(path, "wb") as sink:
                sink.write(
                    damage(data, rng)
                    if rng.random() < 0.5
                    else damage_block_body(data, rng)
                )
            count += 1
            for name, call in (
                ("verify", lambda: verify(path)),
                ("cut", lambda: cut_trace(path, out, RecordFilter(volume="store3"))),
                ("summary", lambda: summarise_trace(path)),
            ):
                try:
                    call()
                    outcomes[f"{name} read"] += 1
                except MalformedTraceError as error:
                    assert "\n" not in str(error)
                    outcomes[f"{name} one line"] += 1
                if os.path.exists(out):
                    os.unlink(out)
    print(
        f"{count} files, seed {options.seed}: {dict(outcomes)}; peak memory "
        f"{resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB"
    )


if __name__ == "__main__":
    main()
