"""The site variants under deploy/sites that benchmarks use.

Each is complete and differs from the other and from the examples. The gateway's code
contains none of their names.
"""

import ast
import json
import re
import tomllib
import unittest

from tests.support.paths import ROOT

SITES = ROOT / "deploy" / "sites"
VARIANTS = ("heron-mill", "tallow-ford")
WORD = re.compile(r"[^\W_]+")
QUOTED = re.compile(r'"([^"\n]*)"')
UNLOCK = re.compile(r"unlock [a-z_]+(,[a-z_]+)* [0-9a-f]{16}\Z")


def site(name):
    return tomllib.loads((SITES / name / f"{name}.toml").read_text())


def categories(name):
    return {each["name"] for each in site(name)["class"]}


def names(name):
    """Return the names of categories, tenants and zones.

    Each tenant's name is also the name of a plan.
    """
    content = site(name)
    return (
        categories(name)
        | {each["name"] for each in content["tenant"]}
        | set(content["net"]["zones"])
    )


def words(texts):
    return {word.lower() for text in texts for word in WORD.findall(text)}


def literals(path):
    """Yield every string literal in a Python file except docstrings."""
    tree = ast.parse(path.read_text())
    docstrings = {
        id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")


def literal_words():
    """Return each word in a literal of the code or the deploy file, and its file."""
    found = {}
    texts = [
        (path, text)
        for path in sorted((ROOT / "milletsill").rglob("*.py"))
        for text in literals(path)
    ]
    other = [
        *sorted((ROOT / "milletsill").rglob("*.proto")),
        ROOT / "deploy" / "balancer.toml",
    ]
    texts += [
        (path, text) for path in other for text in QUOTED.findall(path.read_text())
    ]
    for path, text in texts:
        for word in words([text]):
            found.setdefault(word, path.relative_to(ROOT).as_posix())
    return found


class Sites(unittest.TestCase):
    def test_each_folder_contains_a_valid_site(self):
        self.assertEqual(
            sorted(each.name for each in SITES.iterdir()), sorted(VARIANTS)
        )
        for name in VARIANTS:
            with self.subTest(name):
                content = site(name)
                self.assertEqual(
                    (content["name"], content["family"], content["wire"]),
                    (name, "stores", "wire.json"),
                )
                self.assertEqual(len(content["tenant"]), len(content["fam"]["plan"]))
                self.assertTrue(
                    all(
                        each["aim_ms"] < each["deadline_ms"]
                        for each in content["class"]
                    )
                )
                for file in ("real.json", "wire.json"):
                    self.assertEqual(
                        json.loads((SITES / name / file).read_text())["family"],
                        "stores",
                    )
                lines = (SITES / name / "unlock.txt").read_text().splitlines()
                self.assertTrue(lines and all(UNLOCK.match(line) for line in lines))

    def test_each_site_has_all_effects_and_windows_shorter_than_deadlines(self):
        """A retry window shorter than the client timeout makes it limit retries."""
        for name in VARIANTS:
            with self.subTest(name):
                content = site(name)["class"]
                self.assertEqual(
                    {each["effect"] for each in content}, {"safe", "keyed", "unsafe"}
                )
                for each in content:
                    if each["effect"] == "keyed":
                        self.assertLess(each["window_ms"], each["deadline_ms"])

    def test_no_category_is_shared_between_sites_or_with_an_example(self):
        first, second = map(categories, VARIANTS)
        self.assertEqual(first & second, set())
        files = sorted((ROOT / "examples").glob("*.textproto"))
        quoted = {text for path in files for text in QUOTED.findall(path.read_text())}
        self.assertIn("lot-read", quoted)  # proves that the examples were read
        self.assertEqual((first | second) & quoted, set())

    def test_no_literal_of_the_gateway_contains_a_word_of_a_site(self):
        found = literal_words()
        self.assertIn("active", found)  # discovery's word: proves literals were read
        for name in VARIANTS:
            with self.subTest(name):
                self.assertEqual(
                    {word: found[word] for word in words(names(name)) if word in found},
                    {},
                )


if __name__ == "__main__":
    unittest.main()
