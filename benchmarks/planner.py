"""What planning costs at full size: a round of asks of all edges, in and out of protobuf, on one core; memory; messages a second.

    python -m benchmarks.planner [--edges 150 --volumes 400 --boxes 44 --rounds 10]

No sockets; each edge's asks go through its own side of decide.py, so that promises and grants are true ones.
"""

from __future__ import annotations

import argparse
import resource
import time
from random import Random

from milletsill.planner import codec
from milletsill.planner.plan_pb2 import Asks, Frame, Grants
from milletsill.planner.quota_granting import Planner
from milletsill.planner.quota_lending import Edge
from milletsill.planner.quota_terms import SECOND, WHOLE, Span


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
    chance, span, now = Random(1), Span(), 100 * SECOND
    planner = Planner(1, span, given.edges, given.volumes + given.boxes)
    edges = [Edge(f"edge-{each}", 1, span, now, True) for each in range(given.edges)]
    things = [("limit", each) for each in range(given.volumes)] + [
        ("cold", each) for each in range(given.boxes)
    ]
    leads = {thing: chance.randrange(given.edges) for thing in things}
    costs, coding, asked = [], [], 0
    for _ in range(given.rounds):
        cost = code = 0.0
        for number, edge in enumerate(edges):
            edge.meet(1)
            asks = []
            for thing in things:
                edge.know(thing, given.edges)
                lead = leads[thing] == number
                asks.append(
                    edge.ask(
                        thing,
                        chance.randrange(WHOLE // 2, WHOLE)
                        if lead
                        else chance.randrange(2000),
                        now,
                    )
                )
            began = time.process_time()
            data = Frame(
                asks=Asks(wish=[codec.put_ask(each) for each in asks])
            ).SerializeToString()
            wishes = [
                codec.get_ask(edge.name, 1, each)
                for each in Frame.FromString(data).asks.wish
            ]
            middle = time.process_time()
            grants = [planner.hear(each, now) for each in wishes]
            end = time.process_time()
            data = Frame(
                grants=Grants(given=[codec.put_grant(each) for each in grants if each])
            ).SerializeToString()
            code += middle - began + time.process_time() - end
            cost += end - middle
            asked += len(asks)
            for each in grants:
                if each is not None:
                    edge.take(each, now)
            now += SECOND // 2 // given.edges
        costs.append(cost)
        coding.append(code)
    count = len(things) * given.edges
    worst = max(sum(edge.part(thing, now) for edge in edges) for thing in things)
    led = sorted(edges[lead].part(thing, now) for thing, lead in leads.items())
    print(
        f"{given.edges} edges, {len(things)} things: a round of {count} asks {costs[-1]:.2f} s of processor to decide "
        f"({costs[-1] / count * 1e6:.1f} us an ask), {coding[-1] / count * 1e6:.1f} us an ask in and out of protobuf; "
        f"peak memory {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f} MiB with the edges in it; "
        f"parts of one thing add up to at most {worst / WHOLE:.4f}; its leading edge holds {led[len(led) // 2] / WHOLE:.2f} "
        f"(even: {1 / given.edges:.3f})"
    )


if __name__ == "__main__":
    main()
