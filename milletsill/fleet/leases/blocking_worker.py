"""One thread for jobs that block, in their order; results come back by the reactor. A job's Fault is its result."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any

from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from milletsill.errors import MilletsillError
from milletsill.fleet.leases.errors import AcceptorStateUnusable


def tried(job: Callable[[], Any]) -> Any:
    """Guards the reactor's side against a job that ends by a mistake of ours: it would wait for ever. Said in full, once each."""
    try:
        return job()
    except MilletsillError as error:
        return error
    except Exception as error:
        traceback.print_exc()
        return AcceptorStateUnusable(f"{type(error).__name__}: {error}", "register")


class Worker:
    """Bounded by those who call it: each keeps few jobs under way."""

    def __init__(self, reactor: Any) -> None:
        self.reactor, self.pool, self.stopped = (
            reactor,
            ThreadPool(1, 1, "register"),
            False,
        )
        self.pool.start()

    def run(self, job: Callable[[], Any], then: Callable[[Any], None]) -> None:
        """`then` gets the result, by the reactor; not after `stop`."""
        if not self.stopped:
            done = deferToThreadPool(self.reactor, self.pool, tried, job)
            done.addCallback(lambda result: None if self.stopped else then(result))
            done.addErrback(lambda failure: failure.printTraceback())

    def stop(self) -> None:
        """Waits for the job under way."""
        self.stopped = True
        self.pool.stop()
