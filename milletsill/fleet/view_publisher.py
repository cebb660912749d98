"""Combines changes in quick succession into one view, and notifies its watchers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from milletsill.fleet.transport import Member, MemberChange, View, ViewHandler

# Tenths of a millisecond from the first change until the view that includes it.
BATCH_INTERVAL = 200


class ViewPublisher:
    """Holds the current view and the handlers that watch it.

    Args:
        members: Returns the current state of all members.
        schedule: Calls a function once, after a delay in tenths of a millisecond.
        on_view: Called with each new view, before the watching handlers.

    Attributes:
        view: The current view.
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
        """Add a change to the next view, and schedule that view if none is pending."""
        if not self._pending:
            self._schedule(BATCH_INTERVAL, self.publish)
        self._pending.append(changed)

    def publish(self) -> None:
        """Create the next view and call all handlers with it."""
        changes = self._pending
        self._pending = []
        self.view = View(self.view.version + 1, self._members())
        self._on_view(self.view)
        for handler in self._handlers:
            handler(self.view, changes)
