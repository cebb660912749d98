"""Guards of the gateway against races, each of which a test can remove.

The search for races must find a breach when any one of them is missing.
"""

from contextlib import contextmanager
from unittest.mock import patch

from milletsill.gateway import reactor_turn, timer_queue
from milletsill.gateway.scheduler_host import SchedulerHost
from milletsill.http_gateway import node_pool
from milletsill.http_gateway.client_connection import ClientConnection
from milletsill.http_gateway.endpoint_watch import EndpointWatch
from milletsill.http_gateway.gateway import HttpGateway
from milletsill.http_gateway.node_connection import HttpNodeConnection
from milletsill.http_gateway.node_exchange import HttpNodeReply, outcome_of
from milletsill.http_gateway.node_pool import HttpNodePool
from milletsill.http_gateway.process_state import ProcessEvent
from milletsill.interface import AttemptOutcome


def retire(self):
    self.retired = True
    self.close_idle()


def connection_lost(self, reason=None):
    """Like the original, but a reset counts as the end of a response."""
    complete = self.reader.on_close()
    exchange, self.exchange = self.exchange, None
    self._on_gone()
    if exchange is not None and complete is not None:
        exchange.end(outcome_of(complete), HttpNodeReply(complete))
    elif exchange is not None:
        exchange.end(AttemptOutcome.RESET)


def on_idle(self, connection):
    connection.idle_since = self.now()
    self.idle.append(connection)
    self.serve_soon()


def on_idle_retired(self, connection):
    """Like the original, but ignoring that the node has retired."""
    self.retired, retired = False, self.retired
    ON_IDLE(self, connection)
    self.retired = retired


ON_IDLE = HttpNodePool.on_idle


def close(self, active):
    active.answered = True
    self.unanswered -= 1
    self._remove_if_finished(active)


def data_received(self, data):
    """Like the original, but bytes that precede the request count as its response."""
    self.uses, uses = 1, self.uses
    try:
        DATA_RECEIVED(self, data)
    finally:
        self.uses = uses


DATA_RECEIVED = HttpNodeConnection.dataReceived


def finish(self, outcome, reply, keep):
    FINISH(self, outcome, reply, True)


FINISH = HttpNodeConnection.finish


def close_both_sides(self):
    self.since = self.gateway.now()
    self.input.clear()
    self.transport.unregisterProducer()
    self.transport.loseConnection()


def fail_nothing(self):
    self._run_shutdown_steps()


def on_process_event(self, event):
    """Like the original, but held requests fail within the step itself."""
    ON_PROCESS_EVENT(self, event)
    if event is ProcessEvent.START_REJECTING:
        self.host.fail_all()


ON_PROCESS_EVENT = HttpGateway._on_process_event


def never(*values):
    return False


GUARDS = {
    "sockets are read before an attempt begins": lambda: patch.object(
        reactor_turn, "must_read_sockets_first", never
    ),
    "sockets are read before a timeout fires": lambda: patch.object(
        timer_queue, "must_read_sockets_first", never
    ),
    "requests waiting for a retired node are dropped": lambda: patch.multiple(
        HttpNodePool, retire=retire, on_idle=on_idle_retired
    ),
    "a client's close is detected behind its request": lambda: patch.object(
        ClientConnection, "detect_client_close", never
    ),
    "a reset does not complete a response": lambda: patch.object(
        HttpNodeConnection, "connectionLost", connection_lost
    ),
    "an attempt begins within a connect timeout of its decision": lambda: patch.object(
        node_pool, "is_too_late", never
    ),
    "a connection to a node's former address is not reused": lambda: patch.object(
        HttpNodePool, "on_idle", on_idle
    ),
    "a request waiting for a connection ends with its transfer": lambda: patch.object(
        SchedulerHost, "_mark_answered", close
    ),
    "bytes received before the request is written are no response": lambda: (
        patch.object(HttpNodeConnection, "dataReceived", data_received)
    ),
    "a connection with surplus bytes is not reused": lambda: patch.object(
        HttpNodeConnection, "finish", finish
    ),
    "only the gateway's side is closed": lambda: patch.object(
        ClientConnection, "_close_our_side", close_both_sides
    ),
    "unread client data is read before a close": lambda: patch.object(
        ClientConnection, "read_pending", never
    ),
    "unread data is read before held requests fail": lambda: patch.multiple(
        HttpGateway,
        _on_process_event=on_process_event,
        _fail_unanswered=fail_nothing,
    ),
    "unread data is read before a watch ends": lambda: patch.object(
        EndpointWatch, "read_pending", never
    ),
}

# The first seed of RaceSimulation that finds a breach without the guard.
SEED_BY_GUARD = {
    "sockets are read before an attempt begins": 232,
    "sockets are read before a timeout fires": 0,
    "requests waiting for a retired node are dropped": 523,
    "a client's close is detected behind its request": 22,
    "a reset does not complete a response": 10,
    "an attempt begins within a connect timeout of its decision": 4,
    "a connection to a node's former address is not reused": 41,
    "a request waiting for a connection ends with its transfer": 28,
    "bytes received before the request is written are no response": 765,
    "a connection with surplus bytes is not reused": 30,
    "only the gateway's side is closed": 163,
    "unread client data is read before a close": 12,
    "unread data is read before held requests fail": 5,
    "unread data is read before a watch ends": 90,
}


@contextmanager
def without_guard(name):
    with GUARDS[name]():
        yield
