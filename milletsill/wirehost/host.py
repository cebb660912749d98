"""Hosts instances of the scheduler: turns events into calls and calls into actions."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import BinaryIO

from milletsill.deployment_config import DeploymentConfig
from milletsill.deployment_settings import NANOSECONDS_PER_TICK
from milletsill.errors import error_location
from milletsill.interface import (
    Endpoint,
    EndpointUpdateKind,
    SchedulerEvents,
)
from milletsill.scheduler import Scheduler
from milletsill.wirehost import codec
from milletsill.wirehost.codec import ActionCode, Event, EventCode, MalformedBatchError

# The wire takes timers of up to 71 minutes.
MAX_TIMER = 70 * 60 * 1_000_000_000

Rosters = Mapping[int, tuple[Endpoint, ...]]


class Instance:
    """One gateway: its scheduler, its timers and its actions in this batch.

    It is the scheduler's effects: each becomes an action of the wire.

    Attributes:
        clock: the time of this batch in nanoseconds.
        actions: what the scheduler did in this batch, encoded.
        timers: the tokens of timers that are not due yet, by cookie.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.scheduler: SchedulerEvents | None = None
        self.clock = 0
        self.actions: list[bytes] = []
        self.timers: dict[int, object] = {}
        self._last_cookie = 0
        self._report_fields: tuple[str, ...] = ()

    def send_attempt(self, request_id: int, node_id: int, timeout: int) -> None:
        """Put an attempt on the wire."""
        nanoseconds = timeout * NANOSECONDS_PER_TICK
        self.actions.append(codec.encode_attempt(request_id, node_id, nanoseconds))

    def reject(self, request_id: int, retry_after: int) -> None:
        """Put a rejection on the wire."""
        pause = max(retry_after, 0) * NANOSECONDS_PER_TICK
        self.actions.append(codec.encode_rejection(request_id, pause))

    def fail(self, request_id: int) -> None:
        """Put a failure on the wire."""
        self.actions.append(codec.encode_failure(request_id))

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Put the end of an attempt on the wire."""
        self.actions.append(codec.encode_cancellation(request_id, attempt_number))

    def watch_endpoints(self) -> None:
        """Ask the wire for changes of the endpoint list."""
        self.actions.append(codec.encode_watch(1))

    def fetch_endpoints(self) -> None:
        """Ask the wire for the whole endpoint list."""
        self.actions.append(codec.encode_query())

    def probe_node(self, node_id: int) -> None:
        """Put a health check on the wire."""
        self.actions.append(codec.encode_probe(node_id))

    def log(self, text: str) -> None:
        """Put a remark on the wire."""
        self.actions.append(codec.encode_text(ActionCode.REMARK, text))

    def set_timer(self, at: int, token: object) -> None:
        """Put a timer on the wire; its cookie brings the token back."""
        self._last_cookie += 1
        self.timers[self._last_cookie] = token
        span = min(max(at * NANOSECONDS_PER_TICK - self.clock, 0), MAX_TIMER)
        self.actions.append(codec.encode_timer(self._last_cookie, span))

    def make_scheduler(
        self, config: DeploymentConfig, seed: int, now: int
    ) -> SchedulerEvents:
        """The scheduler of this instance."""
        return Scheduler(config, seed, now, self)

    def on_event(self, event: Event, now: int, rosters: Rosters) -> None:
        """Hand one event to the scheduler.

        Flowing needs no decision: a request in flight is left alone until its attempt
        ends. Probed and NoteFrom answer what the scheduler never asks for.

        Raises:
            MalformedBatchError: the event makes no sense here.
        """
        if event.code == EventCode.BORN:
            self._on_born(event, now)
            return
        scheduler = self.scheduler
        if scheduler is None:
            raise MalformedBatchError(
                f"{codec.event_name(event.code)} for instance {self.number}, "
                "which was never born"
            )
        if event.code == EventCode.REQ:
            scheduler.on_request(now, codec.decode_request(event))
        elif event.code == EventCode.RETURNED:
            result = codec.decode_attempt_result(event, self._report_fields)
            scheduler.on_attempt_result(now, result)
        elif event.code == EventCode.RING:
            scheduler.on_timer(now, self.timers.pop(event.id, None))
        elif event.code == EventCode.UPDATE:
            kind, number = codec.decode_update(event)
            scheduler.on_endpoints(now, kind, _roster(kind, number, rosters))
        elif event.code == EventCode.ABANDONED:
            scheduler.on_client_cancelled(now, event.id)

    def _on_born(self, event: Event, now: int) -> None:
        config = codec.decode_config(event.tail)
        self._report_fields = config.load_report_fields
        self.scheduler = self.make_scheduler(config, event.id, now)


class Host:
    """All instances of this process; they share but the wire's numbered rosters.

    Args:
        make_instance: gives a new instance of a number.
    """

    def __init__(self, make_instance: Callable[[int], Instance] = Instance) -> None:
        self.instances: dict[int, Instance] = {}
        self.rosters: dict[int, tuple[Endpoint, ...]] = {}
        self._make_instance = make_instance

    def answer(self, batch: codec.Batch) -> bytes:
        """Play one batch and give the reply frame.

        Raises:
            MalformedBatchError: the batch makes no sense.
        """
        now = -(-batch.clock // NANOSECONDS_PER_TICK)
        addressed: dict[int, Instance] = {}
        current: Instance | None = None
        for event in batch.events:
            if event.code == EventCode.ROSTER:
                self.rosters[event.id] = codec.decode_roster(event.tail)
            elif event.code == EventCode.INSTANCE:
                current = self._instance(event.id, batch.clock)
                addressed[current.number] = current
            elif current is None:
                raise MalformedBatchError(
                    f"batch {batch.number}: {codec.event_name(event.code)} "
                    "before any Instance"
                )
            else:
                current = self._play(current, event, now)
                addressed[current.number] = current
        return codec.encode_reply(batch.number, self._take_actions(addressed, now))

    def _instance(self, number: int, clock: int) -> Instance:
        instance = self.instances.get(number)
        if instance is None:
            instance = self.instances[number] = self._make_instance(number)
        instance.clock = clock
        return instance

    def _play(self, instance: Instance, event: Event, now: int) -> Instance:
        """Hand one event to an instance; the instance that stands in its place then.

        One that crashes, or is born again, is replaced: what it held and had to say is
        void.
        """
        is_end = event.code in (EventCode.CRASH_NOW, EventCode.BORN)
        if is_end and instance.scheduler is not None:
            clock = instance.clock
            instance = self._make_instance(instance.number)
            instance.clock = clock
            self.instances[instance.number] = instance
            if event.code == EventCode.CRASH_NOW:
                return instance
        _run(instance, partial(instance.on_event, event, now, self.rosters))
        return instance

    def _take_actions(self, addressed: Mapping[int, Instance], now: int) -> list[bytes]:
        """What the instances did that had an event in this batch."""
        actions: list[bytes] = []
        for number, instance in addressed.items():
            scheduler = instance.scheduler
            if scheduler is not None:
                _run(instance, partial(scheduler.dispatch_pending, now))
            if instance.actions:
                actions.append(codec.encode_source(number))
                actions += instance.actions
                instance.actions = []
        return actions


def serve(
    source: BinaryIO,
    sink: BinaryIO,
    make_instance: Callable[[int], Instance] = Instance,
) -> None:
    """Answer batches until the input ends.

    Raises:
        MalformedBatchError: the input is not what the simulator's page says.
    """
    host = Host(make_instance)
    while (batch := codec.read_batch(source)) is not None:
        sink.write(host.answer(batch))
        sink.flush()


def _run(instance: Instance, call: Callable[[], None]) -> None:
    """Run the scheduler; an exception in it goes onto the wire."""
    try:
        call()
    except MalformedBatchError:
        raise
    except Exception as error:
        text = error_location(error)
        instance.actions.append(codec.encode_text(ActionCode.EXCEPTION, text))


def _roster(
    kind: EndpointUpdateKind, number: int, rosters: Rosters
) -> Sequence[Endpoint]:
    if kind is EndpointUpdateKind.FAILED:
        return ()
    if number not in rosters:
        raise MalformedBatchError(f"Update names list {number}, which never came")
    return rosters[number]
