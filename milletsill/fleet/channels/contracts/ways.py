"""Words on their way to another gateway that keeps the channel, and the answers back. Nothing told needs to arrive: a word is
told again until it is answered or its client's patience is over; the one who hears it twice answers once. All bounded."""
from __future__ import annotations

from collections import OrderedDict
from typing import Any, Callable

from milletsill.files import channels as wire
from milletsill.files import extensions
from milletsill.files.extensions import bare
from milletsill.files.wire import Malformed
from milletsill.fleet.channels.contracts.codec import put_envelope, read_envelope
from milletsill.fleet.channels.contracts.record_pb2 import Envelope, Reply
from milletsill.fleet.channels.contracts.words import Elsewhere, Look, Open, Word, put_word, read_word
from milletsill.fleet.plane import Kind, Plane

MOST_FORWARDS, MOST_HEARD = 20_000, 20_000  # words out, and words of others that are on hand or were answered
SILENT_CALLS = 2     # calls without a sign of life until the keeper counts as away
MOST_HOPS = 3
MARGIN = 100         # tenths of a millisecond that the way back may take


class Forward:
    """A word that another gateway has, or may have."""

    __slots__ = ("id", "word", "to", "told", "heard", "hops", "alarm")

    def __init__(self, id: int, word: Word, to: str, now: int, hops: int) -> None:
        self.id, self.word, self.to, self.hops = id, word, to, hops
        self.told = self.heard = now
        self.alarm: Any = None


class Ways:
    """`own` handles another gateway's word here, `keep` one of ours that this gateway is to keep itself; `call` is how long a word of life may take, in tenths of a millisecond. `volume` finds a
    volume by name."""

    def __init__(self, reactor: Any, now: Callable[[], int], plane: Plane, call: int, own: Callable[[Word, str], None],
                 keep: Callable[[Word], None], volume: Callable[[str], Any], count: Callable[[str], None]) -> None:
        self.reactor, self.now, self.plane, self.call = reactor, now, plane, call
        self.own, self.keep, self.volume, self.count = own, keep, volume, count
        self.out: dict[int, Forward] = {}
        self.ids = 0
        # Words of others: None while they are on hand, then the reply.
        self.others: OrderedDict[tuple[str, int, int], bytes | None] = OrderedDict()

    # Ours, to others.

    def forward(self, word: Word, to: str, hops: int = 0) -> None:
        """Tell it to the one who keeps the channel; `own` gets it where that one is away."""
        if hops >= MOST_HOPS or len(self.out) >= MOST_FORWARDS:
            return word.answered(wire.put_sign(0, "declined", "declined: nobody found who keeps the channel", None, self.call))
        self.ids += 1
        forward = self.out[self.ids] = Forward(self.ids, word, to, self.now(), hops)
        self.count("forwarded")
        self.tell(forward)

    def tell(self, forward: Forward) -> None:
        now, word = self.now(), forward.word
        left = word.ends - MARGIN - now
        if left <= 0:
            return self.over(forward)
        ask = put_word(word, forward.id, max(left // 10, 1), forward.hops)
        if not self.plane.tell(forward.to, Kind.CHANNEL, put_envelope(Envelope(ask=ask))):
            return self.away(forward)
        forward.told = now
        forward.alarm = self.reactor.callLater(min(self.call, left) / 10_000, self.again, forward)

    def again(self, forward: Forward) -> None:
        """No answer yet: once more, unless there was no sign of life."""
        if forward.id not in self.out:
            return
        if self.now() - forward.heard >= SILENT_CALLS * self.call:
            return self.away(forward)
        self.tell(forward)

    def away(self, forward: Forward) -> None:
        """Its keeper cannot be reached: this gateway tries to be it; the registers say whether it may."""
        self.drop(forward)
        self.count("keeper_away")
        forward.word.away += (forward.to,)
        self.keep(forward.word)

    def over(self, forward: Forward) -> None:
        """The client's patience ends: what another gateway may have done with it nobody knows here."""
        self.drop(forward)
        if isinstance(forward.word.what, (Open, Look)):
            forward.word.answered(wire.put_sign(0, "declined", "declined: the keeper did not answer in time", None, self.call))
        else:
            forward.word.answered(wire.put_sign(0, "aborted", "aborted: its keeper did not answer in time"))

    def drop(self, forward: Forward) -> None:
        self.out.pop(forward.id, None)
        if forward.alarm is not None and forward.alarm.active():
            forward.alarm.cancel()

    def reply(self, member: str, reply: Reply) -> None:
        forward = self.out.get(reply.id)
        if forward is None or forward.to != member:
            return
        forward.heard = self.now()
        if reply.held:
            return
        self.drop(forward)
        if reply.HasField("keeper"):
            if reply.keeper == self.plane.name:
                return self.keep(forward.word)
            if reply.keeper in forward.word.away:
                return forward.word.answered(Elsewhere(reply.keeper, reply.pause))
            return self.forward(forward.word, reply.keeper, forward.hops + 1)
        try:
            answer = extensions.dressed(reply.answer, 0)
        except Malformed:
            answer = wire.put_sign(0, "aborted", "aborted: the keeper's answer made no sense")
        forward.word.answered(answer)

    # Theirs, to us.

    def heard(self, member: str, run: int, body: bytes) -> None:
        """What another gateway says; what makes no sense is dropped, its teller tries elsewhere in time."""
        envelope = read_envelope(body)
        if envelope is None:
            return
        if envelope.HasField("reply") and envelope.reply.IsInitialized():
            return self.reply(member, envelope.reply)
        if not envelope.HasField("ask") or not envelope.ask.IsInitialized():
            return
        ask = envelope.ask
        key = (member, run, ask.id)
        if key in self.others:
            return self.say(member, self.others[key] or self.still(ask.id))
        volume = self.volume(ask.volume)
        if volume is None:
            return
        try:
            word = read_word(ask, volume, f"{member}.{run}.{ask.id}", self.now(), lambda packet: self.answered(key, packet))
        except Malformed:
            return
        self.others[key] = None
        while len(self.others) > MOST_HEARD:
            self.others.popitem(last=False)
        self.say(member, self.still(ask.id))
        self.own(word, member)

    def answered(self, key: tuple[str, int, int], packet: Any) -> None:
        member, _, id = key
        envelope = Envelope(reply=Reply(id=id, keeper=packet.who, pause=packet.pause) if isinstance(packet, Elsewhere)
                            else Reply(id=id, answer=bare(packet)))
        body = put_envelope(envelope)
        if key in self.others:
            self.others[key] = body
        self.say(member, body)

    def still(self, id: int) -> bytes:
        return put_envelope(Envelope(reply=Reply(id=id, held=True)))

    def say(self, member: str, body: bytes) -> None:
        self.plane.tell(member, Kind.CHANNEL, body)
