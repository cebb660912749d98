"""Host scheduler instances for the simulator.

Events of the wire become calls of a scheduler's `SchedulerEvents`, and its calls of
`SchedulerEffects` become actions of the wire.
"""

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

# In nanoseconds; the wire protocol accepts timers of up to 71 minutes.
MAX_TIMER_DELAY = 70 * 60 * 1_000_000_000

Rosters = Mapping[int, tuple[Endpoint, ...]]


class Instance:
    """One simulated gateway: a scheduler, its timers and its actions in this batch.

    It implements the scheduler's `SchedulerEffects` and encodes each as an action.

    Attributes:
        number: the simulator's number of this instance.
        scheduler: None until the instance is born.
        clock: the time of this batch in nanoseconds.
        actions: the encoded actions of the scheduler in this batch.
        timers: the tokens of pending timers, by the cookie on the wire.
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
        """Emit an Attempt action."""
        nanoseconds = timeout * NANOSECONDS_PER_TICK
        self.actions.append(codec.encode_attempt(request_id, node_id, nanoseconds))

    def reject(self, request_id: int, retry_after: int) -> None:
        """Emit a Reject action."""
        nanoseconds = max(retry_after, 0) * NANOSECONDS_PER_TICK
        self.actions.append(codec.encode_rejection(request_id, nanoseconds))

    def fail(self, request_id: int) -> None:
        """Emit a Failure action."""
        self.actions.append(codec.encode_failure(request_id))

    def cancel_attempt(self, request_id: int, attempt_number: int) -> None:
        """Emit a CallOff action."""
        self.actions.append(codec.encode_cancellation(request_id, attempt_number))

    def watch_endpoints(self) -> None:
        """Emit a Stream action, which subscribes to changes of the endpoint list."""
        self.actions.append(codec.encode_watch(1))

    def fetch_endpoints(self) -> None:
        """Emit a Query action, which requests the whole endpoint list."""
        self.actions.append(codec.encode_query())

    def probe_node(self, node_id: int) -> None:
        """Emit a Probe action."""
        self.actions.append(codec.encode_probe(node_id))

    def log(self, text: str) -> None:
        """Emit a Remark action."""
        self.actions.append(codec.encode_text(ActionCode.REMARK, text))

    def set_timer(self, at: int, token: object) -> None:
        """Emit a Notify action; the Ring event that answers it carries its cookie."""
        self._last_cookie += 1
        self.timers[self._last_cookie] = token
        delay = min(max(at * NANOSECONDS_PER_TICK - self.clock, 0), MAX_TIMER_DELAY)
        self.actions.append(codec.encode_timer(self._last_cookie, delay))

    def make_scheduler(
        self, config: DeploymentConfig, seed: int, now: int
    ) -> SchedulerEvents:
        """Create the scheduler of this instance."""
        return Scheduler(config, seed, now, self)

    def on_event(self, event: Event, now: int, rosters: Rosters) -> None:
        """Pass one event to the scheduler.

        Flowing events are ignored, since the scheduler decides nothing about an attempt
        between its start and its end. Probed and NoteFrom events are ignored, since
        they answer actions that the scheduler never takes.

        Raises:
            MalformedBatchError: the instance is not born, or the event is invalid.
        """
        if event.code == EventCode.BORN:
            self._on_born(event, now)
            return
        scheduler = self.scheduler
        if scheduler is None:
            raise MalformedBatchError(
                f"{codec.event_name(event.code)} for instance {self.number}, "
                "which has had no Born event"
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
            scheduler.on_endpoints(now, kind, _endpoints(kind, number, rosters))
        elif event.code == EventCode.ABANDONED:
            scheduler.on_client_cancelled(now, event.id)

    def _on_born(self, event: Event, now: int) -> None:
        config = codec.decode_config(event.tail)
        self._report_fields = config.load_report_fields
        self.scheduler = self.make_scheduler(config, event.id, now)


class Host:
    """All instances of this process; they share only the wire's numbered rosters.

    Args:
        make_instance: creates an instance with the given number.
    """

    def __init__(self, make_instance: Callable[[int], Instance] = Instance) -> None:
        self.instances: dict[int, Instance] = {}
        self.rosters: dict[int, tuple[Endpoint, ...]] = {}
        self._make_instance = make_instance

    def answer(self, batch: codec.Batch) -> bytes:
        """Process one batch and return the frame that answers it.

        Raises:
            MalformedBatchError: an event is invalid or precedes the first Instance.
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
                current = self._process(current, event, now)
                addressed[current.number] = current
        return codec.encode_reply(batch.number, self._take_actions(addressed, now))

    def _instance(self, number: int, clock: int) -> Instance:
        instance = self.instances.get(number)
        if instance is None:
            instance = self.instances[number] = self._make_instance(number)
        instance.clock = clock
        return instance

    def _process(self, instance: Instance, event: Event, now: int) -> Instance:
        """Pass one event to an instance, and return the current instance of its number.

        CrashNow, or another Born, replaces the instance by a new one; its state and its
        actions in this batch are discarded.
        """
        is_end = event.code in (EventCode.CRASH_NOW, EventCode.BORN)
        if is_end and instance.scheduler is not None:
            clock = instance.clock
            instance = self._make_instance(instance.number)
            instance.clock = clock
            self.instances[instance.number] = instance
            if event.code == EventCode.CRASH_NOW:
                return instance
        _call_scheduler(instance, partial(instance.on_event, event, now, self.rosters))
        return instance

    def _take_actions(self, addressed: Mapping[int, Instance], now: int) -> list[bytes]:
        """Return and clear the actions of the instances that this batch addressed."""
        actions: list[bytes] = []
        for number, instance in addressed.items():
            scheduler = instance.scheduler
            if scheduler is not None:
                _call_scheduler(instance, partial(scheduler.dispatch_pending, now))
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
        MalformedBatchError: the input violates the simulator's wire protocol.
    """
    host = Host(make_instance)
    while (batch := codec.read_batch(source)) is not None:
        sink.write(host.answer(batch))
        sink.flush()


def _call_scheduler(instance: Instance, call: Callable[[], None]) -> None:
    """Call the scheduler, and report an exception in it as an Exception action."""
    try:
        call()
    except MalformedBatchError:
        raise
    except Exception as error:
        text = error_location(error)
        instance.actions.append(codec.encode_text(ActionCode.EXCEPTION, text))


def _endpoints(
    kind: EndpointUpdateKind, number: int, rosters: Rosters
) -> Sequence[Endpoint]:
    if kind is EndpointUpdateKind.FAILED:
        return ()
    if number not in rosters:
        raise MalformedBatchError(
            f"Update refers to roster {number}, but no Roster event has defined it"
        )
    return rosters[number]
