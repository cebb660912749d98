"""Convert the `lending` settings of planner and gateway files."""

from __future__ import annotations

from math import ceil

from milletsill.planner.quota_terms import SECOND, QuotaTimings
from milletsill.settings.milletsill_pb2 import Lending


def timings_from_settings(lending: Lending) -> QuotaTimings:
    """Return the timings of a `lending` block."""
    return QuotaTimings(
        ceil(lending.longest_s * SECOND), lending.drift_permille, lending.floor
    )


def floor_in_millionths(timings: QuotaTimings) -> int:
    """Return the floor in millionths of the even share, as in a hello."""
    return int(timings.floor_share * 1e6)
