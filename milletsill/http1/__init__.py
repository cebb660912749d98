"""Incremental parsing and encoding of HTTP/1.1 messages for clients and servers.

The package performs no I/O and depends on no deployment. `message_reader` reads
requests and responses, `response_line_reader` reads the lines of a response that does
not end, `writer` encodes both, and `message_limits` holds the size limits and the rules
by which ambiguous messages are refused.
"""
