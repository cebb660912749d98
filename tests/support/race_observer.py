"""Observes a gateway in the search for races and records breaches of its rules.

The observer sees only the data on the transports, which it reads with a small parser of
its own. Times are simulated microseconds. Each breach is one line that names the rule.
"""

SECOND, MS = 1_000_000, 1_000
# The specified slack of time spans; of stopping attempts for a client that has left or
# at an old address; of the remaining time that a node is told.
ANSWER_SLACK, STOP_SLACK, REMAINING_SLACK = 50 * MS, 100 * MS, 150 * MS
LOST_SLACK = 500 * MS  # after its client's time, an answer only earns nothing
STALL_RESOLUTION = 100 * MS  # the gateway's own idea of when a stall began
TURNS_SLACK = 20 * MS  # a few reactor turns once the process runs again


def parse_message(data):
    """Parse the first message: its start line, fields, body, and the remaining bytes.

    Return None if it is incomplete.
    """
    head, mark, rest = data.partition(b"\r\n\r\n")
    if not mark:
        return None
    first, *lines = head.split(b"\r\n")
    fields = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(b":") for line in lines)
    }
    length = int(fields.get(b"content-length", 0))
    return None if len(rest) < length else (first, fields, rest[:length], rest[length:])


class Request:
    """One request that a client sends completely."""

    def __init__(self, txn, category, method, target, body, key, patience):
        self.txn, self.category, self.method, self.target, self.body, self.key = (
            txn,
            category,
            method,
            target,
            body,
            key,
        )
        self.patience = patience  # microseconds
        self.record = None  # the ClientRecord of its connection
        self.sent_at = self.read_at = self.left_at = self.answered_at = None
        self.end_offset = 0  # bytes on its connection up to its end
        # attempts begun; bodies that a node sent for it with status 200
        self.attempts, self.good_bodies = [], []
        self.prior = None  # the previous request on the connection


class Attempt:
    """One attempt."""

    def __init__(self, request, node, at):
        self.request, self.node, self.begun_at = request, node, at
        self.first_at = None  # when its first byte was written to the kernel
        # whether the node may have run it, and has received all of it
        self.may_have_run = self.complete = False
        # good_response: when a complete one arrived, and its end offset in bytes
        self.sock = self.good_response = None
        self.finished = False  # answered completely, or its connection has ended


class ClientRecord:
    """The observations of one client connection."""

    def __init__(self, sock):
        self.sock, self.requests, self.text, self.answers = sock, [], b"", []
        self.written = self.written_at = 0  # number of answers; time of the last one
        self.extra = 0  # incomplete or malformed messages, which may be answered
        self.left_at = self.ended_at = self.reset_at = None
        self.received = b""  # bytes that reached the client
        self.last = False  # an answer had "Connection: close"


class RaceObserver:
    def __init__(self, terms):
        self.terms, self.breaches = terms, []
        self.sim = None
        self.requests, self.records = {}, {}
        self.told = {}  # node: (at, state) as discovery last wrote to the gateway
        self.addresses = {}  # node: (told at, port)

    def breach(self, what, *values):
        text = " ".join(map(str, (what, *values)))
        self.breaches.append(f"{(self.sim.time - 100 * SECOND) / SECOND:.4f} {text}")

    # Time spans.

    def unseen(self, at, looks=1):
        """Return whether the gateway cannot know yet what happened at a time.

        It knows after `looks` polls of its sockets. A process that stalled between two
        turns must poll before it begins anything; one that stalled after a poll first
        completes what it was doing.
        """
        polls = self.sim.polls
        where = self.sim.stalls[-1] if self.sim.stalls else (0, 0, "")
        seen = len(polls) >= looks and polls[-looks] > at
        return not seen and not (looks == 1 and where[2] == "timers" and where[1] > at)

    def stalled_time(self, since, to):
        """Return how long the process was stalled between two times."""
        return sum(
            max(min(end, to) - max(begin, since), 0)
            for begin, end, _ in self.sim.stalls
        )

    # The clients' side.

    def on_read(self, sock):
        record = self.records.get(sock)
        for request in record.requests if record else ():
            if request.read_at is None and sock.bytes_read >= request.end_offset:
                request.read_at = self.sim.time

    def on_gateway_end(self, sock):
        record = self.records.get(sock)
        if record is not None and record.ended_at is None:
            record.ended_at = self.sim.time

    def on_request_sent(self, record, request):
        """Record that a request's last byte is on its connection."""
        request.record, request.sent_at, request.end_offset = (
            record,
            self.sim.time,
            record.sock.received,
        )
        request.prior = record.requests[-1] if record.requests else None
        record.requests.append(request)
        self.requests[request.txn] = request

    def on_client_left(self, record):
        """Record that the client has closed its side or reset the connection."""
        record.left_at = self.sim.time if record.left_at is None else record.left_at

    def on_client_write(self, sock, data):
        """Check what the gateway writes to a client."""
        record = self.records[sock]
        record.text += data
        while (parts := parse_message(record.text)) is not None:
            first, fields, body, record.text = parts
            self.check_answer(record, int(first.split()[1]), fields, body)

    def check_answer(self, record, status, fields, body):
        now = self.sim.time
        record.written, record.written_at = record.written + 1, now
        record.last = record.last or fields.get(b"connection") == b"close"
        unanswered = [each for each in record.requests if each.answered_at is None]
        if not unanswered:
            record.extra -= 1
            if record.extra < 0 or status < 400:
                self.breach("an answer without a request:", status)
            return
        request = unanswered[0]
        request.answered_at, request.status = now, status
        record.answers.append((now, status))
        if status == 200 and body not in request.good_bodies:
            self.breach(
                "status 200 with a body that no node sent for the request:",
                f"{request.txn:x}",
                body[:40],
            )
        unread_good = [
            each
            for each in request.attempts
            if each.good_response
            and each.sock.bytes_read < each.good_response[1]
            and not each.sock.closed
            and each.good_response[0] < request.sent_at + request.patience
        ]
        if status != 200 and any(
            now - each.good_response[0] > TURNS_SLACK
            and not self.unseen(each.good_response[0])
            for each in unread_good
        ):
            self.breach(
                "failed despite an unread good response:", f"{request.txn:x}", status
            )
        if status not in (200, 502, 503) and not record.extra and record.takes:
            self.breach("a valid request is rejected as malformed:", status, body[:60])
        by = self.answer_deadline(request)
        if (
            now > by
            and record.left_at is None
            and (record.takes or request.prior is None)
        ):
            self.breach(
                "an answer after its deadline:",
                f"{request.txn:x}",
                status,
                f"{(now - by) / MS:.1f} ms",
            )
        if status == 503 and b"retry-after" not in fields and self.terms["pause"]:
            self.breach("a 503 without Retry-After")

    def begins_at(self, request):
        """Return when the request's time starts.

        With few descriptors it may wait for its accept, until an answer would be lost.
        """
        accepted_at = request.record.sock.accepted_at * self.terms["short"]
        return min(max(request.sent_at, accepted_at), request.sent_at + LOST_SLACK)

    def answer_deadline(self, request):
        """Return the time by which the request must be answered."""
        begins = self.begins_at(request)
        if request.prior is not None:
            begins = max(begins, request.prior.answered_at or begins)
        return self.extend_by_stalls(begins, begins + request.patience + ANSWER_SLACK)

    def extend_by_stalls(self, begins, by):
        """Return when the process runs again, if it is stalled at a deadline."""
        by += STALL_RESOLUTION * bool(self.stalled_time(begins, by))
        for begin, end, _ in self.sim.stalls:
            if begin <= by < end:
                by = end
        return by + TURNS_SLACK

    # The nodes' side.

    def on_node_write(self, sock, data):
        """Check what the gateway writes to a node; ignore writes to discovery."""
        parts = parse_message(data)
        node = self.sim.node_at(sock)
        if node is None:
            return None
        if parts is None or parts[3]:
            return self.breach("bytes to a node that are not one request:", data[:60])
        first, fields, body, _ = parts
        request = self.requests.get(int(fields.get(b"x-txn", b"0"), 16))
        if request is None:
            return self.breach("an attempt without a request:", fields)
        if (
            first != b"%s %s HTTP/1.1" % (request.method, request.target)
            or body != request.body
            or fields.get(b"idempotency-key") != request.key
        ):
            self.breach(
                "an attempt that differs from its request:", first, f"{request.txn:x}"
            )
        attempt = Attempt(request, node, self.sim.time)
        attempt.sock = sock
        self.check_begin(request, attempt, fields)
        request.attempts.append(attempt)
        sock.write_marks.append((sock.written, lambda: self.on_first_byte(attempt)))
        self.sim.signal(("begin", request.txn))
        self.sim.signal("begin")

    def on_first_byte(self, attempt):
        """Check the time limits, which are specified for an attempt's first byte."""
        attempt.first_at = self.sim.time
        for at, slack, what in self.begin_limits(attempt):
            if attempt.first_at - at > slack and not self.unseen(at, 2):
                self.breach(
                    "first byte",
                    what,
                    f"{attempt.request.txn:x}",
                    f"{(attempt.first_at - at) / MS:.1f} ms after",
                )
        before = [
            each
            for each in attempt.request.attempts
            if each is not attempt and each.first_at is not None and each.may_have_run
        ]
        category = self.terms["categories"][attempt.request.category]
        if before and category["repeats"] == "ticketed":
            span = category["repeat_window"] * 100
            if attempt.first_at - before[
                0
            ].first_at > span + ANSWER_SLACK + self.stalled_time(
                attempt.begun_at, attempt.first_at
            ):
                self.breach(
                    "a ticketed retry after its window:", f"{attempt.request.txn:x}"
                )

    def begin_limits(self, attempt):
        """Yield (time, slack, reason) from when on the attempt must not begin."""
        request, node = attempt.request, attempt.node
        if request.record.left_at is not None:
            yield (
                request.record.left_at,
                STOP_SLACK,
                "for a client that had left:",
            )
        at, state = self.told.get(node.name, (0, "active"))
        if state != "active":
            yield (
                at,
                self.terms["grace"] + ANSWER_SLACK,
                f"at a node listed as {state}:",
            )
        at, port = self.addresses.get(node.name, (0, node.port))
        if port != attempt.sock.address[1]:
            yield at, STOP_SLACK, "at the former address of its node:"

    def check_begin(self, request, attempt, fields):
        now, txn = self.sim.time, f"{request.txn:x}"
        if request.answered_at is not None:
            self.breach("begun after the answer:", txn)
        for at, slack, what in self.begin_limits(attempt):
            if now - at > slack and not self.unseen(at):
                self.breach("begun", what, txn, f"{(now - at) / MS:.1f} ms after")
        late = now - self.answer_deadline(request)
        if (
            late > 0
            and request.record.takes
            and not self.unseen(self.answer_deadline(request) - TURNS_SLACK)
        ):
            self.breach("begun after the client timeout:", txn, f"{late / MS:.1f} ms")
        if (
            request.record.left_at is None and request.record.takes
        ):  # else the request is read only when the prior answer has been taken
            left = self.begins_at(request) + request.patience - now
            if request.prior is not None and request.prior.answered_at is not None:
                left = max(left, request.prior.answered_at + request.patience - now)
            if int(fields[b"x-remaining-ms"]) * MS > left + REMAINING_SLACK:
                self.breach("a node is told more than the remaining time:", txn)
        category = self.terms["categories"][request.category]
        ran = [each for each in request.attempts if each.may_have_run]
        if (
            len([each for each in request.attempts if each.complete])
            >= self.terms["tries"]
        ):
            self.breach("more attempts than allowed:", txn)
        if ran and category["repeats"] == "exclusive":
            self.breach("a retry of an exclusive request:", txn)
        if ran and category["repeats"] == "ticketed":
            span = category["repeat_window"] * 100
            if now > ran[0].first_at + span and not self.unseen(ran[0].first_at + span):
                self.breach(
                    "a ticketed retry begun after its window:",
                    txn,
                    f"{(now - ran[0].first_at) / MS:.1f} ms",
                )
            if category["group"] == "cell" and attempt.node.cell != ran[0].node.cell:
                self.breach("a ticketed retry in another shard:", txn)
        out = [
            each
            for each in request.attempts
            if each.complete
            and not each.finished
            and not each.sock.closed
            and not each.sock.rst
            and not each.sock.fin
            and not each.sock.write_closed
        ]
        if out and not self.terms["copies"]:
            self.breach("a hedged request that is not allowed:", txn)

    # The end of the run.

    def check_unanswered(self):
        """Check after the run that every request has been answered."""
        for request in self.requests.values():
            record = request.record
            waits = (
                request.prior is not None and request.prior.answered_at is None
            )  # the prior request is checked
            waits = waits or self.answer_deadline(request) > self.sim.time
            if (
                request.answered_at is not None
                or waits
                or record.left_at is not None
                and record.left_at <= self.answer_deadline(request)
            ):
                continue
            if (
                request.read_at is None
                or record.ended_at is not None
                and request.read_at >= record.ended_at
            ):
                waits = (
                    self.terms["short"] and not record.sock.accepted_at
                )  # for a descriptor, before its accept
                if record.ended_at is None and record.takes and not waits:
                    self.breach("a request is never read:", f"{request.txn:x}")
                continue  # the gateway closed before it read the request
            if not record.takes or record.last and request.prior is not None:
                continue
            self.breach("a request is never answered:", f"{request.txn:x}")
        for record in self.records.values():
            taking = (
                not record.sock.closed and self.sim.time - record.written_at < 300 * MS
            )
            if (
                record.left_at is None
                and record.takes
                and record.answer_count() < record.written
                and not taking
            ):
                self.breach(
                    "incomplete answers:", record.answer_count(), "of", record.written
                )
