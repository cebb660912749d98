"""Tests of the registry watcher, the endpoint view, the JSON codec and the cache."""

import json
import os
import tempfile
import unittest

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from milletsill.interface import EndpointUpdateKind, Readiness
from milletsill.registry import endpoint_cache, etcd_json
from milletsill.registry.endpoint_view import EndpointView, KeyChange
from milletsill.registry.etcd_client import LineSplitter
from milletsill.registry.registered_node import (
    InvalidRegistryEntryError,
    RegisteredNode,
    parse_registered_node,
)
from milletsill.registry.registry_watcher import (
    RegistryCallbacks,
    RegistryConfig,
    RegistryWatcher,
)
from milletsill.registry.watch_state import (
    WatcherEffect,
    WatcherEvent,
    WatcherState,
    next_state,
)

VALUE = {
    "id": 7,
    "address": "127.0.0.1:9",
    "state": "ready",
    "size": 2,
    "cell": 3,
    "started": 0,
}


def node(id=7, started=0, cell=3, readiness=Readiness.READY):
    return RegisteredNode(id, "127.0.0.1:9", readiness, 2.0, 0, 0, cell, started)


class WatcherStateMachine(unittest.TestCase):
    def test_a_request_lists_and_then_watches(self):
        self.assertEqual(
            next_state(WatcherState.IDLE, WatcherEvent.REQUESTED),
            (WatcherState.LISTING, WatcherEffect.LIST),
        )
        self.assertEqual(
            next_state(WatcherState.LISTING, WatcherEvent.LISTED),
            (WatcherState.OPENING, WatcherEffect.REPORT_SNAPSHOT),
        )
        self.assertEqual(
            next_state(WatcherState.OPENING, WatcherEvent.OPENED),
            (WatcherState.WATCHING, WatcherEffect.NONE),
        )

    def test_each_failure_is_reported_to_the_scheduler_once(self):
        for state in (
            WatcherState.LISTING,
            WatcherState.OPENING,
            WatcherState.WATCHING,
        ):
            self.assertEqual(
                next_state(state, WatcherEvent.FAILED),
                (WatcherState.IDLE, WatcherEffect.REPORT_FAILURE),
            )
        self.assertEqual(
            next_state(WatcherState.IDLE, WatcherEvent.FAILED),
            (WatcherState.IDLE, WatcherEffect.NONE),
        )

    def test_compaction_requests_the_complete_list(self):
        self.assertEqual(
            next_state(WatcherState.WATCHING, WatcherEvent.COMPACTED),
            (WatcherState.LISTING, WatcherEffect.LIST),
        )

    def test_a_request_while_watching_reports_no_changes(self):
        self.assertEqual(
            next_state(WatcherState.WATCHING, WatcherEvent.REQUESTED),
            (WatcherState.WATCHING, WatcherEffect.REPORT_UNCHANGED),
        )


class EndpointViews(unittest.TestCase):
    def test_changes_are_applied_once_and_in_order(self):
        view = EndpointView(10, 1000)
        view.replace({"a": node()}, 5)
        draining = node(readiness=Readiness.DRAINING)
        self.assertEqual(
            view.apply([KeyChange("a", node(), 5), KeyChange("a", draining, 6)]),
            [draining],
        )
        self.assertEqual(view.apply([KeyChange("a", draining, 6)]), [])

    def test_a_deleted_key_makes_its_node_gone(self):
        view = EndpointView(10, 1000)
        view.replace({"a": node()}, 5)
        self.assertEqual(
            view.apply([KeyChange("a", None, 6)])[0].readiness, Readiness.GONE
        )

    def test_a_node_that_another_key_still_describes_is_not_gone(self):
        view = EndpointView(10, 1000)
        view.replace({"a": node(), "b": node()}, 5)
        self.assertEqual(view.apply([KeyChange("a", None, 6)]), [])

    def test_a_key_that_changes_its_id_makes_the_old_node_gone(self):
        view = EndpointView(10, 1000)
        view.replace({"a": node(1)}, 5)
        self.assertEqual(
            [
                (each.id, each.readiness.name)
                for each in view.apply([KeyChange("a", node(2), 6)])
            ],
            [(1, "GONE"), (2, "READY")],
        )

    def test_the_key_count_includes_keys_without_a_node(self):
        view = EndpointView(1, 1000)
        view.replace({"a": node(1)}, 5, ["a", "odd"])
        view.apply(
            [
                KeyChange("a", None, 6, invalid=True),
                KeyChange("more", node(2), 7),
                KeyChange("odd", None, 8),
                KeyChange("new", None, 8, invalid=True),
            ]
        )
        self.assertEqual((view.key_count(), list(view.by_key)), (3, ["a"]))

    def test_nodes_beyond_the_maximum_are_dropped_and_counted(self):
        view = EndpointView(10, 1000)
        view.replace({str(each): node(each) for each in range(15)}, 5)
        view.apply([KeyChange("new", node(99), 6)])
        self.assertEqual((len(view.by_key), view.overflow), (10, 6))

    def test_a_step_of_the_wall_clock_does_not_look_like_a_restart(self):
        view = EndpointView(10, 100_000)
        first = view.started_at(node(started=1_000_000), 50_000, 1_001_000)
        self.assertEqual(first, 40_000)
        self.assertEqual(
            view.started_at(node(started=1_000_000), 60_000, 9_999_999), first
        )
        self.assertNotEqual(
            view.started_at(node(started=1_001_500), 60_000, 1_002_000), first
        )

    def test_a_warm_node_has_no_start_time(self):
        view = EndpointView(10, 1000)
        self.assertIsNone(view.started_at(node(started=1), 50_000, 1_000_000))
        self.assertIsNone(view.started_at(node(started=0), 0, 0))


class RegistryMessages(unittest.TestCase):
    def kv(self, key="k/7", value=VALUE, revision=4):
        text = value if isinstance(value, str) else json.dumps(value)
        return {
            "key": etcd_json.encode_text(key),
            "value": etcd_json.encode_text(text),
            "mod_revision": str(revision),
        }

    def test_a_list_with_invalid_entries_keeps_the_others_and_logs_them(self):
        logged = []
        body = {
            "header": {"revision": "9"},
            "kvs": [self.kv(), self.kv("k/8", "nonsense"), self.kv("k/9", {"id": -1})],
        }
        listed = etcd_json.parse_list(json.dumps(body).encode(), logged.append)
        self.assertEqual(
            (list(listed.nodes), listed.head.revision, len(logged)), (["k/7"], 9, 2)
        )

    def test_watch_messages_carry_changes_deletions_and_compaction(self):
        line = {
            "result": {
                "header": {"revision": "9"},
                "events": [
                    {"kv": self.kv()},
                    {
                        "type": "DELETE",
                        "kv": {
                            "key": etcd_json.encode_text("k/8"),
                            "mod_revision": "5",
                        },
                    },
                ],
            }
        }
        message = etcd_json.parse_watch_message(json.dumps(line).encode(), print)
        self.assertEqual(
            [(each.key, each.node is None, each.revision) for each in message.changes],
            [("k/7", False, 4), ("k/8", True, 5)],
        )
        cancelled = {"result": {"canceled": True, "compact_revision": "12"}}
        self.assertTrue(
            etcd_json.parse_watch_message(
                json.dumps(cancelled).encode(), print
            ).compacted
        )

    def test_malformed_watch_messages_are_rejected(self):
        for data in (
            b"[",
            b"1",
            b"{}",
            b'{"result": {"events": [1]}}',
            b'{"error": "x"}',
            b"[" * 100_000,
            b'{"result": {"events": [{"kv": {"key": "!"}}]}}',
        ):
            with self.assertRaises(etcd_json.MalformedRegistryAnswerError):
                etcd_json.parse_watch_message(data, print)

    def test_entries_with_an_invalid_field_are_rejected(self):
        for field, value in (
            ("id", True),
            ("id", "7"),
            ("size", 0),
            ("state", "up"),
            ("address", "x"),
            ("cell", None),
            ("started", -1),
            ("address", 5),
        ):
            with self.assertRaises(InvalidRegistryEntryError):
                parse_registered_node({**VALUE, field: value})

    def test_a_line_without_an_end_is_rejected_at_its_maximum(self):
        lines = LineSplitter(100)
        self.assertEqual(lines.feed(b"a\nb"), [b"a"])
        with self.assertRaises(etcd_json.MalformedRegistryAnswerError):
            lines.feed(b"x" * 200)


class MissedChanges(unittest.TestCase):
    """Guards against a watch whose connection is half-open and delivers nothing.

    `call` stands in for the registry on a simulated clock: it answers, fails or stays
    silent as `replies` says, and answers when that list is empty.
    """

    def setUp(self):
        self.clock, self.reports, self.replies, self.calls, self.keys, self.revision = (
            Clock(),
            [],
            [],
            0,
            {"k/7": (VALUE, 4)},
            4,
        )
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        config = RegistryConfig(
            address="127.0.0.1:1",
            prefix="k/",
            gateway="g",
            call_timeout=2.0,
            connect_timeout=0.5,
            max_line=1 << 20,
            max_nodes=99,
            warm_after=0,
            cache_path=f"{folder.name}/boxes",
        )
        self.watcher = RegistryWatcher(
            self.clock,
            lambda: int(self.clock.seconds() * 10_000),
            config,
            RegistryCallbacks(
                on_endpoints=lambda kind, endpoints: self.reports.append(
                    (kind, [each.readiness.name for each in endpoints])
                ),
                on_nodes=lambda nodes: None,
                log=lambda text: None,
            ),
            lambda least, most: most,
        )
        self.watcher.client.call = self.call
        self.watcher.cache.save = lambda: None
        self.watcher.request_watch()

    def call(self, path, body, line, done):
        self.watcher.client.pending = Deferred().addErrback(lambda failure: None)
        self.calls += 1
        reply = self.replies.pop(0) if self.replies else "answered"
        if reply != "answered":
            return done(None) if reply == "fails" else None
        if line is not None:
            self.line = line
            return line(json.dumps({"result": {"created": True}}).encode())
        kvs = [
            RegistryMessages.kv(self, key, *each)
            for key, each in sorted(self.keys.items(), key=lambda each: -each[1][1])
        ]
        newest = b"keys_only" in body
        done(
            json.dumps(
                {
                    "header": {"revision": self.revision},
                    "kvs": kvs[:1] if newest else kvs,
                    "count": str(len(kvs)),
                }
            ).encode()
        )

    def advance(self, seconds):
        for _ in range(int(seconds * 10)):
            self.clock.advance(0.1)

    def test_missed_changes_fail_the_watch(self):
        for change, replies, within in (
            (VALUE | {"state": "draining"}, [], 4),
            (None, [], 4),
            (VALUE | {"state": "draining"}, ["fails"], 8),
            (VALUE | {"state": "draining"}, ["silent"], 10),
        ):
            self.setUp()
            self.advance(7.1)
            self.assertEqual(self.reports, [(EndpointUpdateKind.SNAPSHOT, ["READY"])])
            self.revision, self.replies = 5, replies
            self.keys = {"k/7": (change, 5)} if change else {}
            self.advance(within)
            self.assertEqual(self.reports[1:], [(EndpointUpdateKind.FAILED, [])])
            self.watcher.request_watch()  # as the scheduler does
            self.assertEqual(
                self.reports[2],
                (EndpointUpdateKind.SNAPSHOT, ["DRAINING"] if change else []),
            )

    def test_a_registry_restored_from_a_backup_fails_the_watch(self):
        self.revision = 3  # older than the listed revision; the watch is still open
        self.advance(7.1)
        self.assertEqual(
            [kind for kind, _ in self.reports],
            [EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.FAILED],
        )
        self.watcher.request_watch()
        self.advance(7.1)
        self.line(
            json.dumps(
                {"result": {"created": True, "header": {"revision": "2"}}}
            ).encode()
        )
        self.assertEqual(self.reports[-1][0], EndpointUpdateKind.FAILED)

    def test_a_late_or_quiet_watch_stays_open(self):
        self.advance(7.1)
        self.keys, self.revision = {}, 5
        self.advance(1.5)  # a check runs before the watch delivers the change
        gone = {
            "type": "DELETE",
            "kv": {"key": etcd_json.encode_text("k/7"), "mod_revision": "5"},
        }
        self.line(json.dumps({"result": {"events": [gone]}}).encode())
        self.replies = ["fails"] * 4 + ["silent"]
        self.advance(60)
        self.assertEqual(
            [kind for kind, _ in self.reports],
            [EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.DELTA],
        )
        self.assertLess(self.calls, 20, "failed checks must become less frequent")


class EndpointCaches(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = os.path.join(self.folder.name, "boxes")

    def test_a_written_list_is_read_back(self):
        endpoint_cache.write_cache(self.path, {"k": node()}, 12)
        self.assertEqual(endpoint_cache.read_cache(self.path), ({"k": node()}, 12))

    def test_a_missing_file_reads_as_an_empty_list(self):
        self.assertEqual(endpoint_cache.read_cache(self.path), ({}, 0))

    def test_a_truncated_or_corrupted_file_is_rejected(self):
        endpoint_cache.write_cache(self.path, {"k": node()}, 12)
        with open(self.path, "rb") as source:
            data = source.read()
        for at in range(0, len(data), 7):
            for bad in (data[:at], data[:at] + bytes((data[at] ^ 1,)) + data[at + 1 :]):
                with open(self.path, "wb") as sink:
                    sink.write(bad)
                with self.assertRaises(endpoint_cache.EndpointCacheNotStoredError):
                    endpoint_cache.read_cache(self.path)

    def test_a_failed_write_raises_a_one_line_error(self):
        with self.assertRaises(endpoint_cache.EndpointCacheNotStoredError) as caught:
            endpoint_cache.write_cache("/dev/full/x", {}, 1)
        self.assertNotIn("\n", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
