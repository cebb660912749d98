"""The steps of a command that takes several requests: a table and pure functions.

A command follows a strategy and sends one request in each step. The result of a step
determines the next step and an effect, until the command is finished.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum, auto

from milletsill.sftp import packets
from milletsill.sftp_gateway.object_location import ObjectLocation
from milletsill.sftp_gateway.routing_table import VolumePlacement

MAX_STEPS = 6


class CommandStrategy(Enum):
    """The sequence of requests that a command needs."""

    SINGLE_REQUEST = auto()  # one request; its answer ends the command
    FOLLOW_LINK = auto()  # follows the link at the home shard to the object
    CREATE = auto()  # opens the object and creates it if it is missing
    REMOVE = auto()  # removes the object and its link
    RENAME = auto()  # replaces the link under the old name by one under the new name
    EVERY_SHARD = auto()  # sends the command to every shard of the volume
    LIST = auto()  # reads a directory shard by shard


class CommandStep(Enum):
    """One request of a command.

    The names of the members are part of idempotency keys.
    """

    HOME = auto()  # at the path's home shard
    THERE = auto()  # at the location given by a link or by the cache
    PLACING = auto()  # creates the object on a shard that the scheduler chooses
    LINKING = auto()  # creates the new object's link at the home shard
    SOURCE = auto()  # rename: reads the link of the old name
    MOVING = auto()  # rename: creates the link of the new name
    CLEARING = auto()  # rename: removes the link of the old name
    UNLINKING = auto()  # removes the link after its object
    SWEEPING = auto()  # the shards of a directory in turn, the home shard last
    OVER = auto()


class StepResult(Enum):
    """The result of a step."""

    SUCCEEDED = auto()  # the node executed the request
    MISSING = auto()  # no such file
    LINK = auto()  # the node answered with the location in a link
    NAME_EXISTS = auto()  # the name already exists
    OTHER_STATUS = auto()  # any other error status
    REJECTED = auto()  # the scheduler rejected the request; no node executed it
    FAILED = auto()  # the scheduler failed the request; a node may have executed it


class StepEffect(Enum):
    """The action that follows a step."""

    NEXT_STEP = auto()
    FOLLOW_LINK = auto()
    FORGET_LOCATION = auto()
    SAVE_ANSWER = auto()  # this step's answer is sent once the command is finished
    NEXT_SHARD = auto()
    HANDLE_PAGE = auto()
    # The effects below end the command.
    ANSWER = auto()  # sends the step's answer
    ANSWER_CREATED = auto()  # sends the saved answer
    ANSWER_OK = auto()
    ANSWER_UNSUPPORTED = auto()
    ANSWER_NAME_EXISTS = auto()
    FAIL_LINK_LOOP = auto()  # fails the command because its links form a loop


class PageOutcome(Enum):
    """The next action after one shard's page of a directory."""

    ANSWER = auto()
    SAME_SHARD = auto()
    NEXT_SHARD = auto()
    END = auto()


StepTransition = tuple[CommandStep, StepEffect]
STEP_TABLE: Mapping[tuple[CommandStrategy, CommandStep, StepResult], StepTransition] = {
    **{
        (strategy, CommandStep.HOME, StepResult.LINK): (
            CommandStep.THERE,
            StepEffect.FOLLOW_LINK,
        )
        for strategy in (
            CommandStrategy.FOLLOW_LINK,
            CommandStrategy.CREATE,
            CommandStrategy.REMOVE,
        )
    },
    # If the object is missing at a cached location, the cache entry may be stale, so
    # the home shard is asked next. If the home shard's link leads to a missing object,
    # the answer is final.
    **{
        (strategy, CommandStep.THERE, StepResult.MISSING): (
            CommandStep.HOME,
            StepEffect.FORGET_LOCATION,
        )
        for strategy in (CommandStrategy.FOLLOW_LINK, CommandStrategy.CREATE)
    },
    (CommandStrategy.REMOVE, CommandStep.THERE, StepResult.SUCCEEDED): (
        CommandStep.UNLINKING,
        StepEffect.NEXT_STEP,
    ),
    (CommandStrategy.REMOVE, CommandStep.THERE, StepResult.MISSING): (
        CommandStep.UNLINKING,
        StepEffect.FORGET_LOCATION,
    ),
    (CommandStrategy.REMOVE, CommandStep.UNLINKING, StepResult.MISSING): (
        CommandStep.OVER,
        StepEffect.ANSWER_OK,
    ),
    (CommandStrategy.CREATE, CommandStep.HOME, StepResult.MISSING): (
        CommandStep.PLACING,
        StepEffect.NEXT_STEP,
    ),
    (CommandStrategy.CREATE, CommandStep.PLACING, StepResult.SUCCEEDED): (
        CommandStep.LINKING,
        StepEffect.SAVE_ANSWER,
    ),
    (CommandStrategy.CREATE, CommandStep.LINKING, StepResult.SUCCEEDED): (
        CommandStep.OVER,
        StepEffect.ANSWER_CREATED,
    ),
    # Another gateway created the same name in the meantime. Its object is used; the
    # object of this command remains without a link.
    (CommandStrategy.CREATE, CommandStep.LINKING, StepResult.LINK): (
        CommandStep.THERE,
        StepEffect.FOLLOW_LINK,
    ),
    (CommandStrategy.RENAME, CommandStep.SOURCE, StepResult.LINK): (
        CommandStep.MOVING,
        StepEffect.FOLLOW_LINK,
    ),
    (CommandStrategy.RENAME, CommandStep.SOURCE, StepResult.SUCCEEDED): (
        CommandStep.OVER,
        StepEffect.ANSWER_UNSUPPORTED,
    ),
    (CommandStrategy.RENAME, CommandStep.MOVING, StepResult.SUCCEEDED): (
        CommandStep.CLEARING,
        StepEffect.FORGET_LOCATION,
    ),
    (CommandStrategy.RENAME, CommandStep.MOVING, StepResult.LINK): (
        CommandStep.OVER,
        StepEffect.ANSWER_NAME_EXISTS,
    ),
    (CommandStrategy.RENAME, CommandStep.CLEARING, StepResult.MISSING): (
        CommandStep.OVER,
        StepEffect.ANSWER_OK,
    ),
    **{
        (CommandStrategy.EVERY_SHARD, CommandStep.SWEEPING, result): (
            CommandStep.SWEEPING,
            StepEffect.NEXT_SHARD,
        )
        for result in (StepResult.SUCCEEDED, StepResult.MISSING)
    },
    **{
        (CommandStrategy.LIST, CommandStep.SWEEPING, result): (
            CommandStep.SWEEPING,
            StepEffect.HANDLE_PAGE,
        )
        for result in (StepResult.SUCCEEDED, StepResult.MISSING)
    },
}
# After these steps a node has executed a part of the command, so a later rejection must
# not be reported as "nothing was done".
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
    """Return the next step of a command and its effect.

    A combination that is not in the table ends the command with the step's answer. A
    command fails after `MAX_STEPS` steps: its links form a loop, or two gateways keep
    changing them.
    """
    following, effect = STEP_TABLE.get(
        (strategy, step, result), (CommandStep.OVER, StepEffect.ANSWER)
    )
    if (
        following is not CommandStep.OVER
        and steps_done >= MAX_STEPS
        and strategy not in (CommandStrategy.EVERY_SHARD, CommandStrategy.LIST)
    ):
        return CommandStep.OVER, StepEffect.FAIL_LINK_LOOP
    return following, effect


def strategy_for(
    command: packets.Command, placement: int, shard_count: int
) -> tuple[CommandStrategy, CommandStep]:
    """Return the strategy of a command on a path, and its first step.

    The objects of a hashed volume are stored at their home shard. Those of a volume
    with free placement are stored at the location in a link at the home shard.
    """
    if isinstance(command, packets.Readdir):
        return CommandStrategy.LIST, CommandStep.SWEEPING
    if isinstance(command, packets.Rmdir) and shard_count > 1:
        return CommandStrategy.EVERY_SHARD, CommandStep.SWEEPING
    on_directory = isinstance(command, (packets.Mkdir, packets.Rmdir))
    if placement != VolumePlacement.FREE or on_directory:
        return CommandStrategy.SINGLE_REQUEST, CommandStep.HOME
    if isinstance(command, packets.Open) and command.flags & packets.CREATE_FLAG:
        return CommandStrategy.CREATE, CommandStep.HOME
    if isinstance(command, packets.Remove):
        return CommandStrategy.REMOVE, CommandStep.HOME
    if isinstance(command, packets.Rename):
        return CommandStrategy.RENAME, CommandStep.SOURCE
    return CommandStrategy.FOLLOW_LINK, CommandStep.HOME


def first_step(
    strategy: CommandStrategy, step: CommandStep, cached: ObjectLocation | None
) -> CommandStep:
    """Return the step to start with.

    A cached location makes the request to the home shard unnecessary, except for a
    command that changes the link there.
    """
    skips_home = strategy in (CommandStrategy.FOLLOW_LINK, CommandStrategy.CREATE)
    return CommandStep.THERE if cached is not None and skips_home else step


def page_outcome(names: int, ended: bool, shards_left: int) -> PageOutcome:
    """Return the next action after one shard's page of a directory.

    A client treats an answer without names as the end of the directory, so a page
    whose names were all listed before is never sent.
    """
    if names:
        return PageOutcome.ANSWER
    if not ended:
        return PageOutcome.SAME_SHARD
    return PageOutcome.NEXT_SHARD if shards_left else PageOutcome.END


def final_result(result: StepResult, mutated: bool) -> StepResult:
    """Return the result of a command that ends with a rejection or a failure.

    A rejection becomes a failure if an earlier step changed something at a node,
    because a retry may then execute that step twice.
    """
    if result is StepResult.REJECTED and mutated:
        return StepResult.FAILED
    return result


def step_result(is_link: bool, status: int | None) -> StepResult:
    """Return the result of a step.

    Args:
        is_link: whether the node answered with the location in a link.
        status: the code of an SFTP status; None for any other answer.
    """
    if is_link:
        return StepResult.LINK
    if status in (None, packets.OK, packets.EOF):
        return StepResult.SUCCEEDED
    return (
        StepResult.MISSING
        if status == packets.NO_SUCH_FILE
        else StepResult.OTHER_STATUS
    )
