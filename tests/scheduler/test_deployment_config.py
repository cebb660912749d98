"""Configurations and their stored form, whose keys trace files keep."""

import json
import unittest
from dataclasses import replace

from milletsill.deployment_config import (
    RetrySafety,
    RetryScope,
    from_stored,
    to_stored,
)
from milletsill.deployment_settings import config_from_settings
from tests.support.scheduler_builders import CONFIG, REQUEST_CLASS

KEYS = (
    "ask_within cells categories cold_from cold_multiple cold_units cold_window "
    "cross_fee dial further_free further_ratio further_window gateways index key_rest "
    "largest_units list_on_request longest_pause may_cancel may_copy most_dispatches "
    "most_held pause_told plans report_fields share_utility sized spare_utility tick "
    "unit_mean warm_after writes zone"
)
CLASS_KEYS = (
    "group in_order late_utility name patience repeat_window repeats streams stretch "
    "target_time utility"
)
PLAN_KEYS = "limit_rate limit_slack limit_store price reserve_rate usual_rate weight"
SETTINGS = {
    "peers_total": 4,
    "zones": ["a", "b"],
    "classes": [
        {
            "name": "read",
            "aim_ns": 500_000_000,
            "idempotency": "guarded",
            "group": "cell",
        }
    ],
    "plans": [{"name": "gold", "guaranteed": 10}],
    "limits": {"conn_idle_ns": 1_000_000_000},
    "extra": {"writes": [True, False]},
    "report": {"fields": ["depth", "other"]},
}


class StoredForm(unittest.TestCase):
    def test_stored_keys_are_those_of_the_settings_reference(self):
        stored = to_stored(CONFIG)
        self.assertEqual(sorted(stored), sorted(KEYS.split()))
        self.assertEqual(sorted(stored["categories"][0]), CLASS_KEYS.split())
        self.assertEqual(sorted(stored["plans"][0]), PLAN_KEYS.split())

    def test_optional_settings_are_stored_only_where_present(self):
        stored = to_stored(config_from_settings(SETTINGS))
        self.assertEqual(set(stored) - set(KEYS.split()), {"link_idle", "zones"})
        self.assertEqual(stored["zones"], ["a", "b"])
        self.assertEqual(stored["plans"][0]["name"], "gold")

    def test_stored_values_are_json_and_enumerations_keep_their_outer_words(self):
        stored = to_stored(config_from_settings(SETTINGS))
        self.assertEqual(json.loads(json.dumps(stored)), stored)
        request_class = stored["categories"][0]
        self.assertEqual(
            (request_class["repeats"], request_class["group"]), ("ticketed", "cell")
        )
        self.assertEqual(stored["report_fields"], ["queue", "other"])
        self.assertEqual(stored["writes"], [True, False])
        self.assertEqual((stored["index"], stored["further_window"]), (None, None))

    def test_a_stored_configuration_is_restored_unchanged(self):
        every_word = [
            replace(REQUEST_CLASS, retry_safety=safety, retry_scope=scope)
            for safety in RetrySafety
            for scope in RetryScope
        ]
        for config in (
            CONFIG,
            replace(CONFIG, request_classes=tuple(every_word)),
            config_from_settings(SETTINGS),
        ):
            stored = json.loads(json.dumps(to_stored(config)))
            self.assertEqual(from_stored(stored), config)

    def test_a_missing_key_or_an_unknown_enumeration_value_is_an_error(self):
        stored = to_stored(CONFIG)
        with self.assertRaises(KeyError):
            from_stored({key: stored[key] for key in stored if key != "tick"})
        stored["categories"][0]["repeats"] = "sometimes"
        with self.assertRaises(ValueError):
            from_stored(stored)


if __name__ == "__main__":
    unittest.main()
