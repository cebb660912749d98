"""Shutdown after SIGTERM.

A request on a connection that stays open gets exactly one final answer before the
earliest time at which the platform kills the process, whatever the nodes do. The
gateway accepts no request that it could not answer by then.
"""

import copy

from milletsill.http_gateway.gateway import HttpGateway
from tests.support import http_gateway_rig as shared

# Seconds. The platform kills the process KILL_DELAY after the longest client timeout,
# of which it counts MAX_COUNTED_TIMEOUT at most.
KILL_DELAY, MAX_COUNTED_TIMEOUT, STEP = 0.7, 3.0, 0.05


class GracefulShutdown(shared.MemoryTest):
    def shut_down(self, client_timeout, sent_at, remaining):
        """Shut down with two clients and no node that answers, up to the earliest kill.

        The first client sends its request `sent_at` seconds after SIGTERM (negative:
        before it) with `remaining` seconds to its deadline. The second client sends
        half a request along with it, and the rest 0.25 s before the kill. Return
        whether the first request was sent, the wires of the first and the second
        client, and the times at which the gateway stopped.
        """
        self.setUp()
        settings = copy.deepcopy(shared.SETTINGS)
        for each in settings["classes"]:
            each |= {
                "hard_limit_ns": int(client_timeout * 1e9),
                "idempotency": "single_shot",
            }  # not retried, so it stays open to its deadline
        self.gateway = HttpGateway(
            self.deployment(settings=settings),
            self.reactor,
            self.now,
            0,
            self.gateway.log,
        )
        self.gateway.start()
        protocol, wire = self.client()
        second_client, second_wire = self.client()
        kill_at, now, sent, stop_times = (
            min(client_timeout, MAX_COUNTED_TIMEOUT) + KILL_DELAY,
            min(sent_at, 0.0),
            False,
            [],
        )
        self.gateway.on_stopped = lambda: stop_times.append(self.now())
        dialled = len(self.reactor.tcpClients)
        while now < kill_at - STEP / 2:
            if now >= 0 and self.gateway.latest_deadline is None:
                self.gateway.terminate()
            if (
                now >= sent_at
                and not sent
                and not (wire.disconnecting or wire.half_closed)
            ):
                sent = True
                protocol.dataReceived(
                    shared.req(X_Remaining_Ms=str(int(remaining * 1000)))
                )
                if second_client is not None:
                    second_client.dataReceived(shared.req(txn=5)[:40])
            if (
                now >= kill_at - 0.25
                and second_client is not None
                and not (second_wire.disconnecting or second_wire.half_closed)
            ):
                second_client = second_client.dataReceived(shared.req(txn=5)[40:])
            self.reactor.advance(STEP)
            for index in self.dials(7070):
                if index >= dialled:
                    self.reactor.connect(index)
            dialled = len(self.reactor.tcpClients)
            now += STEP
        return sent, wire, second_wire, stop_times

    def test_each_request_gets_one_answer_before_the_kill_or_crosses_a_close(self):
        for client_timeout, remaining in (
            (1.0, 1.0),
            (1.0, 0.2),
            (3.0, 3.0),
            (3.0, 0.7),
            (8.0, 8.0),
            (8.0, 3.0),
        ):
            kill_at = min(client_timeout, MAX_COUNTED_TIMEOUT) + KILL_DELAY
            for sent_at in [-0.5, -0.1, 0.0, 0.3] + [
                kill_at - 0.1 * steps for steps in range(8, 0, -1)
            ]:
                sent, wire, second_wire, stop_times = self.shut_down(
                    client_timeout, sent_at, remaining
                )
                answers = wire.value().count(b"HTTP/1.1 ")
                self.assertTrue(
                    answers == 1 if sent else answers == 0 and wire.disconnecting,
                    (client_timeout, remaining, sent_at, answers),
                )
                self.assertEqual(
                    len(stop_times), 1, (client_timeout, remaining, sent_at)
                )
                self.assertTrue(
                    not sent
                    or sent_at > kill_at - 0.3
                    or second_wire.value().count(b"HTTP/1.1 ") == 1,
                    (client_timeout, remaining, sent_at),
                )
