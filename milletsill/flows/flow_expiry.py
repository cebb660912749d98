"""Which flows leave the cache, when and why. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import islice
from typing import TypeVar

from milletsill.flows.templates import FlowEndReason

Key = TypeVar("Key")
Value = TypeVar("Value")

EVICTION_CANDIDATES = 8
"""Flows, those idle for longest, of which the smallest is evicted."""


def select_victim(
    oldest_first: Iterable[tuple[Key, Value]], size_of: Callable[[Value], int]
) -> Key:
    """Returns the key of the flow to evict: of the few idle for longest the smallest.

    The oldest alone would send out a large flow that rests for a moment and comes back
    at once. The smallest of all would need a look at all of them. A choice at random by
    size (as elephant detection has it) needs no order but loses exactness. No count is
    lost either way: an evicted flow is exported, with the reason lack of resources.
    """
    candidates = islice(oldest_first, EVICTION_CANDIDATES)
    return min(candidates, key=lambda item: size_of(item[1]))[0]


def expiry_reason(
    now: int, started: int, last_seen: int, active_timeout: int, idle_timeout: int
) -> FlowEndReason | None:
    """Returns why a flow is to be exported now, or None if it stays."""
    if now - last_seen >= idle_timeout:
        return FlowEndReason.IDLE_TIMEOUT
    if now - started >= active_timeout:
        return FlowEndReason.ACTIVE_TIMEOUT
    return None
