"""Channel messages between gateways, which also carry clock readings.

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
    """Sends messages without a delivery guarantee, with a reading of this clock.

    Attributes:
        clock_id: Random at each start, because readings of a clock before and after a
            restart are not comparable.
        peer_clocks: Estimates of other gateways' clocks.
    """

    def __init__(
        self, transport: FleetTransport, now: Callable[[], int], drift_permille: int
    ) -> None:
        self.transport = transport
        self.now = now
        self.clock_id = SystemRandom().getrandbits(64)
        self.peer_clocks = PeerClocks(drift_permille)

    def send_ask(self, member: str, ask: Ask) -> bool:
        """Send a command; False if it certainly does not arrive."""
        envelope = Envelope(clock=self._clock(), ask=ask)
        return self.send(member, encode_envelope(envelope))

    def encode_reply(self, reply: Reply) -> bytes:
        """Encode a reply with a reading of this gateway's clock."""
        return encode_envelope(Envelope(clock=self._clock(), reply=reply))

    def send(self, member: str, body: bytes) -> bool:
        """Send an encoded message; False if it certainly does not arrive."""
        return self.transport.send(member, MessageKind.CHANNEL, body)

    def observe_clock(self, member: str, envelope: Envelope) -> None:
        """Update the estimate of a member's clock from its message."""
        if envelope.HasField("clock") and envelope.clock.IsInitialized():
            clock = envelope.clock
            self.peer_clocks.on_reading(member, clock.whose, clock.at, self.now())

    def _clock(self) -> Clock:
        return Clock(whose=self.clock_id, at=self.now())
