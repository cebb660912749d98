"""The messages between gateways and their octets."""
