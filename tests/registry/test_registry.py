"""The list follower: its table, the view, the JSON, the cache."""

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


def box(id=7, started=0, cell=3, readiness=Readiness.READY):
    return RegisteredNode(id, "127.0.0.1:9", readiness, 2.0, 0, 0, cell, started)


class Table(unittest.TestCase):
    def test_an_asking_ranges_then_watches(self):
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

    def test_every_failure_is_told_to_the_module_once(self):
        for stage in (
            WatcherState.LISTING,
            WatcherState.OPENING,
            WatcherState.WATCHING,
        ):
            self.assertEqual(
                next_state(stage, WatcherEvent.FAILED),
                (WatcherState.IDLE, WatcherEffect.REPORT_FAILURE),
            )
        self.assertEqual(
            next_state(WatcherState.IDLE, WatcherEvent.FAILED),
            (WatcherState.IDLE, WatcherEffect.NONE),
        )

    def test_compaction_asks_for_the_whole_list(self):
        self.assertEqual(
            next_state(WatcherState.WATCHING, WatcherEvent.COMPACTED),
            (WatcherState.LISTING, WatcherEffect.LIST),
        )

    def test_an_asking_while_the_watch_stands_is_confirmed(self):
        self.assertEqual(
            next_state(WatcherState.WATCHING, WatcherEvent.REQUESTED),
            (WatcherState.WATCHING, WatcherEffect.REPORT_UNCHANGED),
        )


class Views(unittest.TestCase):
    def test_changes_are_applied_once_and_in_order(self):
        view = EndpointView(10, 1000)
        view.replace({"a": box()}, 5)
        drain = box(readiness=Readiness.DRAINING)
        self.assertEqual(
            view.apply([KeyChange("a", box(), 5), KeyChange("a", drain, 6)]), [drain]
        )
        self.assertEqual(view.apply([KeyChange("a", drain, 6)]), [])

    def test_a_key_that_goes_makes_its_box_gone(self):
        view = EndpointView(10, 1000)
        view.replace({"a": box()}, 5)
        self.assertEqual(
            view.apply([KeyChange("a", None, 6)])[0].readiness, Readiness.GONE
        )

    def test_a_box_that_another_key_still_claims_is_not_gone(self):
        view = EndpointView(10, 1000)
        view.replace({"a": box(), "b": box()}, 5)
        self.assertEqual(view.apply([KeyChange("a", None, 6)]), [])

    def test_a_key_that_takes_another_id_makes_the_old_box_gone(self):
        view = EndpointView(10, 1000)
        view.replace({"a": box(1)}, 5)
        self.assertEqual(
            [
                (each.id, each.readiness.name)
                for each in view.apply([KeyChange("a", box(2), 6)])
            ],
            [(1, "GONE"), (2, "READY")],
        )

    def test_keys_are_counted_also_those_without_a_box(self):
        view = EndpointView(1, 1000)
        view.replace({"a": box(1)}, 5, ["a", "odd"])
        view.apply(
            [
                KeyChange("a", None, 6, invalid=True),
                KeyChange("more", box(2), 7),
                KeyChange("odd", None, 8),
                KeyChange("new", None, 8, invalid=True),
            ]
        )
        self.assertEqual((view.key_count(), list(view.by_key)), (3, ["a"]))

    def test_a_flood_of_boxes_is_bounded_and_counted(self):
        view = EndpointView(10, 1000)
        view.replace({str(each): box(each) for each in range(15)}, 5)
        view.apply([KeyChange("new", box(99), 6)])
        self.assertEqual((len(view.by_key), view.overflow), (10, 6))

    def test_a_step_of_the_wall_clock_does_not_make_a_box_new(self):
        view = EndpointView(10, 100_000)
        first = view.started_at(box(started=1_000_000), 50_000, 1_001_000)
        self.assertEqual(first, 40_000)
        self.assertEqual(
            view.started_at(box(started=1_000_000), 60_000, 9_999_999), first
        )
        self.assertNotEqual(
            view.started_at(box(started=1_001_500), 60_000, 1_002_000), first
        )

    def test_long_ago_is_none(self):
        view = EndpointView(10, 1000)
        self.assertIsNone(view.started_at(box(started=1), 50_000, 1_000_000))
        self.assertIsNone(view.started_at(box(started=0), 0, 0))


class Json(unittest.TestCase):
    def kv(self, key="k/7", value=VALUE, revision=4):
        text = value if isinstance(value, str) else json.dumps(value)
        return {
            "key": etcd_json.encode_text(key),
            "value": etcd_json.encode_text(text),
            "mod_revision": str(revision),
        }

    def test_a_list_with_one_bad_box_keeps_the_others_and_says_so(self):
        said = []
        body = {
            "header": {"revision": "9"},
            "kvs": [self.kv(), self.kv("k/8", "nonsense"), self.kv("k/9", {"id": -1})],
        }
        listed = etcd_json.parse_list(json.dumps(body).encode(), said.append)
        self.assertEqual(
            (list(listed.nodes), listed.head.revision, len(said)), (["k/7"], 9, 2)
        )

    def test_a_watch_tells_changes_deletes_opening_and_compaction(self):
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

    def test_nonsense_is_one_line(self):
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

    def test_boxes_of_all_wrong_kinds_are_refused(self):
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

    def test_a_line_without_an_end_is_bounded(self):
        lines = LineSplitter(100)
        self.assertEqual(lines.feed(b"a\nb"), [b"a"])
        with self.assertRaises(etcd_json.MalformedRegistryAnswerError):
            lines.feed(b"x" * 200)


class HalfOpen(unittest.TestCase):
    """A watch whose other end is gone without a word, against a registry of the test's own, on its clock."""

    def setUp(self):
        self.clock, self.told, self.ways, self.calls, self.keys, self.revision = (
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
        self.follower = RegistryWatcher(
            self.clock,
            lambda: int(self.clock.seconds() * 10_000),
            config,
            RegistryCallbacks(
                on_endpoints=lambda news, boxes: self.told.append(
                    (news, [each.readiness.name for each in boxes])
                ),
                on_nodes=lambda nodes: None,
                log=lambda text: None,
            ),
            lambda least, most: most,
        )
        self.follower.client.call = self.call
        self.follower.cache.save = lambda: None
        self.follower.request_watch()

    def call(self, path, body, line, done):
        self.follower.client.pending = Deferred().addErrback(lambda failure: None)
        self.calls += 1
        way = self.ways.pop(0) if self.ways else "good"
        if way != "good":
            return done(None) if way == "fails" else None
        if line is not None:
            self.line = line
            return line(json.dumps({"result": {"created": True}}).encode())
        kvs = [
            Json.kv(self, key, *each)
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

    def passing(self, seconds):
        for _ in range(int(seconds * 10)):
            self.clock.advance(0.1)

    def test_what_it_misses_is_found(self):
        for change, ways, within in (
            (VALUE | {"state": "draining"}, [], 4),
            (None, [], 4),
            (VALUE | {"state": "draining"}, ["fails"], 8),
            (VALUE | {"state": "draining"}, ["no word"], 10),
        ):
            self.setUp()
            self.passing(7.1)
            self.assertEqual(self.told, [(EndpointUpdateKind.SNAPSHOT, ["READY"])])
            self.revision, self.ways = 5, ways
            self.keys = {"k/7": (change, 5)} if change else {}
            self.passing(within)
            self.assertEqual(self.told[1:], [(EndpointUpdateKind.FAILED, [])])
            self.follower.request_watch()  # as the module does
            self.assertEqual(
                self.told[2],
                (EndpointUpdateKind.SNAPSHOT, ["DRAINING"] if change else []),
            )

    def test_a_registry_restored_from_a_backup_is_found(self):
        self.revision = 3  # behind what it told, and the watch stands
        self.passing(7.1)
        self.assertEqual(
            [news for news, _ in self.told],
            [EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.FAILED],
        )
        self.follower.request_watch()
        self.passing(7.1)
        self.line(
            json.dumps(
                {"result": {"created": True, "header": {"revision": "2"}}}
            ).encode()
        )
        self.assertEqual(self.told[-1][0], EndpointUpdateKind.FAILED)

    def test_a_watch_that_is_late_or_has_nothing_to_say_stands(self):
        self.passing(7.1)
        self.keys, self.revision = {}, 5
        self.passing(1.5)  # looked at in between
        gone = {
            "type": "DELETE",
            "kv": {"key": etcd_json.encode_text("k/7"), "mod_revision": "5"},
        }
        self.line(json.dumps({"result": {"events": [gone]}}).encode())
        self.ways = ["fails"] * 4 + ["no word"]
        self.passing(60)
        self.assertEqual(
            [news for news, _ in self.told],
            [EndpointUpdateKind.SNAPSHOT, EndpointUpdateKind.DELTA],
        )
        self.assertLess(self.calls, 20, "a registry that fails is asked less often")


class Cache(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = os.path.join(self.folder.name, "boxes")

    def test_what_is_put_comes_back(self):
        endpoint_cache.write_cache(self.path, {"k": box()}, 12)
        self.assertEqual(endpoint_cache.read_cache(self.path), ({"k": box()}, 12))

    def test_none_is_empty(self):
        self.assertEqual(endpoint_cache.read_cache(self.path), ({}, 0))

    def test_a_file_cut_or_flipped_anywhere_is_not_used(self):
        endpoint_cache.write_cache(self.path, {"k": box()}, 12)
        with open(self.path, "rb") as source:
            data = source.read()
        for at in range(0, len(data), 7):
            for bad in (data[:at], data[:at] + bytes((data[at] ^ 1,)) + data[at + 1 :]):
                with open(self.path, "wb") as sink:
                    sink.write(bad)
                with self.assertRaises(endpoint_cache.EndpointCacheNotStoredError):
                    endpoint_cache.read_cache(self.path)

    def test_a_full_disk_leaves_the_old_list_and_one_line(self):
        with self.assertRaises(endpoint_cache.EndpointCacheNotStoredError) as caught:
            endpoint_cache.write_cache("/dev/full/x", {}, 1)
        self.assertNotIn("\n", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
