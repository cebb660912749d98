"""Encodes report deltas and versions as frames of kind HEALTH, and decodes them.

A frame is a protobuf message of bounded length. It carries ages instead of times, so
that clocks of two gateways are never compared. Values are sent as fixed-point integers.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from google.protobuf.message import DecodeError

from milletsill.fleet.health.health_pb2 import Difference, Frame, Known
from milletsill.fleet.health.health_pb2 import Word as ObservationFields
from milletsill.fleet.health.report_store import (
    MalformedHealthReportError,
    NodeObservation,
    ReportDelta,
    ReportVersion,
)

FORMAT_VERSION = 1
MAX_FRAME_BYTES = 60_000  # a frame exceeds this only with a single, longer delta
MAX_DELTA_BYTES = 4 * MAX_FRAME_BYTES  # a longer delta is not sent
MAX_RECEIVED_BYTES = 5 * MAX_FRAME_BYTES
MAX_OBSERVATIONS = 4096  # in one delta
FIELD_OVERHEAD_BYTES = 4  # bound on tag and length of a delta or version in a frame

TICKS_PER_MS = 10
MAX_AGE_MS = 600_000
ANSWERS_SCALE = 16
MAX_SCALED_ANSWERS = 16_000
SHARE_SCALE = 100
PACE_SCALE = 16
MAX_SCALED_PACE = 16 * PACE_SCALE


def encode_delta(delta: ReportDelta, now: int) -> Difference:
    """Return the protobuf message for a delta, with ages relative to `now`."""
    message = Difference(
        origin=delta.origin,
        run=delta.incarnation,
        base=delta.base,
        sequence=delta.sequence,
    )
    for node, observation in delta.observations.items():
        age = max((now - observation.observed_at) // TICKS_PER_MS, 0)
        message.word.add(
            box=node,
            back=delta.sequence - observation.sequence,
            age=min(age, MAX_AGE_MS),
            seen=round(observation.answers * ANSWERS_SCALE),
            lost=round(observation.lost_share * SHARE_SCALE),
            waste=round(observation.wasted_share * SHARE_SCALE),
            paced=round(observation.paced_answers * ANSWERS_SCALE),
            pace=round(observation.relative_pace * PACE_SCALE),
        )
    return message


def decode_delta(message: Difference, now: int) -> ReportDelta:
    """Return the delta in a message, with ages converted to local times.

    Values are clamped to their bounds, so that no origin counts for more than one vote.

    Raises:
        MalformedHealthReportError: The sequence numbers contradict each other, or the
            message has too many observations.
    """
    if len(message.word) > MAX_OBSERVATIONS or message.base > message.sequence:
        raise MalformedHealthReportError(
            f"a delta of {len(message.word)} observations (at most {MAX_OBSERVATIONS}) "
            f"from sequence {message.base} to {message.sequence}",
            f"origin {message.origin:016x}",
        )
    observations = {}
    for fields in message.word:
        if fields.back > message.sequence:
            raise MalformedHealthReportError(
                f"an observation {fields.back} sequence numbers before "
                f"{message.sequence}, which is less than 0",
                f"origin {message.origin:016x}",
            )
        observations[fields.box] = _decode_observation(fields, message.sequence, now)
    return ReportDelta(
        message.origin, message.run, message.base, message.sequence, observations
    )


def _decode_observation(
    fields: ObservationFields, sequence: int, now: int
) -> NodeObservation:
    return NodeObservation(
        sequence - fields.back,
        now - min(fields.age, MAX_AGE_MS) * TICKS_PER_MS,
        min(fields.seen, MAX_SCALED_ANSWERS) / ANSWERS_SCALE,
        min(fields.lost, SHARE_SCALE) / SHARE_SCALE,
        min(fields.waste, SHARE_SCALE) / SHARE_SCALE,
        min(fields.paced, MAX_SCALED_ANSWERS) / ANSWERS_SCALE,
        _clamped_pace(fields.pace) / PACE_SCALE,
    )


def _clamped_pace(scaled_pace: int) -> int:
    return max(min(scaled_pace, MAX_SCALED_PACE), -MAX_SCALED_PACE)


def quantize(observation: NodeObservation) -> NodeObservation:
    """Round an observation to the precision of the wire format.

    The origin stores the rounded values, so that they equal those at other gateways.
    """
    return NodeObservation(
        observation.sequence,
        observation.observed_at,
        min(round(observation.answers * ANSWERS_SCALE), MAX_SCALED_ANSWERS)
        / ANSWERS_SCALE,
        round(observation.lost_share * SHARE_SCALE) / SHARE_SCALE,
        round(observation.wasted_share * SHARE_SCALE) / SHARE_SCALE,
        min(round(observation.paced_answers * ANSWERS_SCALE), MAX_SCALED_ANSWERS)
        / ANSWERS_SCALE,
        _clamped_pace(round(observation.relative_pace * PACE_SCALE)) / PACE_SCALE,
    )


def encode_frames(
    deltas: Iterable[ReportDelta], versions: Iterable[ReportVersion], now: int
) -> Iterator[bytes]:
    """Yield frames with deltas and versions.

    A delta is never split, since a receiver would take a part for the whole. A delta
    longer than MAX_FRAME_BYTES has a frame to itself; one longer than MAX_DELTA_BYTES
    is not sent.
    """
    messages: list[Difference | Known] = [encode_delta(delta, now) for delta in deltas]
    for version in versions:
        messages.append(
            Known(
                origin=version.origin,
                run=version.incarnation,
                sequence=version.sequence,
            )
        )
    frame = Frame(version=FORMAT_VERSION)
    size = 0
    for message in messages:
        length = message.ByteSize() + FIELD_OVERHEAD_BYTES
        if size + length > MAX_FRAME_BYTES and size:
            yield frame.SerializeToString()
            frame = Frame(version=FORMAT_VERSION)
            size = 0
        if length > MAX_DELTA_BYTES:
            continue
        if isinstance(message, Difference):
            frame.difference.append(message)
        else:
            frame.known.append(message)
        size += length
    if size:
        yield frame.SerializeToString()


def decode_frame(body: bytes) -> Frame:
    """Parse a frame; fields of later versions are ignored.

    Raises:
        MalformedHealthReportError: The frame is too long or not valid protobuf.
    """
    if len(body) > MAX_RECEIVED_BYTES:
        raise MalformedHealthReportError(
            f"a frame of {len(body)} bytes, the maximum is {MAX_RECEIVED_BYTES}"
        )
    try:
        return Frame.FromString(body)
    except DecodeError as error:
        raise MalformedHealthReportError(
            "a frame that is not a valid protobuf health report"
        ) from error


def decode_versions(frame: Frame) -> dict[int, ReportVersion]:
    """Return the report versions that the sender of a frame has, by origin."""
    return {
        known.origin: ReportVersion(known.origin, known.run, known.sequence)
        for known in frame.known
    }
