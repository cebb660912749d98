"""The error types: each derives from MilletsillError, has a remedy, and is documented.

They guard against an error type that docs/operators.md does not list or lists with an
outdated text.
"""

import ast
import re
import unittest

from milletsill.errors import (
    ConfigurationRejectedError,
    InvalidValueError,
    MalformedInputError,
    MilletsillError,
    StateNotStoredError,
    describe_error,
)
from milletsill.errors.catalog import error_types, table_row
from milletsill.settings.flaws import Flaw, SettingsFileRejectedError
from milletsill.sftp_gateway.errors import IncarnationNotStoredError
from milletsill.sftp_gateway.incarnation import next_incarnation
from tests.support.paths import ROOT


def documented_rows(page: str) -> dict[str, str]:
    """Return the rows of the page's table by error name."""
    part = page.split("## Errors by name", 1)[1].split("\n## ", 1)[0]
    return {
        found[1]: line.strip()
        for line in part.splitlines()
        if (found := re.match(r"\| `(\w+)` \|", line))
    }


class ErrorTypes(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.known = error_types()
        cls.rows = documented_rows((ROOT / "docs/operators.md").read_text("utf-8"))

    def test_each_type_has_a_unique_name_a_remedy_and_a_doc_comment(self):
        self.assertGreater(len(self.known), 25)
        for name, types in self.known.items():
            with self.subTest(name):
                self.assertEqual(len(types), 1, [each.__module__ for each in types])
                self.assertTrue(types[0].remedy.strip())
                self.assertNotIn("\n", types[0].remedy)
                self.assertTrue((types[0].__dict__.get("__doc__") or "").strip())

    def test_the_operators_page_lists_exactly_the_error_types_with_their_rows(self):
        self.assertEqual(sorted(self.rows), sorted(self.known))
        for name, types in self.known.items():
            with self.subTest(name):
                self.assertEqual(self.rows[name], table_row(types[0]))

    def test_all_errors_derive_from_milletsill_error_and_no_base_class_is_raised(
        self,
    ):
        names = {
            "Exception",
            "BaseException",
            "ValueError",
            "RuntimeError",
            "OSError",
            "KeyError",
            "TypeError",
        }
        for path in sorted((ROOT / "milletsill").rglob("*.py")):
            for node in ast.walk(ast.parse(path.read_text("utf-8"))):
                if (
                    isinstance(node, ast.Raise)
                    and isinstance(node.exc, ast.Call)
                    and isinstance(node.exc.func, ast.Name)
                ):
                    self.assertNotIn(
                        node.exc.func.id, {"MilletsillError", "CoordinationError"}, path
                    )
                if isinstance(node, ast.ClassDef) and node.name != "MilletsillError":
                    bases = {
                        each.id for each in node.bases if isinstance(each, ast.Name)
                    }
                    self.assertEqual(bases & names, set(), f"{path}: {node.name}")

    def test_each_of_the_four_base_classes_has_subclasses(self):
        for kind in (
            MalformedInputError,
            ConfigurationRejectedError,
            InvalidValueError,
            StateNotStoredError,
        ):
            self.assertGreater(
                len(
                    [
                        each
                        for types in self.known.values()
                        for each in types
                        if kind in each.__mro__
                    ]
                ),
                2,
                kind,
            )


class ErrorMessages(unittest.TestCase):
    def test_a_log_line_has_what_where_and_remedy(self):
        error = StateNotStoredError("no space left", "/state/boxes.json")
        self.assertEqual(
            error.log_fields(),
            {
                "error": "StateNotStoredError",
                "what": "no space left",
                "where": "/state/boxes.json",
                "remedy": StateNotStoredError.remedy,
            },
        )
        self.assertEqual(
            error.describe(),
            f"/state/boxes.json: no space left ({StateNotStoredError.remedy})",
        )
        self.assertEqual(
            MalformedInputError("a\nb").log_fields().keys(), {"error", "what", "remedy"}
        )
        self.assertEqual(
            describe_error(MalformedInputError("a\nb")),
            f"a b ({MalformedInputError.remedy})",
        )
        self.assertEqual(describe_error(ValueError("x " * 500)), ("x " * 500)[:200])

    def test_the_first_location_is_kept(self):
        self.assertEqual(
            str(MalformedInputError("short").with_location("10.0.0.7")),
            "10.0.0.7: short",
        )
        self.assertEqual(
            str(MalformedInputError("short", "byte 7").with_location("10.0.0.7")),
            "byte 7: short",
        )
        self.assertEqual(str(MilletsillError("alone")), "alone")

    def test_an_incarnation_that_cannot_be_stored_is_an_error_with_its_path(self):
        number, error = next_incarnation("/proc/none/incarnation")
        self.assertGreater(number, 1_000_000)
        self.assertEqual(
            (type(error), error.where),
            (IncarnationNotStoredError, "/proc/none/incarnation"),
        )

    def test_a_rejected_file_names_each_flaw(self):
        error = SettingsFileRejectedError(
            [Flaw("g.textproto", 3, "no such plan"), Flaw("g.textproto", 0, "too long")]
        )
        self.assertEqual(
            error.log_fields()["what"],
            "g.textproto:3: no such plan; g.textproto: too long",
        )
        self.assertIsInstance(error, ConfigurationRejectedError)


if __name__ == "__main__":
    unittest.main()
