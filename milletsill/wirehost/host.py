"""Hosts instances of the decision module: turns events into calls and calls into actions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, BinaryIO

from milletsill.errors import error_location
from milletsill.interface import AttemptResult, Request, Endpoint, EndpointUpdateKind
from milletsill.scheduler import Scheduler
from milletsill.wirehost import codec
from milletsill.wirehost.codec import UNIT, MalformedBatch, Event

LONGEST_TIMER = 70 * 60 * 1_000_000_000  # the wire takes timers of up to 71 minutes


class Instance:
    """One gateway: its module, its timers and what it has said in this batch. It is the module's Port."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.module: Scheduler | None = None
        self.fields: list[str] = []
        self.clock = 0
        self.said: list[bytes] = []
        self.timers: dict[int, object] = {}
        self.cookies = 0

    def send_attempt(self, transfer: int, node: int, timeout: int) -> None:
        self.said.append(codec.ATTEMPT(transfer, node, timeout * UNIT))

    def reject(self, transfer: int, pause: int) -> None:
        self.said.append(codec.REJECT(transfer, max(pause, 0) * UNIT))

    def fail(self, transfer: int) -> None:
        self.said.append(codec.FAILURE(transfer))

    def cancel_attempt(self, transfer: int, number: int) -> None:
        self.said.append(codec.CALL_OFF(transfer, number))

    def watch_endpoints(self) -> None:
        self.said.append(codec.STREAM(1))

    def fetch_endpoints(self) -> None:
        self.said.append(codec.QUERY())

    def probe_node(self, node: int) -> None:
        self.said.append(codec.PROBE(node))

    def log(self, text: str) -> None:
        self.said.append(codec.text_action(4, text))

    def set_timer(self, at: int, what: object) -> None:
        self.cookies += 1
        self.timers[self.cookies] = what
        self.said.append(
            codec.NOTIFY(
                self.cookies, min(max(at * UNIT - self.clock, 0), LONGEST_TIMER)
            )
        )

    def born(self, facts: dict[str, Any], seed: int, now: int) -> Scheduler:
        """The module of this instance."""
        return Scheduler(facts, seed, now, self)

    def hear(
        self, event: Event, now: int, banks: dict[int, tuple[Endpoint, ...]]
    ) -> None:
        """Hand one event to the module."""
        fields = event.fields
        if event.code == codec.BORN:
            facts = codec.facts_of(event.tail)
            self.fields = facts["report_fields"]
            self.module = self.born(facts, fields[0], now)
            return
        module = self.module
        if module is None:
            raise MalformedBatch(
                f"{codec.NAMES[event.code]} for instance {self.number}, which was never born"
            )
        if event.code == codec.UPDATE:
            news = codec.pick(codec.NEWS, fields[0], "kind of Update")
            if news is not EndpointUpdateKind.FAILED and fields[2] not in banks:
                raise MalformedBatch(f"Update names list {fields[2]}, which never came")
            module.on_endpoints(
                now, news, () if news is EndpointUpdateKind.FAILED else banks[fields[2]]
            )
        elif event.code == codec.TAKEN:
            tid, key, sharers, category, plan, flags, shard, units, volume, ends = (
                fields
            )
            cell = int(shard) if shard >= 0 else None
            module.on_request(
                now,
                Request(
                    tid,
                    key,
                    volume,
                    max(int(sharers), 0),
                    category,
                    plan,
                    bool(flags & 2),
                    bool(flags & 4),
                    cell,
                    units,
                    ends // UNIT,
                ),
            )
        elif event.code == codec.RETURNED:
            tid, outcome, node, others, used, over, number, lag, _ = fields
            module.on_attempt_result(
                now,
                AttemptResult(
                    tid,
                    number,
                    node,
                    codec.pick(codec.OUTCOMES, outcome, "outcome"),
                    bool(over),
                    lag // UNIT,
                    used - 1 if used else None,
                    others,
                    codec.report_of(event.tail, self.fields),
                ),
            )
        elif event.code == codec.RING:
            module.on_timer(now, self.timers.pop(fields[0], None))
        elif event.code == codec.ABANDONED:
            module.on_client_cancelled(now, fields[0])
        # Flowing needs no decision: a transfer that is out is left alone until its dispatch ends. Probed and
        # NoteFrom answer what the module never asks for.


class Host:
    """All instances of this process; they share nothing but the wire's numbered lists. `make` gives a new one."""

    def __init__(self, make: Callable[[int], Instance] = Instance) -> None:
        self.make = make
        self.instances: dict[int, Instance] = {}
        self.banks: dict[int, tuple[Endpoint, ...]] = {}

    def answer(self, batch: codec.Batch) -> bytes:
        """Play one batch and give the reply frame."""
        now = -(-batch.clock // UNIT)
        heard: dict[int, Instance] = {}
        current: Instance | None = None
        for event in batch.events:
            if event.code == codec.ROSTER:
                self.banks[event.fields[0]] = codec.entries_of(event.tail)
            elif event.code == codec.INSTANCE:
                number = event.fields[0]
                current = self.instances.get(number) or self.instances.setdefault(
                    number, self.make(number)
                )
                heard[number], current.clock = current, batch.clock
            elif current is None:
                raise MalformedBatch(
                    f"batch {batch.number}: {codec.NAMES[event.code]} before any Instance"
                )
            elif event.code in (codec.CRASH, codec.BORN) and current.module is not None:
                current = self.fresh(current, heard)
                if event.code == codec.BORN:
                    self.guarded(current, lambda: current.hear(event, now, self.banks))
            else:
                self.guarded(current, lambda: current.hear(event, now, self.banks))
        return codec.reply_to(batch.number, self.spoken(heard, now))

    def fresh(self, old: Instance, heard: dict[int, Instance]) -> Instance:
        """The instance after it was killed: what it held and had to say is void."""
        new = self.make(old.number)
        new.clock = old.clock
        self.instances[old.number] = heard[old.number] = new
        return new

    def guarded(self, instance: Instance, call) -> None:
        """Run the module; an exception in it is said on the wire."""
        try:
            call()
        except MalformedBatch:
            raise
        except Exception as error:
            instance.said.append(codec.text_action(3, error_location(error)))

    def spoken(self, heard: dict[int, Instance], now: int) -> list[bytes]:
        """What the instances that heard something have to say."""
        actions: list[bytes] = []
        for number, instance in heard.items():
            module = instance.module
            if module is not None:
                self.guarded(instance, lambda: module.dispatch_pending(now))
            if instance.said:
                actions.append(codec.SOURCE(number))
                actions += instance.said
                instance.said = []
        return actions


def serve(
    source: BinaryIO, sink: BinaryIO, make: Callable[[int], Instance] = Instance
) -> None:
    """Answer batches until the input ends."""
    host = Host(make)
    while (batch := codec.read_batch(source)) is not None:
        sink.write(host.answer(batch))
        sink.flush()
