"""Makes a view of changes that come close together, and tells those who watch."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from milletsill.fleet.transport import Member, MemberChange, View, ViewHandler

# Tenths of a millisecond: changes so close together make one view.
BATCH_INTERVAL = 200


class ViewPublisher:
    """The present view and its watchers.

    Args:
        members: Returns all members as they are now.
        schedule: Calls a function once, after tenths of a millisecond.
        on_view: Called with each view, before its watchers.

    Attributes:
        view: The present view.
    """

    def __init__(
        self,
        members: Callable[[], Iterable[Member]],
        schedule: Callable[[int, Callable[[], None]], None],
        on_view: Callable[[View], None],
    ) -> None:
        self._members = members
        self._schedule = schedule
        self._on_view = on_view
        self._handlers: list[ViewHandler] = []
        self._pending: list[MemberChange] = []
        self.view = View(0, ())

    def watch(self, handler: ViewHandler) -> None:
        """Call `handler` after each change of the view."""
        self._handlers.append(handler)

    def add_change(self, changed: MemberChange) -> None:
        """Note a change for the next view."""
        if not self._pending:
            self._schedule(BATCH_INTERVAL, self.publish)
        self._pending.append(changed)

    def publish(self) -> None:
        """Make the next view and tell all who watch."""
        changes = self._pending
        self._pending = []
        self.view = View(self.view.version + 1, self._members())
        self._on_view(self.view)
        for handler in self._handlers:
            handler(self.view, changes)
