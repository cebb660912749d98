"""What can go wrong between gateways, by type. Each stands in docs/fleet.md with what to do."""

from __future__ import annotations

from milletsill.errors import MilletsillError


class IncarnationLost(MilletsillError):
    """Others knew a run of this name as late as this gateway's, or later."""

    remedy = (
        "if state_dir was lost or put back from a copy, nothing: the gateway has gone past that run; if not, see that no "
        "other gateway bears this name"
    )


class DuplicateMemberName(MilletsillError):
    """Two live gateways have one name."""

    remedy = "give each gateway's file a name of its own and restart the one that is wrong; until then one of them is in no view"


class MemberLimitReached(MilletsillError):
    """More members than the bound."""

    remedy = "raise fleet.most_members in all files, or see why so many names come up"


class NoPeersReachable(MilletsillError):
    """No other gateway has answered since the start."""

    remedy = "see that one of fleet.join is up and reached over UDP and TCP, and that fleet.name is the same there"


class FleetAddressUnavailable(MilletsillError):
    """The address for other gateways cannot be had."""

    remedy = "free the address or change fleet.address; UDP and TCP are both needed"
