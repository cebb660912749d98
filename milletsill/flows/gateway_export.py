"""Flow export as the edge sees it: what it is told of, in the edge's terms."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import xxhash

from milletsill.flows.exporter import Exporter
from milletsill.flows.meter import BoxKey, ClientKey
from milletsill.sftp.extensions import NodeRequest


def domain_of(name: str) -> int:
    """The observation domain of a gateway whose file names none: from its name, never 0."""
    return xxhash.xxh32_intdigest(name.encode("utf-8", "replace")) or 1


def address_of(host: str) -> str:
    """An IPv4 address, or 0.0.0.0 for what is none."""
    parts = host.split(".")
    return (
        host
        if len(parts) == 4
        and all(each.isdecimal() and int(each) < 256 for each in parts)
        else "0.0.0.0"
    )


class Flows:
    """One gateway's export."""

    def __init__(
        self,
        reactor: Any,
        now: Callable[[], int],
        file: Any,
        seed: int,
        remark: Callable[..., None],
    ) -> None:
        domain = (
            file.flows.domain if file.flows.HasField("domain") else domain_of(file.name)
        )
        self.exporter = Exporter(
            reactor, now, file.flows, file.name, domain, seed + 1, remark
        )
        self.meter = self.exporter.meter
        self.address = address_of(file.listen.rpartition(":")[0])
        self.volumes = {place + 1: each.name for place, each in enumerate(file.volume)}
        self.stopped = False

    def start(self) -> None:
        self.exporter.start()

    def client(
        self,
        ends: tuple[str, int, str, int],
        store: str,
        plan: str,
        category: str,
        final: str,
        octets_in: int,
        octets_out: int,
        span: int,
    ) -> None:
        """One command, or with an empty `final` a packet that is none."""
        host, port, own, own_port = ends
        key = ClientKey(
            address_of(host), port, address_of(own), own_port, store, plan, category
        )
        self.meter.command(key, final, octets_in, octets_out, octets_out > 0, span)

    def box(
        self, id: int, address: str
    ) -> Callable[[NodeRequest | None, str, int, int, int], None]:
        """What a box's pool tells."""
        host, _, port = address.rpartition(":")
        host, number = address_of(host), int(port)

        def metered(
            order: NodeRequest | None,
            outcome: str,
            octets_to: int,
            octets_back: int,
            span: int,
        ) -> None:
            store = self.volumes.get(order.volume, "") if order is not None else ""
            key = BoxKey(
                self.address,
                host,
                number,
                id,
                store,
                order.category if order is not None else "",
                outcome,
            )
            self.meter.dispatch(
                key,
                order is not None and order.number > 0,
                octets_to,
                octets_back,
                span,
            )

        return metered

    def stop(self) -> None:
        """Flush within what the queues bound; once."""
        if not self.stopped:
            self.stopped = True
            self.exporter.flush()
            self.exporter.stop()
