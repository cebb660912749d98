"""The guards of ordered channels, one out at a time: the model finds each missing."""

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
    """A number that is absent is taken to be of another extent."""
    ranges = channel.open_numbers[number].ranges
    for lower, sequence in sorted(channel.open_numbers.items()):
        if lower < number and ranges_overlap(sequence.ranges, ranges):
            return lower
    return None


def _release_before_write(self: OwnedChannel) -> None:
    """What is released leaves before the record is written."""
    if self.sequencer.record_changed and not self.is_writing and not self.is_lost:
        self.perform_after_write()
    _pump(self)


def _no_quarantine(self: ChannelState, now: int) -> int:
    return now


def _endless_key_window(self: ChannelState, sequence: Any, request: Any) -> int:
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
    """A number whose answer is lost is free again."""
    lost = (NumberState.RELEASED, NumberEvent.ANSWER_LOST)
    freed = (NumberState.ABSENT, NumberEffect.REJECT)
    return mock.patch.dict(number_states.NUMBER_TRANSITIONS, {lost: freed})


MUTATIONS: dict[str, Mutation] = {
    "each in order": _without_rule(ChannelOrder.EACH_IN_ORDER),
    "the newest first": _without_rule(ChannelOrder.NEWEST),
    "order on one extent": _without_rule(ChannelOrder.BY_EXTENT),
    "an absent number may be of any extent": _without_rule(
        ChannelOrder.BY_EXTENT, _known_predecessor_only
    ),
    "one that was overtaken is pinned": _without_method(
        ChannelSequencer, "pin_overtaken", _do_nothing
    ),
    "a batch after the one before": _without_rule(ChannelOrder.BATCHES),
    "the record before the send": _without_method(
        OwnedChannel, "pump", _release_before_write
    ),
    "the quarantine after an indeterminate outcome": _without_method(
        ChannelSequencer, "quarantine_end", _no_quarantine
    ),
    "an idempotency key's window": _without_method(
        ChannelSequencer, "key_window_end", _endless_key_window
    ),
    "the lease at the last place": _without_method(
        ReleasedAttempt, "may_send", _always_true
    ),
    "nothing outlives its lease": _without_method(
        OwnedChannel, "attempt_deadline", _own_deadline
    ),
    "a lease that was lost runs on": _without_method(
        ChannelOwner, "lost_lease_end", _always_zero
    ),
    "what another owned meanwhile": _without_method(
        OwnedChannel, "is_current", _always_true
    ),
    "a rejection only of what cannot have run": _without_method(
        ReleasedAttempt, "event_without_answer", _never_ran
    ),
    "nor of what was tried before": _without_method(
        ChannelSequencer, "was_tried_before", _always_false
    ),
    "an indeterminate number is not free": _without_transition,
    "one holds the claim": _without_method(
        ChannelSequencer, "holds_claim", _always_true
    ),
}
"""By guard: what takes it out."""


@contextmanager
def without(guard: str) -> Iterator[None]:
    """The program with one guard out."""
    with MUTATIONS[guard]():
        yield
