"""The two state machines of the scheduler, as tables: a request's and a node's.

A table maps a state and an event to the next state and an effect. A pair that is not in
the table changes nothing. `lifecycle` and `outlier_detection` carry out the effects.
"""

from enum import Enum, auto

from milletsill.interface import AttemptOutcome


class RequestState(Enum):
    """The state of a request between its arrival and its final answer."""

    QUEUED = auto()
    IN_FLIGHT = auto()
    FINISHED = auto()


class RequestEvent(Enum):
    """The events of a request."""

    ATTEMPT_SENT = auto()
    # The client has its answer or has left.
    CLOSED = auto()
    # No attempt is in flight, and another is allowed.
    RETRYABLE = auto()
    # No attempt is in flight, and no other is allowed.
    EXHAUSTED = auto()
    # The client is about to leave, or this gateway can do nothing useful for it any
    # more.
    GIVEN_UP = auto()


class RequestEffect(Enum):
    """What a transition of a request causes."""

    NONE = auto()
    REQUEUE = auto()
    # Remove the request, and reject or fail it.
    REJECT_OR_FAIL = auto()
    # Remove the request without an answer.
    REMOVE = auto()


class NodeHealth(Enum):
    """The scheduler's view of a node."""

    HEALTHY = auto()
    # Came back or did not answer; gets a few of the most valuable requests first.
    RECOVERING = auto()
    # Draining or gone.
    UNAVAILABLE = auto()


class NodeEvent(Enum):
    """The events of a node."""

    # An attempt that filled the window succeeded at close to the usual latency.
    RESPONDED_IN_TIME = auto()
    # An attempt got no response, and the node has sent none since the attempt was sent.
    ATTEMPT_FAILED = auto()
    # The endpoint list reports the node as ready.
    READY = auto()
    # The endpoint list reports the node as ready, with a start time that was not known.
    RESTARTED = auto()
    # The node is draining or gone.
    NOT_READY = auto()


class NodeEffect(Enum):
    """What a transition of a node causes."""

    NONE = auto()
    NARROW_WINDOW = auto()
    # Narrow the window and clear the failures.
    RESET = auto()
    # Place the requests that are queued at the node again.
    REQUEUE_REQUESTS = auto()


class TimerToken(Enum):
    """The purpose of a timer that belongs to no request or node."""

    RENEW_WATCH = auto()


REQUEST_TRANSITIONS = {
    (RequestState.QUEUED, RequestEvent.ATTEMPT_SENT): (
        RequestState.IN_FLIGHT,
        RequestEffect.NONE,
    ),
    (RequestState.QUEUED, RequestEvent.GIVEN_UP): (
        RequestState.FINISHED,
        RequestEffect.REJECT_OR_FAIL,
    ),
    (RequestState.QUEUED, RequestEvent.CLOSED): (
        RequestState.FINISHED,
        RequestEffect.REMOVE,
    ),
    (RequestState.IN_FLIGHT, RequestEvent.CLOSED): (
        RequestState.FINISHED,
        RequestEffect.REMOVE,
    ),
    (RequestState.IN_FLIGHT, RequestEvent.RETRYABLE): (
        RequestState.QUEUED,
        RequestEffect.REQUEUE,
    ),
    (RequestState.IN_FLIGHT, RequestEvent.EXHAUSTED): (
        RequestState.FINISHED,
        RequestEffect.REJECT_OR_FAIL,
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
    (NodeHealth.RECOVERING, NodeEvent.RESPONDED_IN_TIME): (
        NodeHealth.HEALTHY,
        NodeEffect.NONE,
    ),
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

# Outcomes after which the node has certainly not executed the attempt.
NOT_EXECUTED_OUTCOMES = (
    AttemptOutcome.REJECTED,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.WITHDRAWN,
)
# Outcomes without a response from the node.
UNANSWERED_OUTCOMES = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.RESET,
)
# Outcomes after which the node may still be executing the attempt.
INDETERMINATE_OUTCOMES = (
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.RESET,
    AttemptOutcome.CANCELLED,
)
