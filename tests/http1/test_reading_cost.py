"""The time and memory that reading one HTTP/1.1 message takes are bounded."""

import gc
import unittest
from contextlib import suppress
from types import SimpleNamespace
from unittest import mock

from milletsill.http1.errors import MalformedHttpMessageError
from milletsill.http1.message_limits import AMBIGUOUS, MAX_CHUNKS, MessageLimits
from milletsill.http1.message_reader import RequestReader, ResponseReader
from milletsill.http1.response_line_reader import ResponseLineReader
from tests.http1.test_messages import HOST, read


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


if __name__ == "__main__":
    unittest.main()
