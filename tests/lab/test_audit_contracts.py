"""The audit of contracts is able to fail: each promise is broken on purpose in a scripted day, and caught; a lawful day is not."""

import unittest

import xxhash
from google.protobuf import text_format

from milletsill.lab.audit_contracts import ORDER_TITLES, audit_contracts
from milletsill.lab.contract_figures import GatewayKill, contract_figures
from milletsill.lab.evidence import (
    Evidence,
    NodeWrite,
    RecordedAnswer,
    RecordedChannelMessage,
    RecordedChannelOpening,
    RecordedCommand,
)
from milletsill.settings.milletsill_pb2 import Scenario

TERMS = text_format.Parse(
    """
name: "x" edges: 1
gateway { name: "e" gateways: 1 registry { address: "a:1" } rules { extent_bytes: 100 }
  fleet { name: "f" address: "a:1" channels {
    contract { name: "0" order: EACH_IN_ORDER } contract { name: "1" order: NEWEST }
    contract { name: "2" order: BY_EXTENT } contract { name: "3" order: BATCHES } } }
  volume { name: "v" root: "/v" plan: "p" cell: 0 } }
""",
    Scenario(),
)
HANDLE, OK, VOLUME = b"h", 0, xxhash.xxh64_intdigest(b"v")


def claim(at, order=0, next=1, number=1, indeterminate=()):
    opening = RecordedChannelOpening(
        HANDLE, number, str(order), order, next, tuple(indeterminate)
    )
    return RecordedChannelMessage(
        at,
        1,
        "e",
        1,
        "/v/f",
        "c",
        opening=opening,
        answers=[RecordedAnswer(at + 0.1, 201)],
    )


def wrote(at, number, generation=0, part=0):
    key = f"{VOLUME}@c@{number}.{generation}#GO.0"
    return NodeWrite(at, 0, key, "/v/f", part * 100, "e", number, OK)


def sent(at, number, answer="", ends=None, batch=0):
    code = 4 if answer else OK
    answers = [RecordedAnswer(ends or at + 1, 101, answer or "", code)]
    return RecordedCommand(
        at,
        1,
        "e",
        number,
        2.0,
        0,
        "m",
        6,
        HANDLE,
        number,
        batch,
        answers if answer is not None else [],
    )


def day(order=0, effects=((1.5, 1), (2.5, 2), (3.5, 3)), sends=None, words=(), batch=2):
    """Numbers are sent at their own second and settled a second later."""
    if sends is None:
        sends = [
            sent(number, number, batch=-(-number // batch)) for number in (1, 2, 3)
        ]
    return Evidence(
        list(sends),
        [],
        [],
        [wrote(*each) for each in effects],
        {},
        channel_messages=[claim(0, order), *words],
    )


class Contracts(unittest.TestCase):
    def found(self, evidence):
        return {
            name: [each.text for each in held]
            for name, held in audit_contracts(evidence, TERMS).items()
            if held
        }

    def test_a_lawful_day_has_no_breach_under_any_contract(self):
        for order in ORDER_TITLES:
            self.assertEqual(self.found(day(order)), {})
        kills = [GatewayKill(1.9, ["e"]), GatewayKill(3.2, ["f"])]
        row = contract_figures(day(), TERMS, kills)["each in order"].by_title()
        self.assertEqual(
            (row["settled"], row["keepers killed"], row["longest s"]), (3, 1, 0.1)
        )

    def test_each_broken_promise_is_caught(self):
        two = [sent(1, 1), sent(2, 2)]
        again = RecordedChannelMessage(
            1.1,
            1,
            "e",
            3,
            handle=HANDLE,
            number=1,
            resolution=2,
            answers=[RecordedAnswer(1.2, 101, "", OK)],
        )
        for words, order, evidence in (
            ("effect twice", 0, day(effects=((1.5, 1), (1.6, 1), (2.5, 2), (3.5, 3)))),
            (
                "nobody said so",
                1,
                day(1, effects=((1.5, 1), (1.6, 1, 1), (2.5, 2), (3.5, 3))),
            ),
            (
                "no client sent it",
                1,
                day(1, effects=((1.5, 1), (2.5, 2), (3.5, 3), (4, 9))),
            ),
            ("settled without an effect", 2, day(2, effects=((1.5, 1), (2.5, 2)))),
            (
                "and later told as x-left-out",
                3,
                day(3, sends=[*day(3).commands, sent(5, 1, "x-left-out", batch=1)]),
            ),
            ("next was told as 2", 0, day(words=[claim(5, next=2, number=2)])),
            ("next was told as 2", 1, day(1, words=[claim(5, 1, next=2, number=2)])),
            (
                "effect after x-left-out",
                2,
                day(
                    2,
                    effects=((3, 1), (2.5, 2)),
                    sends=[sent(1, 1, "x-left-out"), sent(2, 2)],
                ),
            ),
            (
                "effect after x-superseded-2",
                1,
                day(
                    1,
                    effects=((2.5, 2), (5, 3)),
                    sends=[sent(2, 2), sent(3, 3, "x-superseded-2")],
                ),
            ),
            ("claim 1 after claim 1", 0, day(words=[claim(5, next=4)])),
            (
                "number 1 took effect after number 2",
                0,
                day(
                    effects=((2.1, 1), (1.9, 2), (3.5, 3)),
                    sends=[sent(1, 1, None), sent(1, 2), sent(3, 3)],
                ),
            ),
            (
                "number 1 before it did not",
                0,
                day(
                    effects=((2.5, 2),), sends=[sent(1, 1, "x-declined-9"), sent(2, 2)]
                ),
            ),
            (
                "number 1 took effect after number 2",
                1,
                day(
                    1,
                    effects=((2.1, 1), (1.9, 2)),
                    sends=[sent(1, 1, None), sent(1, 2)],
                ),
            ),
            (
                "number 1 took effect after number 2",
                2,
                day(
                    2,
                    effects=((2.1, 1, 0, 7), (1.9, 2, 0, 7)),
                    sends=[sent(1, 1, None), sent(1, 2)],
                ),
            ),
            (
                "before number 2 of batch 1",
                3,
                day(
                    3,
                    effects=((1.5, 1), (2.6, 2), (2.5, 3)),
                    sends=[
                        sent(1, 1, batch=1),
                        sent(2, 2, None, batch=1),
                        sent(2, 3, batch=2),
                    ],
                ),
            ),
            (
                "number 2 of batch 1 did not",
                3,
                day(
                    3,
                    effects=((1.5, 1), (2.5, 3)),
                    sends=[
                        sent(1, 1, batch=1),
                        sent(2, 2, None, batch=1),
                        sent(2, 3, batch=2),
                    ],
                ),
            ),
        ):
            found = self.found(evidence)
            self.assertEqual(list(found), [ORDER_TITLES[order]], words)
            self.assertTrue(
                any(words in each for each in found[ORDER_TITLES[order]]),
                (words, found),
            )
        self.assertEqual(
            self.found(
                day(
                    1,
                    effects=((1.5, 1), (1.6, 1, 1), (2.5, 2)),
                    sends=two,
                    words=[again],
                )
            ),
            {},
        )

    def test_what_is_unsure_or_of_another_extent_or_batch_is_no_breach(self):
        unsure = day(effects=((2.5, 2),), sends=[sent(1, 1, "x-aborted"), sent(2, 2)])
        self.assertEqual(self.found(unsure), {})
        self.assertEqual(
            self.found(
                day(
                    2,
                    effects=((2.1, 1, 0, 1), (1.9, 2, 0, 2)),
                    sends=[sent(1, 1, None), sent(1, 2)],
                )
            ),
            {},
        )
        self.assertEqual(self.found(day(3, effects=((1.9, 1), (1.5, 2), (3.5, 3)))), {})


if __name__ == "__main__":
    unittest.main()
