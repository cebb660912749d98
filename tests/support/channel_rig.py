"""Test rig: gateways with channels, nodes and clients in one process on loopback."""

from __future__ import annotations

import time

from milletsill.settings.milletsill_pb2 import Category, ChannelKeeping, Contract, Route
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import packets, status_tags
from milletsill.sftp.extensions import CommandTerms
from tests.support.sftp_gateway_rig import Rig, later


class ChannelFleet(Rig):
    """Three gateways with channels; records the order of effects at the nodes."""

    def __init__(self, case, **options):
        super().__init__(case, **options)
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
        for node in self.nodes:
            self.record_effects(node)

    def record_effects(self, node):
        """Append the number in the data of each write to `effects`."""
        run = node.files.run

        def recording(command):
            if isinstance(command, packets.Write):
                self.effects.append(int(command.data[:8]))
            return run(command)

        node.files.run = recording

    async def gateways(self, count=3):
        """Start gateways, and wait until each of them has all in its view."""
        gateways = [await self.gateway(f"g{each}") for each in range(count)]
        await self.until(
            lambda: all(len(each.fleet.view.members) == count for each in gateways)
        )
        return gateways

    async def gateway(self, name):
        self.file.fleet.join[:] = [
            each.fleet.view.by_name[each.fleet.name].address
            for each in self.running_gateways[:1]
        ]
        return await self.start_gateway(name, drain_s=1.0)

    async def until(self, condition, seconds=8.0):
        deadline = time.monotonic() + seconds
        while not condition():
            self.case.assertLess(time.monotonic(), deadline)
            await later(0.02)

    def kill(self, gateway):
        """Stop a gateway as by SIGKILL: it sends no messages and releases no leases."""
        gateway.channels.leases.release = lambda term: None
        for lease in gateway.channels.leases.leases.values():
            if lease.term is not None:
                lease.term.in_use = True
        gateway.stop()

    def owner(self, key):
        """Return the serving gateway that owns a channel, or None."""
        return next(
            (
                each
                for each in self.running_gateways
                if each.state.name == "SERVING" and each.channels.owner.owns(key)
            ),
            None,
        )


class ChannelClient:
    """A client that has opened a channel and a file."""

    def __init__(self, client, opened, file):
        self.client, self.opened, self.file = client, opened, file

    @classmethod
    async def open(
        cls, rig, gateway, name="boat", contract="", path="/h/catch", seconds=6.0
    ):
        client, deadline = await rig.client(gateway), time.monotonic() + seconds
        while True:  # retries a rejected open after the delay that the answer names
            answer = await client.command(
                wire.encode_channel_request(0, wire.ChannelOpen("/h", name, contract))
            )
            if (
                not isinstance(answer, packets.Status)
                or answer_kind(answer) != "declined"
                or time.monotonic() > deadline
            ):
                break
            await later(
                min(
                    status_tags.parse_status_tag(answer.language).retry_delay_ms / 1000,
                    0.3,
                )
            )
        if isinstance(answer, packets.Status):
            return answer
        return cls(client, wire.decode_open_reply(answer), await client.open(path))

    def put(self, number, batch=0, last=False, mark=None):
        write = packets.Write(
            0, self.file, number * 8, b"%08d" % (number if mark is None else mark)
        )
        return self.client.command(
            wire.encode_numbered(
                0,
                wire.NumberedCommand(
                    self.opened.handle, number, batch, last, CommandTerms(3000), write
                ),
            )
        )

    async def query(self, number):
        answer = await self.client.command(
            wire.encode_channel_request(
                0, wire.ChannelQuery(self.opened.handle, number)
            )
        )
        return (
            wire.decode_query_reply(answer)
            if isinstance(answer, packets.ExtendedReply)
            else answer
        )


def answer_kind(answer):
    """Return the kind of an answer's status tag, or its status code without a tag."""
    tag = status_tags.parse_status_tag(answer.language)
    return tag.kind if tag else answer.code
