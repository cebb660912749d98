"""The guards of registers and offices, one out at a time: each of them must be found missing by the model.

`FOUND` is the seed of model.walk with three registers, three keepers and 600 steps at which it was, so that a test is short. When
the model has changed, `python -m milletsill.lab.model_checks.lease_model` tells the new ones.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from milletsill.fleet.leases import acceptor, acceptor_recovery, lease_proposer
from milletsill.fleet.leases.acceptor import Office, Span
from milletsill.fleet.leases.acceptor_recovery import Joining
from milletsill.lab.model_checks import lease_cluster as world_of


def _any_ballot(record: Any, floor: int, call: Any) -> Any:
    """A register takes each ballot as higher than what it promised."""
    return (
        acceptor.Rank.HIGHER
        if record is None or call.ballot != record.promised
        else acceptor.Rank.SAME
    )


def _no_office(record: Any, office: Any, call: Any, now: int) -> Any:
    """A register refuses nobody for an office."""
    return acceptor.Hold.FREE


def _shorter(self: Span) -> int:
    """A register lets others in after a plain office: no drift allowed for."""
    return self.office


def _longer(self: Span) -> int:
    """A keeper counts on a plain office: no drift allowed for."""
    return self.office


def _from_answer(poll: Any, now: int, span: Span) -> int:
    """A term counts from when the answers came."""
    return now + span.kept()


def _half(registers: int) -> int:
    """Half of the registers do."""
    return max(registers // 2, 1)


def _always_even(answers: Any, best: Any, registers: int) -> bool:
    """What was read is acted on without being written again."""
    return True


def _first_told(answers: Any) -> Any:
    """The first answer's record is taken, not the latest."""
    return answers[0]


def _none_loaded(born: int, span: Span) -> Office:
    """A register that has started again knows of no office."""
    return Office(born)


def _each_answer(poll: Any, now: int, span: Span) -> bool:
    """Answers count however late."""
    return True


def _any_renewal(poll: Any, answer: Any) -> bool:
    """An answer to an older renewal counts for a newer one."""
    return answer.ask is poll.call.ask and answer.ballot == poll.call.ballot


def _from_one(before: int, old: Any) -> int:
    """A seat that was let go leaves its rounds to the next."""
    return 0


def _one_holder(self: Any, other: Any) -> bool:
    """A gateway's new start passes for its old one."""
    return self.name == other.name


def _no_floor(floor: int, record: Any) -> int:
    """What was forgotten refuses nothing."""
    return floor


def _never_later(known: Any, own: Any) -> bool:
    """Nobody's word of later things is believed."""
    return False


def _anybody(self: Joining, now: int) -> bool:
    """A register answers from its start, whoever has said anything."""
    return True


def _one_tells(registers: int) -> int:
    """One other register's word is enough to catch up from."""
    return 1


def _no_rest(self: Span) -> int:
    """A register that lacks something catches up at once."""
    return 0


def _nothing_merged(records: Any, told: Any, up: int) -> None:
    """A register that lacks something goes on with what it has."""


def _no_fence(records: dict[str, Any], floor: int) -> None:
    """A floor holds only for channels without a record."""


def _promise_left(records: dict[str, Any], told: Any, up: int) -> None:
    """It takes what was written, and not what was promised."""
    for channel, new in told:
        old = records.get(channel)
        if old is None or old.stamp < new.stamp:
            records[channel] = new._replace(promised=new.stamp.ballot, touched=up)


def _copies_vote(answers: Any, best: Any, registers: int) -> bool:
    """A copy that a register was told of counts as a vote."""
    return best.stamp == acceptor.UNWRITTEN or sum(
        each.stamp == best.stamp for each in answers
    ) >= lease_proposer.majority(registers)


def _young_again(
    self: Any, value: bytes, now: int, born: int, fresh: bool = True
) -> None:
    """What is written again is as young as if it were new."""
    _send(self, value, now, born)


def _unborn(self: Any, value: bytes, now: int, born: int, fresh: bool = True) -> None:
    """What a value says of times counts from when it came."""
    _send(self, value, now, acceptor.JUST_NOW, fresh)


def _some_age(answers: Any, value: bytes) -> int | None:
    """Those that have the value and know since when are enough."""
    return max(
        (
            each.aged
            for each in answers
            if each.value == value and each.aged != acceptor.UNKNOWN
        ),
        default=None,
    )


_send = lease_proposer.Seat.send
MUTANTS: dict[str, tuple[Any, str, Any]] = {
    "lower ballots are refused": (acceptor, "rank", _any_ballot),
    "an office refuses others": (acceptor, "hold", _no_office),
    "drift at the register": (Span, "refused", _shorter),
    "drift at the keeper": (Span, "kept", _longer),
    "terms from the send": (lease_proposer, "term_end", _from_answer),
    "a majority": (lease_proposer, "majority", _half),
    "written again": (lease_proposer, "even", _always_even),
    "copies are no votes": (lease_proposer, "even", _copies_vote),
    "the latest write is read": (lease_proposer, "newest", _first_told),
    "offices of a former self": (acceptor, "loaded", _none_loaded),
    "a call's end": (lease_proposer, "open_still", _each_answer),
    "one renewal's answers": (lease_proposer, "fits", _any_renewal),
    "no ballot twice": (world_of, "rounds_used", _from_one),
    "starts differ": (acceptor.Ballot, "same_holder", _one_holder),
    "the floor of what is forgotten": (acceptor, "raised", _no_floor),
    "others' word of later things": (acceptor_recovery, "later", _never_later),
    "others are asked first": (Joining, "enough", _anybody),
    "enough others tell": (acceptor_recovery, "needed", _one_tells),
    "the rest before catching up": (Span, "rest", _no_rest),
    "what others tell is taken": (acceptor_recovery, "merged", _nothing_merged),
    "what is written again is not new": (lease_proposer.Seat, "send", _young_again),
    "a value is as old as its making": (lease_proposer.Seat, "send", _unborn),
    "all know the age": (lease_proposer, "aged", _some_age),
    "floors hold for what is told": (acceptor_recovery, "fenced", _no_fence),
    "promises are told too": (acceptor_recovery, "merged", _promise_left),
}
FOUND: dict[str, int] = {
    "lower ballots are refused": 11,
    "an office refuses others": 0,
    "drift at the register": 27,
    "drift at the keeper": 5,
    "terms from the send": 14,
    "a majority": 0,
    "written again": 0,
    "copies are no votes": 0,
    "the latest write is read": 6,
    "offices of a former self": 2,
    "a call's end": 14,
    "one renewal's answers": 13,
    "no ballot twice": 0,
    "starts differ": 4,
    "the floor of what is forgotten": 0,
    "others' word of later things": 0,
    "others are asked first": 63,
    "enough others tell": 0,
    "the rest before catching up": 112,
    "what others tell is taken": 8,
    "what is written again is not new": 49,
    "all know the age": 27,
    "a value is as old as its making": 0,
    "floors hold for what is told": 0,
    "promises are told too": 0,
}


@contextmanager
def without(guard: str) -> Iterator[None]:
    """The decisions with one guard out."""
    owner, name, made = MUTANTS[guard]
    with mock.patch.object(owner, name, made):
        yield
