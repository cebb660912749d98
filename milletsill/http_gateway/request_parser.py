"""A client's request as a transfer, by the platform's header names. What cannot be one is named, and reaches nobody."""

from __future__ import annotations

import re
from collections.abc import Mapping

from milletsill.deployment_config import DeploymentConfig, RetrySafety
from milletsill.deployment_settings import LOAD_REPORT_NAMES
from milletsill.errors import InvalidValue
from milletsill.http1.message import HttpMessage
from milletsill.interface import Request

HEX16 = re.compile(rb"[0-9a-f]{16}\Z")
TARGET = re.compile(rb"/([^/?#]+)(?:[/?][!-\"$-~]*)?\Z")
BLOCK = re.compile(rb"(?:^|;\s*)block=([^;]*)")
UNITS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?\Z")
WHOLE = re.compile(rb"[0-9]{1,9}\Z")
KEY = re.compile(rb"[!-~]{1,256}\Z")
LONGEST_WAIT = 36_000_000  # tenths of a millisecond; nobody waits for an hour
MOST_GATEWAYS = 1 << 20
MOST = 1e9  # units and cells, where the settings set no bound


class InvalidRequest(InvalidValue):
    """A client's request that is no transfer; `status` is its answer."""

    remedy = "nothing: the client is told why, and counted under `refused` in the tally"

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Cargo:
    """What passes on unchanged to a node."""

    __slots__ = ("method", "target", "fields", "body")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        fields: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        self.method, self.target, self.fields, self.body = method, target, fields, body


class Categories:
    """Categories and plans by the names that clients use."""

    def __init__(self, config: DeploymentConfig) -> None:
        self.config = config
        self.categories = {
            each.name.encode(): place
            for place, each in enumerate(config.request_classes)
        }
        self.plans = {
            (each.name or "").encode(): place
            for place, each in enumerate(config.service_plans)
        }
        self.planless = list(self.plans) == [
            b""
        ]  # the settings name no plan: requests need not either
        # Which categories write; where the settings leave it out, a request's method says it.
        self.writes = (
            {place for place, each in enumerate(config.write_classes) if each}
            if config.write_classes
            else None
        )
        self.largest, self.cells = (
            config.largest_request_units or MOST,
            config.shard_count or MOST,
        )

    def one(
        self, message: HttpMessage, name: bytes, form: re.Pattern[bytes] | None = None
    ) -> bytes:
        """A field that must be there once, in its form."""
        value = message.fields.get(name)
        if (
            value is None
            or name in message.repeated
            or form is not None
            and not form.match(value)
        ):
            raise InvalidRequest(
                400, f"{name.decode()} is missing, doubled or malformed"
            )
        return value

    def arrival(
        self, message: HttpMessage, came: int, margin: int, by: int | None = None
    ) -> Request:
        """The transfer that a request asks for; `came` is when its last octet was read; it is over at `by` at the latest."""
        id = int(self.one(message, b"x-txn", HEX16), 16)
        category = self.pick(self.categories, message, b"x-lane")
        plan = 0 if self.planless else self.pick(self.plans, message, b"x-plan")
        path = TARGET.match(message.target)
        if path is None or path.group(1) != message.fields[b"x-lane"]:
            raise InvalidRequest(404, "the path is not the category's")
        write = (
            message.method == b"PUT" if self.writes is None else category in self.writes
        )
        if (
            message.method != (b"PUT" if write else b"GET")
            or not write
            and message.body
        ):
            raise InvalidRequest(405, "method or body do not fit the category")
        safety = self.config.request_classes[category].retry_safety
        if safety is RetrySafety.IDEMPOTENCY_KEYED:
            self.one(message, b"idempotency-key", KEY)
        block = BLOCK.search(self.one(message, b"cookie"))
        if block is None or not HEX16.match(block.group(1)):
            raise InvalidRequest(400, "no block in the cookie")
        left = int(self.one(message, b"x-remaining-ms", WHOLE)) * 10
        if not 0 < left <= LONGEST_WAIT:
            raise InvalidRequest(400, "a time that nobody waits")
        ends = came + left - margin if by is None else min(came + left - margin, by)
        volume, units, cell, gateways = self.io(message)
        return Request(
            id,
            int(block.group(1), 16),
            volume,
            gateways,
            category,
            plan,
            message.fields.get(b"x-resent") == b"1",
            write,
            cell,
            units,
            ends,
        )

    def pick(
        self, names: Mapping[bytes, int], message: HttpMessage, field: bytes
    ) -> int:
        """The place of a category or a plan."""
        place = names.get(self.one(message, field))
        if place is None:
            raise InvalidRequest(404, f"{field.decode()} is not known")
        return place

    def io(self, message: HttpMessage) -> tuple[int, float, int | None, int]:
        """Volume, units, cell and gateways."""
        parts = dict(
            part.strip().split(b"=", 1)
            for part in self.one(message, b"x-io").split(b",")
            if b"=" in part
        )
        volume, units = parts.get(b"volume", b""), parts.get(b"units", b"")
        shard, hosts = parts.get(b"shard", b""), parts.get(b"hosts", b"")
        if not (
            HEX16.match(volume)
            and UNITS.match(units)
            and (shard == b"-1" or WHOLE.match(shard))
            and WHOLE.match(hosts)
        ):
            raise InvalidRequest(400, "x-io is malformed")
        cell = None if shard == b"-1" else int(shard)
        if (
            not 0 < float(units) <= self.largest
            or not 0 < int(hosts) <= MOST_GATEWAYS
            or (cell is not None and cell >= self.cells)
        ):
            raise InvalidRequest(400, "x-io is out of bounds")
        return int(volume, 16), float(units), cell, int(hosts)


def cargo_of(message: HttpMessage) -> Cargo:
    """What a node gets of it."""
    fields = [(b"X-Txn", message.fields[b"x-txn"])]
    if b"idempotency-key" in message.fields:
        fields.append((b"Idempotency-Key", message.fields[b"idempotency-key"]))
    return Cargo(message.method, message.target, fields, message.body)


def number_in(value: bytes | None, most: float) -> float | None:
    """A number from 0 of a field; None where there is none that can be believed."""
    if value is None or len(value) > 24:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number <= most else None


def report_in(value: bytes | None) -> dict[str, float]:
    """A load report, field by field; what cannot be read is passed over."""
    report = dict[str, float]()
    for part in (value or b"")[:512].split(b","):
        name, _, text = part.strip().partition(b"=")
        word, number = (
            LOAD_REPORT_NAMES.get(name.decode("latin-1")),
            number_in(text, 1e9),
        )
        if word is not None and number is not None:
            report[word] = number
    return report
