"""HTTP/1.1 for both ends: bytes in, whole messages out, no sockets and nothing of any platform."""
