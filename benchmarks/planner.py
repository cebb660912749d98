"""Measure the quota planner's CPU time and memory for a large fleet.

In each round, the planner answers a quota request of every gateway for every quota, on
one core. Encoding and decoding of the protobuf messages is measured separately.

    python -m benchmarks.planner [--edges 150 --volumes 400 --boxes 44 --rounds 10]

There are no sockets. Each gateway has a real quota ledger, so that the loans and grants
that requests report are real ones.
"""

from __future__ import annotations

import argparse
import resource
import time
from random import Random

from milletsill.interface import QuotaKind
from milletsill.planner import codec
from milletsill.planner.plan_pb2 import Asks, Frame, Grants
from milletsill.planner.quota_ledger import QuotaLedger
from milletsill.planner.quota_planner import QuotaPlanner
from milletsill.planner.quota_terms import SECOND, WHOLE, QuotaKey, QuotaTimings


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    for name, default in (
        ("edges", 150),
        ("volumes", 400),
        ("boxes", 44),
        ("rounds", 10),
    ):
        parser.add_argument(f"--{name}", type=int, default=default)
    options = parser.parse_args()
    rng, timings, now = Random(1), QuotaTimings(), 100 * SECOND
    planner = QuotaPlanner(1, timings, options.edges, options.volumes + options.boxes)
    ledgers = [
        QuotaLedger(f"edge-{each}", 1, timings, now, True)
        for each in range(options.edges)
    ]
    keys = [QuotaKey(QuotaKind.LIMIT, each) for each in range(options.volumes)] + [
        QuotaKey(QuotaKind.SLOW_START, each) for each in range(options.boxes)
    ]
    lead_gateways = {key: rng.randrange(options.edges) for key in keys}
    planner_seconds, codec_seconds, request_count = [], [], 0
    for _ in range(options.rounds):
        round_planner_seconds = round_codec_seconds = 0.0
        for number, ledger in enumerate(ledgers):
            ledger.accept_epoch(1)
            requests = []
            for key in keys:
                ledger.track(key, options.edges)
                is_lead = lead_gateways[key] == number
                requests.append(
                    ledger.make_request(
                        key,
                        rng.randrange(WHOLE // 2, WHOLE)
                        if is_lead
                        else rng.randrange(2000),
                        now,
                    )
                )
            began = time.process_time()
            data = Frame(
                asks=Asks(wish=[codec.encode_request(each) for each in requests])
            ).SerializeToString()
            decoded = [
                codec.decode_request(ledger.name, 1, each)
                for each in Frame.FromString(data).asks.wish
            ]
            middle = time.process_time()
            grants = [planner.on_request(each, now) for each in decoded]
            end = time.process_time()
            data = Frame(
                grants=Grants(
                    given=[codec.encode_grant(each) for each in grants if each]
                )
            ).SerializeToString()
            round_codec_seconds += middle - began + time.process_time() - end
            round_planner_seconds += end - middle
            request_count += len(requests)
            for each in grants:
                if each is not None:
                    ledger.on_grant(each, now)
            now += SECOND // 2 // options.edges
        planner_seconds.append(round_planner_seconds)
        codec_seconds.append(round_codec_seconds)
    count = len(keys) * options.edges
    largest_sum = max(sum(ledger.share(key, now) for ledger in ledgers) for key in keys)
    lead_shares = sorted(
        ledgers[lead].share(key, now) for key, lead in lead_gateways.items()
    )
    print(
        f"{options.edges} gateways, {len(keys)} quotas: a round of {count} requests {planner_seconds[-1]:.2f} s of CPU time to decide "
        f"({planner_seconds[-1] / count * 1e6:.1f} us per request), {codec_seconds[-1] / count * 1e6:.1f} us per request to encode and decode protobuf; "
        f"peak memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB including the gateways' ledgers; "
        f"shares of one quota add up to at most {largest_sum / WHOLE:.4f}; the busiest gateway of a quota holds a median share of {lead_shares[len(lead_shares) // 2] / WHOLE:.2f} "
        f"(equal shares: {1 / options.edges:.3f})"
    )


if __name__ == "__main__":
    main()
