"""Scenarios of the simulation of shared health: their traffic and node faults."""

from __future__ import annotations

from dataclasses import dataclass

from google.protobuf import text_format

from milletsill.settings.milletsill_pb2 import Scenario

MAX_LOAD_FACTOR = 4.0
ALONE = "alone"
SHARED = "shared"
TRUTH = "truth"
CALM = "calm"
SURGE = "surge"

SCENARIO = """
name: "health" edges: 1
gateway {{ name: "edge" gateways: {gateways} registry {{ address: "127.0.0.1:1" }}
  rules {{ further_free: 3 further_ratio: 0.3 further_window_ms: 5000
           key_rest_ms: 500 cold_units: 40 warm_after_s: 1 }}
  reports {{ field: "queue" field: "busy" field: "inflight" }}
  plan {{ name: "standard" usual_rate: 40 reserve_rate: 40 }}
  category {{ name: "read"
             target_ms: 300 patience_ms: 1500 utility: 3 late_utility: 0.2 }}
  category {{ name: "write"
             target_ms: 400 patience_ms: 3000 utility: 2 late_utility: 0.2
             write: true
             repeats: "ticketed" group: "cell" repeat_window_ms: 7500 }}
  category {{ name: "export"
             target_ms: 2000 patience_ms: 6000 utility: 1 late_utility: 0.1 }}
  {volumes} route {{ category: "read" }} }}
kind {{ name: "box" cores: 2 slots: 8 queue: 200 cold_s: 0
       remembers: 4 seek: 0.5 cancel: "queued" }}
box {{ count: {boxes} kind: "box" }}
traffic {{ category: "read" operation: "read" per_s: 60 work_ms: 34 units: 2 run: 2 }}
traffic {{ category: "write" operation: "write" per_s: 20 work_ms: 45 units: 2 run: 2 }}
traffic {{ category: "write" operation: "new" per_s: 12 work_ms: 45 units: 2 }}
traffic {{ category: "export" operation: "read" per_s: 8 work_ms: 64 units: 5 }}
"""


def make_scenario(gateways: int, nodes: int, shard_size: int) -> Scenario:
    """Return a scenario with `shard_size` nodes in each shard."""
    shards = nodes // shard_size
    volumes = " ".join(
        f'volume {{ name: "v{place}" root: "/v{place}" plan: "standard" '
        f"cell: [{place % shards}, {(place + 1) % shards}, {(place + 2) % shards}] }}"
        for place in range(shards)
    )
    text = SCENARIO.format(gateways=gateways, boxes=nodes, volumes=volumes)
    return text_format.Parse(text, Scenario())


@dataclass(frozen=True, slots=True)
class TrueAdvice:
    """The best possible health advice on a faulty node.

    Attributes:
        load_factor: The load factor as in health advice.
        admitted_share: Share of the gateways that should send to the node.
    """

    load_factor: float
    admitted_share: float


@dataclass(frozen=True, slots=True)
class NodeFault:
    """A fault of a node.

    Attributes:
        slowdown: Divides the node's speed.
        failing_share: Share of its attempts that end in an error.
        is_stopped: The node does no work.
    """

    slowdown: float = 1.0
    failing_share: float = 0.0
    is_stopped: bool = False

    def true_advice(self, load: float) -> TrueAdvice:
        """Return the best advice on a node with this fault at this usual load."""
        if self.is_stopped:
            return TrueAdvice(MAX_LOAD_FACTOR, 0.0)
        load_factor = self.slowdown - 1 + 3 * self.failing_share
        return TrueAdvice(
            min(load_factor, MAX_LOAD_FACTOR), min(0.8 / (load * self.slowdown), 1.0)
        )


NODE_FAULTS = {
    "slow 2": NodeFault(slowdown=2),
    "slow 5": NodeFault(slowdown=5),
    "slow 20": NodeFault(slowdown=20),
    "fails a third": NodeFault(failing_share=1 / 3),
    "still": NodeFault(is_stopped=True),
    CALM: NodeFault(),
    SURGE: NodeFault(),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthScenario:
    """The parameters of one simulation.

    Attributes:
        fault: The fault of one node in eight; a name in `NODE_FAULTS`.
        knowledge: How gateways learn of faulty nodes: `alone`, `shared` or `truth`.
        seed: The seed of all random numbers.
        gateways: Number of gateways.
        nodes: Number of nodes.
        rate: Requests per second over all gateways.
        shard_size: Number of nodes in each shard.
        begins: When the fault begins, in seconds.
        ends: When it ends, in seconds.
        lasts: When the simulation ends, in seconds.
        liar_share: Share of the gateways that report the opposite of the truth for some
            nodes.
        max_flagged_share: Greatest share of the nodes that the evaluator may flag.
    """

    fault: str
    knowledge: str
    seed: int
    gateways: int = 150
    nodes: int = 44
    rate: float = 580.0
    shard_size: int = 2
    begins: float = 6
    ends: float = 20
    lasts: float = 25
    liar_share: float = 0.0
    max_flagged_share: float = 0.34
