"""Anti-entropy: gateways compare view digests and exchange full states on mismatch."""

from __future__ import annotations

from random import Random

from milletsill.fleet.frames.messages import FleetMessage
from milletsill.fleet.membership.config import MembershipConfig
from milletsill.fleet.membership.membership_state import MembershipState
from milletsill.fleet.membership.message_sender import MessageSender
from milletsill.fleet.transport import MemberState

# Tenths of a millisecond.
DELAY_AFTER_DIFFERENCE = 5000  # at most, until the exchange after one with a change
INTERVAL_WHILE_ALONE = 5000  # between exchanges while no other member is present

# One exchange in this many goes to a gone member or to a seed that is not in the view,
# so that the sides of a network partition find each other however long it lasted.
ABSENT_TARGET_ODDS = 3
# Each interval is the configured one times a random factor from MIN_INTERVAL_FACTOR to
# MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_RANGE, which centres on 1.
MIN_INTERVAL_FACTOR = 0.75
INTERVAL_FACTOR_RANGE = 0.5


class AntiEntropy:
    """Decides when this gateway exchanges its view, and with which others.

    Args:
        state: The membership state of this gateway.
        sender: Sends the digests and full states.
        seeds: Addresses of some other gateways, from this gateway's settings file.
        random: The random number generator of this gateway.
        now: The current time; the first exchange is due immediately.
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
        """Begin an exchange; full states follow only if the digests differ."""
        config: MembershipConfig = self._state.config
        factor = MIN_INTERVAL_FACTOR + INTERVAL_FACTOR_RANGE * self._random.random()
        self.next_exchange = now + int(config.exchange_interval * factor)
        if self._is_alone:
            self.next_exchange = now + INTERVAL_WHILE_ALONE
        for address in self._targets():
            self._sender.send_digest(address)

    def on_digest(self, now: int, message: FleetMessage) -> None:
        """Answer a digest that differs from this gateway's with the full state."""
        if message.digest != self._state.table.digest:
            self._sender.send_full_state(now, message.sender.address, reply_wanted=True)

    def on_full_state(self, now: int, message: FleetMessage, changed: bool) -> None:
        """Handle another gateway's full state, which has already been merged.

        Args:
            now: The current time.
            message: The full state message.
            changed: Whether merging it changed any member.
        """
        if changed:
            self.next_exchange = min(self.next_exchange, now + DELAY_AFTER_DIFFERENCE)
        if message.reply_wanted:
            self._sender.send_full_state(
                now, message.sender.address, reply_wanted=False
            )

    @property
    def _is_alone(self) -> bool:
        return len(self._state.table.ring) < 2

    def _targets(self) -> list[str]:
        table = self._state.table
        absent_seeds = self._absent_seeds()
        if self._is_alone and absent_seeds:
            return absent_seeds
        absent = self._gone_addresses() + absent_seeds
        picks_absent = bool(absent) and self._random.randrange(ABSENT_TARGET_ODDS) == 0
        if picks_absent or self._is_alone:
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
