"""Errors of the lease service, each a type.

`retry_delay` is when a retry helps, in ticks of a tenth of a millisecond; 0 for not by
itself. The metric `milletsill_offices_takes_total` has their names. `what` is sent to
clients as a status's text, whose words stay those of the users' pages.
"""

from __future__ import annotations

from milletsill.errors import MilletsillError


class CoordinationError(MilletsillError):
    """An error of a lease, or of the channel that it is for."""

    def __init__(self, what: str, where: str = "", retry_delay: int = 0) -> None:
        super().__init__(what, where)
        self.retry_delay = retry_delay


class QuorumNotReachedError(CoordinationError):
    """Too few acceptors answered in time."""

    remedy = (
        "see that over half of the gateways named in fleet.channels.register run and "
        "reach each other"
    )


class NotLeaseHolderError(CoordinationError):
    """Another gateway, `holder`, holds the lease."""

    remedy = (
        "none: the lease passes on when it ends or is released; with one name again "
        "and again, see that gateway's log"
    )

    def __init__(
        self, what: str, where: str = "", retry_delay: int = 0, holder: str = ""
    ) -> None:
        super().__init__(what, where, retry_delay)
        self.holder = holder


class BallotSupersededError(CoordinationError):
    """A later ballot was promised: the term under which this was to be done is over."""

    remedy = (
        "none; if it comes often, compare the gateways' views and their clocks' rates"
    )


class LeaseNotHeldError(CoordinationError):
    """The lease was released, lost, or never held here."""

    remedy = "none: the lease is acquired again"


class ResourceLimitReachedError(CoordinationError):
    """A bound of this gateway: leases, requests under way, or bytes of a record."""

    remedy = (
        "raise fleet.channels.most_channels, or have clients use fewer channels; see "
        "milletsill_offices_pending"
    )


class AcceptorStateCorruptError(CoordinationError):
    """The acceptor's file cannot be read whole, or a row fails its checksum."""

    remedy = (
        "look at the disk; the file was set aside and the acceptor catches up from "
        "the others by itself"
    )


class AcceptorStateRolledBackError(CoordinationError):
    """The acceptor's file is an older copy: others heard later things from it."""

    remedy = (
        "never put back copies of state_dir; the acceptor catches up from the others "
        "by itself"
    )


class AcceptorStateMissingError(CoordinationError):
    """The acceptor's file is gone, though others know that there was one."""

    remedy = (
        "see that state_dir is kept over restarts; the acceptor catches up from the "
        "others by itself"
    )


class DiskFullError(CoordinationError):
    """The acceptor cannot write; it answers nothing that it has not written."""

    remedy = "make room on the disk of state_dir; the acceptor goes on by itself"


class LeaseSettingsMismatchError(CoordinationError):
    """Another gateway has other acceptors or timings: its requests are declined."""

    remedy = (
        "make fleet.channels.register, office_s, call_ms and drift_permille the same "
        "in all gateways' files"
    )


class AcceptorSetChangedError(CoordinationError):
    """The settings name other acceptors than those the state was made for.

    Majorities of the old set and of the new need not meet.
    """

    remedy = (
        "put the old names back (a machine is replaced under its name); or stop all "
        "gateways, let every acceptor that is kept go on by a file FILE.go-on beside "
        "its own, and know that records at the removed ones alone are lost"
    )


class AcceptorStateUnusableError(CoordinationError):
    """The disk does not take writes, or the file is of a later version."""

    remedy = (
        "see that state_dir is writable, on a disk in order, and that no later version "
        "has written there; then restart"
    )
