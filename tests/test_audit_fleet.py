"""When views agree, and who was called gone without a cause: from scripted logs and faults."""
import unittest

from milletsill.lab.audit_fleet import Told, Weather, agreements, false_deaths

NAMES = ["a", "b", "c"]


class Agreements(unittest.TestCase):
    def found(self, views, weather, end=20.0):
        told = Told()
        for name, rows in views.items():
            told.views[name] = [(at, digest, {"x": 3, "a": 1}.get(digest, 2)) for at, digest in rows]
        return [None if took is None else round(took, 3) for _, _, took in agreements(told, weather, NAMES, end)]

    def test_a_killed_one_and_its_return(self):
        weather = Weather({"c": [(5.0, 8.0)]}, [], [(0.0, "start"), (5.0, "kill"), (8.0, "back")])
        views = {"a": [(1.0, "x"), (7.0, "y"), (9.0, "x")], "b": [(1.5, "x"), (6.5, "y"), (9.5, "x")],
                 "c": [(1.2, "x"), (9.2, "x")]}
        self.assertEqual(self.found(views, weather), [1.5, 2.0, 1.5])
        self.assertEqual(self.found({**views, "c": [(1.2, "x")]}, weather), [1.5, 2.0, None])

    def test_each_side_of_a_split_agrees_by_itself(self):
        weather = Weather({}, [("split", frozenset("a"), 5.0, 9.0)], [(0.0, "start"), (5.0, "split"), (9.0, "healed")])
        views = {"a": [(1.0, "x"), (6.0, "a"), (10.0, "x")], "b": [(1.0, "x"), (7.0, "bc"), (11.0, "x")],
                 "c": [(1.0, "x"), (8.0, "bc"), (10.0, "x")]}
        self.assertEqual(self.found(views, weather), [1.0, 3.0, 2.0])
        weather.network[0] = ("isolate", frozenset("ab"), 5.0, 9.0)
        self.assertEqual(self.found(views, weather)[1], None)

    def test_who_is_called_gone_without_a_cause(self):
        told = Told(gone=[(6.0, "a", "c"), (40.0, "a", "b"), (60.0, "b", "a")])
        weather = Weather({"c": [(5.0, 8.0)]}, [("split", frozenset("a"), 50.0, 55.0)], [])
        self.assertEqual(false_deaths(told, weather), ["40.000 a called b gone"])


if __name__ == "__main__":
    unittest.main()
