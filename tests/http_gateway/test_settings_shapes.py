"""Settings and requests in forms that the example deployments do not use."""

import unittest
from types import SimpleNamespace

from milletsill.http1.message_limits import MessageLimits
from milletsill.http1.message_reader import RequestReader
from milletsill.http_gateway.configuration import (
    parse_configuration,
)
from milletsill.http_gateway.endpoints import parse_node
from milletsill.http_gateway.gateway import HttpGateway
from milletsill.http_gateway.request_parser import (
    InvalidRequestError,
    RequestParser,
)
from tests.support.http_gateway_rig import CONFIG, NODE, SETTINGS, Reactor, req


class UncommonSettings(unittest.TestCase):
    """A missing setting turns its feature off or is reported with one line."""

    def deployment(self, messages=None, drop=(), **changed):
        settings = {
            name: value
            for name, value in (SETTINGS | changed).items()
            if name not in drop
        }
        return parse_configuration(
            CONFIG | {"settings": settings},
            {},
            0,
            (messages if messages is not None else []).append,
        )

    def parse_request(self, deployment, data):
        reader = RequestReader(MessageLimits())
        reader.feed(data)
        return RequestParser(deployment.config).parse(reader.next_message(), 1000, 60)

    def test_without_plans_a_request_needs_none(self):
        for changed in ({"plans": []}, {"drop": ("plans",)}):
            self.assertEqual(
                self.parse_request(
                    self.deployment(**changed), req(drop=("X-Plan",))
                ).service_plan,
                0,
            )
        with self.assertRaises(InvalidRequestError):
            self.parse_request(self.deployment(), req(drop=("X-Plan",)))

    def test_limits_that_are_not_stated_limit_nothing(self):
        large_request = req(X_IO="volume=00000003b4d60021,units=900,shard=70,hosts=1")
        request = self.parse_request(
            self.deployment(extra={"writes": [False, True]}), large_request
        )
        self.assertEqual((request.units, request.shard), (900.0, 70))
        with self.assertRaises(InvalidRequestError):
            self.parse_request(self.deployment(), large_request)

    def test_without_settings_the_method_tells_whether_a_request_writes(self):
        deployment = self.deployment(extra={})
        for method, is_write in (("GET", False), ("PUT", True)):
            self.assertEqual(
                self.parse_request(deployment, req(method=method)).is_write, is_write
            )

    def test_connect_and_idle_timeouts_have_defaults(self):
        reactor = Reactor()
        log = SimpleNamespace(
            info=lambda *arguments, **values: None,
            warning=lambda *arguments, **values: None,
        )
        pools = HttpGateway(
            self.deployment(limits={}), reactor, lambda: 0, 0, log
        ).node_pools
        self.assertEqual((pools.connect_timeout, pools.idle_timeout), (10_000, 35_000))

    def test_each_unknown_or_missing_setting_is_one_line(self):
        messages = []
        self.deployment(
            messages, extra=SETTINGS["extra"] | {"moons": 2}, shape="ring", plans=[]
        )
        self.assertEqual(len(messages), 2)
        self.assertIn("extra.moons", messages[0])
        self.assertIn("plans", messages[1])

    def test_the_error_for_an_unusable_setting_names_its_field(self):
        for field, changed in (
            ("classes", {"classes": []}),
            ("peers_total", {"peers_total": 0}),
            ("peers_total", {"drop": ("peers_total",)}),
            (
                "plans[0].ceiling_rate",
                {"plans": [{"name": "gold", "ceiling_rate": -1}]},
            ),
            ("limits.most_held", {"limits": {"most_held": "many"}}),
        ):
            with self.assertRaises(ValueError) as raised:
                self.deployment(**changed)
            self.assertTrue(
                str(raised.exception).startswith(f"settings: {field}:"),
                str(raised.exception),
            )

    def test_a_node_with_weight_zero_stays_listed(self):
        self.assertEqual(parse_node(NODE | {"weight": 0}, ["z"], 0).endpoint.size, 0.0)


if __name__ == "__main__":
    unittest.main()
