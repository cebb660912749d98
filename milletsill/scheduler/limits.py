"""This gateway's parts of what all share: limits (rule 7) and surplus of volumes, cold nodes (rule 4)."""

from math import exp

from milletsill.scheduler.records import Dispatch, Node, State, Transfer
from milletsill.scheduler.tables import (
    CROWDED,
    EASE,
    LEAST_SURPLUS,
    LOT,
    MOST_WINDOW,
    NEVER,
    RARE,
)


class Limits(State):
    def on_quota_share(
        self, now: int, what: str, id: int, share: float | None, ends: int, after: float
    ) -> None:
        """Another part than the even one; None: the even one. What has filled until now fills at the old."""
        volume = self.volumes.get(id) if what == "limit" else None
        if volume is not None and volume.plan["limit_rate"]:
            volume.filled(
                self.parted(what, id, volume.gateways, volume.limit.at, now), now
            )
        self.parts.pop((what, id), None)
        if share is not None:
            self.parts[what, id] = share, ends, after

    def parted(self, what: str, id: int, gateways: int, since: int, now: int) -> float:
        """Into how many parts like this gateway's a whole goes: rules 4 and 7 ask here at each send. A part
        whose time is over counts no longer, whatever kept the one who gave it from saying so.
        """
        if (what, id) not in self.parts:
            return gateways
        share, ends, after = self.parts[what, id]
        return 1 / max(
            share if now < ends else after if since >= ends else min(share, after), 1e-9
        )

    def limit_wait(self, transfer: Transfer, now: int) -> int:  # rule 7: an even part
        volume = transfer.volume
        if not volume.plan["limit_rate"] or transfer.dispatches:
            return 0
        parts = self.parted("limit", volume.id, volume.gateways, volume.limit.at, now)
        short = transfer.units - volume.filled(parts, now)
        return (
            0
            if short <= 0
            else int(short * 10_000 / (volume.plan["limit_rate"] / parts)) + 1
        )

    def surplus_wait(self, transfer: Transfer, now: int) -> int:
        """A volume's surplus waits for its window over all nodes. Guards against surges over so many gateways
        and nodes that no node's window holds them back. Harm: one slow node narrows it for the others.
        """
        volume = transfer.volume
        if transfer.queue is None or transfer.queue is transfer.node.due:
            return 0
        full = volume.out >= max(int(volume.window), 1)
        return (
            int(CROWDED * self.shortest) + 1
            if full
            else max(volume.rest_until - now, 0)
        )

    def ease(
        self, sent: Dispatch, crowded: bool, now: int
    ) -> None:  # below one the window is kept by pauses
        volume = sent.transfer.volume
        if crowded and sent.sent >= volume.narrowed:
            volume.window, volume.narrowed = (
                max(volume.window * EASE, LEAST_SURPLUS),
                now,
            )
        elif not crowded and volume.out + 1 >= int(volume.window):
            volume.window = min(
                volume.window + min(volume.window, 1 / volume.window), MOST_WINDOW
            )
        if sent.surplus:
            volume.out -= 1
            rest = (
                (now - sent.sent)
                * max(1 / volume.window - 1, 0)
                * self.uniform(0.5, 1.5)
            )
            volume.rest_until = now + int(rest)

    def cold_wait(self, transfer: Transfer, node: Node, now: int) -> int:
        """Rule 4: what leaves in a window stays under this gateway's part of what a cold node bears, answered
        or not: guards against a node quicker than promised, which would get more than the settings allow. A
        send weighs as a usual transfer at least: guards against many small ones. Harm: that node idles.
        """
        facts, age = self.facts, now - (node.since or -NEVER)
        span = facts["cold_window"] + 2
        while node.sends and node.sends[0][0] + span <= now:
            node.sends.popleft()
        if (
            age >= facts["warm_after"]
            or not facts["cold_multiple"] * facts["cold_window"]
        ):
            return 0
        part = self.bears(age - span) / self.parted(
            "cold", node.id, facts["gateways"], now - span, now
        )
        if part < facts["unit_mean"] and ("cold", node.id) not in self.parts:
            return self.lot_wait(transfer, age, span)
        weighs = max(transfer.units, facts["unit_mean"])
        if sum(units for _, units in node.sends) + weighs <= part:
            return 0
        return max((node.sends[0][0] if node.sends else now - span) + span - now, 1)

    def bears(self, age: int) -> float:
        """Units a cold node bears in any window of those who know its start; untold: one usual transfer."""
        facts, units = self.facts, self.facts["cold_units"] or self.facts["unit_mean"]
        grown = (
            (1 / (facts["cold_from"] or 1.0) - 1)
            * max(age, 0)
            / max(facts["warm_after"], 1)
        )
        return units * (1 + grown)

    def lot_wait(self, transfer: Transfer, age: int, span: int) -> int:
        """Where an even part is below one usual transfer each is drawn for once, with odds of the part that
        filled since this gateway's last one for the cell: over the fleet the mean is LOT of what the node may
        get, or less where the spread (RARE, design.md) leaves less; large ones pay for their weight. Guards
        rule 4. Harm: most of what is held there never goes.
        """
        mean, gateways = self.facts["unit_mean"], self.facts["gateways"]
        bears = self.bears(age - span) / mean
        line = bears + 2 * bears**0.5 + 2
        drawn = min(LOT * bears, line / exp(1 + RARE / line))
        odds = (
            drawn
            / gateways
            * transfer.gap
            / span
            * (line / drawn) ** min(1 - transfer.units / mean, 0)
        )
        transfer.lot = self.uniform(0, 1) if transfer.lot < 0 else transfer.lot
        return 0 if transfer.lot < odds and not transfer.dispatches else span
