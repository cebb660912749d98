"""Decides which flows leave the cache. This module does no I/O and reads no clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import islice
from typing import TypeVar

from milletsill.flows.templates import FlowEndReason

Key = TypeVar("Key")
Value = TypeVar("Value")

EVICTION_CANDIDATES = 8
"""Number of longest idle flows, of which the smallest is evicted."""


def select_victim(
    oldest_first: Iterable[tuple[Key, Value]], size_of: Callable[[Value], int]
) -> Key:
    """Return the key of the flow to evict: the smallest of the longest idle ones.

    Evicting the longest idle flow would often evict a large flow that pauses briefly
    and then returns. Finding the smallest of all flows would require a full scan. A
    random choice by size, as in elephant flow detection, needs no order but is inexact.
    No count is lost in any case: an evicted flow is exported with LACK_OF_RESOURCES.
    """
    candidates = islice(oldest_first, EVICTION_CANDIDATES)
    return min(candidates, key=lambda item: size_of(item[1]))[0]


def expiry_reason(
    now: int, started: int, last_seen: int, active_timeout: int, idle_timeout: int
) -> FlowEndReason | None:
    """Return the reason to export a flow now, or None if it stays."""
    if now - last_seen >= idle_timeout:
        return FlowEndReason.IDLE_TIMEOUT
    if now - started >= active_timeout:
        return FlowEndReason.ACTIVE_TIMEOUT
    return None
