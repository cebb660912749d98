"""This gateway's parts of what all gateways share, where they are not even."""

from typing import NamedTuple

from milletsill.interface import GrantedShare, QuotaKind

# No part is smaller, so that a whole is never divided by nothing.
MIN_SHARE = 1e-9


class ShareInForce(NamedTuple):
    """A part that is not the even one; fields as in `GrantedShare`."""

    share: float
    expires_at: int
    fallback_share: float


class QuotaShares:
    """The parts that were granted; rules 4 and 7 ask here at each send.

    Attributes:
        granted: by kind of quota and the id of what it is for.
    """

    def __init__(self) -> None:
        self.granted: dict[tuple[QuotaKind, int], ShareInForce] = {}

    def grant(self, kind: QuotaKind, id: int, granted: GrantedShare) -> None:
        """Set a part, or the even one again."""
        self.granted.pop((kind, id), None)
        if granted.share is not None:
            self.granted[kind, id] = ShareInForce(
                granted.share, granted.expires_at, granted.fallback_share
            )

    def is_granted(self, kind: QuotaKind, id: int) -> bool:
        """Whether the part is another than the even one."""
        return (kind, id) in self.granted

    def divisor(
        self, kind: QuotaKind, id: int, gateway_count: int, since: int, now: int
    ) -> float:
        """Into how many parts like this gateway's a whole goes, over a span.

        A part whose time is over counts no longer, whatever kept the one who gave it
        from saying so. Over a span in which it ended the smaller of both parts counts.
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
