"""What the hunt of crossings found, each made small and forced over loopback sockets."""

import json
import select
import unittest

from tests.support.http_gateway_rig import NODE, Loopback, req

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


def said(version, state):
    text = (
        json.dumps(
            {"version": version, "full": False, "servers": [NODE | {"state": state}]}
        ).encode()
        + b"\n"
    )
    return b"%x\r\n%s\r\n" % (len(text), text)


class Watches(Loopback):
    def called(self):
        """Discovery's end of the gateway's call."""
        self.listener.setblocking(False)
        found = []

        def come():
            try:
                found.append(self.listener.accept()[0])
            except BlockingIOError:
                pass
            return found

        self.until(come, "nobody called")
        self.sockets.append(found[0])
        self.until(lambda: select.select([found[0]], [], [], 0)[0], "nothing was asked")
        return found[0]

    def test_a_list_that_came_while_the_process_stood_is_read_before_its_watch_is_over(
        self,
    ):
        for silent in (
            2.0,
            5.9,
        ):  # before its first line, and behind one; both over once the process runs again
            with self.subTest(silent):
                call = self.called()
                call.sendall(HEAD + (b"1\r\n\n\r\n" if silent > 3 else b""))
                self.until(
                    lambda: (
                        self.gateway.watcher.watch.last_received_at == self.now()
                        and self.gateway.watcher.watch.response.status
                    )
                )
                self.until(lambda: silent < 3 or self.gateway.watcher.watch.version < 0)
                self.gateway.watcher.watch.silence_limit = (
                    70_000  # no other call beside it
                )
                self.pass_time(silent)
                call.sendall(said(5, "leaving"))
                watch = self.gateway.watcher.watch
                self.until(
                    lambda: select.select([watch.transport.socket], [], [], 0)[0],
                    "not on its way",
                )
                self.time += 0.5  # the process stood: timers go first
                self.turn()
                self.assertEqual(
                    (
                        self.gateway.watcher.version,
                        self.gateway.watcher.watch is watch,
                    ),
                    (5, True),
                )
            self.restart()


class Leaving(Loopback):
    def test_an_answer_that_came_while_the_process_stood_goes_before_the_end_after_sigterm(
        self,
    ):
        for stands in (
            0.055,
            0.1,
            1.2,
        ):  # to just behind the first of the steps, over two, over all
            self.restart()
            with self.subTest(stands):
                self.terminate()
                self.advance_to(1.45)
                client = self.client(req())
                link = self.accept()
                link.sendall(WHOLE)
                ours = [
                    each.transport.socket
                    for node in self.gateway.node_pools.pools.values()
                    for each in node.connections
                ]
                self.until(lambda: select.select(ours, [], [], 0)[0], "not on its way")
                self.time += stands
                self.turn()
                self.pass_time(0.2)
                data, how = self.read_all(client)
                self.assertEqual(
                    (data[:15], data[-2:], how), (b"HTTP/1.1 200 OK", b"hi", "ended")
                )


if __name__ == "__main__":
    unittest.main()
