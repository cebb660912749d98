"""Runs blocking jobs in one thread, in order; the reactor delivers the results."""

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
    """Runs jobs one after another, outside the reactor's thread."""

    def run(
        self, job: Callable[[], T], on_result: Callable[[T | MilletsillError], None]
    ) -> None:
        """Run a job; the reactor calls `on_result` once, but not after `stop`."""

    def stop(self) -> None:
        """Wait for the running job."""


def run_guarded(job: Callable[[], T]) -> T | MilletsillError:
    """Run a job and return its result, or the error that ended it.

    An unexpected exception, which is a bug in the job, is also returned as an error:
    otherwise the caller in the reactor would wait forever. Its traceback is printed.
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
    """An executor with one thread.

    Its queue has no limit of its own, because its callers keep few jobs waiting.
    """

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
        """Wait for the running job; its result is dropped."""
        self._is_stopped = True
        self._pool.stop()
