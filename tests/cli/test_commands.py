"""Exit statuses of commands, and their messages for invalid input."""

import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path

import click
from click.testing import CliRunner, Result

from milletsill.cli.main import main
from milletsill.cli.options import group_options

PLANNER_FILE = 'name: "p"\nlisten: "127.0.0.1:0"\nstate_dir: "s"\n'
CLOSED = "127.0.0.1:1"  # no process listens there


@dataclass(frozen=True, slots=True)
class PrintOptions:
    """Options of a command that exists only in these tests."""

    times: int
    quiet: bool


@click.command()
@click.argument("text")
@click.option("--times", default=2)
@click.option("--quiet", is_flag=True)
@group_options(PrintOptions)
def print_command(text: str, options: PrintOptions) -> None:
    """Print TEXT and the options."""
    click.echo(f"{text} {options}")


class Commands(unittest.TestCase):
    """Runs commands in this process."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, text: str) -> str:
        """Write a file and return its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def run_command(self, *arguments: str) -> Result:
        """Run one command of `milletsill`."""
        return CliRunner().invoke(main, arguments)

    def test_a_valid_file_exits_with_status_0(self) -> None:
        """A valid file gives one line and status 0."""
        planner = self.write("p", PLANNER_FILE)
        for arguments, file in (
            (("check", "examples/gateway.textproto"), "examples/gateway.textproto"),
            (
                ("check", "--scenario", "examples/bad-day.textproto"),
                "examples/bad-day.textproto",
            ),
            (("plan", "--check", planner), planner),
        ):
            result = self.run_command(*arguments)
            self.assertEqual((result.exit_code, result.output), (0, f"{file}: fine\n"))

    def test_an_invalid_file_gives_a_line_for_each_flaw_and_status_2(self) -> None:
        """Every command that reads a settings file reports an invalid one alike."""
        bad = self.write("bad", PLANNER_FILE.replace('"s"', '""') + "most_edges: 0\n")
        result = self.run_command("plan", "--check", bad)
        self.assertEqual(
            (result.exit_code, result.output),
            (
                2,
                f"{bad}:3: state_dir is empty\n"
                f"{bad}:4: most_edges 0 is not from 1 to 100000\n",
            ),
        )
        empty = self.write("empty", "{")
        out = str(self.folder / "out")
        for arguments in (
            ("check", empty),
            ("edge", empty),
            ("lab", "run", empty, "--out", out),
        ):
            result = self.run_command(*arguments)
            self.assertEqual(result.exit_code, 2, arguments)
            self.assertTrue(result.output.startswith(f"{empty}:1: "), result.output)

    def test_invalid_input_of_other_commands_gives_one_line_and_status_2(self) -> None:
        """Cases: a missing file, a short key, an invalid address or prefix."""
        missing = str(self.folder / "missing")
        key = self.write("key", "short")
        for arguments, line in (
            (("trace", "info", missing), f"milletsill: {missing}: No such file or"),
            (("trace", "anonymise", key, missing, "--key-file", key), f"{key}: a key"),
            (("flows", "decode", missing), f"{missing}: No such file or directory"),
            (("flows", "collect", "--listen", "x"), "milletsill: 'x' is not host:port"),
            (("flows", "collect", "--within", "y"), "milletsill: "),
            (("lab", "from-day", missing), f"{missing}: No such file or directory"),
        ):
            result = self.run_command(*arguments)
            self.assertEqual(result.exit_code, 2, arguments)
            self.assertTrue(result.output.startswith(line), result.output)
            self.assertEqual(result.output.count("\n"), 1, result.output)

    def test_an_unreachable_planner_gives_one_line_and_status_1(self) -> None:
        """All commands to a planner report it alike."""
        for command in (("edges",), ("shares",), ("freeze",), ("drain", "a")):
            result = self.run_command("ctl", "--planner", CLOSED, *command)
            self.assertEqual(result.exit_code, 1, command)
            self.assertTrue(
                result.output.startswith(f"milletsill: {CLOSED}: "), result.output
            )
            self.assertEqual(result.output.count("\n"), 1, result.output)

    def test_an_invalid_address_is_a_usage_error(self) -> None:
        """Click prints the usage of the command and exits with status 2."""
        result = self.run_command("ctl", "--planner", "nowhere", "edges")
        self.assertEqual(result.exit_code, 2)
        self.assertIn("'nowhere' is not host:port", result.output)


class GroupedOptions(unittest.TestCase):
    """Options that a command gets as one value."""

    def test_a_command_gets_its_options_in_one_value(self) -> None:
        """Arguments without a field in the value are passed unchanged."""
        result = CliRunner().invoke(print_command, ["hello", "--quiet"])
        self.assertEqual(result.output, "hello PrintOptions(times=2, quiet=True)\n")

    def test_the_help_text_is_kept(self) -> None:
        """The decorator keeps the doc comment and all parameters."""
        result = CliRunner().invoke(print_command, ["--help"])
        for text in ("Print TEXT and the options.", "--times", "--quiet"):
            self.assertIn(text, result.output)


if __name__ == "__main__":
    unittest.main()
