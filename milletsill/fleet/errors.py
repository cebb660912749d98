"""The fleet's errors; docs/fleet.md has what to do about each."""

from __future__ import annotations

from milletsill.errors import MilletsillError


class IncarnationLostError(MilletsillError):
    """Others knew an incarnation of this name as late as this one, or later."""

    remedy = (
        "if state_dir was lost or put back from a copy, nothing: the gateway has gone "
        "past that run; if not, see that no other gateway bears this name"
    )


class DuplicateMemberNameError(MilletsillError):
    """Two live gateways have one name."""

    remedy = (
        "give each gateway's file a name of its own and restart the one that is wrong; "
        "until then one of them is in no view"
    )


class MemberLimitReachedError(MilletsillError):
    """There are more members than the configured bound."""

    remedy = "raise fleet.most_members in all files, or see why so many names come up"


class NoPeersReachableError(MilletsillError):
    """No other gateway has answered since the start."""

    remedy = (
        "see that one of fleet.join is up and reached over UDP and TCP, and that "
        "fleet.name is the same there"
    )


class FleetAddressUnavailableError(MilletsillError):
    """The address for other gateways cannot be listened on."""

    remedy = "free the address or change fleet.address; UDP and TCP are both needed"


class MalformedFrameError(MilletsillError):
    """Octets that are no frame of a gateway."""

    remedy = (
        "see what else sends to the fleet's address; a gateway sends nothing of the "
        "kind"
    )


class FrameTooLongError(MalformedFrameError):
    """A frame over its bound."""

    remedy = "shorten names, or see what else sends to the fleet's address"


class FleetNameMismatchError(MilletsillError):
    """A frame of a fleet with another name."""

    remedy = (
        "if both are one fleet, give `fleet.name` the same value in all files; else "
        "take the address out of `fleet.join`"
    )


class FrameVersionTooNewError(MilletsillError):
    """A frame that only a later version of the program can read."""

    remedy = (
        "bring this gateway to the version of the others; until then it does not hear "
        "those"
    )
