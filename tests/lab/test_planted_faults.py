"""Guards against planted faults that the audit could miss by chance.

Each planted fault must make a number take effect before a lower number that its order
places first. The delay of releases alone (`linger`) must not.
"""

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
    """A channel owner with stand-ins that answer at once.

    Requests take effect in the order in which the owner releases them.
    """

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


class PlantedFaults(unittest.TestCase):
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

    def violations(self, effects, order):
        """Return pairs that took effect in the reverse of the order's sequence."""
        follows = LINGER_RULES[order.name].follows
        requests = {
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
            if one > two and follows(requests[two], requests[one])
        ]

    def test_each_fault_violates_its_own_order_and_no_other(self):
        for name, violated_order in (
            ("each-in-order", "EACH_IN_ORDER"),
            ("newest", "NEWEST"),
            ("by-extent", "BY_EXTENT"),
            ("batches", "BATCHES"),
        ):
            for order in ChannelOrder:
                effects = self.effects(name, order)
                self.assertEqual(
                    bool(self.violations(effects, order)),
                    order.name == violated_order,
                    (name, order, effects),
                )
                self.assertTrue(self.violations(self.effects("all", order), order))

    def test_delay_alone_violates_no_order_and_ends(self):
        for order in ChannelOrder:
            effects = self.effects("linger", order)
            self.assertEqual(self.violations(effects, order), [])
            self.assertEqual(
                set(effects) - {1, 2, 3, 4, 5},
                {6},
                "number 6 is released despite the delay",
            )


if __name__ == "__main__":
    unittest.main()
