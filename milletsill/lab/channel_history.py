"""Reconstructs the history of each channel from clients' packets and nodes' writes.

The idempotency key of a write at a node names the channel's number that it executes:
`VOLUME@CHANNEL@NUMBER.GENERATION#...`. VOLUME is the xxh64 hash of the volume's name.
GENERATION increases each time that a client resolves the number as not done. A number
is settled once a client got the answer OK for it.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from milletsill.lab.breaches import Breach
from milletsill.lab.client_records import OPEN, RESOLVE
from milletsill.lab.evidence import (
    Evidence,
    NodeWrite,
    RecordedChannelMessage,
    RecordedCommand,
)
from milletsill.settings.milletsill_pb2 import Scenario

IDEMPOTENCY_KEY = re.compile(r"(\d+)@(.+)@(\d+)\.(\d+)#.*")
OK = 0
NOT_DONE = 2
SKIPPED = 3
UNKNOWN_ORDER = -1
ENDED_TAGS = ("x-left-out", "x-superseded")
"""Prefixes of the language tags that report a number as without effect for good."""


@dataclass(frozen=True, slots=True)
class ChannelKey:
    """A channel of a volume; volumes are numbered from 1, and 0 is an unknown one."""

    volume: int
    channel: str


@dataclass(frozen=True, slots=True)
class KeyRange:
    """The part of a file that a write falls into; parts are numbered from 0."""

    path: str
    part: int


@dataclass(frozen=True, slots=True)
class NumberWrite:
    """A write at a node that executes a channel's number."""

    at: float
    node: int
    number: int
    generation: int
    range: KeyRange
    gateway: str
    request: int

    def describe(self) -> str:
        """Return the write as one line of a report."""
        return (
            f"{self.at:.4f} node {self.node} wrote number "
            f"{self.number}.{self.generation}, {self.gateway} request {self.request}"
        )


@dataclass(frozen=True, slots=True)
class NumberEnd:
    """The report to a client that a number has no effect.

    `reason` is the answer's language tag, or a text for a client's own resolution.
    """

    at: float
    reason: str


@dataclass(slots=True)
class ChannelHistory:
    """The records about one channel, each list in time order.

    `settled` and `ended` hold, by number, when a client first got that answer.
    """

    key: ChannelKey
    order: int = UNKNOWN_ORDER
    effects: list[NumberWrite] = field(default_factory=list)
    commands: dict[int, list[RecordedCommand]] = field(
        default_factory=lambda: defaultdict(list)
    )
    resolutions: dict[int, list[RecordedChannelMessage]] = field(
        default_factory=lambda: defaultdict(list)
    )
    openings: list[RecordedChannelMessage] = field(default_factory=list)
    settled: dict[int, float] = field(default_factory=dict)
    ended: dict[int, NumberEnd] = field(default_factory=dict)
    indeterminate: set[int] = field(default_factory=set)

    def breach(self, text: str, *packets: str) -> Breach:
        """Return a breach of this channel's contract."""
        where = f"channel {self.key.channel} of volume {self.key.volume}"
        return Breach(0, f"{where}: {text}", list(packets))

    def first_effect(self, number: int) -> NumberWrite | None:
        """Return the first write of a number, if there is one."""
        return next((each for each in self.effects if each.number == number), None)

    def may_lack_effect(self, number: int) -> bool:
        """Return whether a client was told that a number has or may have no effect."""
        return number in self.ended or number in self.indeterminate

    def derive_outcomes(self) -> None:
        """Derive from the answers which numbers are settled, ended or indeterminate."""
        for number, commands in self.commands.items():
            for answer in sorted(
                answer for command in commands for answer in command.answers
            ):
                if answer.code == OK:
                    self.settled.setdefault(number, answer.at)
                elif answer.language.startswith(ENDED_TAGS):
                    self.ended.setdefault(number, NumberEnd(answer.at, answer.language))
                elif answer.language == "x-aborted":
                    self.indeterminate.add(number)
        for number, messages in self.resolutions.items():
            for message in messages:
                if message.resolution == SKIPPED and any(
                    answer.code == OK for answer in message.answers
                ):
                    self.ended.setdefault(
                        number, NumberEnd(message.answers[0].at, "resolved as skipped")
                    )


class ChannelHistories:
    """Collects the histories of all channels of a run."""

    def __init__(self, scenario: Scenario) -> None:
        self.volumes = list(scenario.gateway.volume)
        self.range_bytes = scenario.gateway.rules.extent_bytes
        self.volume_by_hash = {
            xxhash.xxh64_intdigest(volume.name.encode()): place + 1
            for place, volume in enumerate(self.volumes)
        }
        self.found: dict[ChannelKey, ChannelHistory] = {}
        self.by_handle: dict[tuple[int, str, bytes], ChannelHistory] = {}

    def volume_of(self, path: str) -> int:
        """Return a volume's number from a path in it; 0 for none."""
        for place, volume in enumerate(self.volumes):
            if path == volume.root or path.startswith(volume.root + "/"):
                return place + 1
        return 0

    def history_of(self, key: ChannelKey) -> ChannelHistory:
        """Return a channel's history; create it where there is none."""
        return self.found.setdefault(key, ChannelHistory(key))

    def add_messages(self, messages: Sequence[RecordedChannelMessage]) -> None:
        """Add clients' channel messages.

        Openings come first, because their answers give the handles of the others.
        """
        for message in messages:
            if message.verb != OPEN:
                continue
            key = ChannelKey(self.volume_of(message.path), message.channel)
            history = self.history_of(key)
            history.openings.append(message)
            opening = message.opening
            if opening is not None:
                place = (message.connection, message.gateway, opening.handle)
                self.by_handle[place] = history
                history.order = opening.order
                history.indeterminate.update(opening.indeterminate)
        for message in messages:
            place = (message.connection, message.gateway, message.handle)
            if message.verb == RESOLVE and place in self.by_handle:
                self.by_handle[place].resolutions[message.number].append(message)

    def add_commands(self, commands: Iterable[RecordedCommand]) -> None:
        """Add the commands that clients sent in channels."""
        for command in commands:
            place = (command.connection, command.gateway, command.handle)
            if command.handle and place in self.by_handle:
                self.by_handle[place].commands[command.number].append(command)

    def add_effect(self, effect: NodeWrite) -> None:
        """Add a write if it succeeded and executes a channel's number."""
        found = IDEMPOTENCY_KEY.fullmatch(effect.idempotency_key)
        if found is None or effect.code != OK:
            return
        volume = self.volume_by_hash.get(int(found[1]), 0)
        history = self.history_of(ChannelKey(volume, found[2]))
        history.effects.append(
            NumberWrite(
                effect.at,
                effect.node,
                number=int(found[3]),
                generation=int(found[4]),
                range=KeyRange(effect.path, effect.offset // self.range_bytes),
                gateway=effect.gateway,
                request=effect.request,
            )
        )


def channel_histories(evidence: Evidence, scenario: Scenario) -> list[ChannelHistory]:
    """Return the history of every channel that a client opened or that has a write."""
    histories = ChannelHistories(scenario)
    histories.add_messages(evidence.channel_messages)
    histories.add_commands(evidence.commands)
    for note in evidence.notes:
        if isinstance(note, NodeWrite):
            histories.add_effect(note)
    for history in histories.found.values():
        history.effects.sort(key=lambda effect: effect.at)
        history.derive_outcomes()
    return list(histories.found.values())
