"""Routing and the steps of a command: each test calls one function or reads one row."""

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


def place(
    number=1,
    name="suva",
    root="/suva",
    cells=(0, 1, 2),
    placement=VolumePlacement.HASHED,
):
    return RoutedVolume(number, name, root, 0, tuple(cells), 3, placement)


def routing_table(*volumes):
    routes = [
        RouteRule(frozenset({"read"}), "", 9000, 2),
        RouteRule(frozenset({"read"}), "suva", 0, 1),
        RouteRule(frozenset(), "", 0, 0),
    ]
    return RoutingTable(
        volumes or (place(), place(2, "b", "/a/b")),
        routes,
        RequestSizing(4096, 8, 65536),
    )


class Paths(unittest.TestCase):
    def test_a_path_is_made_absolute_and_cannot_climb_out(self):
        for given, made in (
            ("", "/"),
            ("a//b/./c", "/a/b/c"),
            ("/../../a", "/a"),
            ("/a/b/../c/", "/a/c"),
        ):
            self.assertEqual(canonical_path(given), made)

    def test_a_zero_byte_or_endless_path_is_refused(self):
        for bad in ("a\0b", "a" * 5000):
            with self.assertRaises(InvalidPathError):
                canonical_path(bad)

    def test_the_volume_is_that_of_the_root_above(self):
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

    def test_the_first_route_that_fits_gives_the_category(self):
        of = routing_table()
        self.assertEqual(
            [
                of.request_class("read", place(), 9000),
                of.request_class("read", place(), 5),
                of.request_class("read", place(2, "b"), 5),
                of.request_class("write", place(), 9000),
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

    def test_a_command_that_moves_no_data_is_a_part_of_a_unit(self):
        self.assertEqual(routing_table().units("look", 0), 0.5)


class HomeShards(unittest.TestCase):
    def test_every_gateway_finds_the_same_home(self):
        self.assertEqual(
            routing_table().home_shard(place(), "/suva/x"),
            routing_table().home_shard(place(cells=(2, 1, 0)), "/suva/x"),
        )

    def test_a_cell_that_leaves_moves_only_its_own_paths(self):
        of, paths = routing_table(), [f"/suva/{each}" for each in range(500)]
        before = {each: of.home_shard(place(), each) for each in paths}
        after = {each: of.home_shard(place(cells=(0, 1)), each) for each in paths}
        self.assertTrue(
            all(after[each] == before[each] for each in paths if before[each] != 2)
        )
        self.assertTrue(
            all(100 < list(before.values()).count(cell) < 240 for cell in (0, 1, 2))
        )

    def test_by_directory_a_directorys_files_share_a_cell(self):
        volume = place(placement=VolumePlacement.BY_DIRECTORY, cells=range(9))
        self.assertEqual(
            len(
                {
                    routing_table().home_shard(volume, f"/suva/day/{each}")
                    for each in range(50)
                }
            ),
            1,
        )

    def test_extents_differ_by_offset_and_are_never_none(self):
        of = routing_table()
        self.assertEqual(of.request_key("/a", 0), of.request_key("/a", 65535))
        self.assertNotEqual(of.request_key("/a", 0), of.request_key("/a", 65536))

    def test_a_spot_comes_back_from_its_text(self):
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

    def test_remembered_places_are_bounded(self):
        held = LocationCache(2)
        for each in "abc":
            held.put(each, ObjectLocation(1, each))
        self.assertEqual(
            (held.get("a"), held.get("c"), len(held.entries)),
            (None, ObjectLocation(1, "c"), 2),
        )


class CommandSteps(unittest.TestCase):
    def test_how_commands_go(self):
        opening = packets.Open(1, "/suva/x", packets.CREATE_FLAG, FileAttributes())
        for command, placement, course in (
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
            self.assertEqual(strategy_for(command, placement, 3)[0], course)

    def test_a_new_object_is_looked_for_placed_and_linked(self):
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

    def test_who_loses_a_race_for_a_name_follows_the_winner(self):
        self.assertEqual(
            next_step(CommandStrategy.CREATE, CommandStep.LINKING, StepResult.LINK, 3),
            (CommandStep.THERE, StepEffect.FOLLOW_LINK),
        )

    def test_an_old_memory_of_a_place_leads_home_not_to_a_wrong_answer(self):
        self.assertEqual(
            next_step(
                CommandStrategy.FOLLOW_LINK, CommandStep.THERE, StepResult.MISSING, 1
            ),
            (CommandStep.HOME, StepEffect.FORGET_LOCATION),
        )

    def test_links_in_a_circle_end(self):
        self.assertEqual(
            next_step(
                CommandStrategy.FOLLOW_LINK, CommandStep.HOME, StepResult.LINK, 6
            ),
            (CommandStep.OVER, StepEffect.FAIL_LINK_LOOP),
        )

    def test_a_rename_never_covers_a_name_that_stands(self):
        self.assertEqual(
            next_step(CommandStrategy.RENAME, CommandStep.MOVING, StepResult.LINK, 2),
            (CommandStep.OVER, StepEffect.ANSWER_NAME_EXISTS),
        )

    def test_a_decline_after_something_was_done_is_an_abort(self):
        self.assertEqual(
            [final_result(StepResult.REJECTED, each) for each in (False, True)],
            [StepResult.REJECTED, StepResult.FAILED],
        )

    def test_memory_spares_the_look_at_home_but_not_for_changes_of_the_link(self):
        spot = ObjectLocation(1, "x")
        self.assertEqual(
            [
                first_step(course, CommandStep.HOME, spot)
                for course in (
                    CommandStrategy.FOLLOW_LINK,
                    CommandStrategy.CREATE,
                    CommandStrategy.REMOVE,
                )
            ],
            [CommandStep.THERE, CommandStep.THERE, CommandStep.HOME],
        )

    def test_what_a_box_answers(self):
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

    def test_a_page_without_names_is_never_given_before_the_end(self):
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
