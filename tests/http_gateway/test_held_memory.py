"""Everything that is held for clients counts against the memory budget.

The tests use loopback sockets. They compare what clients' connections hold with the
budget; the process's memory is measured by a trial, since other tests share it.
"""

import unittest
from contextlib import suppress

from milletsill.http_gateway.client_connection_state import REQUEST_PAUSE_WHEN_SHORT
from milletsill.http_gateway.resource_limits import (
    ARRIVING_SHARE,
    MIN_BUFFER_MB,
    SMALL_REQUEST,
    BufferBudget,
    buffer_limit,
)
from tests.support.http_gateway_rig import CONFIG, TXN, Loopback, req

KEYED = {"method": "PUT", "name": "put", "Idempotency_Key": "k"}
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
SHORT_FIELDS = {f"A{number}": "" for number in range(50)}
UNFINISHED = {
    "a body with a length": req(Content_Length="65536", **KEYED) + b"x" * 60_000,
    "a chunked body": req(Transfer_Encoding="chunked", **KEYED)
    + b"ea60\r\n"
    + b"x" * 50_000,
    "tiny chunks": req(Transfer_Encoding="chunked", **KEYED) + b"1\r\nx\r\n" * 8_000,
    "many fields": req(Content_Length="9", **SHORT_FIELDS, **KEYED),
    "a body in small pieces": req(Content_Length="65536", **KEYED) + b"x" * 20_000,
    "a long head": req()[:-2] + b"A: " + b"x" * 6_000,
}


class HeldMemory(Loopback):
    changed = {"limits": {"sockets": 256, "memory_mb": 32}}

    def send(self, client, data, piece=1 << 20):
        """Send all data, or as much as the gateway takes before it refuses."""
        while data:
            try:
                sent = client.send(data[:piece])
            except BlockingIOError:
                sent = 0
            except ConnectionError:
                return
            data = data[sent:]
            self.turn(1)

    def uncounted(self):
        """Return the octets that open connections hold beyond the budget."""
        held = sum(each.input.held for each in self.gateway.listener.connections)
        return held - self.gateway.buffers.held

    # Guards against a process killed for memory by many clients with half a request.
    def test_what_many_unfinished_requests_hold_is_counted_and_bounded(self):
        budget = self.gateway.buffers
        for name, data in UNFINISHED.items():
            with self.subTest(name):
                piece = 500 if "pieces" in name else 1 << 20
                clients = [self.client() for _ in range(60)]
                for client in clients:
                    self.send(client, data, piece)
                self.turn(100)
                self.assertLessEqual(self.uncounted(), SMALL_REQUEST * len(clients))
                self.assertLessEqual(budget.held, budget.limit * ARRIVING_SHARE)
                for client in clients:
                    client.close()
                # Those that wait for their share of work notice the close after it.
                self.turn(600)
                self.pass_time(0.2)
                self.assertEqual(budget.held, 0)

    # Guards against a process killed for memory by many open requests with a body.
    def test_the_bodies_of_open_requests_are_counted_and_bounded(self):
        budget = self.gateway.buffers
        for number in range(60):
            body = b"x" * 60_000
            self.send(self.client(), req(TXN + number, body=body, **KEYED))
        self.turn(20)
        bodies = sum(
            len(each.payload.body) for each in self.gateway.host.active.values()
        )
        self.assertGreater(bodies, 0)
        self.assertLessEqual(2 * bodies, budget.held)
        self.assertLessEqual(budget.held, budget.limit)
        counts = self.gateway.report.counts
        refused = [value for (what, value), _ in counts.items() if what == "refused"]
        self.assertTrue(refused)
        self.assertTrue(all(each.startswith("no room") for each in refused), refused)

    def test_clients_that_stopped_make_room_for_others(self):
        """A long request finds no room, then those that have paused are refused."""
        data = req(Content_Length="65536", **KEYED) + b"x" * 60_000
        stopped = [self.client() for _ in range(60)]
        for client in stopped:
            self.send(client, data)
        self.pass_time(REQUEST_PAUSE_WHEN_SHORT / 10_000 + 0.05)
        client = self.client()
        self.send(client, req(body=b"x" * 60_000, **KEYED))
        node_socket = self.accept()
        node_socket.sendall(ANSWER)
        self.until(lambda: b" 200 " in self.got(client)[0], "no answer")
        ended = [each for each in stopped if self.got(each)[0]]
        self.assertEqual(len(ended), len(stopped))

    def test_small_requests_are_served_while_others_hold_all_the_memory(self):
        data = req(Content_Length="65536", **KEYED) + b"x" * 60_000
        for _ in range(60):
            with suppress(ConnectionError):
                self.send(self.client(), data)
        client = self.client(req())
        self.accept().sendall(ANSWER)
        self.until(lambda: b" 200 " in self.got(client)[0], "no answer")


class HeldRecords(Loopback):
    # Guards against memory that grows without end under requests at full speed.
    def test_records_of_requests_are_held_no_longer_than_the_settings_state(self):
        """The client says that it waits for an hour, and each request has new names."""
        client = self.client(req())
        node_socket = self.accept()
        for number in range(200):
            node_socket.sendall(ANSWER)
            self.until(lambda: b" 200 " in self.got(client)[0])
            volume = f"volume={number:016x},units=2,shard=0,hosts=1"
            hour = {"X_Remaining_Ms": "3600000", "X_IO": volume}
            client.sendall(req(TXN + 1 + number, **hour))
            self.until(lambda: b"X-Txn" in self.got(node_socket)[0])
        node_socket.sendall(ANSWER)
        longest = max(each["hard_limit_ns"] for each in CONFIG["settings"]["classes"])
        self.assertGreater(len(self.gateway.host.timers.timers), 200)
        self.pass_time(longest / 1e9 + 0.1)
        self.assertEqual(self.gateway.host.timers.timers, [])
        self.assertEqual(self.gateway.host.active, {})


class BufferLimit(unittest.TestCase):
    def test_buffers_leave_room_for_the_process_itself(self):
        self.assertEqual(buffer_limit(192), 48 << 20)
        self.assertEqual(buffer_limit(64), 12 << 20)
        self.assertEqual(buffer_limit(32), MIN_BUFFER_MB << 20)

    def test_arriving_requests_leave_room_for_complete_ones(self):
        budget = BufferBudget(64)
        share = int(budget.limit * ARRIVING_SHARE)
        self.assertTrue(budget.reserve_arriving(share))
        self.assertFalse(budget.reserve_arriving(1))
        self.assertTrue(budget.reserve(budget.limit - share))
        self.assertFalse(budget.reserve(1))


if __name__ == "__main__":
    unittest.main()
