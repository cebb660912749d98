"""What a channel's line is made of: transfers that come, numbers that are open or closed, and what the line wants done."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from milletsill.fleet.channels.ordering import Phase, Reaches

SETTLED, STAYED_UNSURE, LEFT_OUT, SUPERSEDED = range(4)  # how a number closed
LONG_AGO = -(1 << 60)


@dataclass(slots=True)
class Coming:
    """A transfer with a number as it comes to the gate. `window`: how long boxes remember its ticket; `ends`: when its client
    gives up; `asker`: whom to tell, opaque here.
    """

    number: int
    claim: int
    digest: int
    reaches: Reaches
    ends: int
    window: int
    asker: Any = None
    batch: int = 0
    last: bool = False


@dataclass(slots=True)
class Entry:
    """A number that is open and known. `since`: when it was first let go; `rests`: until when it may still run; `closes`: until
    when it is left open for its client to come again, where its end is unsure.
    """

    phase: Phase
    digest: int
    reaches: Reaches
    batch: int = 0
    last: bool = False
    coming: Coming | None = None
    askers: list[Any] = field(default_factory=list)
    since: int = LONG_AGO
    rests: int = 0
    closes: int = 0
    hole: int | None = None  # since when it stands behind a hole


@dataclass(frozen=True, slots=True)
class Closed:
    """A number that is over, as it is remembered."""

    how: int
    code: int
    digest: int


@dataclass(frozen=True, slots=True)
class LetGo:
    """Hand the transfer to the module, under this ticket's turn, until `ends` at the latest."""

    number: int
    coming: Coming
    turn: int
    again: bool
    ends: int


@dataclass(frozen=True, slots=True)
class Tell:
    """A word to one asker; `word` as in files/channels.py, or `answer` with a status code. `pause` in tenths of a millisecond."""

    asker: Any
    word: str
    number: int | None = None
    pause: int = 0
    code: int = 0
    text: str = ""


@dataclass(frozen=True, slots=True)
class Claimed:
    """Tell the asker of an OPEN how the channel stands."""

    asker: Any
