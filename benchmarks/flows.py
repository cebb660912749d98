"""Measure the CPU cost of flow export on one core.

Prints the cache updates, encoded records and decoded records per second.

    python -m benchmarks.flows [--runs N]

To measure the effect on clients, use `milletsill lab run SCENARIO --out DIR --flows
off|on|away|stuck`.
"""

from __future__ import annotations

import argparse
import statistics
import time

from milletsill.flows.codecs import CODECS_BY_NAME, FlowCodec
from milletsill.flows.flow_cache import FlowCache, FlowCacheSettings
from milletsill.flows.flow_records import (
    ClientFlowKey,
    CommandOutcome,
    Exchange,
    client_flow_record,
)
from milletsill.flows.information_elements import DOCUMENTATION_PEN
from milletsill.flows.metering_policy import MeteringControl, MeteringLevel
from milletsill.flows.metering_process import MeteringProcess
from milletsill.flows.templates import TEMPLATES, FlowEndReason

UPDATE_COUNT = 100_000


def cache_updates_per_second() -> float:
    metering = MeteringProcess(
        FlowCache(
            FlowCacheSettings(4096, 600_000, 150_000),
            lambda at: at,
            lambda pending: None,
        ),
        MeteringControl(MeteringLevel.FLOWS, MeteringLevel.FLOWS),
        lambda: 5,
        time.perf_counter,
    )
    keys = [
        ClientFlowKey("10.0.0.1", each, "10.0.0.2", 1, "suva", "premium", "lot-read")
        for each in range(1000)
    ]
    began = time.perf_counter()
    for number in range(UPDATE_COUNT):
        exchange = Exchange(90, 1, 8200, 1, 300)
        key = keys[number % 1000]
        metering.on_command(key, CommandOutcome.SUCCEEDED, exchange)
    return UPDATE_COUNT / (time.perf_counter() - began)


def measure_codec(codec: FlowCodec) -> tuple[float, float, float]:
    """Return the records encoded and decoded per second, and the bytes per record."""
    cache = FlowCache(FlowCacheSettings(10, 1, 1), lambda at: at, lambda pending: None)
    key = ClientFlowKey("10.0.0.1", 5, "10.0.0.2", 1, "suva", "premium", "lot-read")
    flow = cache.touch(key, 0)
    reason = FlowEndReason.IDLE_TIMEOUT
    record = client_flow_record(key, flow, reason, lambda at: at).record
    encoder = codec.new_encoder(DOCUMENTATION_PEN)
    messages = []
    began = time.perf_counter()
    message = codec.new_message(1400)
    for _ in range(UPDATE_COUNT // 4):
        data = encoder.encode_record(record)
        if not message.add(record.template.id, data):
            messages.append(message.finish(0, 0, 1))
            message = codec.new_message(1400)
            message.add(record.template.id, data)
    encoded = UPDATE_COUNT / 4 / (time.perf_counter() - began)
    decoder = codec.new_decoder(None)
    first = codec.new_message(9000)
    for set_id, data in encoder.encode_templates(
        [each for each in TEMPLATES if not each.scope_count]
    ):
        first.add(set_id, data)
    decoder.decode(first.finish(0, 0, 1), 0)
    began = time.perf_counter()
    rows = sum(len(decoder.decode(each, 0).records) for each in messages)
    return encoded, rows / (time.perf_counter() - began), sum(map(len, messages)) / rows


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--runs", type=int, default=5)
    runs = parser.parse_args().runs
    print(
        f"cache updates per second: median {statistics.median(cache_updates_per_second() for _ in range(runs)):.0f} of {runs} runs"
    )
    for name, codec in CODECS_BY_NAME.items():
        found = [measure_codec(codec) for _ in range(runs)]
        encoded, decoded, size = (statistics.median(each) for each in zip(*found))
        print(
            f"{name}: {encoded:.0f} records encoded per second, {decoded:.0f} decoded, {size:.0f} bytes per record, message "
            f"headers included (medians of {runs} runs)"
        )


if __name__ == "__main__":
    main()
