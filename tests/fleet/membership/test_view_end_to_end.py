"""The view over real sockets.

In a fleet of gateway processes one is killed, restarts with its state lost, and another
leaves; the views must converge each time. Two services in the test process check that
messages arrive in order, which sends are refused, and how malformed input is handled.
"""

import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from google.protobuf import text_format
from prometheus_client import CollectorRegistry
from twisted.internet import reactor
from twisted.trial.unittest import TestCase

from milletsill.errors import ConfigurationRejectedError
from milletsill.fleet.errors import FleetAddressUnavailableError
from milletsill.fleet.frames.codec import MAX_BODY, FrameCodec
from milletsill.fleet.frames.messages import FleetMessage, FrameType, MemberUpdate
from milletsill.fleet.frames.stream_framing import LENGTH_PREFIX
from milletsill.fleet.service import FleetService
from milletsill.fleet.service_config import FleetCallbacks, FleetServiceConfig
from milletsill.fleet.transport import MemberState, MessageKind
from milletsill.lab.fleet_processes import FleetProcesses, free_ports
from milletsill.settings.gateway_file import check_gateway
from milletsill.settings.load import parse
from milletsill.settings.milletsill_pb2 import GatewayFile
from milletsill.sftp_gateway.gateway import monotonic
from tests.support.sftp_gateway_rig import later

MAX_WAIT = 60.0  # seconds; much longer than needed, in case the machine is busy


class FleetOfProcesses(unittest.TestCase):
    def test_join_kill_lost_state_and_leave(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = FleetProcesses(folder.name, 4)
        self.addCleanup(fleet.close)

        def assert_views_agree(among, step, since=0.0):
            self.assertTrue(
                fleet.wait(lambda: fleet.agree(among, since), MAX_WAIT),
                (step, fleet.views(among)),
            )

        for each in range(4):
            fleet.start(each)
        assert_views_agree([0, 1, 2, 3], "start")
        fleet.end(3)
        assert_views_agree([0, 1, 2], "kill")
        member_lines = [
            line
            for number in range(3)
            for line in fleet.log(number)
            if line["event"] == "member" and line["member"] == "gw-3"
        ]
        self.assertIn("gone", {line["change"] for line in member_lines})
        fleet.forget_state(3)
        since = time.time()
        fleet.start(3)
        assert_views_agree([0, 1, 2, 3], "restart with lost state", since)
        self.assertTrue(
            fleet.wait(
                lambda: any(
                    each.get("error") == "IncarnationLostError" for each in fleet.log(3)
                ),
                MAX_WAIT,
            )
        )
        self.assertEqual(fleet.end(2, signal.SIGTERM), 0)
        assert_views_agree([0, 1, 3], "leave")
        member_lines = [
            line
            for line in fleet.log(0)
            if line["event"] == "member" and line["member"] == "gw-2"
        ]
        self.assertEqual(member_lines[-1]["change"], "left")
        self.assertFalse(
            [
                line
                for number in range(4)
                for line in fleet.log(number)
                if "exception" in line
            ]
        )


class Services(TestCase):
    """Two services of one fleet in this process."""

    def setUp(self):
        self.ports = free_ports(3)
        self.logged_errors = []
        self.registries = []
        self.services = [self.start_service(each) for each in range(2)]

    def start_service(self, number):
        file = text_format.Parse(
            f"""name: "p-{number}" gateways: 2 registry {{ address: "127.0.0.1:1" }}
            fleet {{ name: "one" address: "127.0.0.1:{self.ports[number]}" join: "127.0.0.1:{self.ports[0]}" }}""",
            GatewayFile(),
        )
        self.registries.append(CollectorRegistry())
        service = FleetService(
            reactor,
            monotonic,
            FleetServiceConfig.from_file(file, seed=number, incarnation=1),
            FleetCallbacks(
                warn=lambda event, **values: self.logged_errors.append(
                    values.get("error", event)
                ),
                info=lambda event, **values: None,
                store_incarnation=lambda incarnation: None,
            ),
            self.registries[-1],
        )
        service.start()
        self.addCleanup(lambda: later(0.1))
        self.addCleanup(service.stop)
        return service

    async def wait_until(self, condition):
        deadline = time.monotonic() + 20
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            await later(0.02)

    def refused_count(self, cause):
        return (
            self.registries[0].get_sample_value(
                "milletsill_fleet_refused_total", {"cause": cause}
            )
            or 0
        )

    async def test_messages_arrive_in_order_and_unsendable_ones_are_refused(self):
        one, other = self.services
        received, view_changes = [], []
        other.subscribe(
            MessageKind.CHANNEL,
            lambda member, run, body: received.append((member, run, body)),
        )
        one.watch_view(
            lambda view, changes: view_changes.append(
                (
                    view.version,
                    [(change.name, member.name) for change, member in changes],
                )
            )
        )
        self.assertFalse(one.send("p-1", MessageKind.CHANNEL, b"too early"))
        await self.wait_until(
            lambda: len(one.view.members) == len(other.view.members) == 2
        )
        self.assertEqual(one.view.digest, other.view.digest)
        self.assertIn(
            ("JOINED", "p-1"), [each for _, changes in view_changes for each in changes]
        )
        bodies = [bytes([each % 256]) * (each * 100) for each in range(100)]
        self.assertTrue(
            all(one.send("p-1", MessageKind.CHANNEL, each) for each in bodies)
        )
        await self.wait_until(lambda: len(received) == 100)
        self.assertEqual(received, [("p-0", 1, each) for each in bodies])
        self.assertFalse(
            one.send("p-1", MessageKind.CHANNEL, bytes(MAX_BODY + 1))
            or one.send("p-0", MessageKind.CHANNEL, b"")
            or one.send("x", MessageKind.CHANNEL, b"")
        )
        accepted = [
            one.send("p-1", MessageKind.CHANNEL, bytes(MAX_BODY)) for _ in range(9)
        ]  # the reactor does not run in between, so the receiver reads nothing
        self.assertTrue(accepted[0] and not accepted[-1])
        with self.assertRaises(FleetAddressUnavailableError):
            self.start_service(1)

    async def test_malformed_input_is_counted_and_changes_no_view(self):
        await self.wait_until(lambda: len(self.services[0].view.members) == 2)
        sender = MemberUpdate("stranger", 1, 1, 0, MemberState.ALIVE, "127.0.0.1:9")
        other = FrameCodec("two").encode(
            FleetMessage(FrameType.PROBE, sender, target="p-0")
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            for data in (b"GET /", bytes(1500), other):
                udp.sendto(data, ("127.0.0.1", self.ports[0]))
        with socket.create_connection(("127.0.0.1", self.ports[0])) as tcp:
            tcp.sendall(
                LENGTH_PREFIX.pack(len(other)) + other + LENGTH_PREFIX.pack(1 << 30)
            )
            await self.wait_until(
                lambda: (
                    self.refused_count("too_long") == 2
                    and self.refused_count("other_fleet") == 2
                    and self.refused_count("unreadable") == 1
                )
            )
        self.assertLessEqual(
            {"FleetNameMismatchError", "FrameTooLongError", "MalformedFrameError"},
            set(self.logged_errors),
        )
        self.assertEqual(len(self.services[0].view.members), 2)


class FleetBlocks(unittest.TestCase):
    def test_invalid_fleet_blocks_are_rejected_with_a_reason(self):
        with open("examples/fleet-2.textproto", encoding="utf-8") as source:
            text = source.read()
        for fields, reason in (
            ("", None),
            ('advertise: "0.0.0.0:7"', "cannot reach"),
            ('join: "x"', "not host:port"),
            ("answer_ms: 400", "no time"),
            ("suspicion_ms: 500", "is under two probe intervals"),
            ("remember_s: 20", "is under 10 full state exchanges"),
            ("most_members: 100", "from 1024"),
            ('advertise: "host:7"', "IPv4"),
            ('advertise: "10.0.0.1:0"', "port 0"),
        ):
            changed_text = text.replace(
                'fleet { name: "dock"', 'fleet { name: "dock" ' + fields
            )
            try:
                parse(changed_text, "f", GatewayFile, check_gateway)
                message = None
            except ConfigurationRejectedError as error:
                message = str(error)
            self.assertEqual(message is None, reason is None, (fields, message))
            self.assertIn(reason or "", message or "")

    def test_a_gateway_without_a_fleet_block_imports_no_fleet_service(self):
        code = (
            "import sys; from milletsill.sftp_gateway.gateway import SftpGateway; "
            "sys.exit(any(each.startswith(('milletsill.fleet.service', "
            "'milletsill.fleet.membership')) for each in sys.modules))"
        )
        self.assertEqual(
            subprocess.run(
                [sys.executable, "-c", code], timeout=60, check=False
            ).returncode,
            0,
        )


if __name__ == "__main__":
    unittest.main()
