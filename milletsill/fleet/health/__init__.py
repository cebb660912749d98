"""Health of storage nodes that gateways observe and judge together.

`shared_health` is the gateway's side; the other modules do no I/O. See docs/health.md.
"""
