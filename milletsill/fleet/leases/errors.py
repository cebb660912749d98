"""Error types of the lease service.

`retry_delay` is the time after which a retry can succeed, in ticks of a tenth of a
millisecond; 0 where waiting alone does not help. The names of the types are label
values of the metric `milletsill_offices_takes_total`. `what` is sent to clients as the
text of a status. The settings and metrics call a lease an office.
"""

from __future__ import annotations

from milletsill.errors import MilletsillError


class CoordinationError(MilletsillError):
    """An error of a lease, or of the channel that the lease protects."""

    def __init__(self, what: str, where: str = "", retry_delay: int = 0) -> None:
        super().__init__(what, where)
        self.retry_delay = retry_delay


class QuorumNotReachedError(CoordinationError):
    """Fewer than a majority of the acceptors replied in time."""

    remedy = (
        "check that more than half of the gateways named in fleet.channels.register "
        "run and reach each other"
    )


class NotLeaseHolderError(CoordinationError):
    """Another gateway holds the lease.

    Attributes:
        holder: Name of that gateway.
    """

    remedy = (
        "none: another gateway can acquire the lease once it ends or is released; if "
        "the same holder is named repeatedly, see that gateway's log"
    )

    def __init__(
        self, what: str, where: str = "", retry_delay: int = 0, holder: str = ""
    ) -> None:
        super().__init__(what, where, retry_delay)
        self.holder = holder


class BallotSupersededError(CoordinationError):
    """An acceptor promised a higher ballot, so this gateway's lease term is over."""

    remedy = (
        "none; if it occurs often, compare the gateways' views and their clock rates"
    )


class LeaseNotHeldError(CoordinationError):
    """This gateway released the lease, lost it, or never held it."""

    remedy = "none: the gateway acquires the lease again"


class ResourceLimitReachedError(CoordinationError):
    """A limit of this gateway: leases, pending requests, or the size of a record."""

    remedy = (
        "raise fleet.channels.most_channels, or let clients use fewer channels; see "
        "milletsill_offices_pending"
    )


class AcceptorStateCorruptError(CoordinationError):
    """The acceptor's file cannot be read in full, or a row fails its checksum."""

    remedy = (
        "check the disk; the file was renamed to FILE.torn and the acceptor recovers "
        "from the other acceptors automatically"
    )


class AcceptorStateRolledBackError(CoordinationError):
    """The acceptor's file is an older copy: other gateways know a later state of it."""

    remedy = (
        "never restore copies of state_dir; the acceptor recovers from the other "
        "acceptors automatically"
    )


class AcceptorStateMissingError(CoordinationError):
    """The acceptor's file is missing, although other gateways know a state of it."""

    remedy = (
        "check that state_dir is kept over restarts; the acceptor recovers from the "
        "other acceptors automatically"
    )


class DiskFullError(CoordinationError):
    """The acceptor cannot write; it grants nothing that it has not written."""

    remedy = (
        "free space on the disk of state_dir; the acceptor then continues automatically"
    )


class LeaseSettingsMismatchError(CoordinationError):
    """Another gateway has other acceptors or timings, so its requests are refused."""

    remedy = (
        "set fleet.channels.register, office_s, call_ms and drift_permille to the same "
        "values in all gateways' files"
    )


class AcceptorSetChangedError(CoordinationError):
    """The settings name other acceptors than those that the state was created for.

    A majority of the old set and a majority of the new set can be disjoint.
    """

    remedy = (
        "restore the old names (a replaced machine keeps its name); or stop all "
        "gateways, create an empty file FILE.go-on beside the file of each remaining "
        "acceptor, and start them: records that only removed acceptors had are lost"
    )


class AcceptorStateUnusableError(CoordinationError):
    """The disk does not accept writes, or a later version wrote the file."""

    remedy = (
        "check that state_dir is writable, that its disk has no errors, and that no "
        "later version has written there; then restart"
    )
