"""IPFIX and NetFlow version 9: round trips, strictness, and what independent decoders make of them."""

import unittest
import warnings

from hypothesis import given, settings
from hypothesis import strategies as st

from milletsill.flows import ipfix, netflow9
from milletsill.flows.elements import (
    BOX_FLOW,
    CLIENT_FLOW,
    COMMAND,
    ELEMENTS,
    IANA,
    OURS,
    TEMPLATES,
    TYPE_INFO,
    Template,
)
from milletsill.flows.ipfix import MalformedFlowMessage, Record

TEXT = st.text(max_size=400)


def value_for(element):
    if element.type == "string":
        return TEXT
    if element.type == "ipv4Address":
        return st.ip_addresses(v=4).map(str)
    return st.integers(0, (1 << 8 * element.width) - 1)


def records():
    return st.sampled_from(TEMPLATES).flatmap(
        lambda template: st.tuples(*map(value_for, template.elements)).map(
            lambda values: Record(template, values)
        )
    )


def plain(template, **given_values):
    return Record(
        template,
        tuple(
            given_values.get(
                each.name,
                "10.0.0.1"
                if each.type == "ipv4Address"
                else "name"
                if each.type == "string"
                else 7,
            )
            for each in template.elements
        ),
    )


def packed(codec, held, most=60_000, templates=TEMPLATES, sequence=5, domain=3):
    encoder, message = codec.Encoder(), codec.Message(most)
    for set_id, data in encoder.template_sets(templates):
        assert message.add(set_id, data)
    for each in held:
        assert message.add(each.template.id, encoder.record(each))
    return message.finish(1_700_000_000, sequence, domain)


def told(record):
    return {
        each.name: value for each, value in zip(record.template.elements, record.values)
    }


class Ipfix(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(records(), max_size=12))
    def test_records_come_back_as_they_were(self, held):
        made = ipfix.Decoder().message(packed(ipfix, held), 0)
        expected = [
            {
                name: ipfix.cut(value, ipfix.MOST_STRING).decode()
                if isinstance(value, str) and ELEMENTS[name].type == "string"
                else value
                for name, value in told(each).items()
            }
            for each in held
        ]
        self.assertEqual([values for _, _, values in made.rows], expected)

    def test_the_header_is_exact(self):
        data = packed(ipfix, [plain(COMMAND)], sequence=(1 << 32) + 9)
        self.assertEqual(
            ipfix.HEADER.unpack_from(data), (10, len(data), 1_700_000_000, 9, 3)
        )

    def test_a_name_of_300_bytes_and_strange_unicode(self):
        for name in ("x" * 300, "\u202e🐟\u0301" * 30, "\udcff lone"):
            made = ipfix.Decoder().message(
                packed(ipfix, [plain(COMMAND, storeName=name)]), 0
            )
            self.assertEqual(
                made.rows[0][2]["storeName"], name.encode("utf-8", "replace").decode()
            )

    def test_a_message_stays_under_the_paths_size(self):
        encoder, message, count = ipfix.Encoder(), ipfix.Message(1400), 0
        while message.add(CLIENT_FLOW.id, encoder.record(plain(CLIENT_FLOW))):
            count += 1
        data = message.finish(0, 0, 1)
        self.assertLessEqual(len(data), 1400)
        self.assertEqual((message.records, len(data) % 4), (count, 0))

    def test_data_before_its_template_is_counted_not_guessed(self):
        decoder = ipfix.Decoder()
        made = decoder.message(packed(ipfix, [plain(COMMAND)], templates=()), 0)
        self.assertEqual((made.rows, made.unknown), ([], 1))

    def test_a_template_lapses_with_its_lifetime_and_goes_when_withdrawn(self):
        decoder = ipfix.Decoder(lifetime=10)
        decoder.message(packed(ipfix, []), 0)
        bare = packed(ipfix, [plain(COMMAND)], templates=())
        self.assertEqual([decoder.message(bare, at).unknown for at in (9, 11)], [0, 1])
        decoder = ipfix.Decoder()
        decoder.message(packed(ipfix, []), 0)
        message = ipfix.Message(999)
        message.add(ipfix.TEMPLATE_SET, ipfix.SET.pack(COMMAND.id, 0))
        decoder.message(message.finish(0, 0, 3), 0)
        self.assertEqual(decoder.message(bare, 0).unknown, 1)

    def test_domains_do_not_share_templates(self):
        decoder = ipfix.Decoder()
        decoder.message(packed(ipfix, [], domain=1), 0)
        self.assertEqual(
            decoder.message(
                packed(ipfix, [plain(COMMAND)], templates=(), domain=2), 0
            ).unknown,
            1,
        )

    def test_types_told_in_the_stream_name_elements_of_another_number(self):
        encoder, message = ipfix.Encoder(pen=777), ipfix.Message(60_000)
        for set_id, data in encoder.template_sets((TYPE_INFO, COMMAND)):
            message.add(set_id, data)
        for element in ELEMENTS.values():
            if element.space == OURS:
                message.add(
                    TYPE_INFO.id,
                    encoder.record(Record(TYPE_INFO, encoder.type_values(element))),
                )
        decoder = ipfix.Decoder()
        decoder.message(message.finish(0, 0, 1), 0)
        message = ipfix.Message(999)
        message.add(COMMAND.id, encoder.record(plain(COMMAND, storeName="suva")))
        self.assertEqual(
            decoder.message(message.finish(0, 0, 1), 0).rows[0][2]["storeName"], "suva"
        )

    def test_templates_are_bounded(self):
        decoder, message = ipfix.Decoder(), ipfix.Message(65_000)
        for number in range(3000):
            message.add(
                ipfix.TEMPLATE_SET,
                ipfix.SET.pack(256 + number, 1) + ipfix.SET.pack(1, 8),
            )
        decoder.message(message.finish(0, 0, 1), 0)
        self.assertEqual(len(decoder.templates), ipfix.MOST_TEMPLATES)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=300), st.integers(0, 500), st.integers(0, 255))
    def test_any_bytes_are_decoded_or_refused_with_one_line(self, noise, place, byte):
        good = bytearray(packed(ipfix, [plain(each) for each in TEMPLATES]))
        good[place % len(good)] = byte
        for data in (
            noise,
            ipfix.HEADER.pack(10, 16 + len(noise), 0, 0, 0) + noise,
            bytes(good),
            bytes(good[:place]),
        ):
            for codec in (ipfix, netflow9):
                try:
                    codec.Decoder().message(data, 0)
                except MalformedFlowMessage as error:
                    self.assertNotIn("\n", str(error))

    def test_a_stream_is_cut_into_messages_at_any_byte(self):
        data = packed(ipfix, [plain(COMMAND)]) * 3
        cutter = ipfix.Cutter()
        found = [
            each
            for at in range(0, len(data), 7)
            for each in cutter.feed(data[at : at + 7])
        ]
        self.assertEqual((b"".join(found), len(found)), (data, 3))
        with self.assertRaises(MalformedFlowMessage):
            list(ipfix.Cutter().feed(b"\0\x0a\0\x02"))


class NetFlow9(unittest.TestCase):
    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.lists(records(), max_size=8))
    def test_records_come_back_within_their_fixed_widths(self, held):
        made = netflow9.Decoder().message(packed(netflow9, held), 0)
        for (_, scope, values), record in zip(made.rows, held, strict=True):
            for place, (name, value) in enumerate(told(record).items()):
                if place < scope:
                    continue
                if ELEMENTS[name].type == "string":
                    value = netflow9.cut(value, netflow9.STRING).rstrip(b"\0").decode()
                self.assertEqual(values[name], value)


class Independent(unittest.TestCase):
    """Decoders that others wrote."""

    def test_scapy_reads_every_ipfix_template(self):
        warnings.simplefilter("ignore")
        from scapy.layers.netflow import NetflowHeader

        found, layer = {}, NetflowHeader(packed(ipfix, []))
        while layer:
            for each in getattr(layer, "templates", None) or (
                [layer] if hasattr(layer, "templateID") else []
            ):
                fields = getattr(each, "template_fields", None)
                if fields is None:
                    fields = list(each.scopes) + list(each.options)
                found[each.templateID] = len(fields)
            layer = layer.payload
        # It reads one options template of a set, the first.
        self.assertEqual(
            found,
            {
                each.id: len(each.elements)
                for each in TEMPLATES
                if each.id <= TYPE_INFO.id
            },
        )

    def test_scapy_decodes_records_whose_elements_are_ianas(self):
        """It names a reverse element as the forward one, so a record with both is beyond it."""
        warnings.simplefilter("ignore")
        from scapy.layers.netflow import (
            NetflowHeader,
            NetflowRecordV9,
            netflowv9_defragment,
        )

        template = Template(
            300,
            "plain",
            tuple(each for each in CLIENT_FLOW.elements if each.space == IANA),
        )
        held = [plain(template, octetDeltaCount=each) for each in (10, 20)]
        (packet,) = netflowv9_defragment(
            [NetflowHeader(packed(ipfix, held, templates=(template,)))]
        )
        found, layer = [], packet
        while layer:
            found += [each for each in getattr(layer, "records", []) or []]
            layer = layer.payload
        self.assertEqual(
            [
                int.from_bytes(each.IN_BYTES, "big")
                if isinstance(each.IN_BYTES, bytes)
                else each.IN_BYTES
                for each in found
                if isinstance(each, NetflowRecordV9)
            ][:2],
            [10, 20],
        )

    def test_the_netflow_library_decodes_version_9_and_its_sums(self):
        import netflow

        held = [plain(CLIENT_FLOW, octetDeltaCount=each) for each in (10, 20, 30)] + [
            plain(BOX_FLOW)
        ]
        packet = netflow.parse_packet(
            packed(netflow9, held, templates=(CLIENT_FLOW, BOX_FLOW)),
            {"netflow": {}, "ipfix": {}},
        )
        self.assertEqual(packet.header.version, 9)
        self.assertEqual(sum(each.data["IN_BYTES"] for each in packet.flows), 67)
