"""What a settings file may say of channels."""

from twisted.trial.unittest import TestCase

from milletsill.settings.field_lines import FieldLines
from milletsill.settings.flaws import FlawReport
from milletsill.settings.gateway_file import check_gateway
from tests.support.channel_rig import ChannelFleet


class ChannelSettings(TestCase):
    def test_what_a_file_may_say(self):
        rig = ChannelFleet(self)
        file = rig.file
        file.fleet.address = "127.0.0.1:7711"

        def faults(change):
            made = type(file)()
            made.CopyFrom(file)
            change(made.fleet.channels, made)
            report = FlawReport("f", FieldLines(""))
            check_gateway(made, report.root())
            return " | ".join(each.reason for each in report.flaws)

        self.assertEqual(faults(lambda keeping, made: None), "")
        for change, expected_text in (
            (lambda keeping, made: keeping.register.append("g3"), "4 registers"),
            (
                lambda keeping, made: keeping.contract[1].volume.append("free"),
                "which is FREE",
            ),
            (
                lambda keeping, made: keeping.contract[0].ClearField("volume"),
                "which is FREE",
            ),
            (
                lambda keeping, made: keeping.contract[0].volume.append("folder"),
                "covers category 'read', which is rerunnable",
            ),
            (
                lambda keeping, made: setattr(keeping.contract[0], "silent_s", 4),
                "may be deleted within",
            ),
            (
                lambda keeping, made: keeping.contract[0].operation.append("read"),
                "operation 'read' has no channel number",
            ),
            (
                lambda keeping, made: setattr(keeping.contract[1], "name", "landing"),
                "is used twice",
            ),
            (
                lambda keeping, made: setattr(keeping, "call_ms", 900),
                "must fit into a lease",
            ),
            (
                lambda keeping, made: setattr(
                    made.category[2], "repeat_window_ms", 100
                ),
                "could never be retried",
            ),
            (
                lambda keeping, made: made.rules.ClearField("key_rest_ms"),
                "fleet.channels needs rules.key_rest_ms",
            ),
        ):
            self.assertIn(expected_text, faults(change))
