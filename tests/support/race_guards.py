"""Guards of the gateway taken out one at a time: what the hunt of crossings has to find."""

from contextlib import contextmanager
from unittest.mock import patch

from milletsill.gateway import reactor_turn, timer_queue
from milletsill.gateway.scheduler_host import SchedulerHost
from milletsill.http_gateway import node_connections
from milletsill.http_gateway.endpoint_watcher import Watch
from milletsill.http_gateway.gateway import Gateway
from milletsill.http_gateway.gateway_limits import Event
from milletsill.http_gateway.http_server import Client
from milletsill.http_gateway.node_connections import Link, Node


def retire(self):
    self.retired = True
    self.clear()


def lost(self, reason=None):
    """As it is, but for the look at how the connection ended."""
    whole = self.reader.on_close()
    sending, self.sending = self.sending, None
    self.gone()
    if sending is not None and whole is not None:
        sending.end(node_connections.outcome_of(whole), node_connections.Verdict(whole))
    elif sending is not None:
        sending.end(node_connections.AttemptOutcome.RESET)


def idle(self, link):
    link.since = self.fleet.now()
    self.free.append(link)
    self.serve_soon()


def idle_anywhere(self, link):
    """As it is, but for the look whether the node has retired."""
    self.retired, retired = False, self.retired
    IDLE(self, link)
    self.retired = retired


IDLE = Node.idle


def close(self, live):
    live.answered = True
    self.unanswered -= 1
    self._forget_if_over(live)


def received(self, data):
    """As it is, but octets before all of ours is written are taken for the answer."""
    self.uses, uses = 1, self.uses
    try:
        TAKEN(self, data)
    finally:
        self.uses = uses


TAKEN = Link.dataReceived


def finish(self, outcome, verdict, keep):
    FINISHED(self, outcome, verdict, True)


FINISHED = Link.finish


def end(self):
    self.since = self.gateway.now()
    self.reader = type(self.reader)(self.reader.limits)
    self.transport.unregisterProducer()
    self.transport.loseConnection()


def end_all(self):
    self.go_on()


def stepped(self, event):
    """As it is, but what is held ends with the step itself."""
    STEPPED(self, event)
    if event is Event.SHUT:
        self.host.fail_all()


STEPPED = Gateway.step


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
        Node, retire=retire, idle=idle_anywhere
    ),
    "a client's end is looked for behind its request": lambda: patch.object(
        Client, "has_gone", never
    ),
    "a reset is no end": lambda: patch.object(Link, "connectionLost", lost),
    "a dispatch begins within a dial of its decision": lambda: patch.object(
        node_connections, "kept_from", never
    ),
    "a link to where the node was is of no use": lambda: patch.object(
        Node, "idle", idle
    ),
    "what waits for a link goes with its transfer": lambda: patch.object(
        SchedulerHost, "_close", close
    ),
    "octets before ours are written are no answer": lambda: patch.object(
        Link, "dataReceived", received
    ),
    "a link that brought more is not used again": lambda: patch.object(
        Link, "finish", finish
    ),
    "our side alone is closed": lambda: patch.object(Client, "end", end),
    "what lies unread is read before an end": lambda: patch.object(
        Client, "catch_up", never
    ),
    "what lies unread is read before what is held ends": lambda: patch.multiple(
        Gateway, step=stepped, end_all=end_all
    ),
    "what lies unread is read before a watch is over": lambda: patch.object(
        Watch, "catch_up", never
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
