"""HTTP/1.1 messages for clients and servers: octets in, whole messages out.

The package has no sockets and knows nothing of any platform. `message_reader` reads
requests and responses, `response_line_reader` a response without an end, `writer`
encodes both, and `message_limits` holds the bounds and what is refused as ambiguous.
"""
