"""Anti-entropy: gateways compare view digests and exchange full states that differ."""

from __future__ import annotations

from random import Random

from milletsill.fleet.frames.messages import FleetMessage
from milletsill.fleet.membership.config import MembershipConfig
from milletsill.fleet.membership.membership_state import MembershipState
from milletsill.fleet.membership.message_sender import MessageSender
from milletsill.fleet.transport import MemberState

# Tenths of a millisecond.
AFTER_DIFFERENCE = 5000  # to the exchange after one that found a difference
WHILE_ALONE = 5000  # between exchanges while no other member is known

# One exchange in so many goes to a member believed gone or to a seed that is in no
# view, so that the halves of a cut find each other after any time.
ABSENT_TARGET_ODDS = 3
# An interval is drawn from this share of the configured one on, up to the same above.
LEAST_INTERVAL_SHARE = 0.75
INTERVAL_SPREAD = 0.5


class AntiEntropy:
    """When this gateway exchanges its view, and with whom.

    Args:
        state: What it holds.
        sender: Sends its messages.
        config: The exchange interval.
        seeds: Addresses of some others, from the gateway's file.
        random: This gateway's own.
        now: The time; the first exchange is due at once.
    """

    def __init__(
        self,
        state: MembershipState,
        sender: MessageSender,
        seeds: tuple[str, ...],
        random: Random,
        now: int,
    ) -> None:
        self._state = state
        self._sender = sender
        self._seeds = seeds
        self._random = random
        self.next_exchange = now

    def exchange(self, now: int) -> None:
        """Begin an exchange; full states follow only where digests differ."""
        config: MembershipConfig = self._state.config
        share = LEAST_INTERVAL_SHARE + INTERVAL_SPREAD * self._random.random()
        self.next_exchange = now + int(config.exchange_interval * share)
        if self._is_alone:
            self.next_exchange = now + WHILE_ALONE
        for address in self._targets():
            self._sender.digest(address)

    def on_digest(self, now: int, message: FleetMessage) -> None:
        """Answer another gateway's digest with this one's state where they differ."""
        if message.digest != self._state.table.digest:
            self._sender.full_state(now, message.sender.address, reply_wanted=True)

    def on_full_state(self, now: int, message: FleetMessage, changed: bool) -> None:
        """React to another gateway's state, which is merged already.

        Args:
            now: The time.
            message: The frame.
            changed: Whether it said anything new.
        """
        if changed:
            self.next_exchange = min(self.next_exchange, now + AFTER_DIFFERENCE)
        if message.reply_wanted:
            self._sender.full_state(now, message.sender.address, reply_wanted=False)

    @property
    def _is_alone(self) -> bool:
        return len(self._state.table.ring) < 2

    def _targets(self) -> list[str]:
        table = self._state.table
        absent_seeds = self._absent_seeds()
        if self._is_alone and absent_seeds:
            return absent_seeds
        absent = self._gone_addresses() + absent_seeds
        tries_absent = bool(absent) and self._random.randrange(ABSENT_TARGET_ODDS) == 0
        if tries_absent or self._is_alone:
            return [absent[self._random.randrange(len(absent))]] if absent else []
        names = table.sample(1, self._random.randrange, self._state.name)
        return [table.entries[name].address for name in names]

    def _absent_seeds(self) -> list[str]:
        table = self._state.table
        present = {table.entries[name].address for _, name in table.ring}
        return [each for each in self._seeds if each not in present]

    def _gone_addresses(self) -> list[str]:
        table = self._state.table
        absent = [table.entries[name] for name in table.absent]
        return [each.address for each in absent if each.state is MemberState.GONE]
