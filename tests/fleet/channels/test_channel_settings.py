"""Tests of the checks of channel settings."""

from twisted.trial.unittest import TestCase

from milletsill.settings.field_lines import FieldLines
from milletsill.settings.flaws import FlawReport
from milletsill.settings.gateway_file import check_gateway
from tests.support.channel_rig import ChannelFleet


class ChannelSettings(TestCase):
    def test_each_invalid_channel_setting_is_reported(self):
        rig = ChannelFleet(self)
        file = rig.file
        file.fleet.address = "127.0.0.1:7711"

        def flaw_text(change):
            settings = type(file)()
            settings.CopyFrom(file)
            change(settings.fleet.channels, settings)
            report = FlawReport("f", FieldLines(""))
            check_gateway(settings, report.root())
            return " | ".join(each.reason for each in report.flaws)

        self.assertEqual(flaw_text(lambda channels, settings: None), "")
        for change, expected_text in (
            (lambda channels, settings: channels.register.append("g3"), "4 registers"),
            (
                lambda channels, settings: channels.contract[1].volume.append("free"),
                "which is FREE",
            ),
            (
                lambda channels, settings: channels.contract[0].ClearField("volume"),
                "which is FREE",
            ),
            (
                lambda channels, settings: channels.contract[0].volume.append("folder"),
                "covers category 'read', which is rerunnable",
            ),
            (
                lambda channels, settings: setattr(channels.contract[0], "silent_s", 4),
                "may be deleted within",
            ),
            (
                lambda channels, settings: channels.contract[0].operation.append(
                    "read"
                ),
                "operation 'read' has no channel number",
            ),
            (
                lambda channels, settings: setattr(
                    channels.contract[1], "name", "landing"
                ),
                "is used twice",
            ),
            (
                lambda channels, settings: setattr(channels, "call_ms", 900),
                "must fit into a lease",
            ),
            (
                lambda channels, settings: setattr(
                    settings.category[2], "repeat_window_ms", 100
                ),
                "could never be retried",
            ),
            (
                lambda channels, settings: settings.rules.ClearField("key_rest_ms"),
                "fleet.channels needs rules.key_rest_ms",
            ),
        ):
            self.assertIn(expected_text, flaw_text(change))
