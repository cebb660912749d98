"""Channels end to end: gateways, boxes and clients in one process on loopback, gateways that go away, clients that come again."""

from __future__ import annotations

import time

from twisted.internet import defer, reactor
from twisted.trial.unittest import TestCase

from milletsill.settings.load import Lines, Report
from milletsill.settings.milletsill_pb2 import Category, ChannelKeeping, Contract, Route
from milletsill.settings.validation import check_gateway
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packets
from milletsill.sftp.extensions import Terms
from tests.support.sftp_gateway_rig import Rig, later


class Fleet(Rig):
    """Three gateways that keep channels, and the order of effects at the boxes."""

    def __init__(self, case, **kind):
        super().__init__(case, **kind)
        self.effects = []
        file = self.file
        file.category.append(
            Category(
                name="catch",
                target_ms=300,
                patience_ms=3000,
                repeats="ticketed",
                group="cell",
                repeat_window_ms=5000,
                write=True,
            )
        )
        del file.route[:]
        file.route.extend(
            [
                Route(
                    operation=["write", "change", "sync"],
                    volume="hashed",
                    category="catch",
                ),
                Route(category="read"),
            ]
        )
        file.fleet.name, file.fleet.address = "f", "127.0.0.1:0"
        file.fleet.channels.CopyFrom(
            ChannelKeeping(
                register=["g0", "g1", "g2"],
                office_s=1,
                call_ms=150,
                contract=[
                    Contract(
                        name="landing",
                        order=Contract.EACH_IN_ORDER,
                        volume=["hashed"],
                        hole_ms=300,
                    ),
                    Contract(
                        name="lots",
                        order=Contract.BATCHES,
                        volume=["hashed"],
                        hole_ms=300,
                        chosen_by_client=True,
                    ),
                ],
            )
        )
        for box in self.boxes:
            self.watch(box)

    def watch(self, box):
        run = box.files.run

        def watched(command):
            if isinstance(command, packets.Write):
                self.effects.append(int(command.data[:8]))
            return run(command)

        box.files.run = watched

    async def gateways(self, count=3):
        made = [await self.gateway(f"g{each}") for each in range(count)]
        await self.until(
            lambda: all(len(each.fleet.view.members) == count for each in made)
        )
        return made

    async def gateway(self, name):
        self.file.fleet.join[:] = [
            f"127.0.0.1:{each.fleet.ports[0].getHost().port}" for each in self.edges[:1]
        ]
        return await self.edge(name, drain_s=1.0)

    async def until(self, true, seconds=8.0):
        ends = time.monotonic() + seconds
        while not true():
            self.case.assertLess(time.monotonic(), ends)
            await later(0.02)

    def gone(self, edge):
        """As after SIGKILL: no word to anybody, no office given up."""
        edge.channels.offices.release = lambda term: None
        for place in edge.channels.offices.leases.values():
            if place.term is not None:
                place.term.in_use = True
        edge.stop()

    def keeper(self, key):
        return next(
            (
                each
                for each in self.edges
                if each.process.name == "SERVING" and each.channels.keeper.keeps(key)
            ),
            None,
        )


class Boat:
    """A client with a channel."""

    def __init__(self, client, opened, file):
        self.client, self.opened, self.file = client, opened, file

    @classmethod
    async def open(
        cls, rig, edge, name="boat", contract="", path="/h/catch", seconds=6.0
    ):
        client, ends = await rig.client(edge), time.monotonic() + seconds
        while True:  # comes back as it is told to
            answer = await client.command(
                wire.put_channel(0, wire.Opening("/h", name, contract))
            )
            if (
                not isinstance(answer, packets.Status)
                or sign(answer) != "declined"
                or time.monotonic() > ends
            ):
                break
            await later(min(wire.read_sign(answer.language).pause / 1000, 0.3))
        if isinstance(answer, packets.Status):
            return answer
        return cls(client, wire.read_opened(answer), await client.open(path))

    def put(self, number, batch=0, last=False, mark=None):
        write = packets.Write(
            0, self.file, number * 8, b"%08d" % (number if mark is None else mark)
        )
        return self.client.command(
            wire.put_numbered(
                0,
                wire.Numbered(
                    self.opened.handle, number, batch, last, Terms(3000), write
                ),
            )
        )

    async def ask(self, number):
        answer = await self.client.command(
            wire.put_channel(0, wire.Asking(self.opened.handle, number))
        )
        return (
            wire.read_asked(answer)
            if isinstance(answer, packets.ExtendedReply)
            else answer
        )


def sign(answer):
    found = wire.read_sign(answer.language)
    return found.word if found else answer.code


class Through(TestCase):
    timeout = 25

    async def test_in_order_from_any_gateway_and_told_again(self):
        rig = Fleet(self)
        edges = await rig.gateways()
        boat = await Boat.open(rig, edges[0])
        self.assertEqual(
            (boat.opened.next, boat.opened.contract, boat.opened.order),
            (1, "landing", 0),
        )
        answers = await defer.gatherResults([boat.put(each) for each in (3, 1, 2)])
        self.assertEqual([sign(each) for each in answers], [packets.OK] * 3)
        for edge in edges[
            1:
        ]:  # comes again elsewhere: the remembered answer, and the next number
            boat = await Boat.open(rig, edge)
            self.assertEqual(sign(await boat.put(2)), packets.OK)
            self.assertEqual(sign(await boat.put(2, mark=77)), "contract")
            following = boat.opened.next
            self.assertEqual(sign(await boat.put(following)), packets.OK)
        self.assertEqual(rig.effects, [1, 2, 3, 4, 5])
        self.assertEqual((await boat.ask(4)).state, wire.IS_SETTLED)
        late = await boat.put(9)
        self.assertEqual(
            (sign(late), wire.read_sign(late.language).number), ("declined", 6)
        )
        self.assertEqual(
            sum(each.channels.keeper.keeps("hashed/boat") for each in edges), 1
        )
        self.assertEqual(rig.traces(), [])

    async def test_the_later_claim_holds_and_the_earlier_is_told(self):
        rig = Fleet(self)
        edges = await rig.gateways()
        first = await Boat.open(rig, edges[0])
        waiting = first.put(2)
        await later(0.05)
        second = await Boat.open(rig, edges[1])
        self.assertEqual(sign(await waiting), "claim-lost")
        self.assertEqual(sign(await first.put(1)), "claim-lost")
        self.assertEqual(sign(await second.put(1)), packets.OK)
        self.assertEqual(rig.effects, [1])

    async def test_a_keeper_that_is_killed_and_its_channel_goes_on(self):
        rig = Fleet(self)
        edges = await rig.gateways()
        boat = await Boat.open(rig, edges[0])
        self.assertEqual(sign(await boat.put(1)), packets.OK)
        keeper = rig.keeper("hashed/boat")
        others = [each for each in edges if each is not keeper]
        boat = await Boat.open(rig, others[0])
        rig.boxes[0].silent = rig.boxes[1].silent = rig.boxes[2].silent = (
            True  # number 2 goes out and nobody hears
        )
        lost = boat.put(2)
        await later(0.1)
        for each in rig.boxes:
            each.silent = False
        rig.gone(keeper)
        began, done, boat = time.monotonic(), None, None
        while time.monotonic() < began + 12:
            boat = await Boat.open(rig, others[1])
            done = await boat.put(2)
            if sign(done) in (
                packets.OK,
                "aborted",
            ):  # aborted: nobody knows any more how long ago it was let go
                break
            await later(0.05)
        self.assertIn(sign(done), (packets.OK, "aborted"))
        self.assertEqual(sign(await boat.put(3)), packets.OK)
        self.assertIn(
            rig.effects, ([1, 2, 3], [1, 3])[: 1 if sign(done) == packets.OK else 2]
        )
        self.assertIn(
            sign(await lost), ("aborted", "claim-lost", "declined", packets.OK)
        )
        self.assertEqual(rig.traces(), [])

    async def test_a_word_that_waits_for_an_office_is_answered_in_time(self):
        """Registers that say nothing at all: an office that is never had, and a record that never stands."""
        rig = Fleet(self)
        edges = await rig.gateways()
        boat = await Boat.open(rig, edges[0])
        for each in edges:
            each.channels.offices.acquire = lambda key, got: None
            each.channels.offices.write = lambda term, value, wrote: None
        began = time.monotonic()
        write = packets.Write(0, boat.file, 8, b"00000001")
        put = boat.client.command(
            wire.put_numbered(
                0, wire.Numbered(boat.opened.handle, 1, 0, False, Terms(600), write)
            )
        )
        other = await rig.client(edges[1])
        opened = other.command(wire.put_channel(0, wire.Opening("/h", "another", "")))
        for asked, word, patience in ((put, "aborted", 0.6), (opened, "declined", 3.0)):
            asked.addTimeout(
                began + patience + 0.25 - time.monotonic(), reactor
            )  # a quarter of a second for a machine that is busy
            self.assertEqual(sign(await asked), word)
        self.assertEqual(
            (sum(each.channels.held for each in edges), rig.effects, rig.traces()),
            (0, [], []),
        )

    async def test_batches_and_what_a_contract_does_not_allow(self):
        rig = Fleet(self)
        edges = await rig.gateways()
        boat = await Boat.open(rig, edges[0], contract="lots")
        early = boat.put(4, 2)
        await defer.gatherResults([boat.put(3, 1, True), boat.put(1, 1)])
        self.assertEqual(set(rig.effects), {1, 3})
        self.assertEqual(sign(await boat.put(2, 1)), packets.OK)
        self.assertEqual(sign(await early), packets.OK)
        self.assertEqual(rig.effects[2:], [2, 4])
        for bad, word in (
            (wire.Opening("/h", "boat", "none"), "contract"),
            (wire.Opening("/h", "boat", "lots", 7), "contract"),
            (wire.Opening("/f", "boat"), packets.UNSUPPORTED),
        ):
            self.assertEqual(
                sign(await boat.client.command(wire.put_channel(0, bad))), word
            )
        reading = wire.Numbered(
            boat.opened.handle, 9, 2, False, Terms(), packets.Read(0, boat.file, 0, 8)
        )
        self.assertEqual(
            sign(await boat.client.command(wire.put_numbered(0, reading))), "contract"
        )
        self.assertEqual(
            (await boat.client.command(packets.Close(0, boat.opened.handle))).code,
            packets.OK,
        )
        self.assertEqual(sign(await boat.put(5, 2)), packets.FAILURE)

    async def test_no_majority_is_declined_at_once_and_term_hands_over(self):
        rig = Fleet(self)
        edges = await rig.gateways()
        boat = await Boat.open(rig, edges[0])
        self.assertEqual(sign(await boat.put(1)), packets.OK)
        keeper = rig.keeper("hashed/boat")
        keeper.terminate()
        other = next(each for each in edges if each is not keeper)
        began = time.monotonic()
        boat = await Boat.open(rig, other)
        self.assertEqual(sign(await boat.put(2)), packets.OK)
        self.assertLess(time.monotonic() - began, 0.8)  # not only when its office ended
        for each in edges:
            if each is not other and each.process.name != "STOPPED":
                each.stop()
        began = time.monotonic()
        answer = await Boat.open(rig, other, "another", seconds=0)
        self.assertEqual(
            (sign(answer), wire.read_sign(answer.language).pause > 0),
            ("declined", True),
        )
        self.assertLess(time.monotonic() - began, 1.0)
        self.assertEqual(rig.traces(), [])


class Without(TestCase):
    async def test_a_gateway_without_channels_offers_none(self):
        rig = Rig(self)
        client = await rig.client(await rig.edge())
        answer = await client.command(wire.put_channel(0, wire.Opening("/h", "boat")))
        self.assertEqual(
            (answer.code, rig.edges[0].channels), (packets.UNSUPPORTED, None)
        )


class Files(TestCase):
    def test_what_a_file_may_say(self):
        rig = Fleet(self)
        file = rig.file
        file.fleet.address = "127.0.0.1:7711"

        def faults(change):
            made = type(file)()
            made.CopyFrom(file)
            change(made.fleet.channels, made)
            report = Report("f", Lines(""))
            check_gateway(made, report)
            return " | ".join(each.reason for each in report.faults)

        self.assertEqual(faults(lambda keeping, made: None), "")
        for change, said in (
            (lambda keeping, made: keeping.register.append("g3"), "4 registers"),
            (
                lambda keeping, made: keeping.contract[1].volume.append("free"),
                "which is FREE",
            ),
            (
                lambda keeping, made: keeping.contract[0].ClearField("volume"),
                "which is FREE",
            ),
            (
                lambda keeping, made: keeping.contract[0].volume.append("folder"),
                "covers category 'read', which is rerunnable",
            ),
            (
                lambda keeping, made: setattr(keeping.contract[0], "silent_s", 4),
                "may be forgotten within",
            ),
            (
                lambda keeping, made: keeping.contract[0].operation.append("read"),
                "operation 'read' has no number",
            ),
            (
                lambda keeping, made: setattr(keeping.contract[1], "name", "landing"),
                "stands twice",
            ),
            (lambda keeping, made: setattr(keeping, "call_ms", 900), "must hold four"),
            (
                lambda keeping, made: setattr(
                    made.category[2], "repeat_window_ms", 100
                ),
                "never be tried again",
            ),
            (
                lambda keeping, made: made.rules.ClearField("key_rest_ms"),
                "needs rules.key_rest_ms",
            ),
        ):
            self.assertIn(said, faults(change))
