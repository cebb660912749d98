"""The control line of the stand-in network, on loopback."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineOnlyReceiver

from milletsill.lab.network_faults import NETWORK_FAULTS, network_fault
from milletsill.lab.network_relay import NetworkRelay

MAX_ERROR = 200
"""Characters of an error that are told."""


@dataclass(frozen=True, slots=True)
class ControlledFault:
    """A fault as a control line states it; it begins at once."""

    fields: dict[str, Any]
    what: str
    on: tuple[int, ...] = ()
    part: float = 0.2
    at_s: float = 0.0
    for_s: float = 5.0
    size: float = 0.0
    extra: float = 0.0

    def HasField(self, field: str) -> bool:  # noqa: N802
        """Return whether the line gives a field."""
        return field in self.fields


def controlled_fault(fields: dict[str, Any]) -> ControlledFault:
    """Return the fault that a control line states.

    Raises:
        TypeError: A field is of another type.
    """
    names = ("what", "on", "part", "for_s", "size", "extra")
    return ControlledFault(
        fields, **{name: fields[name] for name in names if name in fields}
    )


class ControlConnection(LineOnlyReceiver):
    """One order a line, answered by a line.

    JSON with a Trouble's fields, or `{"what": "heal"}`, `{"what": "counts"}`.
    """

    delimiter = b"\n"
    MAX_LENGTH = 4096

    def __init__(self, relay: NetworkRelay) -> None:
        self.relay = relay

    def lineReceived(self, line: bytes) -> None:
        """Do an order and answer it; what is wrong with it is told."""
        try:
            answer = self.do(json.loads(line))
        except (ValueError, TypeError, KeyError) as error:
            answer = {"error": " ".join(str(error).split())[:MAX_ERROR]}
        self.sendLine(json.dumps(answer).encode())  # type: ignore[no-untyped-call]

    def do(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Do an order; return the faults that hold, and the counts."""
        what = fields["what"]
        relay = self.relay
        if what == "heal":
            relay.heal()
        elif what in NETWORK_FAULTS:
            fault = network_fault(
                controlled_fault(fields),
                time.monotonic(),
                relay.gateway_count,
                relay.random,
            )
            relay.begin(fault)
        elif what != "counts":
            kinds = ", ".join(NETWORK_FAULTS)
            raise ValueError(f"{what!r} is not heal, counts, {kinds}")
        return {"faults": [fault.kind for fault in relay.faults], **relay.counts}


class ControlListener(Factory):
    """Takes control lines."""

    noisy = False

    def __init__(self, relay: NetworkRelay) -> None:
        self.relay = relay

    def buildProtocol(self, addr: Any) -> ControlConnection:
        """Make the protocol of a new line."""
        return ControlConnection(self.relay)
