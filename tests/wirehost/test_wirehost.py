"""The simulator's adapter.

The tests cover frames, records, the rounding of durations, crashed instances and
malformed input.
"""

import io
import json
import unittest
from dataclasses import fields

from milletsill import deployment_settings
from milletsill.interface import AttemptOutcome, EndpointUpdateKind
from milletsill.wirehost import codec
from milletsill.wirehost.codec import Batch, Event, EventCode, MalformedBatchError
from milletsill.wirehost.host import Host, serve

SETTINGS = json.dumps(
    {
        "peers_total": 2,
        "resolution_ns": 2_000_000,
        "membership_mode": "on_request",
        "unknown": 1,
        "rules": {"ask_within_ns": 10_000_000_000},
        "classes": [],
        "plans": [],
    }
).encode()


def event(code, *fields, tail=b""):
    """Return an encoded event record."""
    body = codec.FIXED_FIELDS[code].pack(*fields) + tail
    return codec.RECORD_HEADER.pack(code, len(body)) + body


def frame(number, clock, *records, size=None, count=None):
    """Return an encoded frame; a wrong size or count makes it malformed."""
    body = b"".join(records)
    size = codec.BATCH_HEADER.size + len(body) if size is None else size
    return (
        codec.BATCH_HEADER.pack(
            number, size, len(records) if count is None else count, clock
        )
        + body
    )


BORN = event(EventCode.INSTANCE, 3) + event(
    EventCode.BORN, 1, len(SETTINGS), tail=SETTINGS
)


class WireProtocol(unittest.TestCase):
    def serve_all(self, data):
        sink = io.BytesIO()
        serve(io.BytesIO(data), sink)
        return sink.getvalue()

    def test_an_empty_batch_gets_an_empty_reply_and_the_input_ends_cleanly(self):
        self.assertEqual(self.serve_all(frame(1, 5)).hex(), "0100000008000000")

    def test_malformed_input_is_rejected(self):
        for data in (
            frame(1, 5)[:7],
            frame(1, 5, size=3),
            frame(1, 5, count=2),
            frame(1, 5, b"\x63\0\0\0\0"),
            frame(1, 5, event(EventCode.INSTANCE, 1)[:-1]),
            frame(1, 5, event(EventCode.RING, 1)),
            frame(1, 5, event(EventCode.INSTANCE, 1), event(EventCode.RING, 1)),
            frame(1, 5, b"\x0b\xff\xff\xff\xff"),
        ):
            with self.assertRaises(MalformedBatchError):
                self.serve_all(data)

    def test_durations_are_rounded_to_the_safe_side(self):
        self.assertEqual(
            [
                deployment_settings.ticks_at_most(250_000_000),
                deployment_settings.ticks_at_least(250_050_000),
            ],
            [2499, 2502],
        )

    def test_settings_are_decoded_and_unknown_ones_are_ignored(self):
        config = codec.decode_config(SETTINGS)
        self.assertEqual(
            (config.gateway_count, config.rewatch_within, config.retry_budget_window),
            (2, 99_999, None),
        )
        self.assertNotIn("unknown", {each.name for each in fields(config)})

    def test_a_roster_number_is_reused_within_a_batch(self):
        host, updates = Host(), []
        host.answer(Batch(1, 0, list(codec.decode_events(BORN, 1))))
        host.instances[3].scheduler.on_endpoints = lambda now, kind, endpoints: (
            updates.append((kind, [endpoint.node for endpoint in endpoints]))
        )
        rosters = [
            event(
                EventCode.ROSTER,
                0,
                1,
                tail=codec.ROSTER_ENTRY.pack(node, 1, 1.0, 0, 0, 0, 0),
            )
            for node in (5, 6)
        ]
        update = event(EventCode.UPDATE, 1, 9, 0)
        body = event(EventCode.INSTANCE, 3) + rosters[0] + update + rosters[1] + update
        host.answer(Batch(2, 0, list(codec.decode_events(body, 2))))
        self.assertEqual(
            updates,
            [(EndpointUpdateKind.SNAPSHOT, [5]), (EndpointUpdateKind.SNAPSHOT, [6])],
        )

    def test_a_crashed_instance_takes_no_action_and_is_born_with_new_state(self):
        host = Host()
        host.answer(Batch(1, 0, list(codec.decode_events(BORN, 1))))
        crashed = host.instances[3].scheduler
        body = event(EventCode.INSTANCE, 3) + event(EventCode.CRASH_NOW) + BORN
        reply = host.answer(Batch(2, 0, list(codec.decode_events(body, 2))))
        self.assertIsNot(host.instances[3].scheduler, crashed)
        self.assertEqual(
            reply,
            codec.encode_reply(2, [codec.encode_source(3), codec.encode_watch(1)]),
        )

    def test_an_exception_in_the_scheduler_is_reported_with_its_location(self):
        host = Host()
        host.answer(Batch(1, 0, list(codec.decode_events(BORN, 1))))
        host.instances[3].scheduler.on_client_cancelled = lambda now, request_id: 1 // 0
        events = [
            Event(EventCode.INSTANCE, (3,), b""),
            Event(EventCode.ABANDONED, (1,), b""),
        ]
        reply = host.answer(Batch(2, 0, events))
        self.assertIn(b"ZeroDivisionError", reply)

    def test_an_attempt_result_is_decoded(self):
        host, results = Host(), []
        host.answer(Batch(1, 0, list(codec.decode_events(BORN, 1))))
        host.instances[3].scheduler.on_attempt_result = lambda now, result: (
            results.append((now, result))
        )
        record = event(EventCode.RETURNED, 1, 253, 7, 0, 0, 1, 2, 250_000, 0)
        host.answer(
            Batch(
                2,
                150_000,
                list(codec.decode_events(event(EventCode.INSTANCE, 3) + record, 2)),
            )
        )
        now, result = results[0]
        self.assertEqual(
            (
                now,
                result.outcome,
                result.request_finished,
                result.attempt_number,
                result.latency,
                result.volume_usage,
            ),
            (2, AttemptOutcome.TIMED_OUT, True, 2, 2, None),
        )


if __name__ == "__main__":
    unittest.main()
