"""This gateway's shares of what all gateways share, where they are not even."""

from typing import NamedTuple

from milletsill.interface import GrantedShare, QuotaKind

# Lower bound of a share, to avoid a division by zero.
MIN_SHARE = 1e-9


class ShareInForce(NamedTuple):
    """A granted share that differs from the even one; fields as in `GrantedShare`."""

    share: float
    expires_at: int
    fallback_share: float


class QuotaShares:
    """The granted shares; the rate limiter, slow start and reserves consult them.

    Attributes:
        granted: the shares by kind of quota and id of the volume or node.
    """

    def __init__(self) -> None:
        self.granted: dict[tuple[QuotaKind, int], ShareInForce] = {}

    def grant(self, kind: QuotaKind, id: int, granted: GrantedShare) -> None:
        """Set a granted share, or return to the even share."""
        self.granted.pop((kind, id), None)
        if granted.share is not None:
            self.granted[kind, id] = ShareInForce(
                granted.share, granted.expires_at, granted.fallback_share
            )

    def is_granted(self, kind: QuotaKind, id: int) -> bool:
        """Whether the share differs from the even one."""
        return (kind, id) in self.granted

    def divisor(
        self, kind: QuotaKind, id: int, gateway_count: int, since: int, now: int
    ) -> float:
        """Return the whole divided by this gateway's share, over a span of time.

        An expired share no longer counts, even if its grantor could not revoke it. For
        a span in which the share expired, the smaller of both shares counts.
        """
        granted = self.granted.get((kind, id))
        if granted is None:
            return gateway_count
        if now < granted.expires_at:
            share = granted.share
        elif since >= granted.expires_at:
            share = granted.fallback_share
        else:
            share = min(granted.share, granted.fallback_share)
        return 1 / max(share, MIN_SHARE)
