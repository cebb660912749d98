"""Guards of ordered channels; the model check must fail without any one of them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest import mock

from milletsill.fleet.channels import number_states, ordering
from milletsill.fleet.channels.access_ranges import ranges_overlap
from milletsill.fleet.channels.channel_owner import ChannelOwner
from milletsill.fleet.channels.channel_sequencer import ChannelSequencer
from milletsill.fleet.channels.channel_state import ChannelState
from milletsill.fleet.channels.contracts import ChannelOrder
from milletsill.fleet.channels.effects import Release
from milletsill.fleet.channels.number_states import (
    NumberEffect,
    NumberEvent,
    NumberState,
)
from milletsill.fleet.channels.owned_channel import OwnedChannel
from milletsill.fleet.channels.released_attempts import ReleasedAttempt

Mutation = Callable[[], AbstractContextManager[Any]]

_pump = OwnedChannel.pump


def _do_nothing(self: Any, *values: Any) -> None:
    return None


def _always_zero(self: Any, *values: Any) -> int:
    return 0


def _always_true(self: Any, *values: Any) -> bool:
    return True


def _always_false(self: Any, *values: Any) -> bool:
    return False


def _no_predecessor(channel: ChannelState, number: int) -> None:
    return None


def _known_predecessor_only(channel: ChannelState, number: int) -> int | None:
    """Treat an absent number as one of another extent."""
    ranges = channel.open_numbers[number].ranges
    for lower, open_number in sorted(channel.open_numbers.items()):
        if lower < number and ranges_overlap(open_number.ranges, ranges):
            return lower
    return None


def _release_before_write(self: OwnedChannel) -> None:
    """Send released requests before the record is written."""
    if self.sequencer.record_changed and not self.is_writing and not self.is_lost:
        self.perform_after_write()
    _pump(self)


def _no_quarantine(self: ChannelState, now: int) -> int:
    return now


def _endless_key_window(self: ChannelState, open_number: Any, request: Any) -> int:
    return 1 << 60


def _own_deadline(self: OwnedChannel, release: Release) -> int:
    return release.deadline


def _never_ran(self: ReleasedAttempt) -> NumberEvent:
    return NumberEvent.NEVER_RAN


def _without_rule(
    order: ChannelOrder,
    rule: Callable[[ChannelState, int], int | None] = _no_predecessor,
) -> Mutation:
    return lambda: mock.patch.dict(ordering.PREDECESSOR_RULES, {order: rule})


def _without_method(owner: type, name: str, replacement: Any) -> Mutation:
    return lambda: mock.patch.object(owner, name, replacement)


def _without_transition() -> AbstractContextManager[Any]:
    """Reject a number whose answer is lost, so that it may be used again."""
    lost = (NumberState.RELEASED, NumberEvent.ANSWER_LOST)
    freed = (NumberState.ABSENT, NumberEffect.REJECT)
    return mock.patch.dict(number_states.NUMBER_TRANSITIONS, {lost: freed})


MUTATIONS: dict[str, Mutation] = {
    "each in order": _without_rule(ChannelOrder.EACH_IN_ORDER),
    "only newer numbers are released": _without_rule(ChannelOrder.NEWEST),
    "order within one extent": _without_rule(ChannelOrder.BY_EXTENT),
    "an absent number may be of any extent": _without_rule(
        ChannelOrder.BY_EXTENT, _known_predecessor_only
    ),
    "an overtaken number is pinned to its extent": _without_method(
        ChannelSequencer, "pin_overtaken", _do_nothing
    ),
    "batches in order": _without_rule(ChannelOrder.BATCHES),
    "the record is written before the send": _without_method(
        OwnedChannel, "pump", _release_before_write
    ),
    "the quarantine after an indeterminate outcome": _without_method(
        ChannelSequencer, "quarantine_end", _no_quarantine
    ),
    "the window of an idempotency key": _without_method(
        ChannelSequencer, "key_window_end", _endless_key_window
    ),
    "the lease is checked right before the send": _without_method(
        ReleasedAttempt, "may_send", _always_true
    ),
    "no attempt outlives its lease": _without_method(
        OwnedChannel, "attempt_deadline", _own_deadline
    ),
    "attempts under a lost lease may still run": _without_method(
        ChannelOwner, "lost_lease_end", _always_zero
    ),
    "state is outdated after another owner": _without_method(
        OwnedChannel, "is_current", _always_true
    ),
    "an attempt that may have run is not rejected": _without_method(
        ReleasedAttempt, "event_without_answer", _never_ran
    ),
    "nor is a number with an earlier such attempt": _without_method(
        ChannelSequencer, "was_tried_before", _always_false
    ),
    "an indeterminate number is not free": _without_transition,
    "only the latest claim is valid": _without_method(
        ChannelSequencer, "holds_claim", _always_true
    ),
}
"""The patch that disables each guard, by the guard's title."""


@contextmanager
def without(guard: str) -> Iterator[None]:
    """Run with one guard disabled."""
    with MUTATIONS[guard]():
        yield
