"""One thread for jobs that block, in their order; results come by the reactor."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure
from twisted.python.threadpool import ThreadPool

from milletsill.errors import MilletsillError
from milletsill.fleet.leases.errors import AcceptorStateUnusableError

T = TypeVar("T")


class BlockingExecutor(Protocol):
    """Runs jobs one after another, off the reactor's thread."""

    def run(
        self, job: Callable[[], T], on_result: Callable[[T | MilletsillError], None]
    ) -> None:
        """Run a job; the reactor calls `on_result` once, but not after `stop`."""

    def stop(self) -> None:
        """Wait for the job under way."""


def run_guarded(job: Callable[[], T]) -> T | MilletsillError:
    """Run a job and return its result, or the error that ended it.

    Guards the reactor's side against a job that ends by a mistake of ours: it would
    wait for ever. The mistake is printed in full.
    """
    try:
        return job()
    except MilletsillError as error:
        return error
    except Exception as error:
        traceback.print_exc()
        return AcceptorStateUnusableError(
            f"{type(error).__name__}: {error}", "acceptor"
        )


class BlockingWorker:
    """The executor with a thread; bounded by its callers, who keep few jobs waiting."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._pool = ThreadPool(1, 1, "acceptor")
        self._is_stopped = False
        self._pool.start()

    def run(
        self, job: Callable[[], T], on_result: Callable[[T | MilletsillError], None]
    ) -> None:
        """Run a job; the reactor calls `on_result` once, but not after `stop`."""
        if self._is_stopped:
            return

        def deliver(result: T | MilletsillError) -> None:
            if not self._is_stopped:
                on_result(result)

        done = deferToThreadPool(self._reactor, self._pool, run_guarded, job)
        done.addCallback(deliver)
        done.addErrback(Failure.printTraceback)

    def stop(self) -> None:
        """Wait for the job under way; its result is dropped."""
        self._is_stopped = True
        self._pool.stop()
