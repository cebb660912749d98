"""Encoding of a channel's stored record and of the messages between gateways.

All lengths are bounded. Field names of `record.proto` differ from the names in the
code; this module and `commands` translate between them.
"""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf.internal.containers import RepeatedCompositeFieldContainer
from google.protobuf.message import DecodeError

from milletsill.fleet.channels.access_ranges import (
    LAST_BLOCK,
    AccessRange,
    AccessRanges,
)
from milletsill.fleet.channels.channel_sequencer import ChannelSequencer
from milletsill.fleet.channels.contracts import (
    ChannelOrder,
    ContractChange,
    IndeterminatePolicy,
    OrderingContract,
)
from milletsill.fleet.channels.errors import ChannelRecordUnreadableError
from milletsill.fleet.channels.limits import (
    MAX_NUMBERS_AHEAD,
    MAX_PINNED,
    MAX_REMEMBERED,
)
from milletsill.fleet.channels.number_states import NumberState
from milletsill.fleet.channels.record_pb2 import (
    ContractTerms,
    Envelope,
    Out,
    ReachOf,
    Record,
)
from milletsill.fleet.channels.tracked_numbers import (
    UNKNOWN_RELEASE_TIME,
    CompletedNumber,
    OpenNumber,
)

RECORD_FORMAT = 1
MAX_RECORD_BYTES = 16_384
MAX_RELEASED = 1024
"""Limit of the numbers in `out` of a record that is accepted."""

ENVELOPE_MARK = b"C"
"""First byte of an envelope; it differs from that of acceptor messages."""


def encode_record(channel: ChannelSequencer, now: int) -> bytes:
    """Return the record of a channel's state at time `now`."""
    record = Record(
        format=RECORD_FORMAT,
        claim=channel.claim,
        token=channel.claim_token,
        floor=channel.lowest_open,
        top=channel.highest_released,
        batch=channel.batch,
        batch_last=channel.batch_end,
    )
    _put_contract(record.contract, channel.contract, channel.chosen_by_client)
    change = channel.next_contract
    if change is not None:
        record.coming_first = change.first_number
        _put_contract(record.coming, change.contract, change.chosen_by_client)
    if channel.closed:
        bits = sum(1 << (number - channel.lowest_open) for number in channel.closed)
        record.closed = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
    for number, open_number in channel.open_numbers.items():
        if open_number.state is not NumberState.WAITING:
            _put_released(record, number, open_number, now)
    for number, completed in channel.completed.items():
        record.remembered.add(
            number=number,
            how=completed.outcome,
            code=completed.status_code,
            digest=completed.digest,
        )
    for number, generation in channel.key_generations.items():
        record.turn.add(number=number, turn=generation)
    for number, ranges in channel.pinned_ranges.items():
        _put_ranges(record.pinned.add(number=number).reach, ranges)
    data: bytes = record.SerializeToString()
    return data


def decode_record(
    data: bytes, quarantine: int, now: int, age: int | None, lease_end: int = 0
) -> ChannelSequencer:
    """Return the channel that a new owner reads from a record.

    The outcome of each number in flight becomes indeterminate.

    Args:
        data: The encoded record.
        quarantine: How long an attempt may run after its deadline.
        now: The time on this gateway's clock.
        age: Upper bound of the time since the record was written; None if unknown.
        lease_end: When the last lease under which this gateway released numbers ends.

    Raises:
        ChannelRecordUnreadableError: The record is corrupt, or a later version of
            milletsill wrote it.
    """
    record = Record()
    try:
        record.ParseFromString(data)
        channel = ChannelSequencer(
            _contract_from(record.contract), quarantine, record.contract.named
        )
        if record.HasField("coming"):
            channel.next_contract = ContractChange(
                record.coming_first,
                _contract_from(record.coming),
                record.coming.named,
            )
    except (DecodeError, ValueError) as error:
        raise ChannelRecordUnreadableError(
            f"cannot decode a channel record of {len(data)} bytes: {error}"
        ) from error
    if record.format != RECORD_FORMAT or _exceeds_bounds(record):
        raise ChannelRecordUnreadableError(
            f"channel record of {len(data)} bytes: expected format {RECORD_FORMAT} "
            f"within the size limits, found format {record.format}"
        )
    channel.claim = record.claim
    channel.claim_token = record.token
    channel.lowest_open = record.floor
    channel.highest_released = record.top
    channel.batch = record.batch
    channel.batch_end = record.batch_last
    bits = int.from_bytes(record.closed, "little")
    channel.closed = {
        channel.lowest_open + place
        for place in range(bits.bit_length())
        if bits >> place & 1
    }
    for out in record.out:
        channel.open_numbers[out.number] = _open_number_from(out, now, age)
    for each in record.remembered:
        channel.completed[each.number] = CompletedNumber(
            each.how, each.code, each.digest
        )
    channel.key_generations = {each.number: each.turn for each in record.turn}
    channel.pinned_ranges = {
        each.number: _ranges_from(each.reach) for each in record.pinned
    }
    channel.recover(max(now, lease_end))
    return channel


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode a message to another gateway."""
    data: bytes = ENVELOPE_MARK + envelope.SerializeToString()
    return data


def decode_envelope(body: bytes) -> Envelope | None:
    """Decode a message of another gateway; None if it is not a valid envelope."""
    if body[:1] != ENVELOPE_MARK:
        return None
    envelope = Envelope()
    try:
        envelope.ParseFromString(body[1:])
    except DecodeError:
        return None
    return envelope


def _exceeds_bounds(record: Record) -> bool:
    return bool(
        len(record.remembered) > MAX_REMEMBERED
        or len(record.out) > MAX_RELEASED
        or len(record.closed) * 8 > MAX_NUMBERS_AHEAD + 8
        or len(record.pinned) > MAX_PINNED
        or len(record.turn) > MAX_NUMBERS_AHEAD
    )


def _put_contract(
    terms: ContractTerms, contract: OrderingContract, chosen_by_client: bool
) -> None:
    terms.name = contract.name
    terms.version = contract.version
    terms.order = contract.order.value
    terms.unsure = contract.indeterminate_policy.value
    terms.silent = contract.idle_retention
    terms.most_waiting = contract.max_waiting
    terms.hole = contract.gap_timeout
    terms.named = chosen_by_client


def _contract_from(terms: ContractTerms) -> OrderingContract:
    """Raises ValueError for an order or a policy that this version does not know."""
    return OrderingContract(
        terms.name,
        terms.version,
        ChannelOrder(terms.order),
        IndeterminatePolicy(terms.unsure),
        terms.silent,
        terms.most_waiting,
        terms.hole,
    )


def _put_released(
    record: Record, number: int, open_number: OpenNumber, now: int
) -> None:
    out = record.out.add(
        number=number,
        digest=open_number.digest,
        batch=open_number.batch,
        last=open_number.ends_batch,
    )
    _put_ranges(out.reach, open_number.ranges)
    if open_number.first_released_at != UNKNOWN_RELEASE_TIME:
        out.since = max(now - open_number.first_released_at, 0)


def _open_number_from(out: Out, now: int, age: int | None) -> OpenNumber:
    first_released_at = UNKNOWN_RELEASE_TIME
    if age is not None and out.HasField("since"):
        first_released_at = now - age - out.since
    return OpenNumber(
        NumberState.INDETERMINATE,
        out.digest,
        _ranges_from(out.reach),
        out.batch,
        out.last,
        first_released_at=first_released_at,
    )


def _put_ranges(
    repeated: RepeatedCompositeFieldContainer[ReachOf], ranges: AccessRanges
) -> None:
    for each in ranges:
        if each.last == LAST_BLOCK and each.first == 0:
            repeated.add(object=each.object)
        else:
            repeated.add(object=each.object, first=each.first, last=each.last)


def _ranges_from(repeated: Iterable[ReachOf]) -> AccessRanges:
    return tuple(
        AccessRange(
            each.object, each.first, each.last if each.HasField("last") else LAST_BLOCK
        )
        for each in repeated
    )
