"""Flow export: the gateway's traffic, metered into flows and sent to collectors.

The formats are IPFIX (RFC 7011) and NetFlow version 9 (RFC 3954).
"""
