"""Paths of the project's own files that tests read."""

from pathlib import Path

ROOT = Path(__file__).parents[2]
FIXTURES = ROOT / "tests" / "fixtures"
