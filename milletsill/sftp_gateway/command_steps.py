"""The steps of a command that takes several requests: a table and pure functions.

A command follows a strategy, one request a step. The result of a step gives the next
step and an effect, until the command is done.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto

from milletsill.sftp import packets
from milletsill.sftp_gateway.object_location import ObjectLocation
from milletsill.sftp_gateway.routing_table import VolumePlacement

MAX_STEPS = 6


class CommandStrategy(Enum):
    """How a command goes."""

    PLAIN = auto()  # ends with its first answer
    FOLLOW = auto()  # goes where a link leads
    MAKE = auto()  # creates what is missing
    REMOVE = auto()  # also takes the link away
    RENAME = auto()  # moves links
    SWEEP = auto()  # asks every shard of the volume
    LIST = auto()  # reads a directory shard by shard


class CommandStep(Enum):
    """One request of a command. The names are part of idempotency keys."""

    HOME = auto()  # at the path's home shard
    THERE = auto()  # at the location that a link or the cache named
    PLACING = auto()  # a new object, wherever the scheduler puts it
    LINKING = auto()  # the new object's link at home
    SOURCE = auto()  # a rename: reads the link
    MOVING = auto()  # a rename: makes the new link
    CLEARING = auto()  # a rename: takes the old link away
    UNLINKING = auto()  # takes the link away after a removal
    SWEEPING = auto()  # a directory's shards, home last
    OVER = auto()


class StepResult(Enum):
    """What a step came to."""

    FINE = auto()  # the node did it
    MISSING = auto()  # no such file
    MOVED = auto()  # a link, with its location
    TAKEN = auto()  # the name stands already
    BAD = auto()  # another status
    DECLINED = auto()  # the scheduler rejected it: nothing was done
    ABORTED = auto()  # the scheduler gave it up: it may have been done


class StepEffect(Enum):
    """What is to be done after a step."""

    NEXT_STEP = auto()
    FOLLOW_LINK = auto()
    FORGET_LOCATION = auto()
    KEEP_ANSWER = auto()  # the client gets this step's answer in the end
    NEXT_SHARD = auto()
    TAKE_PAGE = auto()
    # Those from here on end the command.
    ANSWER = auto()  # with the step's answer
    ANSWER_CREATED = auto()  # with the answer that was kept
    ANSWER_DONE = auto()
    ANSWER_UNSUPPORTED = auto()
    ANSWER_NAME_TAKEN = auto()
    FAIL_IN_CIRCLE = auto()  # links lead in a circle


class PageOutcome(Enum):
    """What one shard's part of a directory means."""

    ANSWER = auto()
    SAME_SHARD = auto()
    NEXT_SHARD = auto()
    END = auto()


StepTransition = tuple[CommandStep, StepEffect]
STEP_TABLE: Mapping[tuple[CommandStrategy, CommandStep, StepResult], StepTransition] = {
    **{
        (strategy, CommandStep.HOME, StepResult.MOVED): (
            CommandStep.THERE,
            StepEffect.FOLLOW_LINK,
        )
        for strategy in (
            CommandStrategy.FOLLOW,
            CommandStrategy.MAKE,
            CommandStrategy.REMOVE,
        )
    },
    # A cached location that is empty may be old: its home knows. A home whose link
    # leads to nothing has the last word.
    **{
        (strategy, CommandStep.THERE, StepResult.MISSING): (
            CommandStep.HOME,
            StepEffect.FORGET_LOCATION,
        )
        for strategy in (CommandStrategy.FOLLOW, CommandStrategy.MAKE)
    },
    (CommandStrategy.REMOVE, CommandStep.THERE, StepResult.FINE): (
        CommandStep.UNLINKING,
        StepEffect.NEXT_STEP,
    ),
    (CommandStrategy.REMOVE, CommandStep.THERE, StepResult.MISSING): (
        CommandStep.UNLINKING,
        StepEffect.FORGET_LOCATION,
    ),
    (CommandStrategy.REMOVE, CommandStep.UNLINKING, StepResult.MISSING): (
        CommandStep.OVER,
        StepEffect.ANSWER_DONE,
    ),
    (CommandStrategy.MAKE, CommandStep.HOME, StepResult.MISSING): (
        CommandStep.PLACING,
        StepEffect.NEXT_STEP,
    ),
    (CommandStrategy.MAKE, CommandStep.PLACING, StepResult.FINE): (
        CommandStep.LINKING,
        StepEffect.KEEP_ANSWER,
    ),
    (CommandStrategy.MAKE, CommandStep.LINKING, StepResult.FINE): (
        CommandStep.OVER,
        StepEffect.ANSWER_CREATED,
    ),
    # Another gateway made the same name meanwhile: its object stands, ours is left
    # without a link.
    (CommandStrategy.MAKE, CommandStep.LINKING, StepResult.MOVED): (
        CommandStep.THERE,
        StepEffect.FOLLOW_LINK,
    ),
    (CommandStrategy.RENAME, CommandStep.SOURCE, StepResult.MOVED): (
        CommandStep.MOVING,
        StepEffect.FOLLOW_LINK,
    ),
    (CommandStrategy.RENAME, CommandStep.SOURCE, StepResult.FINE): (
        CommandStep.OVER,
        StepEffect.ANSWER_UNSUPPORTED,
    ),
    (CommandStrategy.RENAME, CommandStep.MOVING, StepResult.FINE): (
        CommandStep.CLEARING,
        StepEffect.FORGET_LOCATION,
    ),
    (CommandStrategy.RENAME, CommandStep.MOVING, StepResult.MOVED): (
        CommandStep.OVER,
        StepEffect.ANSWER_NAME_TAKEN,
    ),
    (CommandStrategy.RENAME, CommandStep.CLEARING, StepResult.MISSING): (
        CommandStep.OVER,
        StepEffect.ANSWER_DONE,
    ),
    **{
        (CommandStrategy.SWEEP, CommandStep.SWEEPING, result): (
            CommandStep.SWEEPING,
            StepEffect.NEXT_SHARD,
        )
        for result in (StepResult.FINE, StepResult.MISSING)
    },
    **{
        (CommandStrategy.LIST, CommandStep.SWEEPING, result): (
            CommandStep.SWEEPING,
            StepEffect.TAKE_PAGE,
        )
        for result in (StepResult.FINE, StepResult.MISSING)
    },
}
# Behind these something of the command has been done at a node: a later rejection would
# promise too much.
MUTATING_STEPS = (
    CommandStep.PLACING,
    CommandStep.LINKING,
    CommandStep.MOVING,
    CommandStep.CLEARING,
    CommandStep.UNLINKING,
)


def next_step(
    strategy: CommandStrategy, step: CommandStep, result: StepResult, steps_done: int
) -> StepTransition:
    """Return the next step of a command and what to do.

    What the table does not name ends the command with what the step came to. So does a
    command that runs in a circle, after `MAX_STEPS`: links that two gateways keep
    moving.
    """
    following, effect = STEP_TABLE.get(
        (strategy, step, result), (CommandStep.OVER, StepEffect.ANSWER)
    )
    if (
        following is not CommandStep.OVER
        and steps_done >= MAX_STEPS
        and strategy not in (CommandStrategy.SWEEP, CommandStrategy.LIST)
    ):
        return CommandStep.OVER, StepEffect.FAIL_IN_CIRCLE
    return following, effect


def strategy_for(
    command: packets.Command, placement: int, shard_count: int
) -> tuple[CommandStrategy, CommandStep]:
    """Return how a command on a path goes, and its first step.

    Objects of hashed volumes lie at their home, those of free ones where a link at home
    says.
    """
    if isinstance(command, packets.Readdir):
        return CommandStrategy.LIST, CommandStep.SWEEPING
    if isinstance(command, packets.Rmdir) and shard_count > 1:
        return CommandStrategy.SWEEP, CommandStep.SWEEPING
    on_directory = isinstance(command, (packets.Mkdir, packets.Rmdir))
    if placement != VolumePlacement.FREE or on_directory:
        return CommandStrategy.PLAIN, CommandStep.HOME
    if isinstance(command, packets.Open) and command.flags & packets.CREATE_FLAG:
        return CommandStrategy.MAKE, CommandStep.HOME
    if isinstance(command, packets.Remove):
        return CommandStrategy.REMOVE, CommandStep.HOME
    if isinstance(command, packets.Rename):
        return CommandStrategy.RENAME, CommandStep.SOURCE
    return CommandStrategy.FOLLOW, CommandStep.HOME


def first_step(
    strategy: CommandStrategy, step: CommandStep, cached: ObjectLocation | None
) -> CommandStep:
    """Return the step to begin with.

    A cached location spares the look at home, but for what must change the link there.
    """
    spares_home = strategy in (CommandStrategy.FOLLOW, CommandStrategy.MAKE)
    return CommandStep.THERE if cached is not None and spares_home else step


def page_outcome(names: int, ended: bool, shards_left: int) -> PageOutcome:
    """Return what one shard's part of a directory means.

    A client takes an answer without names for the end, so one that was emptied (its
    names were seen before) is never given.
    """
    if names:
        return PageOutcome.ANSWER
    if not ended:
        return PageOutcome.SAME_SHARD
    return PageOutcome.NEXT_SHARD if shards_left else PageOutcome.END


def result_for_client(result: StepResult, mutated: bool) -> StepResult:
    """Return what the client hears of a command that a rejection ends.

    If an earlier step of it has already done something, a retry is not known to be
    harmless, so it is aborted.
    """
    if result is StepResult.DECLINED and mutated:
        return StepResult.ABORTED
    return result


def step_result(moved: bool, status: int | None) -> StepResult:
    """Return what a node's answer is to a step; status None for any other answer."""
    if moved:
        return StepResult.MOVED
    if status in (None, packets.OK, packets.EOF):
        return StepResult.FINE
    return StepResult.MISSING if status == packets.NO_SUCH_FILE else StepResult.BAD
