"""Errors of ordered channels.

`retry_delay` is the time after which a retry may succeed, in tenths of a millisecond.
"""

from __future__ import annotations

from milletsill.fleet.leases.errors import CoordinationError


class ContractNotOfferedError(CoordinationError):
    """A client asks for a contract that the settings file does not offer to it."""

    remedy = (
        "see fleet.channels.contract in the gateways' settings files: "
        "volume, chosen_by_client, version"
    )


class ContractOutdatedError(CoordinationError):
    """This gateway's file has an older contract version than the channel's record."""

    remedy = (
        "update the contract in this gateway's settings file and restart the gateway"
    )


class ContractConflictError(CoordinationError):
    """Two declarations of a contract, or two requests with one number, conflict."""

    remedy = (
        "give a changed contract a higher version at all gateways; "
        "let only one client at a time assign the numbers of a channel"
    )


class ChannelRecordUnreadableError(CoordinationError):
    """A channel's record is corrupt, or a later version of milletsill wrote it."""

    remedy = (
        "upgrade this gateway; "
        "until then, a gateway that can read the record owns the channel"
    )
