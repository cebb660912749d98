"""Where the tests find the project's own files."""

from pathlib import Path

ROOT = Path(__file__).parents[2]
FIXTURES = ROOT / "tests" / "fixtures"
