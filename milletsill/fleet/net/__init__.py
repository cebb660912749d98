"""Sockets between gateways: one UDP port, one TCP door, one stream to a member."""
