"""Frames of the planner's protocol: u32 length, big-endian, and one protobuf Frame; to and from what decide.py speaks of."""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from typing import Any

from google.protobuf.message import DecodeError

from milletsill.errors import MalformedInput
from milletsill.planner.plan_pb2 import Frame, Given, Piece, Wish
from milletsill.planner.quota_terms import Ask, Grant

LENGTH, MOST_FRAME, VERSION = Struct(">I"), 1 << 20, 1
WHATS = ("limit", "reserve", "cold")


class MalformedPlannerFrame(MalformedInput):
    """Octets between a gateway and its planner that are no frame."""

    remedy = "see that planner.address leads to a planner, and that both run versions that go together"


class Frames:
    """Bytes of a connection as frames; never holds more than one frame's bytes and what came with them."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> Iterator[Any]:
        """The frames that are whole now."""
        self.held += data
        at = 0
        while len(self.held) - at >= LENGTH.size:
            size = LENGTH.unpack_from(self.held, at)[0]
            if size > MOST_FRAME:
                raise MalformedPlannerFrame(
                    f"a frame of {size} bytes, {MOST_FRAME} at most"
                )
            if len(self.held) - at - LENGTH.size < size:
                break
            at += LENGTH.size
            yield decoded(bytes(self.held[at : at + size]))
            at += size
        del self.held[:at]


def decoded(data: bytes) -> Any:
    try:
        frame = Frame.FromString(data)
    except DecodeError:
        raise MalformedPlannerFrame("a frame that is no protobuf of ours") from None
    if frame.WhichOneof("what") is None or not frame.IsInitialized():
        raise MalformedPlannerFrame("a frame with nothing in it that we know")
    return frame


def encoded(**what: Any) -> bytes:
    """One frame: `encoded(welcome=Welcome(...))`."""
    data = Frame(**what).SerializeToString()
    return LENGTH.pack(len(data)) + data


def put_ask(ask: Ask, asked: float = 0.0) -> Wish:
    return Wish(
        epoch=ask.epoch,
        what=ask.thing[0],
        id=ask.thing[1],
        want=ask.want,
        capital=ask.capital,
        lent=[Piece(part=part, heard=heard) for part, heard in ask.lent],
        sent=ask.sent,
        asked=min(int(asked * 1000), (1 << 32) - 1),
    )


def get_ask(edge: str, incarnation: int, wish: Any) -> Ask:
    if wish.what not in WHATS:
        raise MalformedPlannerFrame(
            f"an ask for {wish.what[:20]!r}, not one of {', '.join(WHATS)}"
        )
    return Ask(
        edge,
        incarnation,
        wish.epoch,
        (wish.what, wish.id),
        wish.want,
        wish.capital,
        tuple((each.part, each.heard) for each in wish.lent),
        wish.sent,
    )


def put_grant(grant: Grant) -> Given:
    return Given(
        epoch=grant.epoch,
        incarnation=grant.incarnation,
        what=grant.thing[0],
        id=grant.thing[1],
        sequence=grant.sequence,
        granted=grant.granted,
        lasts=grant.lasts,
        lend=grant.lend,
        asked=grant.asked,
        told=grant.told,
        again=grant.again,
    )


def get_grant(given: Any) -> Grant:
    if given.what not in WHATS:
        raise MalformedPlannerFrame(
            f"a grant of {given.what[:20]!r}, not one of {', '.join(WHATS)}"
        )
    return Grant(
        given.epoch,
        given.incarnation,
        (given.what, given.id),
        given.sequence,
        given.granted,
        given.lasts,
        given.lend,
        given.asked,
        given.told,
        given.again,
    )
