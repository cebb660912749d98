"""What planning costs at full size.

A round of requests of all gateways, in and out of protobuf, on one core; memory;
messages a second.

    python -m benchmarks.planner [--edges 150 --volumes 400 --boxes 44 --rounds 10]

No sockets; each gateway's requests go through its own ledger, so that loans and grants
are true ones.
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
    given = parser.parse_args()
    chance, timings, now = Random(1), QuotaTimings(), 100 * SECOND
    planner = QuotaPlanner(1, timings, given.edges, given.volumes + given.boxes)
    ledgers = [
        QuotaLedger(f"edge-{each}", 1, timings, now, True)
        for each in range(given.edges)
    ]
    keys = [QuotaKey(QuotaKind.LIMIT, each) for each in range(given.volumes)] + [
        QuotaKey(QuotaKind.SLOW_START, each) for each in range(given.boxes)
    ]
    leads = {key: chance.randrange(given.edges) for key in keys}
    costs, coding, asked = [], [], 0
    for _ in range(given.rounds):
        cost = code = 0.0
        for number, ledger in enumerate(ledgers):
            ledger.accept_epoch(1)
            requests = []
            for key in keys:
                ledger.track(key, given.edges)
                lead = leads[key] == number
                requests.append(
                    ledger.make_request(
                        key,
                        chance.randrange(WHOLE // 2, WHOLE)
                        if lead
                        else chance.randrange(2000),
                        now,
                    )
                )
            began = time.process_time()
            data = Frame(
                asks=Asks(wish=[codec.encode_request(each) for each in requests])
            ).SerializeToString()
            wishes = [
                codec.decode_request(ledger.name, 1, each)
                for each in Frame.FromString(data).asks.wish
            ]
            middle = time.process_time()
            grants = [planner.on_request(each, now) for each in wishes]
            end = time.process_time()
            data = Frame(
                grants=Grants(
                    given=[codec.encode_grant(each) for each in grants if each]
                )
            ).SerializeToString()
            code += middle - began + time.process_time() - end
            cost += end - middle
            asked += len(requests)
            for each in grants:
                if each is not None:
                    ledger.on_grant(each, now)
            now += SECOND // 2 // given.edges
        costs.append(cost)
        coding.append(code)
    count = len(keys) * given.edges
    worst = max(sum(ledger.share(key, now) for ledger in ledgers) for key in keys)
    led = sorted(ledgers[lead].share(key, now) for key, lead in leads.items())
    print(
        f"{given.edges} gateways, {len(keys)} quotas: a round of {count} requests {costs[-1]:.2f} s of processor to decide "
        f"({costs[-1] / count * 1e6:.1f} us a request), {coding[-1] / count * 1e6:.1f} us a request in and out of protobuf; "
        f"peak memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB with the gateways in it; "
        f"shares of one quota add up to at most {worst / WHOLE:.4f}; its leading gateway holds {led[len(led) // 2] / WHOLE:.2f} "
        f"(even: {1 / given.edges:.3f})"
    )


if __name__ == "__main__":
    main()
