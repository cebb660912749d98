"""Words on their way to another gateway that keeps the channel, and the answers back. Nothing told needs to arrive: a word is
told again until it is answered or its client's patience is over; the one who hears it twice answers once. All bounded.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from random import SystemRandom
from typing import Any

from milletsill.fleet.channels.codec import put_envelope, read_envelope
from milletsill.fleet.channels.commands import (
    Elsewhere,
    Look,
    Open,
    Say,
    Transfer,
    Word,
    put_word,
    read_word,
)
from milletsill.fleet.channels.record_pb2 import Ask, Clock, Envelope, Reply
from milletsill.fleet.peer_clocks import PeerClocks
from milletsill.fleet.transport import MessageKind, FleetTransport
from milletsill.sftp import channel_extensions as wire
from milletsill.sftp import extensions
from milletsill.sftp.extensions import bare
from milletsill.sftp.wire import MalformedInput

MOST_FORWARDS, MOST_HEARD = (
    20_000,
    20_000,
)  # words out, and words of others that are on hand or were answered
MOST_ON_HAND = 5000  # words of others that are not answered yet
SILENT_CALLS = 2  # calls without a sign of life until the keeper counts as away
MOST_HOPS = 3
MOST_AT_ONCE = 3  # times that a word is told once more at once, as the other asked; then at the next call
AWAY = 30_000  # tenths of a millisecond for which one that could not be reached is not asked again, unless it says something
MARGIN = 100  # tenths of a millisecond that the way back may take


class Forward:
    """A word that another gateway has, or may have."""

    __slots__ = ("id", "word", "to", "heard", "hops", "alarm", "held", "asked")

    def __init__(self, id: int, word: Word, to: str, now: int, hops: int) -> None:
        self.id, self.word, self.to, self.hops = id, word, to, hops
        self.heard = now
        self.alarm: Any = None
        self.held = False  # the other has said that it is on it
        self.asked = 0  # how often it asked to be told once more


def doubted(answered: Callable[[Any], None]) -> Callable[[Any], None]:
    """Guards against an untrue decline: a keeper that fell silent may have done the word, or do it yet. Harm: a client that could
    have been told that nothing was done asks again.
    """

    def answer(packet: Any) -> None:
        sign = wire.read_sign(getattr(packet, "language", ""))
        if sign is not None and sign.word in ("declined", "claim-lost"):
            packet = wire.put_sign(
                0, "aborted", "aborted: a keeper that fell silent may have done it"
            )
        answered(packet)

    return answer


class Ways:
    """`own` handles another gateway's word here, `keep` one of ours that this gateway is to keep itself; `call` is how long a sign of
    life may take, in tenths of a millisecond. `volume` finds a volume by name; `drift` as the registers have it.
    """

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        plane: FleetTransport,
        call: int,
        own: Callable[[Word, str], None],
        keep: Callable[[Word], None],
        volume: Callable[[str], Any],
        count: Callable[[str], None],
        drift: int = 5,
    ) -> None:
        self.reactor, self.now, self.plane, self.call = reactor, now, plane, call
        self.whose, self.clocks = SystemRandom().getrandbits(64), PeerClocks(drift)
        self.own, self.keep, self.volume, self.count = own, keep, volume, count
        self.out: dict[int, Forward] = {}
        self.silent: dict[str, int] = {}  # since when a member could not be reached
        # Guards against a gateway that starts again under a run that it had before (its state_dir lost, or an older copy): with the
        # same numbers again it was told the remembered replies of other words. Harm: none, 63 bits of chance.
        self.ids = SystemRandom().getrandbits(62)
        self.on_hand = 0
        # Words of others: None while they are on hand, then the reply.
        self.others: OrderedDict[tuple[str, int, int], bytes | None] = OrderedDict()

    # Ours, to others.

    def forward(self, word: Word, to: str, hops: int = 0) -> None:
        """Tell it to the one who keeps the channel; `own` gets it where that one is away."""
        if hops >= MOST_HOPS or len(self.out) >= MOST_FORWARDS:
            return word.answered(
                wire.put_sign(
                    0,
                    "declined",
                    "declined: nobody found who keeps the channel",
                    None,
                    self.call,
                )
            )
        self.ids += 1
        forward = self.out[self.ids] = Forward(self.ids, word, to, self.now(), hops)
        self.count("forwarded")
        self.tell(forward)

    def reachable(self, member: str) -> bool:
        """Guards against a client that waits again and again for one that is gone, while the view still has it. Harm: a keeper
        that was cut off for a moment is passed over for a while; the registers say who may keep.
        """
        since = self.silent.get(member)
        if since is not None and self.now() - since >= AWAY:
            del self.silent[member]
        return member not in self.silent

    def tell(self, forward: Forward) -> None:
        now, word = self.now(), forward.word
        left = word.ends - MARGIN - now
        if left <= 0:
            return self.over(forward)
        left_ms = max(left // 10, 1)
        ask = (
            Ask(id=forward.id, volume="", channel="", left=left_ms)
            if forward.held  # it has the rest
            else put_word(word, forward.id, left_ms, forward.hops)
        )
        there = self.clocks.to_remote(forward.to, word.ends - MARGIN, now)
        if there is not None:
            ask.until.whose, ask.until.at = there.clock_id, max(there.reading, 0)
        if not self.plane.send(forward.to, MessageKind.CHANNEL, self.said(ask=ask)):
            return self.away(forward)
        forward.alarm = self.reactor.callLater(
            min(self.call, left) / 10_000, self.again, forward
        )

    def again(self, forward: Forward) -> None:
        """No answer yet: once more, unless there was no sign of life."""
        if forward.id not in self.out:
            return None
        if self.now() - forward.heard >= SILENT_CALLS * self.call:
            return self.away(forward)
        self.tell(forward)

    def said(self, **what: Any) -> bytes:
        """What leaves for another gateway, with what this one's clock reads."""
        return put_envelope(
            Envelope(clock=Clock(whose=self.whose, at=self.now()), **what)
        )

    def asked_again(self, forward: Forward) -> None:
        """It was not taken: the other could not tell until when. Its clock has come with that."""
        forward.asked += 1
        if (
            forward.asked <= MOST_AT_ONCE
            and forward.alarm is not None
            and forward.alarm.active()
        ):
            forward.alarm.cancel()
            self.tell(forward)

    def away(self, forward: Forward) -> None:
        """Its keeper cannot be reached: this gateway tries to be it; the registers say whether it may."""
        self.drop(forward)
        self.count("keeper_away")
        word = forward.word
        word.away += (forward.to,)
        self.silent[forward.to] = self.now()
        if forward.alarm is not None and isinstance(
            word.what, (Transfer, Say)
        ):  # it was told
            word.answered = doubted(word.answered)
        self.keep(word)

    def over(self, forward: Forward) -> None:
        """The client's patience ends: what another gateway may have done with it nobody knows here."""
        self.drop(forward)
        if isinstance(forward.word.what, (Open, Look)):
            forward.word.answered(
                wire.put_sign(
                    0,
                    "declined",
                    "declined: the keeper did not answer in time",
                    None,
                    self.call,
                )
            )
        else:
            forward.word.answered(
                wire.put_sign(
                    0, "aborted", "aborted: its keeper did not answer in time"
                )
            )

    def drop(self, forward: Forward) -> None:
        self.out.pop(forward.id, None)
        if forward.alarm is not None and forward.alarm.active():
            forward.alarm.cancel()

    def reply(self, member: str, reply: Reply) -> None:
        forward = self.out.get(reply.id)
        if forward is None or forward.to != member:
            return None
        forward.heard = self.now()
        if reply.held:
            forward.held = True
            return None
        if reply.again:
            return self.asked_again(forward)
        self.drop(forward)
        if reply.HasField("keeper"):
            if reply.keeper == self.plane.name:
                return self.keep(forward.word)
            if reply.keeper in forward.word.away:
                return forward.word.answered(Elsewhere(reply.keeper, reply.pause))
            return self.forward(forward.word, reply.keeper, forward.hops + 1)
        try:
            answer = extensions.dressed(reply.answer, 0)
        except MalformedInput:
            answer = wire.put_sign(
                0, "aborted", "aborted: the keeper's answer made no sense"
            )
        forward.word.answered(answer)

    # Theirs, to us.

    def heard(self, member: str, run: int, body: bytes) -> None:
        """What another gateway says; what makes no sense is dropped, its teller tries elsewhere in time."""
        envelope = read_envelope(body)
        self.silent.pop(member, None)
        if envelope is None:
            return None
        if envelope.HasField("clock") and envelope.clock.IsInitialized():
            self.clocks.on_reading(
                member, envelope.clock.whose, envelope.clock.at, self.now()
            )
        if envelope.HasField("reply") and envelope.reply.IsInitialized():
            return self.reply(member, envelope.reply)
        if not envelope.HasField("ask") or not envelope.ask.IsInitialized():
            return None
        ask = envelope.ask
        key = (member, run, ask.id)
        if key in self.others:
            return self.say(member, self.others[key] or self.still(ask.id))
        volume = self.volume(ask.volume)
        if volume is None:
            return None
        ends = self.ends_of(envelope)
        if ends is None:
            return self.say(member, self.said(reply=Reply(id=ask.id, again=True)))
        try:
            word = read_word(
                ask,
                volume,
                f"{member}.{run}.{ask.id}",
                ends,
                lambda packet: self.answered(key, packet),
            )
        except MalformedInput:
            return None
        if self.on_hand >= MOST_ON_HAND:
            return self.say(
                member,
                self.said(
                    reply=Reply(
                        id=ask.id,
                        answer=bare(
                            wire.put_sign(
                                0,
                                "declined",
                                "declined: its keeper has all the words that it may",
                                None,
                                self.call,
                            )
                        ),
                    )
                ),
            )
        self.on_hand += 1
        self.others[key] = None
        while len(self.others) > MOST_HEARD:
            self.others.popitem(last=False)
        self.say(member, self.still(ask.id))
        self.own(word, member)

    def ends_of(self, envelope: Envelope) -> int | None:
        """When another gateway's word is over, on this clock; None where nobody can tell. Guards rule 1 against a word that lay in a
        cut network, or unread while this process stood: what its client still waited when it was told says nothing of now. Harm: a
        round trip more for the first word in a while between two gateways. One of an earlier version tells no clock: its words count
        from when they are read, as they did.
        """
        ask, left = envelope.ask, self.now() + envelope.ask.left * 10
        if (
            ask.HasField("until")
            and ask.until.IsInitialized()
            and ask.until.whose == self.whose
        ):
            return min(ask.until.at, left)
        return None if envelope.HasField("clock") else left

    def answered(self, key: tuple[str, int, int], packet: Any) -> None:
        self.on_hand -= 1
        member, _, id = key
        body = self.said(
            reply=Reply(id=id, keeper=packet.who, pause=packet.pause)
            if isinstance(packet, Elsewhere)
            else Reply(id=id, answer=bare(packet))
        )
        if key in self.others:
            self.others[key] = body
        self.say(member, body)

    def still(self, id: int) -> bytes:
        return self.said(reply=Reply(id=id, held=True))

    def say(self, member: str, body: bytes) -> None:
        self.plane.send(member, MessageKind.CHANNEL, body)
