"""Rendezvous hashing over the view, and its majority."""

import unittest

from milletsill.fleet.transport import Member, MemberState, View


class Rendezvous(unittest.TestCase):
    def test_a_name_moves_only_if_its_own_member_is_removed(self):
        members = [
            Member(f"m{each}", f"a:{each + 1}", 1, MemberState.ALIVE)
            for each in range(40)
        ]
        whole = View(1, members)
        reduced = View(2, [each for each in whole.members if each.name != "m7"])
        for number in range(200):
            before, after = (
                whole.rendezvous(f"box {number}", 3),
                reduced.rendezvous(f"box {number}", 3),
            )
            self.assertEqual(
                [each for each in before if each != "m7"],
                list(after)[: len([each for each in before if each != "m7"])],
            )
        self.assertTrue(reduced.has_majority(77) and not reduced.has_majority(78))


if __name__ == "__main__":
    unittest.main()
