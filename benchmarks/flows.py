"""What flow export costs by itself: cache updates, records encoded and decoded a second, on one core.

    python -m benchmarks.flows [--runs N]

What it costs client work: `milletsill lab run SCENARIO --out DIR --flows off|on|away|stuck`.
"""

from __future__ import annotations

import argparse
import statistics
import time

from milletsill.flows import ipfix, netflow9
from milletsill.flows.elements import TEMPLATES
from milletsill.flows.export_policy import Level, Metering
from milletsill.flows.meter import Cache, ClientKey, Meter, client_out

COUNT = 100_000


def updates() -> float:
    meter = Meter(
        Cache(4096, 600_000, 150_000, lambda at: at, lambda out: None),
        Metering(Level.FLOWS, Level.FLOWS),
        lambda: 5,
        time.perf_counter,
    )
    keys = [
        ClientKey("10.0.0.1", each, "10.0.0.2", 1, "suva", "premium", "lot-read")
        for each in range(1000)
    ]
    began = time.perf_counter()
    for number in range(COUNT):
        meter.command(keys[number % 1000], "satisfied", 90, 8200, True, 300)
    return COUNT / (time.perf_counter() - began)


def coding(codec: object) -> tuple[float, float, float]:
    """Records encoded and decoded a second, and bytes of one."""
    cache = Cache(10, 1, 1, lambda at: at, lambda out: None)
    key = ClientKey("10.0.0.1", 5, "10.0.0.2", 1, "suva", "premium", "lot-read")
    record = client_out(key, cache.touch(key, 0), 1, lambda at: at).record
    encoder, messages, began = codec.Encoder(), [], time.perf_counter()  # type: ignore[attr-defined]
    message = codec.Message(1400)  # type: ignore[attr-defined]
    for _ in range(COUNT // 4):
        data = encoder.record(record)
        if not message.add(record.template.id, data):
            messages.append(message.finish(0, 0, 1))
            message = codec.Message(1400)  # type: ignore[attr-defined]
            message.add(record.template.id, data)
    encoded = COUNT / 4 / (time.perf_counter() - began)
    decoder = codec.Decoder()  # type: ignore[attr-defined]
    first = codec.Message(9000)  # type: ignore[attr-defined]
    for set_id, data in encoder.template_sets(
        [each for each in TEMPLATES if not each.scope]
    ):
        first.add(set_id, data)
    decoder.message(first.finish(0, 0, 1), 0)
    began = time.perf_counter()
    rows = sum(len(decoder.message(each, 0).rows) for each in messages)
    return encoded, rows / (time.perf_counter() - began), sum(map(len, messages)) / rows


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--runs", type=int, default=5)
    runs = parser.parse_args().runs
    print(
        f"cache updates a second: median {statistics.median(updates() for _ in range(runs)):.0f} of {runs}"
    )
    for name, codec in (("ipfix", ipfix), ("netflow9", netflow9)):
        found = [coding(codec) for _ in range(runs)]
        encoded, decoded, size = (statistics.median(each) for each in zip(*found))
        print(
            f"{name}: {encoded:.0f} records a second encoded, {decoded:.0f} decoded, {size:.0f} bytes each, message "
            f"headers included (medians of {runs})"
        )


if __name__ == "__main__":
    main()
