"""Unit tests of the gateway's process, listening ports, identifiers and handles."""

import unittest
from types import SimpleNamespace
from unittest.mock import Mock, patch

from twisted.internet.defer import Deferred

from milletsill.sftp import packets
from milletsill.sftp_gateway import listening_ports, process
from milletsill.sftp_gateway.client_handles import HandleTable
from milletsill.sftp_gateway.identifiers import IdentifierSource
from milletsill.sftp_gateway.listening_ports import ListeningPorts
from milletsill.sftp_gateway.open_handle import OpenHandle
from milletsill.sftp_gateway.process import GatewayProcess


class FakeGateway:
    """A gateway that stops as soon as `terminate` is called."""

    def __init__(self, failed=False):
        self.failed = failed
        self.on_stopped = []
        self.terminated = 0

    def start(self):
        """Do nothing."""

    def terminate(self):
        self.terminated += 1
        for callback in self.on_stopped:
            callback()


class Processes(unittest.TestCase):
    def run_process(self, gateways, action):
        """Run a process whose reactor only calls `action`; return it and its exit code."""
        reactor = Mock(running=True)
        gateway_process = GatewayProcess(reactor, gateways, [f"f{n}" for n in range(9)])
        reactor.run.side_effect = lambda **options: action(gateway_process)
        with patch.object(process, "install_signal_handler"):
            return gateway_process, gateway_process.run()

    def test_the_reactor_stops_once_all_gateways_have_stopped(self):
        gateways = [FakeGateway(), FakeGateway()]

        def action(gateway_process):
            gateways[0].terminate()
            self.assertEqual(list(gateway_process.running), [1])
            gateway_process.reactor.callLater.reset_mock()
            gateway_process.terminate()
            gateway_process.reactor.callLater.assert_called_once_with(
                process.STOP_DELAY, gateway_process.reactor.stop
            )

        _, code = self.run_process(gateways, action)
        self.assertEqual((code, [each.terminated for each in gateways]), (0, [1, 1]))

    def test_a_gateway_that_could_not_start_gives_exit_code_one(self):
        gateways = [FakeGateway(), FakeGateway(failed=True)]
        _, code = self.run_process(
            gateways, lambda gateway_process: gateway_process.terminate()
        )
        self.assertEqual(code, 1)

    def test_only_running_gateways_reload_their_files(self):
        gateways = [FakeGateway(), FakeGateway(), FakeGateway()]
        with patch.object(process, "reload_gateway") as reload_gateway:

            def action(gateway_process):
                gateways[1].terminate()
                gateway_process.reload()

            self.run_process(gateways, action)
        self.assertEqual(
            [call.args for call in reload_gateway.call_args_list],
            [(gateways[0], "f0"), (gateways[2], "f2")],
        )


class Listening(unittest.TestCase):
    def setUp(self):
        self.opening = [Deferred(), Deferred()]
        self.opened, self.failures = [], []
        endpoint = Mock()
        endpoint.listen.side_effect = list(self.opening)
        patcher = patch.object(listening_ports, "make_endpoint", return_value=endpoint)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.ports = ListeningPorts(
            None, lambda *values: self.opened.append(values), self.failures.append
        )
        self.ports.open("127.0.0.1:0", None, "listening")
        self.ports.open("127.0.0.1:7", None, "metrics_listening")

    def port(self):
        port = Mock()
        port.getHost.return_value = SimpleNamespace(port=4711)
        return port

    def test_an_open_port_is_reported_with_its_number_and_closed_once(self):
        port = self.port()
        self.opening[0].callback(port)
        self.assertEqual(self.opened, [("listening", "127.0.0.1:4711")])
        self.ports.close()
        self.ports.close()
        port.stopListening.assert_called_once_with()

    def test_a_port_that_opens_after_the_stop_is_closed_at_once(self):
        port = self.port()
        self.opening[1].errback(OSError("in use"))
        self.assertEqual([str(each) for each in self.failures], ["127.0.0.1:7: in use"])
        self.ports.stop()
        self.opening[0].callback(port)
        port.stopListening.assert_called_once_with()
        self.assertEqual((self.ports.ports, self.opened), ([], []))


class Identifiers(unittest.TestCase):
    def test_identifiers_contain_the_current_incarnation(self):
        source = IdentifierSource("g", 3)
        self.assertEqual(source.new_object_name(), "#g.3.1")
        source.incarnation = 5
        self.assertEqual(
            (source.new_object_name(), source.new_idempotency_key()),
            ("#g.5.2", "g.5.1"),
        )
        self.assertEqual([source.next_request_id() for _ in range(3)], [1, 2, 3])


class Handles(unittest.TestCase):
    def test_the_limit_follows_a_reload_and_handles_are_never_reused(self):
        gateway = SimpleNamespace(file=SimpleNamespace(door=Mock(most_handles=1)))
        table = HandleTable(gateway)
        first = table.add(OpenHandle(None, "/", None))
        self.assertTrue(table.is_full())
        gateway.file = SimpleNamespace(door=Mock(most_handles=2))
        self.assertFalse(table.is_full())
        self.assertEqual((table.remove(first), table.remove(first)), (True, False))
        self.assertNotEqual(table.add(OpenHandle(None, "/", None)), first)
        self.assertEqual(table.full_status(4).code, packets.FAILURE)


if __name__ == "__main__":
    unittest.main()
