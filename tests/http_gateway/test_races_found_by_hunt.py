"""Races that the random race search found, each reproduced over loopback sockets."""

import json
import select
import unittest

from tests.support.http_gateway_rig import NODE, Loopback, req

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def update_line(version, state):
    line = (
        json.dumps(
            {"version": version, "full": False, "servers": [NODE | {"state": state}]}
        ).encode()
        + b"\n"
    )
    return b"%x\r\n%s\r\n" % (len(line), line)


class EndpointWatch(Loopback):
    def accept_call(self):
        """Return discovery's socket of the gateway's call."""
        self.listener.setblocking(False)
        accepted = []

        def arrived():
            try:
                accepted.append(self.listener.accept()[0])
            except BlockingIOError:
                pass
            return accepted

        self.until(arrived, "the gateway did not call discovery")
        self.sockets.append(accepted[0])
        self.until(
            lambda: select.select([accepted[0]], [], [], 0)[0], "no call was received"
        )
        return accepted[0]

    def test_a_list_that_arrived_during_a_stall_is_read_before_the_watch_ends(self):
        """The process stalls beyond the watch's time-out, so its timers run first."""
        for silence in (
            2.0,
            5.9,
        ):  # before the watch's first line, and after one; both time out in the stall
            with self.subTest(silence):
                call = self.accept_call()
                call.sendall(HEAD + (b"1\r\n\n\r\n" if silence > 3 else b""))
                self.until(
                    lambda: (
                        self.gateway.watcher.watch.last_received_at == self.now()
                        and self.gateway.watcher.watch.response.status
                    )
                )
                self.until(
                    lambda: silence < 3 or self.gateway.watcher.watch.version < 0
                )
                self.gateway.watcher.watch.silence_limit = (
                    70_000  # prevents a parallel call
                )
                self.pass_time(silence)
                call.sendall(update_line(5, "leaving"))
                watch = self.gateway.watcher.watch
                self.until(
                    lambda: select.select([watch.transport.socket], [], [], 0)[0],
                    "the list was not received",
                )
                self.time += 0.5  # the process stalls: timers run first
                self.turn()
                self.assertEqual(
                    (
                        self.gateway.watcher.version,
                        self.gateway.watcher.watch is watch,
                    ),
                    (5, True),
                )
            self.restart()


class Shutdown(Loopback):
    def test_an_answer_that_arrived_during_a_stall_is_sent_before_the_shutdown(self):
        for stall in (
            0.055,
            0.1,
            1.2,
        ):  # to just after the first shutdown step, over two steps, over all steps
            self.restart()
            with self.subTest(stall):
                self.terminate()
                self.advance_to(1.45)
                client = self.client(req())
                node_socket = self.accept()
                node_socket.sendall(WHOLE)
                gateway_sockets = [
                    each.transport.socket
                    for node in self.gateway.node_pools.pools.values()
                    for each in node.connections
                ]
                self.until(
                    lambda: select.select(gateway_sockets, [], [], 0)[0],
                    "the answer was not received",
                )
                self.time += stall
                self.turn()
                self.pass_time(0.2)
                data, how = self.read_all(client)
                self.assertEqual(
                    (data[:15], data[-2:], how), (b"HTTP/1.1 200 OK", b"hi", "ended")
                )


if __name__ == "__main__":
    unittest.main()
