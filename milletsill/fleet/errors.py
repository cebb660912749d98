"""Errors of the fleet; docs/fleet.md says how to resolve each."""

from __future__ import annotations

from milletsill.errors import MilletsillError


class IncarnationLostError(MilletsillError):
    """Other gateways know an equal or later incarnation of this gateway's name."""

    remedy = (
        "if state_dir was lost or restored from a backup, no action is needed: the "
        "gateway has taken a later incarnation; otherwise check that no other gateway "
        "has this name"
    )


class DuplicateMemberNameError(MilletsillError):
    """Two running gateways have the same name."""

    remedy = (
        "give each gateway a unique name in its settings file and restart the one that "
        "was wrong; until then one of the two is not a member of any view"
    )


class MemberLimitReachedError(MilletsillError):
    """The fleet has more members than the configured maximum."""

    remedy = (
        "raise fleet.most_members in the settings file of every gateway, or find out "
        "why there are so many gateway names"
    )


class NoPeersReachableError(MilletsillError):
    """No other gateway has answered since this gateway started."""

    remedy = (
        "check that at least one address of fleet.join is up and reachable over UDP "
        "and TCP, and that fleet.name is the same there"
    )


class FleetAddressUnavailableError(MilletsillError):
    """This gateway cannot listen on its fleet address."""

    remedy = (
        "free the address or change fleet.address; the same port must be free for UDP "
        "and for TCP"
    )


class MalformedFrameError(MilletsillError):
    """The received bytes are not a valid frame between gateways."""

    remedy = (
        "find out which other program sends to the fleet address; a gateway does not "
        "send such frames"
    )


class FrameTooLongError(MalformedFrameError):
    """A frame is longer than its maximum length."""

    remedy = (
        "shorten the names in the settings files, or find out which other program "
        "sends to the fleet address"
    )


class FleetNameMismatchError(MilletsillError):
    """A frame comes from a fleet with a different name."""

    remedy = (
        "if both gateways belong to one fleet, set the same `fleet.name` in all "
        "settings files; otherwise remove the address from `fleet.join`"
    )


class FrameVersionTooNewError(MilletsillError):
    """Only a later version of the program can decode a frame."""

    remedy = (
        "upgrade this gateway to the version of the others; until then it ignores "
        "their frames"
    )
