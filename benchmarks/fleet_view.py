"""Measure how fast a fleet agrees on its members, and the traffic that this takes.

    python -m benchmarks.fleet_view events [--gateways 200 --seed 1 --only kill]
        joins, kills, partitions and their end, packet loss
    python -m benchmarks.fleet_view traffic [--gateways 200 --seed 1]
        packets and octets per second of each member, without changes
    python -m benchmarks.fleet_view stalls
            [--gateways 200 --seconds 600 --kills 10 --together]
        false deaths caused by stalls, and the detection time of real kills
    python -m benchmarks.fleet_view processes [--gateways 12]
        events and stalls in real processes, see fleet_processes.py

All but the last run the code of `fleet/membership` on a simulated clock. Datagrams take
0.2 to 2 ms; frames go through the codec where octets are counted. Each line has the
seconds until 90%, and until all, of the live gateways have the true view.
"""

from __future__ import annotations

import argparse
from random import Random

from milletsill.lab.simulated_clock import SECOND
from milletsill.lab.simulated_network import SimulatedNetwork

MAX_WAIT_SECONDS = 120  # for the views to agree


def wait_for_agreement(network: SimulatedNetwork, event: str) -> None:
    """Run until all views agree, and print how long that takes."""
    began, false = network.now, len(network.false_deaths)
    times = []
    for part in (0.9, 1.0):
        done = network.run(
            began + MAX_WAIT_SECONDS * SECOND,
            lambda: network.share_of_correct_views() >= part,
        )
        times.append(f"{(network.now - began) / SECOND:.1f}" if done else "never")
    print(
        f"{event:36} 90% {times[0]:>5} s, all {times[1]:>5} s, live members declared dead meanwhile {len(network.false_deaths) - false}",
        flush=True,
    )
    network.run(network.now + 10 * SECOND)


def run_event(
    network: SimulatedNetwork, event: str, options: argparse.Namespace
) -> None:
    """Run one kind of event in a fleet without other changes."""
    names = [each.name for each in network.live_members()]
    if event == "join":
        network.start("new", seeds=["gateway-1", "gateway-2"])
        wait_for_agreement(network, "one joins")
        network.leave("gateway-3")
        wait_for_agreement(network, "one leaves")
    elif event == "kill":
        network.kill("gateway-5")
        wait_for_agreement(network, "one is killed")
        network.start("gateway-5", incarnation=1, seeds=["gateway-1"])
        wait_for_agreement(network, "it restarts without its state")
    elif event == "halves":
        for seconds in options.cuts:
            network.cut(names[::2], names[1::2])
            network.run(network.now + seconds * SECOND)
            network.heal()
            wait_for_agreement(
                network, f"a partition into halves ends after {seconds} s"
            )
    elif event == "one-way":
        network.cut(names[: len(names) // 10], names[len(names) // 10 :], both=False)
        network.run(network.now + 20 * SECOND)
        network.heal()
        wait_for_agreement(network, "a tenth was not heard for 20 s")
        network.cut(names[:1], names[1:2], both=False)
        network.run(network.now + 20 * SECOND)
        print(
            f"20 s in which one member cannot hear another: correct views {network.share_of_correct_views():.3f}",
            flush=True,
        )
    elif event == "loss":
        network.loss, false = 0.1, len(network.false_deaths)
        network.run(network.now + 60 * SECOND)
        print(
            f"a minute of 10% loss: live members declared dead {len(network.false_deaths) - false}, correct views {network.share_of_correct_views():.3f}",
            flush=True,
        )
        network.kill("gateway-7")
        wait_for_agreement(network, "one is killed, 10% loss")
    elif event == "many":
        for name in network.random.sample(names, len(names) * 3 // 10):
            network.kill(name)
        wait_for_agreement(network, "30% are killed at once")


EVENTS = ("join", "kill", "many", "halves", "one-way", "loss")


def events(options: argparse.Namespace) -> None:
    print(f"simulated, {options.gateways} gateways, seed {options.seed}")
    for event in options.only or EVENTS:
        network = SimulatedNetwork(options.seed)
        network.start_fleet(options.gateways, 10 * SECOND)
        run_event(network, event, options)


def traffic(options: argparse.Namespace) -> None:
    network = SimulatedNetwork(options.seed, with_codec=True)
    network.start_fleet(options.gateways, 15 * SECOND)
    network.packet_counts.clear()
    network.octet_counts.clear()
    began = network.now
    network.run(began + 20 * SECOND)
    seconds = (network.now - began) / SECOND * options.gateways
    for over_streams in (False, True):
        packets = (
            sum(
                count
                for (_, is_stream), count in network.packet_counts.items()
                if is_stream is over_streams
            )
            / seconds
        )
        octets = (
            sum(
                count
                for (_, is_stream), count in network.octet_counts.items()
                if is_stream is over_streams
            )
            / seconds
        )
        print(
            f"simulated, {options.gateways} gateways, no changes: {'streams' if over_streams else 'datagrams'} sent by each member "
            f"{packets:.1f} per second, {octets:.0f} octets per second",
            flush=True,
        )


def stalls(options: argparse.Namespace) -> None:
    network, rng = SimulatedNetwork(options.seed), Random(options.seed + 1)
    network.start_fleet(options.gateways, 10 * SECOND)

    def stall_alone(name: str) -> None:
        network.stall(name, rng.randrange(6600, 12001))
        network.call_at(network.now + rng.randrange(20_000, 40_001), stall_alone, name)

    def stall_together() -> None:
        for name in rng.sample(
            sorted(network.members), int(rng.uniform(0.3, 0.87) * options.gateways)
        ):
            network.call_at(
                network.now + rng.randrange(1000),
                network.stall,
                name,
                rng.randrange(6600, 12001),
            )
        network.call_at(network.now + rng.randrange(20_000, 40_001), stall_together)

    if options.together:
        stall_together()
    else:
        for name in list(network.members):
            network.call_at(network.now + rng.randrange(30_000), stall_alone, name)
    network.run(network.now + options.seconds * SECOND)
    pattern = "up to 87% at a time" if options.together else "independent"
    print(
        f"simulated, {options.gateways} gateways, {options.seconds} s of stalls of 660 to 1,200 ms every 2 to 4 s, {pattern}: "
        f"live members declared dead {len(network.false_deaths)}, suspicions refuted {sum(each.event_counts['REFUTED'] for each in network.members.values())}",
        flush=True,
    )
    times: list[tuple[float, float, float]] = []
    for _ in range(options.kills):
        victim = network.live_members()[-2].name
        began = network.now
        network.kill(victim)

        def detected_share() -> float:
            views = [
                each.membership.state.table.entries.get(victim)
                for each in network.live_members()
            ]
            return sum(each is None or not each.in_view for each in views) / len(views)

        found = []
        for part in (0.0001, 0.9, 1.0):
            network.run(
                began + MAX_WAIT_SECONDS * SECOND, lambda: detected_share() >= part
            )
            found.append((network.now - began) / SECOND)
        times.append((found[0], found[1], found[2]))
        network.run(network.now + 5 * SECOND)
    for place, quorum in enumerate(("the first", "90%", "all")):
        delays = sorted(each[place] for each in times)
        print(
            f"  {len(delays)} kills, detected by {quorum}: median {delays[len(delays) // 2]:.1f} s, longest {delays[-1]:.1f} s"
        )
    print(
        f"  live members declared dead during the kills: {len(network.false_deaths)}",
        flush=True,
    )


def processes(options: argparse.Namespace) -> None:
    from benchmarks.fleet_processes import run

    run(options.gateways)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["events", "traffic", "stalls", "processes"])
    parser.add_argument("--gateways", type=int)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=600)
    parser.add_argument("--kills", type=int, default=10)
    parser.add_argument("--together", action="store_true")
    parser.add_argument("--only", nargs="*", choices=EVENTS)
    parser.add_argument("--cuts", type=int, nargs="*", default=[1, 10, 300])
    options = parser.parse_args()
    options.gateways = options.gateways or (12 if options.what == "processes" else 200)
    {"events": events, "traffic": traffic, "stalls": stalls, "processes": processes}[
        options.what
    ](options)


if __name__ == "__main__":
    main()
