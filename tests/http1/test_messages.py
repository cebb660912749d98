"""Reading and writing HTTP/1.1 messages.

The tests cover messages that arrive in arbitrary pieces, the size limits, and input that
two HTTP implementations could parse differently.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from milletsill.http1 import writer
from milletsill.http1.errors import MalformedHttpMessageError
from milletsill.http1.message_limits import MessageLimits
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
