"""Reading and writing HTTP/1.1 messages.

The tests cover messages that arrive in arbitrary pieces, the size limits, and input that
two HTTP implementations could parse differently.
"""

import gc
import unittest
from contextlib import suppress
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
    """Return the status or method and the body of each complete message."""
    messages = []
    for piece in pieces:
        reader.feed(piece)
        while (message := reader.next_message()) is not None:
            messages.append((message.status or message.method, message.body))
    return messages


class RequestReaderTests(unittest.TestCase):
    def assert_refused(self, data, status):
        with self.assertRaises(MalformedHttpMessageError, msg=data[:80]) as caught:
            read(RequestReader(MessageLimits()), data)
        self.assertEqual(caught.exception.status, status, data[:80])

    def test_ambiguous_heads_are_refused(self):
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
            self.assert_refused(head + lines + b"\r\n", 400)
        self.assert_refused(b"GET /a HTTP/1.1\r\n\r\n", 400)
        self.assert_refused(head + b"Transfer-Encoding: gzip, chunked\r\n\r\n", 501)

    def test_input_that_cannot_become_a_head_is_refused_at_once(self):
        for data in (
            b"\x00",
            b"noise",
            b"GE\xff",
            b"GET\t",
            b" GET / HTTP/1.1",
            b"A" * 21,
            b"\r\nGET-",
        ):
            self.assert_refused(data, 400)
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

    def test_messages_over_the_limits_are_refused_without_further_reading(self):
        head = b"PUT /a HTTP/1.1\r\n" + HOST
        self.assert_refused(head + b"Content-Length: 62914560\r\n\r\n", 413)
        self.assert_refused(head + b"A: " + b"x" * 9000, 431)
        self.assert_refused(head + b"A: b\r\n" * 70 + b"\r\n", 431)
        self.assert_refused(
            head + b"Transfer-Encoding: chunked\r\n\r\nfffff\r\n" + b"x" * 70_000, 413
        )
        self.assert_refused(b"\x16\x03\x01\x02\x00\n\n", 400)

    def test_trailer_fields_of_a_chunked_body_are_ignored(self):
        for reader_class, head in (
            (RequestReader, b"PUT /a HTTP/1.1\r\n" + HOST),
            (ResponseReader, b"HTTP/1.1 503 Busy\r\n"),
        ):
            data = (
                head
                + b"A: b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Txn: 1\r\nA: c\r\nX-Turned-Away: 1\r\n\r\n"
            )
            for size in (1, len(data)):
                reader = reader_class(MessageLimits())
                for at in range(0, len(data), size):
                    reader.feed(data[at : at + size])
                    message = reader.next_message()
                self.assertEqual(
                    (message.body, message.fields[b"a"], message.repeated),
                    (b"hi", b"b", set()),
                )
                self.assertFalse({b"x-txn", b"x-turned-away"} & message.fields.keys())

    def test_octets_after_a_body_are_read_as_the_next_request(self):
        first = b"PUT /a HTTP/1.1\r\n" + HOST + b"Content-Length: 4\r\n\r\nbody"
        self.assertEqual(
            read(
                RequestReader(MessageLimits()),
                first + b"GET /b HTTP/1.1\r\n" + HOST + b"\r\n",
            ),
            [(b"PUT", b"body"), (b"GET", b"")],
        )

    # Guards against a write that a node runs with octets of the next request in its body.
    def test_octets_keep_their_order_when_several_reads_precede_a_parse(self):
        """A client's connection reads more before it takes what it has read."""
        body = bytes(range(256)) * 4
        head = b"PUT /a HTTP/1.1\r\n" + HOST + b"Content-Length: %d\r\n\r\n" % len(body)
        following = b"GET /b HTTP/1.1\r\n" + HOST + b"\r\n"
        data = head + body + following
        for first in (len(head), len(head) + 10):
            for second in range(len(head) + len(body) - 20, len(data), 7):
                for third in (second + 1, second + 12):
                    reader = RequestReader(MessageLimits())
                    self.assertEqual(read(reader, data[:first]), [])
                    reader.feed(data[first:second])
                    reader.feed(data[second:third])
                    self.assertEqual(
                        read(reader, data[third:]),
                        [(b"PUT", body), (b"GET", b"")],
                        (first, second, third),
                    )

    def test_an_encoded_request_is_parsed_back(self):
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
    def test_arbitrary_input_raises_only_malformed_message_errors(self, pieces):
        for reader in (RequestReader(MessageLimits()), ResponseReader(MessageLimits())):
            try:
                read(reader, *pieces)
            except MalformedHttpMessageError as error:
                self.assertIn(error.status, range(400, 600))


class ReadingCostTests(unittest.TestCase):
    """The processing cost of one message is bounded.

    A costly message delays all other messages in the process. The tests count calls and
    octets instead of measuring time.
    """

    def count_parser_calls(self, reader_class, limits, *pieces):
        """Return the number of parser calls and the bodies of the messages."""
        calls = []

        class CountingReader(reader_class):
            def _make_parser(self, message):
                parser = super()._make_parser(message)
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

        messages = read(CountingReader(limits), *pieces)
        return len(calls), [body for _, body in messages]

    def test_parser_calls_do_not_depend_on_the_content_of_a_chunk(self):
        put = b"PUT /a HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        ok = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for reader_class, head, octets in (
            (RequestReader, put, 65_535),
            (ResponseReader, ok, 1 << 20),
        ):
            body = b"\n" * octets
            data = head + b"%x\r\n%s\r\n0;last=1\r\nA: b\r\n\r\n" % (octets, body)
            for size in (len(data), 1460):
                calls, bodies = self.count_parser_calls(
                    reader_class,
                    MessageLimits(body=1 << 20),
                    *[data[at : at + size] for at in range(0, len(data), size)],
                )
                self.assertEqual(bodies, [body])
                self.assertGreater(calls, 1, "the calls were not counted")
                self.assertLess(calls, 10 + 2 * len(data) / size)

    def test_a_head_that_arrives_octet_by_octet_is_searched_once(self):
        searched = []
        search = AMBIGUOUS.search

        def counted(data, begin=0, end=1 << 30):
            searched.append(min(end, len(data)) - begin)
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
        self.assertLess(sum(searched), 10 * len(data))

    def test_ambiguous_heads_are_refused_in_pieces_of_any_size(self):
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

    def test_buffered_counts_the_octets_of_an_incomplete_body_once(self):
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

    # Guards against a gateway whose memory fills with what refused clients have sent.
    def test_messages_that_never_end_are_freed_without_the_garbage_collector(self):
        """The gateway collects rarely, so a reference cycle would hold many bodies."""
        put = b"PUT /a HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
        ok = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        unfinished = b"64\r\n" + b"x" * 100 + b"\r\n"
        for make_reader, data in (
            (lambda: RequestReader(MessageLimits()), put + unfinished),
            (lambda: RequestReader(MessageLimits()), put + b"fffff\r\n"),
            (lambda: RequestReader(MessageLimits()), put + b"zz\r\n"),
            (lambda: RequestReader(MessageLimits()), put[:-2] + b"A\r\n\r\n"),
            (lambda: RequestReader(MessageLimits()), put[:-2] + b"A:\r\n" * 99),
            (lambda: ResponseReader(MessageLimits()), ok + unfinished),
            (lambda: ResponseReader(MessageLimits()), ok + b"fffff\r\n"),
            (lambda: ResponseLineReader(1000), ok + unfinished),
            (lambda: ResponseLineReader(10), ok + unfinished),
        ):
            with self.subTest(data[-20:]):
                gc.collect()
                gc.disable()
                try:
                    for _ in range(10):
                        reader = make_reader()
                        with suppress(MalformedHttpMessageError):
                            reader.feed(data)
                            if not isinstance(reader, ResponseLineReader):
                                reader.next_message()
                    del reader
                    self.assertLess(gc.collect(), 10)
                finally:
                    gc.enable()

    def test_a_head_with_too_many_lines_is_refused_before_it_is_parsed(self):
        """Each line would become two objects of many times its size."""
        parsers = []

        class CountingReader(RequestReader):
            def _make_parser(self, message):
                parsers.append(message)
                return super()._make_parser(message)

        head = b"GET /a HTTP/1.1\r\n" + HOST
        fields = MessageLimits().fields
        self.assertEqual(
            read(
                CountingReader(MessageLimits()),
                head + b"A:\r\n" * (fields - 1) + b"\r\n",
            ),
            [(b"GET", b"")],
        )
        with self.assertRaises(MalformedHttpMessageError) as caught:
            read(
                CountingReader(MessageLimits()),
                head + b"A:\r\n" * fields + b"\r\n",
            )
        self.assertEqual((caught.exception.status, len(parsers)), (431, 1))

    def test_too_many_chunks_or_too_long_chunk_size_lines_are_refused(self):
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


class ResponseReaderTests(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(st.lists(st.integers(1, 120), min_size=1))
    def test_pieces_of_any_size_give_the_same_messages(self, sizes):
        pieces, at, index = [], 0, 0
        while at < len(STREAM):
            size = sizes[index % len(sizes)]
            pieces.append(STREAM[at : at + size])
            at, index = at + size, index + 1
        self.assertEqual(
            read(ResponseReader(MessageLimits()), *pieces),
            [(200, b"x\r\n" * 100), (200, b"hi!"), (503, b"")],
        )

    def test_responses_over_the_limits_or_not_http_are_malformed(self):
        for data in (
            b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 70_000,
            b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n",
            b"HTTP/1.1 101 Up\r\n\r\n",
            b"HTTP/1.1 103 Hint\r\n\r\n" * 20,
            b"noise\r\n\r\n",
        ):
            with self.assertRaises(MalformedHttpMessageError, msg=data[:60]):
                read(ResponseReader(MessageLimits()), data)

    def test_a_response_without_a_length_is_complete_only_after_an_orderly_close(self):
        for pieces in (
            (b"HTTP/1.1 200 OK\r\n\r\nuntil the end",),
            [
                bytes([each])
                for each in b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end"
            ],
        ):
            reader = ResponseReader(MessageLimits())
            self.assertEqual(read(reader, *pieces), [])
            message = reader.on_close()
            self.assertEqual(
                (message.status, message.body, message.keep_alive),
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

    def test_octets_after_a_complete_response_do_not_affect_it(self):
        reader = ResponseReader(MessageLimits())
        self.assertEqual(
            read(
                reader,
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" + b"HTTP/1.1 200",
            ),
            [(200, b"hi")],
        )
        self.assertTrue(reader.has_partial_message)

    def test_lines_of_a_long_response_are_returned_once_complete(self):
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
