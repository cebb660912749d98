"""The laboratory's planted faults meet a crossing for sure: a higher number takes effect before a lower one. Lingering alone does not."""

import unittest
from types import SimpleNamespace
from unittest import mock

from twisted.internet.task import Clock

from milletsill.fleet.channels import ordering
from milletsill.fleet.channels.access_ranges import AccessRange
from milletsill.fleet.channels.channel_owner import (
    ChannelOwner,
    ChannelOwnerSettings,
    ChannelTelemetry,
)
from milletsill.fleet.channels.channel_services import AttemptEnd
from milletsill.fleet.channels.commands import (
    ChannelCommand,
    NumberedRequest,
    OpenChannel,
)
from milletsill.fleet.channels.contracts import (
    ChannelOrder,
    ContractCatalog,
    ContractOffer,
    OrderingContract,
)
from milletsill.fleet.channels.number_states import NumberEvent
from milletsill.fleet.channels.owned_channel import OwnedChannel
from milletsill.lab.planted_faults import LINGER_RULES, MAX_LINGER, PLANTED_FAULTS
from milletsill.sftp import packets
from milletsill.sftp.extensions import CommandTerms

VOLUME = SimpleNamespace(name="v", number=1)


class Surroundings:
    """What a channel owner needs, each with its answer at once; transfers have an effect in the order in which they leave."""

    def __init__(self, order):
        self.clock, self.effects, self.answers = Clock(), [], []
        leases = SimpleNamespace(
            holds=lambda term: True,
            write=lambda term, value, wrote: wrote(None),
            acquire=lambda key, got: got(
                SimpleNamespace(value=b"", expires_at=1 << 40, in_use=False)
            ),
        )
        offer = ContractOffer(OrderingContract("c", 1, order), frozenset(["v"]))
        self.owner = ChannelOwner(
            ChannelOwnerSettings("a", 1000, 9, ContractCatalog([offer])),
            self.clock,
            lambda: int(self.clock.seconds() * 10_000),
            leases,
            self,
            ChannelTelemetry(lambda *event, **fields: None, lambda name: None),
        )
        self.handle(OpenChannel("c", 1, 0))

    def handle(self, body):
        token = f"t{len(self.answers)}"
        self.owner.handle(
            ChannelCommand(VOLUME, "x", 1 << 40, body, token, self.answers.append)
        )

    def send(self, number, order):
        write = packets.Write(0, b"/v/f", number % 2 * 100, b"%d" % number)
        batch = (number + 1) // 2 if order is ChannelOrder.BATCHES else 0
        self.handle(
            NumberedRequest(
                number,
                1,
                batch,
                batch > 0 and number % 2 == 0,
                CommandTerms(),
                "/v/f",
                write,
            )
        )

    def access_ranges(self, request):
        return (AccessRange(1, request.number % 2, request.number % 2),)

    def key_window(self, command):
        return 1 << 30

    def run_attempt(self, release, lease, deadline, on_ended):
        self.effects.append(release.number)
        end = AttemptEnd(NumberEvent.SETTLED, 0, 0, packets.Status(0, 0))
        self.clock.callLater(0.001, on_ended, end)


class Planted(unittest.TestCase):
    def effects(self, plant, order):
        with (
            mock.patch.dict(ordering.PREDECESSOR_RULES),
            mock.patch.object(OwnedChannel, "release", OwnedChannel.release),
            mock.patch.object(
                OwnedChannel, "on_attempt_ended", OwnedChannel.on_attempt_ended
            ),
        ):
            PLANTED_FAULTS[plant]()
            surroundings = Surroundings(order)
            for number in range(1, 7):
                surroundings.send(number, order)
                surroundings.clock.advance(0.1)
            for _ in range(100):
                surroundings.clock.advance(MAX_LINGER / 10)
            return surroundings.effects

    def crossed(self, effects, order):
        """Pairs in which one took effect before another that its contract orders before it."""
        follows = LINGER_RULES[order.name].follows
        made = {
            number: SimpleNamespace(
                ranges=(AccessRange(1, number % 2, number % 2),),
                batch=(number + 1) // 2,
            )
            for number in effects
        }
        return [
            (one, two)
            for place, one in enumerate(effects)
            for two in effects[place + 1 :]
            if one > two and follows(made[two], made[one])
        ]

    def test_each_plant_makes_a_crossing_and_only_under_its_own_order(self):
        for name, of in (
            ("each-in-order", "EACH_IN_ORDER"),
            ("newest", "NEWEST"),
            ("by-extent", "BY_EXTENT"),
            ("batches", "BATCHES"),
        ):
            for order in ChannelOrder:
                effects = self.effects(name, order)
                self.assertEqual(
                    bool(self.crossed(effects, order)),
                    order.name == of,
                    (name, order, effects),
                )
                self.assertTrue(self.crossed(self.effects("all", order), order))

    def test_lingering_alone_is_lawful_and_ends(self):
        for order in ChannelOrder:
            effects = self.effects("linger", order)
            self.assertEqual(self.crossed(effects, order), [])
            self.assertEqual(
                set(effects) - {1, 2, 3, 4, 5},
                {6},
                "the newest leaves whatever lingers",
            )


if __name__ == "__main__":
    unittest.main()
