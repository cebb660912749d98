"""The HTTP gateway's endpoint watch, configuration file, JSON log and limits.

The watch tests use an in-memory reactor with a clock that the tests advance.
"""

import io
import json
import os
import tempfile
import unittest
from random import Random

from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from milletsill.http1.message_limits import MessageLimits
from milletsill.http1.message_reader import RequestReader
from milletsill.http_gateway.client_connection_state import (
    NEW_TIMEOUT,
    REQUEST_TIMEOUT,
    ClientState,
    time_event,
)
from milletsill.http_gateway.configuration import (
    GatewayConfigurationRejectedError,
    parse_configuration,
    read_configuration,
)
from milletsill.http_gateway.endpoint_watcher import EndpointWatcher, WatcherConfig
from milletsill.http_gateway.endpoints import (
    InvalidEndpointError,
    parse_node,
    parse_update,
)
from milletsill.http_gateway.json_log import JsonLog
from milletsill.http_gateway.process_state import (
    serving_time_after_term,
    shutdown_schedule,
)
from milletsill.http_gateway.recent_request_ids import (
    MAX_IDS,
    MIN_ID_LIFETIME,
    RecentRequestIds,
)
from milletsill.http_gateway.request_parser import (
    InvalidRequestError,
    RequestParser,
    parse_load_report,
)
from milletsill.http_gateway.resource_limits import SPARE_CLIENTS, divide_descriptors
from milletsill.interface import EndpointUpdateKind, Readiness
from tests.support.http_gateway_rig import CONFIG, NODE, SETTINGS, Reactor, req


class JsonLogLines(unittest.TestCase):
    """The JSON log writes one object per line."""

    def test_each_event_is_one_line_and_a_closed_stream_is_ignored(self):
        stream = io.StringIO()
        JsonLog(stream, gateway="n1").warning("list", reason="gone\nby", at=1)
        record = json.loads(stream.getvalue())
        record.pop("timestamp")
        self.assertEqual(
            record,
            {
                "gateway": "n1",
                "reason": "gone\nby",
                "at": 1,
                "event": "list",
                "level": "warning",
            },
        )
        self.assertEqual(stream.getvalue().count("\n"), 1)
        stream.close()
        JsonLog(stream).info("list")


class EndpointWatch(unittest.TestCase):
    def setUp(self):
        self.reactor, self.updates, self.log = Reactor(), [], []
        self.watcher = EndpointWatcher(
            self.reactor,
            lambda: int(self.reactor.seconds() * 10_000),
            WatcherConfig(("127.0.0.1", 8500), ["z"], 0),
            lambda kind, nodes: self.updates.append((kind, len(nodes))),
            self.log.append,
            Random(1).uniform,
        )

    def watch(self):
        self.watcher.request_watch()
        self.reactor.advance(0)
        return self.reactor.connect()

    def update_line(self, version, full=False, entries=(NODE,)):
        text = (
            json.dumps(
                {"version": version, "full": full, "servers": list(entries)}
            ).encode()
            + b"\n"
        )
        return b"%x\r\n%s\r\n" % (len(text), text)

    HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

    def test_a_watch_reports_changes_and_its_end_and_resumes_from_its_version(self):
        watch, wire = self.watch()
        watch.dataReceived(
            self.HEAD
            + self.update_line(7, True)
            + self.update_line(8)
            + self.update_line(6)
            + self.update_line(9)[:20]
        )
        watch.connectionLost(Failure(ConnectionLost()))
        self.assertEqual(
            self.updates,
            [
                (EndpointUpdateKind.SNAPSHOT, 1),
                (EndpointUpdateKind.DELTA, 1),
                (EndpointUpdateKind.FAILED, 0),
            ],
        )
        _, wire = self.watch()
        self.assertIn(b"from=8 ", wire.value())

    def test_an_empty_first_line_is_an_answer_and_silence_ends_the_watch(self):
        watch, wire = self.watch()
        watch.dataReceived(self.HEAD + b"1\r\n\n\r\n")
        self.reactor.advance(6.1)
        self.watcher.check()
        self.assertEqual(
            (self.updates, wire.aborted),
            ([(EndpointUpdateKind.DELTA, 0), (EndpointUpdateKind.FAILED, 0)], True),
        )

    def test_an_unreadable_answer_ends_the_watch_with_one_log_line(self):
        for data in (
            b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
            b"noise\r\n",
            self.HEAD + b"3\r\n{[\n\r\n",
            self.HEAD + b"5\r\n[1]\n\n\r\n",
        ):
            self.setUp()
            self.watch()[0].dataReceived(data)
            self.assertEqual(
                (self.updates, len(self.log)),
                ([(EndpointUpdateKind.FAILED, 0)], 1),
                data,
            )

    def test_after_an_address_change_the_old_watch_stays_until_the_new_answers(self):
        old, wire = self.watch()
        old.dataReceived(self.HEAD + self.update_line(7, True))
        self.watcher.move(("127.0.0.1", 8501))
        self.reactor.advance(0)
        old.dataReceived(self.update_line(8))
        new, other = self.reactor.connect()
        self.assertIn(b"from=7 ", other.value())
        self.assertFalse(wire.aborted)
        new.dataReceived(self.HEAD + self.update_line(9))
        self.assertEqual(
            (wire.aborted, [kind for kind, _ in self.updates]),
            (
                True,
                [
                    EndpointUpdateKind.SNAPSHOT,
                    EndpointUpdateKind.DELTA,
                    EndpointUpdateKind.DELTA,
                ],
            ),
        )

    def test_equal_zone_names_unknown_to_the_settings_are_one_zone(self):
        zones = [
            parse_node(NODE | {"id": name, "zone": zone}, ["z"], 0).endpoint.zone
            for name, zone in (
                ("a", "z"),
                ("b", "z"),
                ("c", "y"),
                ("d", "y"),
                ("e", "x"),
                ("f", None),
                ("g", None),
            )
        ]
        self.assertEqual([zones[0], zones[2]], [zones[1], zones[3]])
        self.assertEqual(len(set(zones)), 5)

    def test_only_malformed_entries_are_left_out(self):
        bad = [
            {},
            5,
            NODE | {"addr": "x"},
            NODE | {"state": "new"},
            NODE | {"cell": -1},
            NODE | {"weight": float("nan")},
        ]
        update = parse_update(
            {"version": 3, "servers": bad + [NODE | {"started_ms": 5}]},
            ["z"],
            7,
            self.log.append,
        )
        self.assertEqual(
            (len(update.nodes), update.nodes[0].endpoint.started_at, len(self.log)),
            (1, 57, len(bad)),
        )
        self.assertIs(update.nodes[0].endpoint.readiness, Readiness.READY)
        with self.assertRaises(InvalidEndpointError):
            parse_update({"version": -1, "servers": []}, [], 0, self.log.append)


class ConfigurationAndLimits(unittest.TestCase):
    def test_descriptors_are_divided_within_the_limit(self):
        for sockets in (256, 384, 1024):
            shares = divide_descriptors(sockets)
            self.assertTrue(
                shares.clients >= sockets / 3
                and shares.clients + SPARE_CLIENTS + shares.node_connections
                <= sockets - 20
            )

    def test_a_client_connection_times_out_by_its_state(self):
        self.assertEqual(
            [
                time_event(state, has_partial, silence, is_short) is not None
                for state, has_partial, silence, is_short in (
                    (ClientState.NEW, False, NEW_TIMEOUT, False),
                    (ClientState.NEW, False, 600, False),
                    (ClientState.NEW, False, 600, True),
                    (ClientState.NEW, True, REQUEST_TIMEOUT, False),
                    (ClientState.BUSY, False, 1 << 40, True),
                )
            ],
            [True, False, True, True, False],
        )

    def test_the_shutdown_ends_before_the_platform_kills_the_process(self):
        self.assertEqual(
            [serving_time_after_term(10_000), serving_time_after_term(90_000)],
            [15_000, 35_000],
        )
        for longest, kill in ((10_000, 17_000), (30_000, 37_000), (90_000, 37_000)):
            steps = [within for within, _ in shutdown_schedule(longest)]
            self.assertEqual((steps, steps[-1] + 900 == kill), (sorted(steps), True))

    def test_ids_are_remembered_past_their_deadline_and_within_a_limit(self):
        recent = RecentRequestIds()
        step = MIN_ID_LIFETIME // 1000
        for id in range(3 * MAX_IDS):
            now = id * step
            recent.add(id, now + 10, now)
            self.assertEqual(
                [recent.contains(each, now) for each in (id, id - 999, id - 1000)],
                [True, id >= 999, False],
            )
        self.assertLessEqual(len(recent.until), 1001)
        recent.add(7, now + 2 * MIN_ID_LIFETIME, now)
        self.assertTrue(recent.contains(7, now + 2 * MIN_ID_LIFETIME - 1))
        for id in range(3 * MAX_IDS):
            recent.add(id, 1 << 40, 0)
        self.assertEqual(len(recent.until), MAX_IDS)
        self.assertEqual(
            [
                recent.contains(each, 0)
                for each in (3 * MAX_IDS - 1, 2 * MAX_IDS, 2 * MAX_IDS - 1)
            ],
            [True, True, False],
        )

    def test_a_load_report_is_read_field_by_field(self):
        self.assertEqual(
            parse_load_report(
                b"inflight=7,queue=nan,util=-1,depth=x,concurrent=2.5,\xff=1,,="
            ),
            {"inflight": 2.5},
        )
        self.assertEqual(parse_load_report(None), {})

    def test_a_retry_and_its_request_terms_are_parsed(self):
        deployment = parse_configuration(CONFIG, {}, 0, print)
        reader = RequestReader(MessageLimits())
        reader.feed(
            req(X_Resent="1", X_IO="volume=00000003b4d60021,units=2.5,shard=-1,hosts=3")
        )
        request = RequestParser(deployment.config).parse(
            reader.next_message(), 1000, 60, 5000
        )
        self.assertEqual(
            (
                request.is_retry,
                request.shard,
                request.units,
                request.sharing_gateways,
                request.deadline,
            ),
            (True, None, 2.5, 3, 5000),
        )
        with self.assertRaises(InvalidRequestError):
            reader.feed(req(X_Lane="none"))
            RequestParser(deployment.config).parse(reader.next_message(), 1000, 60)

    def test_an_unusable_configuration_is_a_one_line_error(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "c.json")
            for text in (
                "",
                "[]",
                "{",
                json.dumps(CONFIG | {"listen": "x"}),
                json.dumps(CONFIG | {"settings": None}),
                json.dumps(CONFIG | {"seed": "x"}),
                json.dumps(CONFIG | {"limits": {"sockets": "many"}}),
                json.dumps(CONFIG | {"settings": SETTINGS | {"classes": 5}}),
            ):
                with open(path, "w") as file:
                    file.write(text)
                with self.assertRaises(
                    GatewayConfigurationRejectedError, msg=text[:50]
                ) as raised:
                    read_configuration({"NODE_CONFIG": path}, 0, list[str]().append)
                self.assertNotIn("\n", str(raised.exception))
            with self.assertRaises(GatewayConfigurationRejectedError):
                read_configuration({}, 0, print)


if __name__ == "__main__":
    unittest.main()
