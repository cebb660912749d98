"""Guards of the gateway taken out one at a time.

What the hunt of crossings has to find.
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
    """As it is, but for the look at how the connection ended."""
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


def on_idle_anywhere(self, connection):
    """As it is, but for the look whether the node has retired."""
    self.retired, retired = False, self.retired
    ON_IDLE(self, connection)
    self.retired = retired


ON_IDLE = HttpNodePool.on_idle


def close(self, active):
    active.answered = True
    self.unanswered -= 1
    self._remove_if_finished(active)


def data_received(self, data):
    """As it is, but octets before all of ours is written are taken for the answer."""
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
    self.reader = type(self.reader)(self.reader.limits)
    self.transport.unregisterProducer()
    self.transport.loseConnection()


def fail_nothing(self):
    self._run_shutdown_steps()


def on_process_event(self, event):
    """As it is, but what is held ends with the step itself."""
    ON_PROCESS_EVENT(self, event)
    if event is ProcessEvent.START_REJECTING:
        self.host.fail_all()


ON_PROCESS_EVENT = HttpGateway._on_process_event


def never(*values):
    return False


GUARDS = {
    "what came is read before anything is begun": lambda: patch.object(
        reactor_turn, "must_read_sockets_first", never
    ),
    "what came is read before a time-out": lambda: patch.object(
        timer_queue, "must_read_sockets_first", never
    ),
    "what waits at a node that retires is moot": lambda: patch.multiple(
        HttpNodePool, retire=retire, on_idle=on_idle_anywhere
    ),
    "a client's end is looked for behind its request": lambda: patch.object(
        ClientConnection, "detect_client_close", never
    ),
    "a reset is no end": lambda: patch.object(
        HttpNodeConnection, "connectionLost", connection_lost
    ),
    "a dispatch begins within a dial of its decision": lambda: patch.object(
        node_pool, "is_too_late", never
    ),
    "a link to where the node was is of no use": lambda: patch.object(
        HttpNodePool, "on_idle", on_idle
    ),
    "what waits for a link goes with its transfer": lambda: patch.object(
        SchedulerHost, "_mark_answered", close
    ),
    "octets before ours are written are no answer": lambda: patch.object(
        HttpNodeConnection, "dataReceived", data_received
    ),
    "a link that brought more is not used again": lambda: patch.object(
        HttpNodeConnection, "finish", finish
    ),
    "our side alone is closed": lambda: patch.object(
        ClientConnection, "_close_our_side", close_both_sides
    ),
    "what lies unread is read before an end": lambda: patch.object(
        ClientConnection, "read_pending", never
    ),
    "what lies unread is read before what is held ends": lambda: patch.multiple(
        HttpGateway,
        _on_process_event=on_process_event,
        _fail_unanswered=fail_nothing,
    ),
    "what lies unread is read before a watch is over": lambda: patch.object(
        EndpointWatch, "read_pending", never
    ),
}

# The first seed of the game as it is that finds the loss of each.
FOUND_BY = {
    "what came is read before anything is begun": 136,
    "what came is read before a time-out": 2,
    "what waits at a node that retires is moot": 4,
    "a client's end is looked for behind its request": 37,
    "a reset is no end": 6,
    "a dispatch begins within a dial of its decision": 365,
    "a link to where the node was is of no use": 23,
    "what waits for a link goes with its transfer": 28,
    "octets before ours are written are no answer": 343,
    "a link that brought more is not used again": 30,
    "our side alone is closed": 163,
    "what lies unread is read before an end": 12,
    "what lies unread is read before what is held ends": 21,
    "what lies unread is read before a watch is over": 42,
}


@contextmanager
def without(name):
    with GUARDS[name]():
        yield
