"""Write the endpoint cache off the reactor's thread, once for a flood of changes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.threads import deferToThread

from milletsill.registry import endpoint_cache
from milletsill.registry.endpoint_view import EndpointView

SAVE_DELAY = 0.5  # seconds


class EndpointCacheWriter:
    """Writes a view to a file some time after it changed.

    `log` hears of a disk that refuses, once until it takes a list again.
    """

    def __init__(
        self,
        reactor: Any,
        path: str,
        view: EndpointView,
        log: Callable[[str], None],
    ) -> None:
        self.reactor = reactor
        self.path = path
        self.view = view
        self.log = log
        self.failing = False
        self.save_call: Any = None

    def save(self) -> None:
        """Write the view soon."""
        if self.save_call is None:
            self.save_call = self.reactor.callLater(SAVE_DELAY, self._save_now)

    def stop(self) -> None:
        """Write what is not written yet, in this thread."""
        if self.save_call is None:
            return
        self.save_call.cancel()
        self.save_call = None
        try:
            endpoint_cache.write_cache(self.path, self.view.by_key, self.view.revision)
        except endpoint_cache.EndpointCacheNotStoredError as error:
            self._on_saved(error.describe())

    def _save_now(self) -> None:
        self.save_call = None
        nodes = dict(self.view.by_key)
        writing = deferToThread(
            endpoint_cache.write_cache, self.path, nodes, self.view.revision
        )
        writing.addCallbacks(
            lambda _: self._on_saved(""),
            lambda failure: self._on_saved(failure.getErrorMessage()),
        )

    def _on_saved(self, complaint: str) -> None:
        if complaint and not self.failing:
            self.log(f"the list cannot be kept: {complaint}")
        self.failing = bool(complaint)
