"""Replicated reports on nodes: one report for each gateway, written by it alone.

Copies become equal whatever is lost, late or doubled. Each observation carries the
report's sequence number at which its origin wrote it; of two observations of one node
the later by (incarnation, sequence) stands. A copy knows up to which sequence it is
complete. A delta that leaves a gap gives its observations and no more; the gap is
closed by an anti-entropy exchange. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from milletsill.errors import MalformedInputError


class MalformedHealthReportError(MalformedInputError):
    """A delta that cannot be one of this program's reports."""

    remedy = (
        "look for a gateway of another version, or another program, "
        "under the address; its report is left out"
    )


@dataclass(slots=True)
class NodeObservation:
    """What one gateway saw of one node lately.

    Attributes:
        sequence: Sequence number of the report at which this was written.
        observed_at: When it was true, by the holder's clock, in tenths of a
            millisecond.
        answers: Number of answers; older ones have faded.
        lost_share: Share of the answers that were failed attempts.
        wasted_share: Share of the answers that failed or missed their target.
        paced_answers: Number of answers that have a pace; faded like `answers`.
        relative_pace: Mean log2 of the pace over the usual one, of those answers.
    """

    sequence: int
    observed_at: int
    answers: float
    lost_share: float
    wasted_share: float
    paced_answers: float
    relative_pace: float

    def replicated_state(self) -> tuple[float, ...]:
        """Everything that is equal in all copies, so without the local time."""
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
    """Up to which sequence a gateway has the whole report of an origin."""

    origin: int
    incarnation: int
    sequence: int


@dataclass(slots=True)
class OriginReport:
    """The report of one gateway, its origin, as this gateway has it.

    Attributes:
        origin: Number of the gateway, a hash of its name.
        incarnation: The start of that gateway in which it wrote this.
        complete_up_to: Sequence number up to which nothing is missing here.
        sequence: Latest sequence number that was seen.
        observations: The origin's observations by node.
    """

    origin: int
    incarnation: int
    complete_up_to: int = 0
    sequence: int = 0
    observations: dict[int, NodeObservation] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReportDelta:
    """Observations of one report written after `base` and up to `sequence`."""

    origin: int
    incarnation: int
    base: int
    sequence: int
    observations: dict[int, NodeObservation]


ReportState = tuple[int, int, dict[int, tuple[float, ...]]]


class ReportStore:
    """All reports that one gateway has, its own among them.

    Args:
        origin: Number of this gateway.
        incarnation: This start of this gateway.
        max_reports: Reports that are kept; further origins are ignored.
        max_nodes: Nodes that one report may cover.
    """

    def __init__(
        self, origin: int, incarnation: int, max_reports: int, max_nodes: int
    ) -> None:
        self.own = OriginReport(origin, incarnation)
        self.reports = {origin: self.own}
        self.max_reports = max_reports
        self.max_nodes = max_nodes

    def restart(self, incarnation: int) -> None:
        """Begin the own report anew if this gateway has a later incarnation.

        Copies of the older report that others have then give way.
        """
        if incarnation > self.own.incarnation:
            self.own = OriginReport(self.own.origin, incarnation)
            self.reports[self.own.origin] = self.own

    def write(self, observations: dict[int, NodeObservation]) -> ReportDelta:
        """Add this gateway's new observations; those that find no room are left out."""
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
        """Take what is newer than this copy; return whether anything was.

        Raises:
            MalformedHealthReportError: The delta covers more nodes than are kept.
        """
        report = self._report_for(delta)
        if report is None:
            return False
        if len(report.observations.keys() | delta.observations.keys()) > self.max_nodes:
            raise MalformedHealthReportError(
                f"a report on over {self.max_nodes} nodes",
                f"origin {delta.origin:016x}",
            )
        changed = False
        for node, observation in delta.observations.items():
            held = report.observations.get(node)
            if held is None or observation.sequence > held.sequence:
                report.observations[node] = observation
                changed = True
        report.sequence = max(report.sequence, delta.sequence)
        if delta.base <= report.complete_up_to < delta.sequence:
            report.complete_up_to = delta.sequence
            changed = True
        return changed

    def _report_for(self, delta: ReportDelta) -> OriginReport | None:
        """Return the report that a delta belongs to; None if it is not to be taken."""
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
        """Return whether a report is complete here up to that version."""
        report = self.reports.get(version.origin)
        return report is not None and (
            (report.incarnation, report.complete_up_to)
            >= (version.incarnation, version.sequence)
        )

    def delta_since(
        self, origin: int, known: ReportVersion | None
    ) -> ReportDelta | None:
        """Return what this copy has beyond a known version; None for nothing."""
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
        """Yield, for each report, up to where it is complete here."""
        for report in self.reports.values():
            yield ReportVersion(
                report.origin, report.incarnation, report.complete_up_to
            )

    def expire(self, present: Iterable[int], since: int) -> None:
        """Drop reports of origins that left, and observations older than `since`.

        This bounds memory and keeps verdicts from resting on those that are gone. The
        price: an origin that comes back has to send its observations again.
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
        """Return what is equal in all copies once they have converged."""
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
