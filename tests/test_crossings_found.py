"""What the hunt of crossings found, each made small and forced over loopback sockets."""
import json
import select
import unittest

from tests.platform_rig import NODE, Loopback

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def said(version, state):
    text = json.dumps({"version": version, "full": False, "servers": [NODE | {"state": state}]}).encode() + b"\n"
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

    def test_a_list_that_came_while_the_process_stood_is_read_before_its_watch_is_over(self):
        for silent in (2.0, 5.9):  # before its first line, and behind one; both over once the process runs again
            with self.subTest(silent):
                call = self.called()
                call.sendall(HEAD + (b"1\r\n\n\r\n" if silent > 3 else b""))
                self.until(lambda: self.gateway.follower.watch.heard == self.now() and self.gateway.follower.watch.answer.status)
                self.until(lambda: silent < 3 or self.gateway.follower.watch.version < 0)
                self.gateway.follower.watch.overdue = 70_000  # no other call beside it
                self.pass_time(silent)
                call.sendall(said(5, "leaving"))
                watch = self.gateway.follower.watch
                self.until(lambda: select.select([watch.transport.socket], [], [], 0)[0], "not on its way")
                self.time += 0.5  # the process stood: timers go first
                self.turn()
                self.assertEqual((self.gateway.follower.version, self.gateway.follower.watch is watch), (5, True))
            self.again()


if __name__ == "__main__":
    unittest.main()
