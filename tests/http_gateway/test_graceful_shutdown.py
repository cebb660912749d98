"""After SIGTERM.

What comes on connections that stay open has one final answer before the earliest kill,
whatever nodes do, and nothing is taken that would have none.
"""

import copy

from milletsill.http_gateway.gateway import HttpGateway
from tests.support import http_gateway_rig as shared

KILLED, COUNTED, STEP = (
    0.7,
    3.0,
    0.05,
)  # seconds after the longest patience, which counts as three at most


class Leaving(shared.MemoryTest):
    def leave(self, patience, came, left):
        """One client sends `came` seconds after SIGTERM (before it, below zero) and waits for `left`; no node answers. Another
        has half a request out. What both had got by the earliest kill, and whether the process was away by then.
        """
        self.setUp()
        settings = copy.deepcopy(shared.SETTINGS)
        for each in settings["classes"]:
            each |= {
                "hard_limit_ns": int(patience * 1e9),
                "idempotency": "single_shot",
            }  # awaited to the end
        self.gateway = HttpGateway(
            self.deployment(settings=settings),
            self.reactor,
            self.now,
            0,
            self.gateway.log,
        )
        self.gateway.start()
        protocol, wire = self.client()
        half, other = self.client()
        kill, at, sent, ended = (
            min(patience, COUNTED) + KILLED,
            min(came, 0.0),
            False,
            [],
        )
        self.gateway.on_stopped = lambda: ended.append(self.now())
        dialled = len(self.reactor.tcpClients)
        while at < kill - STEP / 2:
            if at >= 0 and self.gateway.latest_deadline is None:
                self.gateway.terminate()
            if at >= came and not sent and not (wire.disconnecting or wire.half_closed):
                sent = True
                protocol.dataReceived(shared.req(X_Remaining_Ms=str(int(left * 1000))))
                if half is not None:
                    half.dataReceived(shared.req(txn=5)[:40])
            if (
                at >= kill - 0.25
                and half is not None
                and not (other.disconnecting or other.half_closed)
            ):
                half = half.dataReceived(shared.req(txn=5)[40:])
            self.reactor.advance(STEP)
            for place in self.dials(7070):
                if place >= dialled:
                    self.reactor.connect(place)
            dialled = len(self.reactor.tcpClients)
            at += STEP
        return sent, wire, other, ended

    def test_each_has_one_final_answer_before_the_earliest_kill_or_a_close_that_crosses_it(
        self,
    ):
        for patience, left in (
            (1.0, 1.0),
            (1.0, 0.2),
            (3.0, 3.0),
            (3.0, 0.7),
            (8.0, 8.0),
            (8.0, 3.0),
        ):
            last = min(patience, COUNTED) + KILLED
            for came in [-0.5, -0.1, 0.0, 0.3] + [
                last - 0.1 * back for back in range(8, 0, -1)
            ]:
                sent, wire, other, ended = self.leave(patience, came, left)
                seen = wire.value().count(b"HTTP/1.1 ")
                self.assertTrue(
                    seen == 1 if sent else seen == 0 and wire.disconnecting,
                    (patience, left, came, seen),
                )
                self.assertEqual(len(ended), 1, (patience, left, came))
                self.assertTrue(
                    not sent
                    or came > last - 0.3
                    or other.value().count(b"HTTP/1.1 ") == 1,
                    (patience, left, came),
                )
