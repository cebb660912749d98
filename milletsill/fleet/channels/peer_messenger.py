"""Messages about channels between gateways, and what their clocks read.

Times are whole tenths of a millisecond on this gateway's own clock.
"""

from __future__ import annotations

from collections.abc import Callable
from random import SystemRandom

from milletsill.fleet.channels.codec import encode_envelope
from milletsill.fleet.channels.record_pb2 import Ask, Clock, Envelope, Reply
from milletsill.fleet.peer_clocks import PeerClocks
from milletsill.fleet.transport import FleetTransport, MessageKind


class PeerMessenger:
    """Sends messages that may not arrive, each with what this gateway's clock reads.

    Attributes:
        clock_id: Drawn at each start: clocks of two starts have nothing in common.
        peer_clocks: What other gateways' clocks read, as far as is known.
    """

    def __init__(
        self, transport: FleetTransport, now: Callable[[], int], drift_permille: int
    ) -> None:
        self.transport = transport
        self.now = now
        self.clock_id = SystemRandom().getrandbits(64)
        self.peer_clocks = PeerClocks(drift_permille)

    def send_ask(self, member: str, ask: Ask) -> bool:
        """Send a command; False where it surely does not arrive."""
        envelope = Envelope(clock=self._clock(), ask=ask)
        return self.send(member, encode_envelope(envelope))

    def encode_reply(self, reply: Reply) -> bytes:
        """A reply as it is sent."""
        return encode_envelope(Envelope(clock=self._clock(), reply=reply))

    def send(self, member: str, body: bytes) -> bool:
        """Send an encoded message; False where it surely does not arrive."""
        return self.transport.send(member, MessageKind.CHANNEL, body)

    def observe_clock(self, member: str, envelope: Envelope) -> None:
        """Learn what a member's clock reads from its message."""
        if envelope.HasField("clock") and envelope.clock.IsInitialized():
            clock = envelope.clock
            self.peer_clocks.on_reading(member, clock.whose, clock.at, self.now())

    def _clock(self) -> Clock:
        return Clock(whose=self.clock_id, at=self.now())
