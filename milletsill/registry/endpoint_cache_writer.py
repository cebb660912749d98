"""Write the endpoint cache outside the reactor thread, once for a burst of changes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.threads import deferToThread

from milletsill.registry import endpoint_cache
from milletsill.registry.endpoint_view import EndpointView

SAVE_DELAY_SECONDS = 0.5  # seconds


class EndpointCacheWriter:
    """Writes a view to a file SAVE_DELAY_SECONDS after it changed.

    A failed write is logged once, until a write succeeds again.
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
        """Schedule a write of the view, unless one is scheduled."""
        if self.save_call is None:
            self.save_call = self.reactor.callLater(SAVE_DELAY_SECONDS, self._save_now)

    def stop(self) -> None:
        """Run a scheduled write at once, in the calling thread."""
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

    def _on_saved(self, error_text: str) -> None:
        if error_text and not self.failing:
            self.log(f"the endpoint list cannot be stored: {error_text}")
        self.failing = bool(error_text)
