"""The state machine of outbound streams."""

import unittest

from milletsill.fleet.net.stream_state import (
    StreamAction,
    StreamEvent,
    StreamState,
    due_event,
    next_transition,
)


class OutboundStreams(unittest.TestCase):
    def test_transitions_and_timeouts(self):
        self.assertEqual(
            [
                next_transition(*each)
                for each in (
                    (StreamState.CONNECTING, StreamEvent.CONNECTED),
                    (StreamState.CONNECTING, StreamEvent.CONNECT_FAILED),
                    (StreamState.OPEN, StreamEvent.BUFFER_FULL),
                    (StreamState.BLOCKED, StreamEvent.TIMED_OUT),
                    (StreamState.OPEN, StreamEvent.MEMBER_GONE),
                    (StreamState.CLOSED, StreamEvent.CONNECTION_LOST),
                )
            ],
            [
                (StreamState.OPEN, StreamAction.FLUSH),
                (StreamState.BACKING_OFF, StreamAction.DISCARD_WAITING),
                (StreamState.BLOCKED, StreamAction.RECORD_TIME),
                (StreamState.CLOSED, StreamAction.ABORT),
                (StreamState.CLOSED, StreamAction.ABORT),
                (StreamState.CLOSED, StreamAction.NONE),
            ],
        )
        self.assertEqual(
            [
                due_event(StreamState.OPEN, 300_000, 0),
                due_event(StreamState.BLOCKED, 49_999, 0),
                due_event(StreamState.BACKING_OFF, 3000, 0),
            ],
            [StreamEvent.IDLE, None, StreamEvent.TIMED_OUT],
        )


if __name__ == "__main__":
    unittest.main()
