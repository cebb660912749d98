"""The audit of ordering contracts finds violations, and nothing in correct evidence.

Each case builds the evidence of a short run that violates one guarantee of a channel,
and expects a breach under that channel's contract alone.
"""

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

SCENARIO = text_format.Parse(
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


def opening_message(at, order=0, next=1, claim=1, indeterminate=()):
    opening = RecordedChannelOpening(
        HANDLE, claim, str(order), order, next, tuple(indeterminate)
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


def write_effect(at, number, generation=0, part=0):
    key = f"{VOLUME}@c@{number}.{generation}#GO.0"
    return NodeWrite(at, 0, key, "/v/f", part * 100, "e", number, OK)


def command(at, number, answer="", answered_at=None, batch=0):
    code = 4 if answer else OK
    answers = [RecordedAnswer(answered_at or at + 1, 101, answer or "", code)]
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


def evidence_of(
    order=0, effects=((1.5, 1), (2.5, 2), (3.5, 3)), commands=None, messages=(), batch=2
):
    """Return evidence; by default number N is sent at second N and settled a second later."""
    if commands is None:
        commands = [
            command(number, number, batch=-(-number // batch)) for number in (1, 2, 3)
        ]
    return Evidence(
        list(commands),
        [],
        [],
        [write_effect(*each) for each in effects],
        {},
        channel_messages=[opening_message(0, order), *messages],
    )


class AuditContractsTest(unittest.TestCase):
    def found(self, evidence):
        return {
            name: [each.text for each in held]
            for name, held in audit_contracts(evidence, SCENARIO).items()
            if held
        }

    def test_a_correct_run_has_no_breach_under_any_contract(self):
        for order in ORDER_TITLES:
            self.assertEqual(self.found(evidence_of(order)), {})
        kills = [GatewayKill(1.9, ["e"]), GatewayKill(3.2, ["f"])]
        row = contract_figures(evidence_of(), SCENARIO, kills)[
            "each in order"
        ].by_title()
        self.assertEqual(
            (row["settled"], row["owners killed"], row["longest interruption, s"]),
            (3, 1, 0.1),
        )

    def test_each_violation_is_found(self):
        two = [command(1, 1), command(2, 2)]
        not_done = RecordedChannelMessage(
            1.1,
            1,
            "e",
            3,
            handle=HANDLE,
            number=1,
            resolution=2,
            answers=[RecordedAnswer(1.2, 101, "", OK)],
        )
        for text, order, evidence in (
            (
                "effect twice",
                0,
                evidence_of(effects=((1.5, 1), (1.6, 1), (2.5, 2), (3.5, 3))),
            ),
            (
                "no client resolved it as not done",
                1,
                evidence_of(1, effects=((1.5, 1), (1.6, 1, 1), (2.5, 2), (3.5, 3))),
            ),
            (
                "no client sent it",
                1,
                evidence_of(1, effects=((1.5, 1), (2.5, 2), (3.5, 3), (4, 9))),
            ),
            (
                "settled without an effect",
                2,
                evidence_of(2, effects=((1.5, 1), (2.5, 2))),
            ),
            (
                "later reported as x-left-out",
                3,
                evidence_of(
                    3,
                    commands=[
                        *evidence_of(3).commands,
                        command(5, 1, "x-left-out", batch=1),
                    ],
                ),
            ),
            (
                "next number is 2",
                0,
                evidence_of(messages=[opening_message(5, next=2, claim=2)]),
            ),
            (
                "next number is 2",
                1,
                evidence_of(1, messages=[opening_message(5, 1, next=2, claim=2)]),
            ),
            (
                "effect after x-left-out",
                2,
                evidence_of(
                    2,
                    effects=((3, 1), (2.5, 2)),
                    commands=[command(1, 1, "x-left-out"), command(2, 2)],
                ),
            ),
            (
                "effect after x-superseded-2",
                1,
                evidence_of(
                    1,
                    effects=((2.5, 2), (5, 3)),
                    commands=[command(2, 2), command(3, 3, "x-superseded-2")],
                ),
            ),
            (
                "claim 1 after claim 1",
                0,
                evidence_of(messages=[opening_message(5, next=4)]),
            ),
            (
                "number 1 took effect after number 2",
                0,
                evidence_of(
                    effects=((2.1, 1), (1.9, 2), (3.5, 3)),
                    commands=[command(1, 1, None), command(1, 2), command(3, 3)],
                ),
            ),
            (
                "number 1 before it did not",
                0,
                evidence_of(
                    effects=((2.5, 2),),
                    commands=[command(1, 1, "x-declined-9"), command(2, 2)],
                ),
            ),
            (
                "number 1 took effect after number 2",
                1,
                evidence_of(
                    1,
                    effects=((2.1, 1), (1.9, 2)),
                    commands=[command(1, 1, None), command(1, 2)],
                ),
            ),
            (
                "number 1 took effect after number 2",
                2,
                evidence_of(
                    2,
                    effects=((2.1, 1, 0, 7), (1.9, 2, 0, 7)),
                    commands=[command(1, 1, None), command(1, 2)],
                ),
            ),
            (
                "before number 2 of batch 1",
                3,
                evidence_of(
                    3,
                    effects=((1.5, 1), (2.6, 2), (2.5, 3)),
                    commands=[
                        command(1, 1, batch=1),
                        command(2, 2, None, batch=1),
                        command(2, 3, batch=2),
                    ],
                ),
            ),
            (
                "number 2 of batch 1 did not",
                3,
                evidence_of(
                    3,
                    effects=((1.5, 1), (2.5, 3)),
                    commands=[
                        command(1, 1, batch=1),
                        command(2, 2, None, batch=1),
                        command(2, 3, batch=2),
                    ],
                ),
            ),
        ):
            found = self.found(evidence)
            self.assertEqual(list(found), [ORDER_TITLES[order]], text)
            self.assertTrue(
                any(text in each for each in found[ORDER_TITLES[order]]),
                (text, found),
            )
        self.assertEqual(
            self.found(
                evidence_of(
                    1,
                    effects=((1.5, 1), (1.6, 1, 1), (2.5, 2)),
                    commands=two,
                    messages=[not_done],
                )
            ),
            {},
        )

    def test_indeterminate_numbers_and_other_key_ranges_or_batches_are_no_breach(self):
        indeterminate = evidence_of(
            effects=((2.5, 2),), commands=[command(1, 1, "x-aborted"), command(2, 2)]
        )
        self.assertEqual(self.found(indeterminate), {})
        self.assertEqual(
            self.found(
                evidence_of(
                    2,
                    effects=((2.1, 1, 0, 1), (1.9, 2, 0, 2)),
                    commands=[command(1, 1, None), command(1, 2)],
                )
            ),
            {},
        )
        self.assertEqual(
            self.found(evidence_of(3, effects=((1.9, 1), (1.5, 2), (3.5, 3)))), {}
        )


if __name__ == "__main__":
    unittest.main()
