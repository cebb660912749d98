"""Parse a client's HTTP message into a request for the scheduler.

The deployment platform defines the header names. An invalid message is refused with a
reason and reaches no node.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from milletsill.deployment_config import DeploymentConfig, RetrySafety
from milletsill.deployment_settings import LOAD_REPORT_NAMES
from milletsill.errors import InvalidValueError
from milletsill.http1.message import HttpMessage
from milletsill.interface import Request

HEX16 = re.compile(rb"[0-9a-f]{16}\Z")
TARGET = re.compile(rb"/([^/?#]+)(?:[/?][!-\"$-~]*)?\Z")
BLOCK = re.compile(rb"(?:^|;\s*)block=([^;]*)")
UNITS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?\Z")
WHOLE_NUMBER = re.compile(rb"[0-9]{1,9}\Z")
IDEMPOTENCY_KEY = re.compile(rb"[!-~]{1,256}\Z")
TICKS_PER_MS = 10
MAX_CLIENT_TIMEOUT = 36_000_000  # tenths of a millisecond: one hour
MAX_GATEWAYS = 1 << 20
UNBOUNDED = 1e9  # units and shards, if the settings state no limit
MAX_NUMBER_LENGTH = 24  # characters of a number in a node's response
MAX_REPORT_LENGTH = 512  # octets of a load report
MAX_REPORTED = 1e9


class InvalidRequestError(InvalidValueError):
    """A client's request is invalid; `status` is the response status."""

    remedy = (
        "no action is needed: the client receives the reason, and the tally counts it "
        "under `refused`"
    )

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True, eq=False)
class ForwardedPayload:
    """The parts of a request that are forwarded to a node unchanged."""

    method: bytes
    target: bytes
    fields: Sequence[tuple[bytes, bytes]]
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestSize:
    """The values of the X-IO header.

    Attributes:
        volume: the volume's id.
        units: the units of work of the request.
        shard: the shard, None for a new object.
        sharing_gateways: the number of gateways that serve the volume.
    """

    volume: int
    units: float
    shard: int | None
    sharing_gateways: int


class RequestParser:
    """Parses requests; maps the names of request classes and plans to their indices."""

    def __init__(self, config: DeploymentConfig) -> None:
        self.config = config
        self.request_classes = {
            each.name.encode(): index
            for index, each in enumerate(config.request_classes)
        }
        self.service_plans = {
            (each.name or "").encode(): index
            for index, each in enumerate(config.service_plans)
        }
        # If the settings name no plan, requests need not name one.
        self.plan_optional = list(self.service_plans) == [b""]
        # Classes that write; None if the settings do not state them, so that the method
        # of a request decides.
        self.writing_classes: set[int] | None = None
        if config.write_classes:
            writes = enumerate(config.write_classes)
            self.writing_classes = {index for index, each in writes if each}
        self.largest = config.largest_request_units or UNBOUNDED
        self.shards = config.shard_count or UNBOUNDED
        # No client is served for longer than the settings state, however long it says
        # that it waits: its records would be held for as long.
        self.longest_timeout = max(
            (each.client_timeout for each in config.request_classes),
            default=MAX_CLIENT_TIMEOUT,
        )

    def parse(
        self,
        message: HttpMessage,
        arrived_at: int,
        margin: int,
        latest_deadline: int | None = None,
    ) -> Request:
        """Return the request that a message describes.

        Args:
            message: the complete message.
            arrived_at: the earliest time at which its last octet may have arrived, in
                tenths of a millisecond.
            margin: the time from the request's deadline to the client's own deadline.
            latest_deadline: the latest allowed deadline, None for no limit.

        Raises:
            InvalidRequestError: the message is not a valid request.
        """
        request_id = int(self._field(message, b"x-txn", HEX16), 16)
        request_class = self._index(self.request_classes, message, b"x-lane")
        service_plan = 0
        if not self.plan_optional:
            service_plan = self._index(self.service_plans, message, b"x-plan")
        self._check_target(message)
        write = self._check_method(message, request_class)
        safety = self.config.request_classes[request_class].retry_safety
        if safety is RetrySafety.IDEMPOTENCY_KEYED:
            self._field(message, b"idempotency-key", IDEMPOTENCY_KEY)
        key = self._key(message)
        deadline = arrived_at + self._client_timeout(message) - margin
        if latest_deadline is not None:
            deadline = min(deadline, latest_deadline)
        size = self._size(message)
        return Request(
            request_id,
            key,
            size.volume,
            size.sharing_gateways,
            request_class,
            service_plan,
            message.fields.get(b"x-resent") == b"1",
            write,
            size.shard,
            size.units,
            deadline,
        )

    def _field(
        self, message: HttpMessage, name: bytes, form: re.Pattern[bytes] | None = None
    ) -> bytes:
        """Return a header field that must occur once and match the pattern."""
        value = message.fields.get(name)
        if (
            value is None
            or name in message.repeated
            or (form is not None and not form.match(value))
        ):
            reason = f"{name.decode()} is missing, doubled or malformed"
            raise InvalidRequestError(400, reason)
        return value

    def _index(
        self, indices: Mapping[bytes, int], message: HttpMessage, name: bytes
    ) -> int:
        """Return the index of a request class or a service plan."""
        index = indices.get(self._field(message, name))
        if index is None:
            raise InvalidRequestError(404, f"{name.decode()} is not known")
        return index

    def _check_target(self, message: HttpMessage) -> None:
        path = TARGET.match(message.target)
        if path is None or path.group(1) != message.fields[b"x-lane"]:
            raise InvalidRequestError(404, "the path is not the category's")

    def _check_method(self, message: HttpMessage, request_class: int) -> bool:
        """Check the method; return whether the request writes."""
        if self.writing_classes is None:
            write = message.method == b"PUT"
        else:
            write = request_class in self.writing_classes
        expected = b"PUT" if write else b"GET"
        if message.method != expected or (not write and message.body):
            raise InvalidRequestError(405, "method or body do not fit the category")
        return write

    def _key(self, message: HttpMessage) -> int:
        block = BLOCK.search(self._field(message, b"cookie"))
        if block is None or not HEX16.match(block.group(1)):
            raise InvalidRequestError(400, "no block in the cookie")
        return int(block.group(1), 16)

    def _client_timeout(self, message: HttpMessage) -> int:
        remaining_ms = int(self._field(message, b"x-remaining-ms", WHOLE_NUMBER))
        left = remaining_ms * TICKS_PER_MS
        if not 0 < left <= MAX_CLIENT_TIMEOUT:
            raise InvalidRequestError(400, "a time that nobody waits")
        return min(left, self.longest_timeout)

    def _size(self, message: HttpMessage) -> RequestSize:
        parts = dict(
            part.strip().split(b"=", 1)
            for part in self._field(message, b"x-io").split(b",")
            if b"=" in part
        )
        volume = parts.get(b"volume", b"")
        units = parts.get(b"units", b"")
        shard = parts.get(b"shard", b"")
        hosts = parts.get(b"hosts", b"")
        new_object = shard == b"-1"
        if not (
            HEX16.match(volume)
            and UNITS.match(units)
            and (new_object or WHOLE_NUMBER.match(shard))
            and WHOLE_NUMBER.match(hosts)
        ):
            raise InvalidRequestError(400, "x-io is malformed")
        size = RequestSize(
            int(volume, 16),
            float(units),
            None if new_object else int(shard),
            int(hosts),
        )
        if (
            not 0 < size.units <= self.largest
            or not 0 < size.sharing_gateways <= MAX_GATEWAYS
            or (size.shard is not None and size.shard >= self.shards)
        ):
            raise InvalidRequestError(400, "x-io is out of bounds")
        return size


def payload_of(message: HttpMessage) -> ForwardedPayload:
    """Return the parts of a request that are forwarded to a node."""
    fields = [(b"X-Txn", message.fields[b"x-txn"])]
    if b"idempotency-key" in message.fields:
        fields.append((b"Idempotency-Key", message.fields[b"idempotency-key"]))
    return ForwardedPayload(message.method, message.target, fields, message.body)


def parse_number(value: bytes | None, limit: float) -> float | None:
    """Return a number from 0 to a limit, or None if the value is not such a number."""
    if value is None or len(value) > MAX_NUMBER_LENGTH:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number <= limit else None


def parse_load_report(value: bytes | None) -> dict[str, float]:
    """Return the fields of a load report; invalid and unknown fields are ignored."""
    report: dict[str, float] = {}
    for part in (value or b"")[:MAX_REPORT_LENGTH].split(b","):
        name, _, text = part.strip().partition(b"=")
        field = LOAD_REPORT_NAMES.get(name.decode("latin-1"))
        number = parse_number(text, MAX_REPORTED)
        if field is not None and number is not None:
            report[field] = number
    return report
