"""The export formats, by their names in the settings and by version number."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from milletsill.flows.decoded_message import MessageDecoder
from milletsill.flows.field_encoding import MessageBuilder, RecordEncoder
from milletsill.flows.ipfix_decoder import IpfixDecoder
from milletsill.flows.ipfix_encoder import VERSION as IPFIX_VERSION
from milletsill.flows.ipfix_encoder import IpfixEncoder, IpfixMessageBuilder
from milletsill.flows.netflow9_decoder import NetFlow9Decoder
from milletsill.flows.netflow9_encoder import VERSION as NETFLOW9_VERSION
from milletsill.flows.netflow9_encoder import NetFlow9Encoder, NetFlow9PacketBuilder


@dataclass(frozen=True, slots=True)
class FlowCodec:
    """One export format.

    `new_encoder` takes the enterprise number, `new_message` the maximum octets of a
    message, `new_decoder` the lifetime of templates in seconds or None for unlimited.
    """

    version: int
    new_encoder: Callable[[int], RecordEncoder]
    new_message: Callable[[int], MessageBuilder]
    new_decoder: Callable[[float | None], MessageDecoder]
    sequence_counts_records: bool
    """Whether sequence numbers count data records; otherwise they count messages."""

    exports_options: bool
    """Whether options (reliability, sampling) are exported in this format."""


IPFIX = FlowCodec(
    version=IPFIX_VERSION,
    new_encoder=IpfixEncoder,
    new_message=IpfixMessageBuilder,
    new_decoder=lambda lifetime: IpfixDecoder(template_lifetime=lifetime),
    sequence_counts_records=True,
    exports_options=True,
)
NETFLOW9 = FlowCodec(
    version=NETFLOW9_VERSION,
    new_encoder=lambda enterprise: NetFlow9Encoder(),
    new_message=NetFlow9PacketBuilder,
    new_decoder=NetFlow9Decoder,
    sequence_counts_records=False,
    exports_options=False,
)
CODECS_BY_NAME = {"ipfix": IPFIX, "netflow9": NETFLOW9}
"""Codecs by the value of the setting `protocol` of a collector."""

CODECS_BY_VERSION = {codec.version: codec for codec in (IPFIX, NETFLOW9)}
