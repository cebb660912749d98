"""Settings and requests of shapes that no deployment at hand has, at the HTTP gateway."""

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


class OtherShapes(unittest.TestCase):
    """Settings that leave out what others state: served with that off, or one line."""

    def deployment(self, said=None, drop=(), **changed):
        parts = {
            name: value
            for name, value in (SETTINGS | changed).items()
            if name not in drop
        }
        return parse_configuration(
            CONFIG | {"settings": parts},
            {},
            0,
            (said if said is not None else []).append,
        )

    def arrival(self, deployment, data):
        reader = RequestReader(MessageLimits())
        reader.feed(data)
        return RequestParser(deployment.config).parse(reader.next_message(), 1000, 60)

    def test_without_plans_a_request_needs_none(self):
        for changed in ({"plans": []}, {"drop": ("plans",)}):
            self.assertEqual(
                self.arrival(
                    self.deployment(**changed), req(drop=("X-Plan",))
                ).service_plan,
                0,
            )
        with self.assertRaises(InvalidRequestError):
            self.arrival(self.deployment(), req(drop=("X-Plan",)))

    def test_bounds_that_are_not_told_bound_nothing(self):
        big = req(X_IO="volume=00000003b4d60021,units=900,shard=70,hosts=1")
        given = self.arrival(self.deployment(extra={"writes": [False, True]}), big)
        self.assertEqual((given.units, given.shard), (900.0, 70))
        with self.assertRaises(InvalidRequestError):
            self.arrival(self.deployment(), big)

    def test_the_method_says_what_writes_where_the_settings_do_not(self):
        deployment = self.deployment(extra={})
        for method, write in (("GET", False), ("PUT", True)):
            self.assertEqual(
                self.arrival(deployment, req(method=method)).is_write, write
            )

    def test_dials_and_idle_links_last_a_while_where_the_settings_do_not_say(self):
        reactor = Reactor()
        said = SimpleNamespace(
            info=lambda *given, **values: None, warning=lambda *given, **values: None
        )
        fleet = HttpGateway(
            self.deployment(limits={}), reactor, lambda: 0, 0, said
        ).node_pools
        self.assertEqual((fleet.connect_timeout, fleet.idle_timeout), (10_000, 35_000))

    def test_what_is_unknown_or_missing_is_one_line_each(self):
        said = []
        self.deployment(
            said, extra=SETTINGS["extra"] | {"moons": 2}, shape="ring", plans=[]
        )
        self.assertEqual(len(said), 2)
        self.assertIn("extra.moons", said[0])
        self.assertIn("plans", said[1])

    def test_what_cannot_be_used_names_its_field(self):
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
            with self.assertRaises(ValueError) as caught:
                self.deployment(**changed)
            self.assertTrue(
                str(caught.exception).startswith(f"settings: {field}:"),
                str(caught.exception),
            )

    def test_a_node_listed_with_a_weight_of_nothing_stays(self):
        self.assertEqual(parse_node(NODE | {"weight": 0}, ["z"], 0).endpoint.size, 0.0)


if __name__ == "__main__":
    unittest.main()
