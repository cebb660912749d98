"""HTTP/1.1 messages.

Whole ones out of any split of the bytes, bounds, and what two programs could read
differently.
"""

import unittest
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from milletsill.http1 import writer
from milletsill.http1.errors import MalformedHttpMessageError
from milletsill.http1.message_limits import AMBIGUOUS, MAX_CHUNKS, MessageLimits
from milletsill.http1.message_reader import RequestReader, ResponseReader
from milletsill.http1.response_line_reader import ResponseLineReader

HOST = b"Host: a\r\n"
STREAM = (
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n"
    + b"x\r\n" * 100
    + b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1;a=b\r\n!\r\n0\r\n\r\n"
    + b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
)


def read(reader, *pieces):
    """Status or method, body of each whole message."""
    found = []
    for piece in pieces:
        reader.feed(piece)
        while (message := reader.next_message()) is not None:
            found.append((message.status or message.method, message.body))
    return found


class Requests(unittest.TestCase):
    def refused(self, data, status):
        with self.assertRaises(MalformedHttpMessageError, msg=data[:80]) as caught:
            read(RequestReader(MessageLimits()), data)
        self.assertEqual(caught.exception.status, status, data[:80])

    def test_what_can_be_read_in_two_ways_is_refused(self):
        head = b"PUT /a HTTP/1.1\r\n" + HOST
        for lines in (
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            b"Content-Length: 3\r\nContent-Length: 3\r\n",
            b"Content-Length: -3\r\n",
            b"Content-Length: +3\r\n",
            b"Content-Length: 3, 3\r\n",
            b"Content-Length : 3\r\n",
            b"A: b\n",
            b"A: b\r\n c\r\n",
            b"A: b\rC: d\r\n",
            b"A: \x00\r\n",
            b"Host: b\r\n",
        ):
            self.refused(head + lines + b"\r\n", 400)
        self.refused(b"GET /a HTTP/1.1\r\n\r\n", 400)
        self.refused(head + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 501)

    def test_what_can_become_no_head_is_refused_before_its_end(self):
        for data in (
            b"\x00",
            b"noise",
            b"GE\xff",
            b"GET\t",
            b" GET / HTTP/1.1",
            b"A" * 21,
            b"\r\nGET-",
        ):
            self.refused(data, 400)
        for data in (
            b"",
            b"\r",
            b"\r\n",
            b"G",
            b"\r\nGET",
            b"GET ",
            b"GET /\xff",
            b"\r\nPUT /a HTTP/1.1\r\nHost",
        ):
            reader = RequestReader(MessageLimits())
            self.assertEqual(
                read(reader, *[data[at : at + 1] for at in range(len(data))]), [], data
            )
        for data in (b"\x00", b"noise", b"HTTQ", b"GET /", b"HTTP1"):
            with self.assertRaises(MalformedHttpMessageError, msg=data):
                read(ResponseReader(MessageLimits()), data)
        for data in (b"", b"H", b"HTTP", b"HTTP/1.1 2"):
            self.assertEqual(
                read(
                    ResponseReader(MessageLimits()),
                    *[data[at : at + 1] for at in range(len(data))],
                ),
                [],
                data,
            )

    def test_bounds_are_kept_without_reading_on(self):
        head = b"PUT /a HTTP/1.1\r\n" + HOST
        self.refused(head + b"Content-Length: 62914560\r\n\r\n", 413)
        self.refused(head + b"A: " + b"x" * 9000, 431)
        self.refused(head + b"A: b\r\n" * 70 + b"\r\n", 431)
        self.refused(
            head + b"Transfer-Encoding: chunked\r\n\r\nfffff\r\n" + b"x" * 70_000, 413
        )
        self.refused(b"\x16\x03\x01\x02\x00\n\n", 400)

    def test_lines_behind_a_body_in_chunks_say_nothing(self):
        for kind, head in (
            (RequestReader, b"PUT /a HTTP/1.1\r\n" + HOST),
            (ResponseReader, b"HTTP/1.1 503 Busy\r\n"),
        ):
            data = (
                head
                + b"A: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Txn: 1\r\nA: c\r\nX-Turned-Away: 1\r\n\r\n"
            )
            for size in (1, len(data)):
                reader = kind(MessageLimits())
                for at in range(0, len(data), size):
                    reader.feed(data[at : at + size])
                    message = reader.next_message()
                self.assertEqual(
                    (message.body, message.fields[b"a"], message.repeated),
                    (b"hi", b"b", set()),
                )
                self.assertFalse({b"x-txn", b"x-turned-away"} & message.fields.keys())

    def test_a_request_hidden_behind_a_body_is_a_request_of_its_own(self):
        first = b"PUT /a HTTP/1.1\r\n" + HOST + b"Content-Length: 4\r\n\r\nbody"
        self.assertEqual(
            read(
                RequestReader(MessageLimits()),
                first + b"GET /b HTTP/1.1\r\n" + HOST + b"\r\n",
            ),
            [(b"PUT", b"body"), (b"GET", b"")],
        )

    def test_what_the_writer_writes_is_read_again(self):
        data = writer.encode_request(
            b"PUT", b"/a?b", b"h:1", [(b"X-Txn", b"1")], b"body"
        )
        reader = RequestReader(MessageLimits())
        reader.feed(data)
        message = reader.next_message()
        self.assertEqual(
            (
                message.target,
                message.fields[b"x-txn"],
                message.body,
                message.keep_alive,
            ),
            (b"/a?b", b"1", b"body", True),
        )

    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.binary(max_size=40),
                st.sampled_from(
                    [
                        b"\r\n",
                        b"\r\n\r\n",
                        b"GET / HTTP/1.1\r\n",
                        HOST,
                        b"Content-Length: 5\r\n",
                        b"Transfer-Encoding: chunked\r\n",
                    ]
                ),
            )
        )
    )
    def test_noise_raises_nothing_but_malformed(self, pieces):
        for reader in (RequestReader(MessageLimits()), ResponseReader(MessageLimits())):
            try:
                read(reader, *pieces)
            except MalformedHttpMessageError as error:
                self.assertIn(error.status, range(400, 600))


class Cost(unittest.TestCase):
    """What one message costs the others at the same process: counted, not timed."""

    def fed(self, kind, bounds, *pieces):
        """How often the parser is called, and what came of it."""
        calls = []

        class Counted(kind):
            def parser(self, message):
                parser = super().parser(message)
                return SimpleNamespace(
                    feed_data=lambda data: (
                        calls.append(len(data)),
                        parser.feed_data(data),
                    ),
                    **{
                        name: getattr(parser, name)
                        for name in dir(parser)
                        if name[0] in "gs"
                    },
                )

        found = read(Counted(bounds), *pieces)
        return len(calls), [body for _, body in found]

    def test_a_chunk_costs_the_same_whatever_is_in_it(self):
        put = b"PUT /a HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        ok = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for kind, head, octets in (
            (RequestReader, put, 65_535),
            (ResponseReader, ok, 1 << 20),
        ):
            body = b"\n" * octets
            data = head + b"%x\r\n%s\r\n0;last=1\r\nA: b\r\n\r\n" % (octets, body)
            for size in (len(data), 1460):
                calls, found = self.fed(
                    kind,
                    MessageLimits(body=1 << 20),
                    *[data[at : at + size] for at in range(0, len(data), size)],
                )
                self.assertEqual(found, [body])
                self.assertLess(calls, 10 + 2 * len(data) / size)

    def test_a_head_that_comes_octet_by_octet_is_looked_at_once(self):
        looked = []
        search = AMBIGUOUS.search

        def counted(data, begin=0, end=1 << 30):
            looked.append(min(end, len(data)) - begin)
            return search(data, begin, end)

        data = b"GET /a HTTP/1.1\r\n" + HOST + b"A: " + b"x" * 8000 + b"\r\n\r\n"
        with mock.patch(
            "milletsill.http1.message_reader.AMBIGUOUS", SimpleNamespace(search=counted)
        ):
            self.assertEqual(
                read(
                    RequestReader(MessageLimits()),
                    *[data[at : at + 1] for at in range(len(data))],
                ),
                [(b"GET", b"")],
            )
        self.assertLess(sum(looked), 10 * len(data))

    def test_ambiguous_heads_are_refused_however_they_are_split(self):
        for line in (
            b"A: b\nC: d\r\n",
            b"A: b\r\n c\r\n",
            b"A: b\rC: d\r\n",
            b"A: \x00\r\n",
            b"A b : c\r\n",
        ):
            data = b"GET /a HTTP/1.1\r\n" + HOST + line + b"\r\n"
            for size in (1, 2, 3, 7, len(data)):
                with self.assertRaises(MalformedHttpMessageError, msg=(line, size)):
                    read(
                        RequestReader(MessageLimits()),
                        *[data[at : at + size] for at in range(0, len(data), size)],
                    )

    def test_what_is_pending_is_counted_and_not_added_up(self):
        for data in (
            b"PUT /a HTTP/1.1\r\n" + HOST + b"Content-Length: 900\r\n\r\n" + b"x" * 500,
            b"PUT /a HTTP/1.1\r\n"
            + HOST
            + b"Transfer-Encoding: chunked\r\n\r\n1f4\r\n"
            + b"x" * 500,
        ):
            for size in (1, 30, 4000):
                reader = RequestReader(MessageLimits())
                read(
                    reader, *[data[at : at + size] for at in range(0, len(data), size)]
                )
                self.assertEqual(reader.buffered, 500)

    def test_too_many_chunks_or_too_long_a_line_between_them_are_refused(self):
        head = b"PUT /a HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        for data in (
            b"1\r\nx\r\n" * (MAX_CHUNKS + 1),
            b"1;" + b"x" * 9000,
            b"fffff\r\n",
        ):
            with self.assertRaises(MalformedHttpMessageError) as caught:
                read(RequestReader(MessageLimits()), head + data)
            self.assertEqual(caught.exception.status, 413)
        self.assertEqual(
            read(
                RequestReader(MessageLimits()),
                head + b"1\r\nx\r\n" * (MAX_CHUNKS - 1) + b"0\r\n\r\n",
            ),
            [(b"PUT", b"x" * (MAX_CHUNKS - 1))],
        )


class Answers(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(st.lists(st.integers(1, 120), min_size=1))
    def test_any_split_gives_the_same_messages(self, sizes):
        pieces, at, turn = [], 0, 0
        while at < len(STREAM):
            size = sizes[turn % len(sizes)]
            pieces.append(STREAM[at : at + size])
            at, turn = at + size, turn + 1
        self.assertEqual(
            read(ResponseReader(MessageLimits()), *pieces),
            [(200, b"x\r\n" * 100), (200, b"hi!"), (503, b"")],
        )

    def test_what_is_not_whole_or_over_the_bound_is_malformed(self):
        for data in (
            b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 70_000,
            b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
            b"HTTP/1.1 101 Up\r\n\r\n",
            b"HTTP/1.1 103 Hint\r\n\r\n" * 20,
            b"noise\r\n\r\n",
        ):
            with self.assertRaises(MalformedHttpMessageError, msg=data[:60]):
                read(ResponseReader(MessageLimits()), data)

    def test_an_answer_without_a_length_is_whole_only_when_its_connection_was_closed(
        self,
    ):
        for pieces in (
            (b"HTTP/1.1 200 OK\r\n\r\nuntil the end",),
            [
                bytes([each])
                for each in b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end"
            ],
        ):
            reader = ResponseReader(MessageLimits())
            self.assertEqual(read(reader, *pieces), [])
            whole = reader.on_close()
            self.assertEqual(
                (whole.status, whole.body, whole.keep_alive),
                (200, b"until the end", False),
            )
        for data in (
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
            b"",
        ):
            reader = ResponseReader(MessageLimits())
            self.assertEqual((read(reader, data), reader.on_close()), ([], None))

    def test_octets_behind_a_whole_answer_leave_it_good(self):
        reader = ResponseReader(MessageLimits())
        self.assertEqual(
            read(
                reader,
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" + b"HTTP/1.1 200",
            ),
            [(200, b"hi")],
        )
        self.assertTrue(reader.has_partial_message)

    def test_lines_of_a_long_answer_come_as_they_are_whole(self):
        lines = ResponseLineReader(100)
        self.assertEqual(
            lines.feed(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\nb\r\n"
            ),
            [b"a"],
        )
        self.assertEqual(lines.feed(b"2\r\nc\n\r\n"), [b"bc"])
        with self.assertRaises(MalformedHttpMessageError):
            lines.feed(b"c8\r\n" + b"x" * 200)


if __name__ == "__main__":
    unittest.main()
