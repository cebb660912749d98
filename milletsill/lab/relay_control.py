"""Control connection of the network relay: JSON lines over TCP on loopback."""

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
"""Characters of an error text that are returned."""


@dataclass(frozen=True, slots=True)
class ControlledFault:
    """A network fault given in a control line; it begins at once."""

    fields: dict[str, Any]
    what: str
    on: tuple[int, ...] = ()
    part: float = 0.2
    at_s: float = 0.0
    for_s: float = 5.0
    size: float = 0.0
    extra: float = 0.0

    def HasField(self, field: str) -> bool:  # noqa: N802
        """Return whether the line contains a field."""
        return field in self.fields


def controlled_fault(fields: dict[str, Any]) -> ControlledFault:
    """Return the fault that a control line describes.

    Raises:
        TypeError: A field has the wrong type.
    """
    names = ("what", "on", "part", "for_s", "size", "extra")
    return ControlledFault(
        fields, **{name: fields[name] for name in names if name in fields}
    )


class ControlConnection(LineOnlyReceiver):
    """Executes one command per line and answers each with a line.

    A command is JSON with the fields of a `Trouble`, `{"what": "heal"}` or
    `{"what": "counts"}`.
    """

    delimiter = b"\n"
    MAX_LENGTH = 4096

    def __init__(self, relay: NetworkRelay) -> None:
        self.relay = relay

    def lineReceived(self, line: bytes) -> None:
        """Execute a command and answer it; an invalid one is answered by an error."""
        try:
            answer = self.do(json.loads(line))
        except (ValueError, TypeError, KeyError) as error:
            answer = {"error": " ".join(str(error).split())[:MAX_ERROR]}
        self.sendLine(json.dumps(answer).encode())  # type: ignore[no-untyped-call]

    def do(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Execute a command; return the faults in effect and the counts."""
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
    """Accepts control connections."""

    noisy = False

    def __init__(self, relay: NetworkRelay) -> None:
        self.relay = relay

    def buildProtocol(self, addr: Any) -> ControlConnection:
        """Return the protocol of a new control connection."""
        return ControlConnection(self.relay)
