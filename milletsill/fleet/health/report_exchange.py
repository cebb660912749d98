"""Distributes reports by gossip of new deltas and by anti-entropy.

In each round a gateway sends new deltas once to GOSSIP_FANOUT random members. Every
second it sends the versions of its reports to one random member, which answers with
what is missing. No socket, no clock. Messages may be lost.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random

from milletsill.fleet.health import codec
from milletsill.fleet.health.report_store import (
    NodeObservation,
    ReportDelta,
    ReportStore,
    ReportVersion,
)
from milletsill.fleet.health.tuning import (
    GOSSIP_FANOUT,
    MAX_PENDING_DELTAS,
    SYNC_INTERVAL,
)

SendFrame = Callable[[str, bytes], object]


class ReportExchange:
    """Sends and receives reports for one gateway.

    Args:
        store: The reports that this gateway has.
        seed: Seed of the random choice of members.
        send: Sends a frame to a member; the frame may be lost.
    """

    def __init__(self, store: ReportStore, seed: int, send: SendFrame) -> None:
        self.store = store
        self.sent_bytes = 0
        self._send = send
        self._random = Random(seed)
        self._pending: list[ReportDelta] = []
        self._next_sync = 0

    def write(self, observations: dict[int, NodeObservation]) -> None:
        """Add observations to the own report, to be sent in the next round.

        They are stored with the precision at which other gateways receive them.
        """
        if not observations:
            return
        delta = self.store.write(
            {
                node: codec.quantize(observation)
                for node, observation in observations.items()
            }
        )
        self._pending.append(delta)

    def run_round(self, now: int, others: Sequence[str]) -> None:
        """Send pending deltas to some members and, if due, versions to one member."""
        if self._pending and others:
            members = self._random.sample(others, min(GOSSIP_FANOUT, len(others)))
            self.send_to(members, self._pending, (), now)
        self._pending = []
        if others and now >= self._next_sync:
            self._next_sync = now + SYNC_INTERVAL
            members = self._random.sample(others, 1)
            self.send_to(members, (), self.store.versions(), now)

    def send_to(
        self,
        members: Sequence[str],
        deltas: Iterable[ReportDelta],
        versions: Iterable[ReportVersion],
        now: int,
    ) -> None:
        """Send deltas and versions to each of the members."""
        for body in codec.encode_frames(deltas, versions, now):
            for member in members:
                self.sent_bytes += len(body)
                self._send(member, body)

    def on_frame(
        self, now: int, member: str, body: bytes, is_present: Callable[[int], bool]
    ) -> None:
        """Merge a member's frame; reports of origins outside the view are ignored.

        Raises:
            MalformedHealthReportError: The frame or one of its deltas is invalid.
        """
        frame = codec.decode_frame(body)
        self.merge(
            codec.decode_delta(message, now)
            for message in frame.difference
            if is_present(message.origin)
            and not self.store.covers(
                ReportVersion(message.origin, message.run, message.sequence)
            )
        )
        if frame.known:
            self.send_missing(now, member, codec.decode_versions(frame))

    def merge(self, deltas: Iterable[ReportDelta]) -> None:
        """Merge deltas; those with new data are forwarded in the next round."""
        for delta in deltas:
            if self.store.merge(delta) and len(self._pending) < MAX_PENDING_DELTAS:
                self._pending.append(delta)

    def send_missing(
        self, now: int, member: str, known: dict[int, ReportVersion]
    ) -> None:
        """Send a member the data that it lacks; `known` has its versions by origin."""
        deltas = [
            self.store.delta_since(origin, known.get(origin))
            for origin in self.store.reports
        ]
        self.send_to(
            (member,), [delta for delta in deltas if delta is not None], (), now
        )
