"""The two state machines of the scheduler, as tables: a request's and a node's.

A table gives, for a state and an event, the next state and the effect. A pair that is
not in a table changes nothing. The effects are carried out by `lifecycle` and
`outlier_detection`.
"""

from enum import Enum, auto

from milletsill.interface import AttemptOutcome


class RequestState(Enum):
    """Where a request is between its arrival and its final answer."""

    QUEUED = auto()
    IN_FLIGHT = auto()
    FINISHED = auto()


class RequestEvent(Enum):
    """What can happen to a request."""

    ATTEMPT_SENT = auto()
    # The client has its answer or has left.
    CLOSED = auto()
    # No attempt is in flight, and another is allowed.
    RETRYABLE = auto()
    # No attempt is in flight, and no other is allowed.
    EXHAUSTED = auto()
    # The client is about to leave, or nothing that this gateway can still do would be
    # of use.
    HOPELESS = auto()


class RequestEffect(Enum):
    """What a request's transition asks for."""

    NONE = auto()
    REQUEUE = auto()
    # Give the final answer.
    GIVE_UP = auto()
    # Forget the request without an answer.
    FORGET = auto()


class NodeHealth(Enum):
    """What the scheduler makes of a node."""

    HEALTHY = auto()
    # Came back or did not answer; proves itself with the most useful work.
    RECOVERING = auto()
    # Draining or gone.
    UNAVAILABLE = auto()


class NodeEvent(Enum):
    """What can happen to a node."""

    # An answer came in good time.
    PROVEN = auto()
    # An attempt came to nothing and nothing else was heard of the node.
    ATTEMPT_FAILED = auto()
    # The endpoint list has it ready.
    READY = auto()
    # The endpoint list has it ready, with a start that was not known.
    RESTARTED = auto()
    # It drains or is gone.
    NOT_READY = auto()


class NodeEffect(Enum):
    """What a node's transition asks for."""

    NONE = auto()
    NARROW_WINDOW = auto()
    # Narrow the window and forget failures.
    RESET = auto()
    # Place what is queued there again.
    REQUEUE_REQUESTS = auto()


class TimerToken(Enum):
    """What a timer is for, where it belongs to no request or node."""

    RENEW_WATCH = auto()


REQUEST_TRANSITIONS = {
    (RequestState.QUEUED, RequestEvent.ATTEMPT_SENT): (
        RequestState.IN_FLIGHT,
        RequestEffect.NONE,
    ),
    (RequestState.QUEUED, RequestEvent.HOPELESS): (
        RequestState.FINISHED,
        RequestEffect.GIVE_UP,
    ),
    (RequestState.QUEUED, RequestEvent.CLOSED): (
        RequestState.FINISHED,
        RequestEffect.FORGET,
    ),
    (RequestState.IN_FLIGHT, RequestEvent.CLOSED): (
        RequestState.FINISHED,
        RequestEffect.FORGET,
    ),
    (RequestState.IN_FLIGHT, RequestEvent.RETRYABLE): (
        RequestState.QUEUED,
        RequestEffect.REQUEUE,
    ),
    (RequestState.IN_FLIGHT, RequestEvent.EXHAUSTED): (
        RequestState.FINISHED,
        RequestEffect.GIVE_UP,
    ),
}

NODE_TRANSITIONS = {
    (NodeHealth.HEALTHY, NodeEvent.ATTEMPT_FAILED): (
        NodeHealth.RECOVERING,
        NodeEffect.NARROW_WINDOW,
    ),
    (NodeHealth.HEALTHY, NodeEvent.RESTARTED): (
        NodeHealth.RECOVERING,
        NodeEffect.RESET,
    ),
    (NodeHealth.HEALTHY, NodeEvent.NOT_READY): (
        NodeHealth.UNAVAILABLE,
        NodeEffect.REQUEUE_REQUESTS,
    ),
    (NodeHealth.RECOVERING, NodeEvent.ATTEMPT_FAILED): (
        NodeHealth.RECOVERING,
        NodeEffect.NARROW_WINDOW,
    ),
    (NodeHealth.RECOVERING, NodeEvent.PROVEN): (NodeHealth.HEALTHY, NodeEffect.NONE),
    (NodeHealth.RECOVERING, NodeEvent.RESTARTED): (
        NodeHealth.RECOVERING,
        NodeEffect.RESET,
    ),
    (NodeHealth.RECOVERING, NodeEvent.NOT_READY): (
        NodeHealth.UNAVAILABLE,
        NodeEffect.REQUEUE_REQUESTS,
    ),
    (NodeHealth.UNAVAILABLE, NodeEvent.READY): (
        NodeHealth.RECOVERING,
        NodeEffect.RESET,
    ),
    (NodeHealth.UNAVAILABLE, NodeEvent.RESTARTED): (
        NodeHealth.RECOVERING,
        NodeEffect.RESET,
    ),
}

# Outcomes of an attempt that certainly had no effect at the node.
NOT_EXECUTED = (
    AttemptOutcome.REJECTED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.WITHDRAWN,
)
# Outcomes that came without a word from the node.
SILENT = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.RESET,
)
# Outcomes after which the node may still be executing the attempt.
INDETERMINATE = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.RESET,
    AttemptOutcome.CANCELLED,
)
