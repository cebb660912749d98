"""Our own site variants for the bench.

Whole, apart from each other and from the examples, and unknown to the gateway.
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
    """Categories, tenants (each is a plan's name as well) and zones."""
    told = site(name)
    return (
        categories(name)
        | {each["name"] for each in told["tenant"]}
        | set(told["net"]["zones"])
    )


def words(texts):
    return {word.lower() for text in texts for word in WORD.findall(text)}


def literals(path):
    """Every string in a Python file that is not a comment in string's form (a docstring)."""
    tree = ast.parse(path.read_text())
    prose = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in prose:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")


def held():
    """Words that the gateway and its deploy file hold as literals, and where."""
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
    def test_each_folder_holds_a_site_that_parses(self):
        self.assertEqual(
            sorted(each.name for each in SITES.iterdir()), sorted(VARIANTS)
        )
        for name in VARIANTS:
            with self.subTest(name):
                told = site(name)
                self.assertEqual(
                    (told["name"], told["family"], told["wire"]),
                    (name, "stores", "wire.json"),
                )
                self.assertEqual(len(told["tenant"]), len(told["fam"]["plan"]))
                self.assertTrue(
                    all(each["aim_ms"] < each["deadline_ms"] for each in told["class"])
                )
                for file in ("real.json", "wire.json"):
                    self.assertEqual(
                        json.loads((SITES / name / file).read_text())["family"],
                        "stores",
                    )
                lines = (SITES / name / "unlock.txt").read_text().splitlines()
                self.assertTrue(lines and all(UNLOCK.match(line) for line in lines))

    def test_each_has_an_effect_and_a_window_that_put_repeats_to_the_test(self):
        for name in VARIANTS:
            with self.subTest(name):
                told = site(name)["class"]
                self.assertEqual(
                    {each["effect"] for each in told}, {"safe", "keyed", "unsafe"}
                )
                for each in told:
                    if each["effect"] == "keyed":
                        self.assertLess(each["window_ms"], each["deadline_ms"])

    def test_no_category_is_shared_with_the_other_or_with_an_example(self):
        first, second = map(categories, VARIANTS)
        self.assertEqual(first & second, set())
        files = sorted((ROOT / "examples").glob("*.textproto"))
        told = {text for path in files for text in QUOTED.findall(path.read_text())}
        self.assertIn("lot-read", told)  # the examples' own categories were read
        self.assertEqual((first | second) & told, set())

    def test_the_gateway_holds_no_word_of_a_site_as_a_literal(self):
        found = held()
        self.assertIn("active", found)  # discovery's word is one: literals were read
        for name in VARIANTS:
            with self.subTest(name):
                self.assertEqual(
                    {word: found[word] for word in words(names(name)) if word in found},
                    {},
                )


if __name__ == "__main__":
    unittest.main()
