"""Routing and the steps of a command.

Each test calls one function or reads one row of a table.
"""

import unittest

from milletsill.sftp import packets
from milletsill.sftp.wire import FileAttributes
from milletsill.sftp_gateway.command_classification import (
    InvalidPathError,
    canonical_path,
)
from milletsill.sftp_gateway.command_steps import (
    CommandStep,
    CommandStrategy,
    PageOutcome,
    StepEffect,
    StepResult,
    final_result,
    first_step,
    next_step,
    page_outcome,
    step_result,
    strategy_for,
)
from milletsill.sftp_gateway.object_location import (
    LocationCache,
    ObjectLocation,
    format_location,
    parse_location,
)
from milletsill.sftp_gateway.routing_table import (
    RequestSizing,
    RoutedVolume,
    RouteRule,
    RoutingTable,
    VolumePlacement,
)


def make_volume(
    number=1,
    name="suva",
    root="/suva",
    shards=(0, 1, 2),
    placement=VolumePlacement.HASHED,
):
    return RoutedVolume(number, name, root, 0, tuple(shards), 3, placement)


def routing_table(*volumes):
    routes = [
        RouteRule(frozenset({"read"}), "", 9000, 2),
        RouteRule(frozenset({"read"}), "suva", 0, 1),
        RouteRule(frozenset(), "", 0, 0),
    ]
    return RoutingTable(
        volumes or (make_volume(), make_volume(2, "b", "/a/b")),
        routes,
        RequestSizing(4096, 8, 65536),
    )


class Paths(unittest.TestCase):
    def test_a_path_is_made_absolute_and_cannot_leave_the_root(self):
        for given, expected in (
            ("", "/"),
            ("a//b/./c", "/a/b/c"),
            ("/../../a", "/a"),
            ("/a/b/../c/", "/a/c"),
        ):
            self.assertEqual(canonical_path(given), expected)

    def test_a_path_with_nul_or_over_the_length_limit_is_rejected(self):
        for bad in ("a\0b", "a" * 5000):
            with self.assertRaises(InvalidPathError):
                canonical_path(bad)

    def test_a_path_belongs_to_the_volume_whose_root_contains_it(self):
        self.assertEqual(
            [
                getattr(routing_table().volume_of(each), "name", None)
                for each in ("/suva", "/suva/x/y", "/suvarov", "/a", "/a/b/c")
            ],
            ["suva", "suva", None, None, "b"],
        )

    def test_names_above_volumes(self):
        self.assertEqual(
            (
                routing_table().names_below("/"),
                routing_table().names_below("/a"),
                routing_table().names_below("/suva"),
            ),
            (["a", "suva"], ["b"], []),
        )

    def test_the_first_matching_route_gives_the_request_class(self):
        of = routing_table()
        self.assertEqual(
            [
                of.request_class("read", make_volume(), 9000),
                of.request_class("read", make_volume(), 5),
                of.request_class("read", make_volume(2, "b"), 5),
                of.request_class("write", make_volume(), 9000),
            ],
            [2, 1, 0, 0],
        )

    def test_units_are_between_one_and_the_largest(self):
        self.assertEqual(
            [
                routing_table().units("read", each)
                for each in (0, 1, 4096, 4097, 1 << 30)
            ],
            [1, 1, 1, 2, 8],
        )

    def test_a_command_that_transfers_no_data_is_a_fraction_of_a_unit(self):
        self.assertEqual(routing_table().units("look", 0), 0.5)


class HomeShards(unittest.TestCase):
    def test_the_home_shard_does_not_depend_on_the_order_of_shards(self):
        self.assertEqual(
            routing_table().home_shard(make_volume(), "/suva/x"),
            routing_table().home_shard(make_volume(shards=(2, 1, 0)), "/suva/x"),
        )

    def test_a_shard_that_leaves_moves_only_its_own_paths(self):
        of, paths = routing_table(), [f"/suva/{each}" for each in range(500)]
        before = {each: of.home_shard(make_volume(), each) for each in paths}
        after = {
            each: of.home_shard(make_volume(shards=(0, 1)), each) for each in paths
        }
        self.assertTrue(
            all(after[each] == before[each] for each in paths if before[each] != 2)
        )
        self.assertTrue(
            all(100 < list(before.values()).count(shard) < 240 for shard in (0, 1, 2))
        )

    def test_by_directory_the_files_of_a_directory_share_a_shard(self):
        volume = make_volume(placement=VolumePlacement.BY_DIRECTORY, shards=range(9))
        self.assertEqual(
            len(
                {
                    routing_table().home_shard(volume, f"/suva/day/{each}")
                    for each in range(50)
                }
            ),
            1,
        )

    def test_keys_differ_by_block_of_the_object(self):
        of = routing_table()
        self.assertEqual(of.request_key("/a", 0), of.request_key("/a", 65535))
        self.assertNotEqual(of.request_key("/a", 0), of.request_key("/a", 65536))

    def test_a_location_is_parsed_from_its_link_target(self):
        self.assertEqual(
            parse_location(format_location(ObjectLocation(7, "#e.1.2:x"))),
            ObjectLocation(7, "#e.1.2:x"),
        )
        self.assertEqual(
            [
                parse_location(each)
                for each in ("", "7", ":x", "7:", "x:y", "9" * 20 + ":x")
            ],
            [None] * 6,
        )

    def test_the_location_cache_evicts_the_oldest_entry(self):
        cache = LocationCache(2)
        for each in "abc":
            cache.put(each, ObjectLocation(1, each))
        self.assertEqual(
            (cache.get("a"), cache.get("c"), len(cache.entries)),
            (None, ObjectLocation(1, "c"), 2),
        )


class CommandSteps(unittest.TestCase):
    def test_the_strategy_depends_on_command_and_placement(self):
        opening = packets.Open(1, "/suva/x", packets.CREATE_FLAG, FileAttributes())
        for command, placement, strategy in (
            (opening, VolumePlacement.HASHED, CommandStrategy.SINGLE_REQUEST),
            (opening, VolumePlacement.FREE, CommandStrategy.CREATE),
            (packets.Stat(1, "x"), VolumePlacement.FREE, CommandStrategy.FOLLOW_LINK),
            (packets.Remove(1, "x"), VolumePlacement.FREE, CommandStrategy.REMOVE),
            (packets.Rename(1, "x", "y"), VolumePlacement.FREE, CommandStrategy.RENAME),
            (
                packets.Rmdir(1, "x"),
                VolumePlacement.HASHED,
                CommandStrategy.EVERY_SHARD,
            ),
            (packets.Readdir(1, b"h"), VolumePlacement.FREE, CommandStrategy.LIST),
        ):
            self.assertEqual(strategy_for(command, placement, 3)[0], strategy)

    def test_a_new_object_is_looked_up_placed_and_linked(self):
        self.assertEqual(
            next_step(CommandStrategy.CREATE, CommandStep.HOME, StepResult.MISSING, 1),
            (CommandStep.PLACING, StepEffect.NEXT_STEP),
        )
        self.assertEqual(
            next_step(
                CommandStrategy.CREATE, CommandStep.PLACING, StepResult.SUCCEEDED, 2
            ),
            (CommandStep.LINKING, StepEffect.SAVE_ANSWER),
        )
        self.assertEqual(
            next_step(
                CommandStrategy.CREATE, CommandStep.LINKING, StepResult.SUCCEEDED, 3
            ),
            (CommandStep.OVER, StepEffect.ANSWER_CREATED),
        )

    def test_the_loser_of_a_race_for_a_name_follows_the_winners_link(self):
        self.assertEqual(
            next_step(CommandStrategy.CREATE, CommandStep.LINKING, StepResult.LINK, 3),
            (CommandStep.THERE, StepEffect.FOLLOW_LINK),
        )

    def test_a_stale_cached_location_leads_to_the_home_shard(self):
        self.assertEqual(
            next_step(
                CommandStrategy.FOLLOW_LINK, CommandStep.THERE, StepResult.MISSING, 1
            ),
            (CommandStep.HOME, StepEffect.FORGET_LOCATION),
        )

    def test_a_loop_of_links_ends_the_command(self):
        self.assertEqual(
            next_step(
                CommandStrategy.FOLLOW_LINK, CommandStep.HOME, StepResult.LINK, 6
            ),
            (CommandStep.OVER, StepEffect.FAIL_LINK_LOOP),
        )

    def test_a_rename_never_replaces_an_existing_name(self):
        self.assertEqual(
            next_step(CommandStrategy.RENAME, CommandStep.MOVING, StepResult.LINK, 2),
            (CommandStep.OVER, StepEffect.ANSWER_NAME_EXISTS),
        )

    def test_a_rejection_after_a_mutating_step_becomes_a_failure(self):
        self.assertEqual(
            [final_result(StepResult.REJECTED, each) for each in (False, True)],
            [StepResult.REJECTED, StepResult.FAILED],
        )

    def test_a_cached_location_skips_the_home_shard_except_for_link_changes(self):
        location = ObjectLocation(1, "x")
        self.assertEqual(
            [
                first_step(strategy, CommandStep.HOME, location)
                for strategy in (
                    CommandStrategy.FOLLOW_LINK,
                    CommandStrategy.CREATE,
                    CommandStrategy.REMOVE,
                )
            ],
            [CommandStep.THERE, CommandStep.THERE, CommandStep.HOME],
        )

    def test_the_result_of_a_step_follows_from_the_nodes_answer(self):
        self.assertEqual(
            [
                step_result(*each)
                for each in (
                    (True, 0),
                    (False, None),
                    (False, 1),
                    (False, 2),
                    (False, 4),
                )
            ],
            [
                StepResult.LINK,
                StepResult.SUCCEEDED,
                StepResult.SUCCEEDED,
                StepResult.MISSING,
                StepResult.OTHER_STATUS,
            ],
        )

    def test_a_page_without_names_is_never_sent_before_the_end(self):
        self.assertEqual(
            [
                page_outcome(*each)
                for each in ((3, False, 0), (0, False, 0), (0, True, 2), (0, True, 0))
            ],
            [
                PageOutcome.ANSWER,
                PageOutcome.SAME_SHARD,
                PageOutcome.NEXT_SHARD,
                PageOutcome.END,
            ],
        )
