"""Errors of ordered channels.

`retry_delay` is when a retry helps, in tenths of a millisecond.
"""

from __future__ import annotations

from milletsill.fleet.leases.errors import CoordinationError


class ContractNotOfferedError(CoordinationError):
    """A client asks for a contract that the operator's file does not offer it."""

    remedy = (
        "see fleet.channels.contract in the gateways' files: "
        "volume, chosen_by_client, version"
    )


class ContractOutdatedError(CoordinationError):
    """This gateway's file has an older version of a contract than the record."""

    remedy = "bring this gateway's file up to date and restart it"


class ContractConflictError(CoordinationError):
    """Two declarations of a contract, or requests of one number, contradict."""

    remedy = (
        "what it names: give a changed contract a higher version at all gateways; "
        "one client at a time numbers a channel"
    )


class ChannelRecordUnreadableError(CoordinationError):
    """A channel's record is torn, or a later version of the program wrote it."""

    remedy = (
        "bring this gateway up to date; "
        "the channel is kept by a gateway that can read it"
    )
