"""Sockets between gateways: a UDP port, a TCP listener and one stream per member."""
