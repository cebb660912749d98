"""How fast a fleet agrees on who is there, and what that costs.

The machines of `fleet/membership` on a simulated clock.

    python -m benchmarks.fleet_view events   [--gateways 200 --seed 1 --only kill]    joins, kills, cuts and their healing, loss
    python -m benchmarks.fleet_view traffic  [--gateways 200 --seed 1]    packets and octets a second for each member, calm
    python -m benchmarks.fleet_view stalls   [--gateways 200 --seconds 600 --kills 10 --together]    false deaths, real kills
    python -m benchmarks.fleet_view processes [--gateways 12]             the same over real processes, see fleet_processes.py

All but the last are simulated: datagrams take 0.2 to 2 ms, frames go through the codec
where octets are counted. Each line says the seconds until nine in ten, and until all,
of the live gateways hold the true view.
"""

from __future__ import annotations

import argparse
from random import Random

from milletsill.lab.simulated_clock import SECOND
from milletsill.lab.simulated_network import SimulatedNetwork

MOST_WAIT = 120  # seconds for a view to settle


def settled(network: SimulatedNetwork, what: str) -> None:
    """Run until all agree; say when."""
    began, false = network.now, len(network.false_deaths)
    times = []
    for part in (0.9, 1.0):
        done = network.run(
            began + MOST_WAIT * SECOND, lambda: network.share_of_correct_views() >= part
        )
        times.append(f"{(network.now - began) / SECOND:.1f}" if done else "never")
    print(
        f"{what:36} nine in ten {times[0]:>5} s, all {times[1]:>5} s, live ones declared gone meanwhile {len(network.false_deaths) - false}",
        flush=True,
    )
    network.run(network.now + 10 * SECOND)


def part_of(network: SimulatedNetwork, what: str, given: argparse.Namespace) -> None:
    """One kind of event, on a fleet that is calm and whole."""
    names = [each.name for each in network.live_members()]
    if what == "join":
        network.start("new", seeds=["gateway-1", "gateway-2"])
        settled(network, "one joins")
        network.leave("gateway-3")
        settled(network, "one leaves")
    elif what == "kill":
        network.kill("gateway-5")
        settled(network, "one is killed")
        network.start("gateway-5", incarnation=1, seeds=["gateway-1"])
        settled(network, "it is back with its state lost")
    elif what == "halves":
        for span in given.cuts:
            network.cut(names[::2], names[1::2])
            network.run(network.now + span * SECOND)
            network.heal()
            settled(network, f"healed after {span} s in halves")
    elif what == "one-way":
        network.cut(names[: len(names) // 10], names[len(names) // 10 :], both=False)
        network.run(network.now + 20 * SECOND)
        network.heal()
        settled(network, "healed after 20 s, a tenth unheard")
        network.cut(names[:1], names[1:2], both=False)
        network.run(network.now + 20 * SECOND)
        print(
            f"20 s in which one does not hear one other: right views {network.share_of_correct_views():.3f}",
            flush=True,
        )
    elif what == "loss":
        network.loss, false = 0.1, len(network.false_deaths)
        network.run(network.now + 60 * SECOND)
        print(
            f"a minute of 10% loss: live ones declared gone {len(network.false_deaths) - false}, right views {network.share_of_correct_views():.3f}",
            flush=True,
        )
        network.kill("gateway-7")
        settled(network, "one is killed, 10% loss")
    elif what == "many":
        for name in network.random.sample(names, len(names) * 3 // 10):
            network.kill(name)
        settled(network, "30% are killed at once")


PARTS = ("join", "kill", "many", "halves", "one-way", "loss")


def events(given: argparse.Namespace) -> None:
    print(f"simulated, {given.gateways} gateways, seed {given.seed}")
    for what in given.only or PARTS:
        network = SimulatedNetwork(given.seed)
        network.start_fleet(given.gateways, 10 * SECOND)
        part_of(network, what, given)


def traffic(given: argparse.Namespace) -> None:
    network = SimulatedNetwork(given.seed, with_codec=True)
    network.start_fleet(given.gateways, 15 * SECOND)
    network.packet_counts.clear()
    network.octet_counts.clear()
    began = network.now
    network.run(began + 20 * SECOND)
    seconds = (network.now - began) / SECOND * given.gateways
    for stream in (False, True):
        packets = (
            sum(
                count
                for (_, over), count in network.packet_counts.items()
                if over is stream
            )
            / seconds
        )
        octets = (
            sum(
                count
                for (_, over), count in network.octet_counts.items()
                if over is stream
            )
            / seconds
        )
        print(
            f"simulated, {given.gateways} gateways, calm: {'streams' if stream else 'datagrams'} out of each "
            f"{packets:.1f} a second, {octets:.0f} octets a second",
            flush=True,
        )


def stalls(given: argparse.Namespace) -> None:
    network, chance = SimulatedNetwork(given.seed), Random(given.seed + 1)
    network.start_fleet(given.gateways, 10 * SECOND)

    def each(name: str) -> None:
        network.stall(name, chance.randrange(6600, 12001))
        network.call_at(network.now + chance.randrange(20_000, 40_001), each, name)

    def together() -> None:
        for name in chance.sample(
            sorted(network.members), int(chance.uniform(0.3, 0.87) * given.gateways)
        ):
            network.call_at(
                network.now + chance.randrange(1000),
                network.stall,
                name,
                chance.randrange(6600, 12001),
            )
        network.call_at(network.now + chance.randrange(20_000, 40_001), together)

    if given.together:
        together()
    else:
        for name in list(network.members):
            network.call_at(network.now + chance.randrange(30_000), each, name)
    network.run(network.now + given.seconds * SECOND)
    how = "up to 87% at a time" if given.together else "each by itself"
    print(
        f"simulated, {given.gateways} gateways, {given.seconds} s of stalls of 660 to 1,200 ms every 2 to 4 s, {how}: "
        f"live ones declared gone {len(network.false_deaths)}, suspicions refuted {sum(each.event_counts['REFUTED'] for each in network.members.values())}",
        flush=True,
    )
    times: list[tuple[float, float, float]] = []
    for _ in range(given.kills):
        victim = network.live_members()[-2].name
        began = network.now
        network.kill(victim)

        def seen() -> float:
            views = [
                each.membership.state.table.entries.get(victim)
                for each in network.live_members()
            ]
            return sum(each is None or not each.in_view for each in views) / len(views)

        found = []
        for part in (0.0001, 0.9, 1.0):
            network.run(began + MOST_WAIT * SECOND, lambda: seen() >= part)
            found.append((network.now - began) / SECOND)
        times.append((found[0], found[1], found[2]))
        network.run(network.now + 5 * SECOND)
    for place, word in enumerate(("first", "nine in ten", "all")):
        held = sorted(each[place] for each in times)
        print(
            f"  {len(held)} kills, seen by {word}: median {held[len(held) // 2]:.1f} s, longest {held[-1]:.1f} s"
        )
    print(
        f"  live ones declared gone with the kills: {len(network.false_deaths)}",
        flush=True,
    )


def processes(given: argparse.Namespace) -> None:
    from benchmarks.fleet_processes import play

    play(given.gateways)


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
    parser.add_argument("--only", nargs="*", choices=PARTS)
    parser.add_argument("--cuts", type=int, nargs="*", default=[1, 10, 300])
    given = parser.parse_args()
    given.gateways = given.gateways or (12 if given.what == "processes" else 200)
    {"events": events, "traffic": traffic, "stalls": stalls, "processes": processes}[
        given.what
    ](given)


if __name__ == "__main__":
    main()
