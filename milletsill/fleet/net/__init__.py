"""Sockets between gateways: one UDP port, one TCP listener, one stream to a member."""
