"""Replicated reports on nodes; each gateway writes one report and copies the others.

Copies converge even if deltas are lost, delayed or duplicated. Each observation carries
the sequence number of the report at which its origin wrote it. Of two observations of
one node, the one with the higher (incarnation, sequence) is kept. A copy records the
sequence number up to which it is complete. A delta after a gap adds its observations
but does not raise that number; the anti-entropy exchange closes the gap. No I/O, no
clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from milletsill.errors import MalformedInputError


class MalformedHealthReportError(MalformedInputError):
    """A health report from another gateway is invalid and was ignored."""

    remedy = (
        "check the version of the gateway that sent the report, and whether another "
        "program sends to the fleet address"
    )


@dataclass(slots=True)
class NodeObservation:
    """One gateway's recent attempt results at one node.

    Attributes:
        sequence: Sequence number of the report when this was written.
        observed_at: Time of the observation by the local clock of the gateway that
            stores it, in tenths of a millisecond.
        answers: Number of attempt results, with exponential decay by age.
        lost_share: Share of the results that are failed attempts.
        wasted_share: Share of the results that failed or exceeded the latency
            objective.
        paced_answers: Number of results with a relative pace, decayed like `answers`.
        relative_pace: Mean log2 of the pace over the usual pace, of those results.
    """

    sequence: int
    observed_at: int
    answers: float
    lost_share: float
    wasted_share: float
    paced_answers: float
    relative_pace: float

    def replicated_state(self) -> tuple[float, ...]:
        """Return the values that are equal in all copies; the local time is not."""
        return (
            self.sequence,
            self.answers,
            self.lost_share,
            self.wasted_share,
            self.paced_answers,
            self.relative_pace,
        )


@dataclass(frozen=True, slots=True)
class ReportVersion:
    """The sequence number up to which a gateway has all of an origin's report."""

    origin: int
    incarnation: int
    sequence: int


@dataclass(slots=True)
class OriginReport:
    """This gateway's copy of the report of one gateway, its origin.

    Attributes:
        origin: The origin's id, a hash of the gateway's name.
        incarnation: Incarnation of the origin that wrote the report.
        complete_up_to: Sequence number up to which this copy is complete.
        sequence: Highest sequence number received.
        observations: The origin's observations by node.
    """

    origin: int
    incarnation: int
    complete_up_to: int = 0
    sequence: int = 0
    observations: dict[int, NodeObservation] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReportDelta:
    """The observations of a report written after `base` and up to `sequence`."""

    origin: int
    incarnation: int
    base: int
    sequence: int
    observations: dict[int, NodeObservation]


ReportState = tuple[int, int, dict[int, tuple[float, ...]]]


class ReportStore:
    """Stores all reports that one gateway has, including its own.

    Args:
        origin: Id of this gateway as an origin.
        incarnation: This gateway's incarnation.
        max_reports: Maximum number of reports; further origins are ignored.
        max_nodes: Maximum number of nodes in a report.
    """

    def __init__(
        self, origin: int, incarnation: int, max_reports: int, max_nodes: int
    ) -> None:
        self.own = OriginReport(origin, incarnation)
        self.reports = {origin: self.own}
        self.max_reports = max_reports
        self.max_nodes = max_nodes

    def restart(self, incarnation: int) -> None:
        """Start a new own report if this gateway has a later incarnation.

        It replaces the copies of the old report at other gateways.
        """
        if incarnation > self.own.incarnation:
            self.own = OriginReport(self.own.origin, incarnation)
            self.reports[self.own.origin] = self.own

    def write(self, observations: dict[int, NodeObservation]) -> ReportDelta:
        """Add own observations and return the delta; drop nodes over the limit."""
        report = self.own
        base = report.sequence
        report.sequence += 1
        report.complete_up_to = report.sequence
        kept = {
            node: observation
            for node, observation in observations.items()
            if node in report.observations or len(report.observations) < self.max_nodes
        }
        for node, observation in kept.items():
            observation.sequence = report.sequence
            report.observations[node] = observation
        return ReportDelta(
            report.origin, report.incarnation, base, report.sequence, kept
        )

    def merge(self, delta: ReportDelta) -> bool:
        """Merge the newer data of a delta; return whether there was any.

        Raises:
            MalformedHealthReportError: The report would cover more than `max_nodes`.
        """
        report = self._report_for(delta)
        if report is None:
            return False
        if len(report.observations.keys() | delta.observations.keys()) > self.max_nodes:
            raise MalformedHealthReportError(
                f"a report on more than {self.max_nodes} nodes",
                f"origin {delta.origin:016x}",
            )
        changed = False
        for node, observation in delta.observations.items():
            current = report.observations.get(node)
            if current is None or observation.sequence > current.sequence:
                report.observations[node] = observation
                changed = True
        report.sequence = max(report.sequence, delta.sequence)
        if delta.base <= report.complete_up_to < delta.sequence:
            report.complete_up_to = delta.sequence
            changed = True
        return changed

    def _report_for(self, delta: ReportDelta) -> OriginReport | None:
        """Return the report that a delta belongs to; None if it is to be ignored."""
        report = self.reports.get(delta.origin)
        if report is self.own:
            return None
        if report is None and len(self.reports) >= self.max_reports:
            return None
        if report is None or delta.incarnation > report.incarnation:
            report = OriginReport(delta.origin, delta.incarnation)
            self.reports[delta.origin] = report
            return report
        return report if delta.incarnation == report.incarnation else None

    def covers(self, version: ReportVersion) -> bool:
        """Return whether the local copy of a report is complete up to a version."""
        report = self.reports.get(version.origin)
        return report is not None and (
            (report.incarnation, report.complete_up_to)
            >= (version.incarnation, version.sequence)
        )

    def delta_since(
        self, origin: int, known: ReportVersion | None
    ) -> ReportDelta | None:
        """Return what the local copy has beyond a known version; None if nothing."""
        report = self.reports.get(origin)
        if report is None:
            return None
        base = 0
        if known is not None:
            if (report.incarnation, report.complete_up_to) <= (
                known.incarnation,
                known.sequence,
            ):
                return None
            if report.incarnation == known.incarnation:
                base = known.sequence
        observations = {
            node: observation
            for node, observation in report.observations.items()
            if base < observation.sequence <= report.complete_up_to
        }
        return ReportDelta(
            origin, report.incarnation, base, report.complete_up_to, observations
        )

    def versions(self) -> Iterator[ReportVersion]:
        """Yield the version up to which the local copy of each report is complete."""
        for report in self.reports.values():
            yield ReportVersion(
                report.origin, report.incarnation, report.complete_up_to
            )

    def expire(self, present: Iterable[int], since: int) -> None:
        """Remove reports of origins not present, and observations before `since`.

        This bounds memory and keeps verdicts independent of absent gateways. The cost:
        an origin that returns has to send its observations again.
        """
        remaining = set(present)
        remaining.add(self.own.origin)
        for origin in [each for each in self.reports if each not in remaining]:
            del self.reports[origin]
        for report in self.reports.values():
            observations = report.observations
            expired = [
                node
                for node, observation in observations.items()
                if observation.observed_at < since
            ]
            for node in expired:
                del observations[node]

    def replicated_state(self) -> dict[int, ReportState]:
        """Return the state that is equal at all gateways after convergence."""
        return {
            report.origin: (
                report.incarnation,
                report.complete_up_to,
                {
                    node: observation.replicated_state()
                    for node, observation in report.observations.items()
                },
            )
            for report in self.reports.values()
        }
