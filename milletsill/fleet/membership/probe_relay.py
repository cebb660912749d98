"""Probes that this gateway sends for others, as the relay of SWIM's indirect probe."""

from __future__ import annotations

from typing import NamedTuple

from milletsill.fleet.frames.messages import FleetMessage
from milletsill.fleet.membership.message_sender import MessageSender

MAX_RELAYED_PROBES = 1024  # unanswered; beyond that the oldest is dropped


class RelayedProbe(NamedTuple):
    """The requester of a probe, to whom its ack is sent, and the target."""

    requester_address: str
    requester_number: int
    target: str


class ProbeRelay:
    """The unanswered probes sent for other gateways, by locally assigned number."""

    def __init__(self, sender: MessageSender) -> None:
        self._sender = sender
        self._last_number = 0
        self.pending: dict[int, RelayedProbe] = {}

    def on_request(self, message: FleetMessage) -> None:
        """Probe a target for the sender of an indirect probe."""
        self._last_number += 1
        self.pending[self._last_number] = RelayedProbe(
            message.sender.address, message.probe_number, message.target
        )
        if len(self.pending) > MAX_RELAYED_PROBES:
            del self.pending[next(iter(self.pending))]
        self._sender.relay_probe(
            message.target, message.target_address, self._last_number
        )

    def on_ack(self, message: FleetMessage) -> None:
        """Send a target's ack on to the requester."""
        if not message.probe_number:
            return
        relayed = self.pending.pop(message.probe_number, None)
        if relayed is not None and relayed.target == message.target:
            self._sender.relay_ack(
                relayed.requester_address, relayed.requester_number, message.sender
            )
