"""The IPFIX and NetFlow 9 codecs: round trips, malformed input, independent decoders."""

import unittest
import warnings

from hypothesis import given, settings
from hypothesis import strategies as st

from milletsill.flows import ipfix_encoder, netflow9_encoder
from milletsill.flows.codecs import IPFIX, NETFLOW9
from milletsill.flows.errors import MalformedFlowMessageError
from milletsill.flows.field_encoding import MAX_TEMPLATES, SET_HEADER, truncate_text
from milletsill.flows.information_elements import (
    DOCUMENTATION_PEN,
    ELEMENTS,
    DataType,
    ElementSpace,
)
from milletsill.flows.ipfix_decoder import IpfixDecoder
from milletsill.flows.ipfix_encoder import IpfixEncoder, IpfixMessageBuilder
from milletsill.flows.ipfix_stream import IpfixMessageSplitter
from milletsill.flows.netflow9_decoder import NetFlow9Decoder
from milletsill.flows.templates import (
    CLIENT_FLOW,
    COMMAND_RECORD,
    ELEMENT_TYPE,
    NODE_FLOW,
    TEMPLATES,
    DataRecord,
    Template,
)

TEXT = st.text(max_size=400)


def value_for(element):
    if element.data_type is DataType.STRING:
        return TEXT
    if element.data_type is DataType.IPV4_ADDRESS:
        return st.ip_addresses(v=4).map(str)
    return st.integers(0, (1 << 8 * element.width) - 1)


def records():
    return st.sampled_from(TEMPLATES).flatmap(
        lambda template: st.tuples(*map(value_for, template.elements)).map(
            lambda values: DataRecord(template, values)
        )
    )


def record_with(template, **given_values):
    return DataRecord(
        template,
        tuple(
            given_values.get(
                each.name,
                "10.0.0.1"
                if each.data_type is DataType.IPV4_ADDRESS
                else "name"
                if each.data_type is DataType.STRING
                else 7,
            )
            for each in template.elements
        ),
    )


def encoded_message(
    codec, sent, max_octets=60_000, templates=TEMPLATES, sequence=5, domain=3
):
    encoder = codec.new_encoder(DOCUMENTATION_PEN)
    message = codec.new_message(max_octets)
    for set_id, data in encoder.encode_templates(templates):
        assert message.add(set_id, data)
    for each in sent:
        assert message.add(each.template.id, encoder.encode_record(each))
    return message.finish(1_700_000_000, sequence, domain)


def values_by_name(record):
    return {
        each.name: value for each, value in zip(record.template.elements, record.values)
    }


class IpfixCodec(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(records(), max_size=12))
    def test_records_survive_a_round_trip(self, sent):
        decoded_message = IpfixDecoder().decode(encoded_message(IPFIX, sent), 0)
        expected = [
            {
                name: truncate_text(value, ipfix_encoder.MAX_STRING_OCTETS).decode()
                if isinstance(value, str)
                and ELEMENTS[name].data_type is DataType.STRING
                else value
                for name, value in values_by_name(each).items()
            }
            for each in sent
        ]
        self.assertEqual(
            [record.values for record in decoded_message.records], expected
        )

    def test_the_header_has_the_expected_values(self):
        data = encoded_message(
            IPFIX, [record_with(COMMAND_RECORD)], sequence=(1 << 32) + 9
        )
        self.assertEqual(
            ipfix_encoder.MESSAGE_HEADER.unpack_from(data),
            (10, len(data), 1_700_000_000, 9, 3),
        )

    def test_long_names_and_unusual_unicode_are_kept(self):
        for name in ("x" * 300, "\u202e🐟\u0301" * 30, "\udcff lone"):
            decoded_message = IpfixDecoder().decode(
                encoded_message(IPFIX, [record_with(COMMAND_RECORD, storeName=name)]), 0
            )
            self.assertEqual(
                decoded_message.records[0].values["storeName"],
                name.encode("utf-8", "replace").decode(),
            )

    def test_a_message_stays_within_max_octets(self):
        encoder = IpfixEncoder()
        message = IpfixMessageBuilder(1400)
        count = 0
        while message.add(
            CLIENT_FLOW.id, encoder.encode_record(record_with(CLIENT_FLOW))
        ):
            count += 1
        data = message.finish(0, 0, 1)
        self.assertLessEqual(len(data), 1400)
        self.assertEqual((message.data_records, len(data) % 4), (count, 0))

    def test_data_before_its_template_is_counted_and_not_decoded(self):
        decoder = IpfixDecoder()
        decoded_message = decoder.decode(
            encoded_message(IPFIX, [record_with(COMMAND_RECORD)], templates=()), 0
        )
        self.assertEqual(
            (decoded_message.records, decoded_message.unknown_sets), ([], 1)
        )

    def test_a_template_ends_with_its_lifetime_or_its_withdrawal(self):
        decoder = IpfixDecoder(template_lifetime=10)
        decoder.decode(encoded_message(IPFIX, []), 0)
        bare = encoded_message(IPFIX, [record_with(COMMAND_RECORD)], templates=())
        self.assertEqual(
            [decoder.decode(bare, at).unknown_sets for at in (9, 11)], [0, 1]
        )
        decoder = IpfixDecoder()
        decoder.decode(encoded_message(IPFIX, []), 0)
        message = IpfixMessageBuilder(999)
        message.add(
            ipfix_encoder.TEMPLATE_SET_ID, SET_HEADER.pack(COMMAND_RECORD.id, 0)
        )
        decoder.decode(message.finish(0, 0, 3), 0)
        self.assertEqual(decoder.decode(bare, 0).unknown_sets, 1)

    def test_domains_do_not_share_templates(self):
        decoder = IpfixDecoder()
        decoder.decode(encoded_message(IPFIX, [], domain=1), 0)
        self.assertEqual(
            decoder.decode(
                encoded_message(
                    IPFIX, [record_with(COMMAND_RECORD)], templates=(), domain=2
                ),
                0,
            ).unknown_sets,
            1,
        )

    def test_type_records_name_elements_of_another_enterprise_number(self):
        encoder = IpfixEncoder(enterprise=777)
        message = IpfixMessageBuilder(60_000)
        for set_id, data in encoder.encode_templates((ELEMENT_TYPE, COMMAND_RECORD)):
            message.add(set_id, data)
        records = encoder.element_type_records()
        enterprise_elements = [
            element
            for element in ELEMENTS.values()
            if element.space is ElementSpace.ENTERPRISE
        ]
        self.assertEqual(len(records), len(enterprise_elements))
        for record in records:
            message.add(ELEMENT_TYPE.id, encoder.encode_record(record))
        decoder = IpfixDecoder()
        decoder.decode(message.finish(0, 0, 1), 0)
        message = IpfixMessageBuilder(999)
        message.add(
            COMMAND_RECORD.id,
            encoder.encode_record(record_with(COMMAND_RECORD, storeName="suva")),
        )
        self.assertEqual(
            decoder.decode(message.finish(0, 0, 1), 0).records[0].values["storeName"],
            "suva",
        )

    def test_the_number_of_templates_is_limited(self):
        decoder = IpfixDecoder()
        message = IpfixMessageBuilder(65_000)
        for number in range(3000):
            message.add(
                ipfix_encoder.TEMPLATE_SET_ID,
                SET_HEADER.pack(256 + number, 1) + SET_HEADER.pack(1, 8),
            )
        decoder.decode(message.finish(0, 0, 1), 0)
        self.assertEqual(len(decoder.templates), MAX_TEMPLATES)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=300), st.integers(0, 500), st.integers(0, 255))
    def test_any_bytes_are_decoded_or_rejected_with_a_message_of_one_line(
        self, noise, position, byte
    ):
        valid = bytearray(
            encoded_message(IPFIX, [record_with(each) for each in TEMPLATES])
        )
        valid[position % len(valid)] = byte
        for data in (
            noise,
            ipfix_encoder.MESSAGE_HEADER.pack(10, 16 + len(noise), 0, 0, 0) + noise,
            bytes(valid),
            bytes(valid[:position]),
        ):
            for codec in (IPFIX, NETFLOW9):
                try:
                    codec.new_decoder(None).decode(data, 0)
                except MalformedFlowMessageError as error:
                    self.assertNotIn("\n", str(error))

    def test_a_stream_is_split_into_messages_at_any_chunk_size(self):
        data = encoded_message(IPFIX, [record_with(COMMAND_RECORD)]) * 3
        splitter = IpfixMessageSplitter()
        found = [
            each
            for at in range(0, len(data), 7)
            for each in splitter.feed(data[at : at + 7])
        ]
        self.assertEqual((b"".join(found), len(found)), (data, 3))
        with self.assertRaises(MalformedFlowMessageError):
            list(IpfixMessageSplitter().feed(b"\0\x0a\0\x02"))


class NetFlow9Codec(unittest.TestCase):
    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.lists(records(), max_size=8))
    def test_records_survive_a_round_trip_within_fixed_widths(self, sent):
        decoded_message = NetFlow9Decoder().decode(encoded_message(NETFLOW9, sent), 0)
        for decoded, record in zip(decoded_message.records, sent, strict=True):
            for place, (name, value) in enumerate(values_by_name(record).items()):
                if place < decoded.scope_count:
                    continue
                if ELEMENTS[name].data_type is DataType.STRING:
                    value = (
                        truncate_text(value, netflow9_encoder.STRING_OCTETS)
                        .rstrip(b"\0")
                        .decode()
                    )
                self.assertEqual(decoded.values[name], value)


class IndependentDecoders(unittest.TestCase):
    """Decoders of other projects read the messages."""

    def test_scapy_reads_every_ipfix_template(self):
        warnings.simplefilter("ignore")
        from scapy.layers.netflow import NetflowHeader

        found, layer = {}, NetflowHeader(encoded_message(IPFIX, []))
        while layer:
            for each in getattr(layer, "templates", None) or (
                [layer] if hasattr(layer, "templateID") else []
            ):
                fields = getattr(each, "template_fields", None)
                if fields is None:
                    fields = list(each.scopes) + list(each.options)
                found[each.templateID] = len(fields)
            layer = layer.payload
        # scapy reads only the first options template of a set.
        self.assertEqual(
            found,
            {
                each.id: len(each.elements)
                for each in TEMPLATES
                if each.id <= ELEMENT_TYPE.id
            },
        )

    def test_scapy_decodes_records_with_iana_elements_only(self):
        """scapy names reverse and forward elements alike, so it cannot decode both."""
        warnings.simplefilter("ignore")
        from scapy.layers.netflow import (
            NetflowHeader,
            NetflowRecordV9,
            netflowv9_defragment,
        )

        template = Template(
            300,
            "plain",
            tuple(
                each for each in CLIENT_FLOW.elements if each.space is ElementSpace.IANA
            ),
        )
        sent = [record_with(template, octetDeltaCount=each) for each in (10, 20)]
        (packet,) = netflowv9_defragment(
            [NetflowHeader(encoded_message(IPFIX, sent, templates=(template,)))]
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

    def test_the_netflow_library_decodes_version_9(self):
        import netflow

        sent = [
            record_with(CLIENT_FLOW, octetDeltaCount=each) for each in (10, 20, 30)
        ] + [record_with(NODE_FLOW)]
        packet = netflow.parse_packet(
            encoded_message(NETFLOW9, sent, templates=(CLIENT_FLOW, NODE_FLOW)),
            {"netflow": {}, "ipfix": {}},
        )
        self.assertEqual(packet.header.version, 9)
        self.assertEqual(sum(each.data["IN_BYTES"] for each in packet.flows), 67)
