"""What a hunt of crossings sees.

Only what crosses the transports, read by a small parser of its own.

Times are the world's microseconds. Every breach is one line, by the name of what was to
hold.
"""

SECOND, MS = 1_000_000, 1_000
LATE, GONE_LATE, TOLD_LATE = (
    50 * MS,
    100 * MS,
    150 * MS,
)  # the page's slack of each span, of a leaver's, of a told time
ROUNDS = 20 * MS  # a few rounds, once the process runs again


def parts_of(data):
    """One message off the front.

    Its first line, fields, body, and the rest; None where it is not whole.
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
    """One request that a client sends whole."""

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
        self.line = None  # the client's connection, as the watch has it
        self.sent_at = self.read_at = self.gone_at = self.answered_at = None
        self.after = 0  # octets on its connection up to its end
        self.tries, self.made = (
            [],
            [],
        )  # dispatches begun; bodies that a node made for it and sent with 200
        self.behind = None  # the request before it on the connection


class Try:
    """One dispatch."""

    def __init__(self, request, node, at):
        self.request, self.node, self.at = request, node, at
        self.first = None  # when its first octet was the system's
        self.ran = self.whole = (
            False  # whether it may have run, whether the node has all of it
        )
        self.sock = self.good = (
            None  # good: when the whole of a good answer came, and up to which octet
        )
        self.over = False  # its answer is written whole, or its connection has ended


class Line:
    """One client's connection."""

    def __init__(self, sock):
        self.sock, self.requests, self.text, self.answers = sock, [], b"", []
        self.written = self.written_at = 0  # answers; the last one's time
        self.extra = 0  # messages that are no whole request and may have one answer
        self.gone_at = self.ended_at = self.reset_at = None
        self.heard = b""  # what has come to the client
        self.last = False  # an answer said that it is the last


class Watch:
    def __init__(self, terms):
        self.terms, self.breaches = terms, []
        self.world = None
        self.requests, self.lines = {}, {}
        self.told = {}  # node: (at, what) as discovery last wrote it to us
        self.addresses = {}  # node: (told at, port)

    def breach(self, what, *values):
        text = " ".join(map(str, (what, *values)))
        self.breaches.append(f"{(self.world.time - 100 * SECOND) / SECOND:.4f} {text}")

    # Spans.

    def unseen(self, at, looks=1):
        """Whether the gateway could not know by now what happened then.

        So many looks at its sockets ago. A process that stood between two turns is to
        look before it begins anything; one that stood behind a look goes on with what
        it was doing.
        """
        polls = self.world.polls
        where = self.world.stalls[-1] if self.world.stalls else (0, 0, "")
        seen = len(polls) >= looks and polls[-looks] > at
        return not seen and not (looks == 1 and where[2] == "timers" and where[1] > at)

    def standing(self, since, to):
        """How long the process stood between two moments."""
        return sum(
            max(min(end, to) - max(begin, since), 0)
            for begin, end, _ in self.world.stalls
        )

    # The clients' side.

    def was_read(self, sock):
        line = self.lines.get(sock)
        for request in line.requests if line else ():
            if request.read_at is None and sock.read >= request.after:
                request.read_at = self.world.time

    def our_end(self, sock):
        line = self.lines.get(sock)
        if line is not None and line.ended_at is None:
            line.ended_at = self.world.time

    def sent(self, line, request):
        """A request's last octet is on its connection."""
        request.line, request.sent_at, request.after = (
            line,
            self.world.time,
            line.sock.came,
        )
        request.behind = line.requests[-1] if line.requests else None
        line.requests.append(request)
        self.requests[request.txn] = request

    def gone(self, line):
        """The client has closed its side, or all, or reset."""
        line.gone_at = self.world.time if line.gone_at is None else line.gone_at

    def answered(self, sock, data):
        """The gateway writes to a client."""
        line = self.lines[sock]
        line.text += data
        while (parts := parts_of(line.text)) is not None:
            first, fields, body, line.text = parts
            self.answer(line, int(first.split()[1]), fields, body)

    def answer(self, line, status, fields, body):
        now = self.world.time
        line.written, line.written_at = line.written + 1, now
        line.last = line.last or fields.get(b"connection") == b"close"
        open_ones = [each for each in line.requests if each.answered_at is None]
        if not open_ones:
            line.extra -= 1
            if line.extra < 0 or status < 400:
                self.breach("an answer to nothing:", status)
            return
        request = open_ones[0]
        request.answered_at, request.status = now, status
        line.answers.append((now, status))
        if status == 200 and body not in request.made:
            self.breach(
                "a 200 that no node made for it:", f"{request.txn:x}", body[:40]
            )
        lying = [
            each
            for each in request.tries
            if each.good
            and each.sock.read < each.good[1]
            and not each.sock.closed
            and each.good[0] < request.sent_at + request.patience
        ]
        if status != 200 and any(
            now - each.good[0] > ROUNDS and not self.unseen(each.good[0])
            for each in lying
        ):
            self.breach(
                "failed over a good answer that lay there:", f"{request.txn:x}", status
            )
        if status not in (200, 502, 503) and not line.extra and line.takes:
            self.breach("a good request is called bad:", status, body[:60])
        by = self.limit(request)
        if now > by and line.gone_at is None and (line.takes or request.behind is None):
            self.breach(
                "an answer after its time:",
                f"{request.txn:x}",
                status,
                f"{(now - by) / MS:.1f} ms",
            )
        if status == 503 and b"retry-after" not in fields and self.terms["pause"]:
            self.breach("a refusal without a time to come back")

    def begins(self, request):
        """From when its time counts; short of descriptors, it waits before the door."""
        return max(request.sent_at, request.line.sock.accepted_at * self.terms["short"])

    def limit(self, request):
        """By when it has to have its answer."""
        begins = self.begins(request)
        if request.behind is not None:
            begins = max(begins, request.behind.answered_at or begins)
        return self.stretched(begins, begins + request.patience + LATE)

    def stretched(self, begins, by):
        """A time that is not before the process could run that long."""
        for begin, end, _ in self.world.stalls:
            if end > begins and begin <= by:
                by += end - max(begin, begins)
        return by + ROUNDS

    # The nodes' side.

    def began(self, sock, data):
        """The gateway writes to a node, or to discovery."""
        parts = parts_of(data)
        node = self.world.node_at(sock)
        if node is None:
            return None
        if parts is None or parts[3]:
            return self.breach("octets to a node that are no request:", data[:60])
        first, fields, body, _ = parts
        request = self.requests.get(int(fields.get(b"x-txn", b"0"), 16))
        if request is None:
            return self.breach("a dispatch that nobody asked for:", fields)
        if (
            first != b"%s %s HTTP/1.1" % (request.method, request.target)
            or body != request.body
            or fields.get(b"idempotency-key") != request.key
        ):
            self.breach(
                "a dispatch that is not what was asked:", first, f"{request.txn:x}"
            )
        tried = Try(request, node, self.world.time)
        tried.sock = sock
        self.check_begin(request, tried, fields)
        request.tries.append(tried)
        sock.begun.append((sock.sent, lambda: self.first_octet(tried)))
        self.world.cue(("begin", request.txn))
        self.world.cue("begin")

    def first_octet(self, tried):
        """It is the system's: from here the page counts."""
        tried.first = self.world.time
        for at, slack, what in self.reasons(tried):
            if tried.first - at > slack and not self.unseen(at, 2):
                self.breach(
                    "first octet",
                    what,
                    f"{tried.request.txn:x}",
                    f"{(tried.first - at) / MS:.1f} ms after",
                )
        before = [
            each
            for each in tried.request.tries
            if each is not tried and each.first is not None and each.ran
        ]
        category = self.terms["categories"][tried.request.category]
        if before and category["repeats"] == "ticketed":
            span = category["repeat_window"] * 100
            if tried.first - before[0].first > span + LATE + self.standing(
                tried.at, tried.first
            ):
                self.breach(
                    "a ticketed repeat outside its window:", f"{tried.request.txn:x}"
                )

    def reasons(self, tried):
        """Since when, and with what slack, it should not have begun."""
        request, node = tried.request, tried.node
        if request.line.gone_at is not None:
            yield request.line.gone_at, GONE_LATE, "of one whose client had gone:"
        at, state = self.told.get(node.name, (0, "active"))
        if state != "active":
            yield at, self.terms["grace"] + LATE, f"at a node told {state}:"
        at, port = self.addresses.get(node.name, (0, node.port))
        if port != tried.sock.where[1]:
            yield at, GONE_LATE, "where its node was:"

    def check_begin(self, request, tried, fields):
        now, txn = self.world.time, f"{request.txn:x}"
        if request.answered_at is not None:
            self.breach("begun after its answer:", txn)
        for at, slack, what in self.reasons(tried):
            if now - at > slack and not self.unseen(at):
                self.breach("begun", what, txn, f"{(now - at) / MS:.1f} ms after")
        late = now - self.limit(request)
        if (
            late > 0
            and request.line.takes
            and not self.unseen(self.limit(request) - ROUNDS)
        ):
            self.breach("begun after its client's time:", txn, f"{late / MS:.1f} ms")
        if (
            request.line.gone_at is None and request.line.takes
        ):  # else what waits behind an answer is read when that is taken
            left = self.begins(request) + request.patience - now
            if request.behind is not None and request.behind.answered_at is not None:
                left = max(left, request.behind.answered_at + request.patience - now)
            if int(fields[b"x-remaining-ms"]) * MS > left + TOLD_LATE + self.standing(
                request.sent_at, now
            ):
                self.breach("a node is told more time than is left:", txn)
        category = self.terms["categories"][request.category]
        ran = [each for each in request.tries if each.ran]
        if len([each for each in request.tries if each.whole]) >= self.terms["tries"]:
            self.breach("a try too many:", txn)
        if ran and category["repeats"] == "exclusive":
            self.breach("a second of an exclusive one:", txn)
        if ran and category["repeats"] == "ticketed":
            span = category["repeat_window"] * 100
            if now > ran[0].first + span and not self.unseen(ran[0].first + span):
                self.breach(
                    "a ticketed repeat begun outside its window:",
                    txn,
                    f"{(now - ran[0].first) / MS:.1f} ms",
                )
            if category["group"] == "cell" and tried.node.cell != ran[0].node.cell:
                self.breach("a ticketed repeat in another cell:", txn)
        out = [
            each
            for each in request.tries
            if each.whole
            and not each.over
            and not each.sock.closed
            and not each.sock.rst
            and not each.sock.fin
            and not each.sock.shut
        ]
        if out and not self.terms["copies"]:
            self.breach("a second copy:", txn)

    # The end.

    def settle(self):
        """After all is quiet: what is still owed."""
        for request in self.requests.values():
            line = request.line
            waits = (
                request.behind is not None and request.behind.answered_at is None
            )  # that one is looked at
            waits = waits or self.limit(request) > self.world.time
            if (
                request.answered_at is not None
                or waits
                or line.gone_at is not None
                and line.gone_at <= self.limit(request)
            ):
                continue
            if (
                request.read_at is None
                or line.ended_at is not None
                and request.read_at >= line.ended_at
            ):
                waits = (
                    self.terms["short"] and not line.sock.accepted_at
                )  # before the door, for a descriptor
                if line.ended_at is None and line.takes and not waits:
                    self.breach("a request that was never read:", f"{request.txn:x}")
                continue  # the close crossed it
            if not line.takes or line.last and request.behind is not None:
                continue
            self.breach("a request without an answer:", f"{request.txn:x}")
        for line in self.lines.values():
            taking = (
                not line.sock.closed and self.world.time - line.written_at < 300 * MS
            )
            if (
                line.gone_at is None
                and line.takes
                and line.got() < line.written
                and not taking
            ):
                self.breach("an answer is torn:", line.got(), "of", line.written)
