"""Flow export: meters the gateway's traffic into flows and sends them to collectors.

The export formats are IPFIX (RFC 7011) and NetFlow version 9 (RFC 3954).
"""
