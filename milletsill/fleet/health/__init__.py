"""Shared health: gateways exchange observations of nodes and derive common verdicts.

`shared_health` connects it to a gateway; the other modules do no I/O. docs/health.md
describes the design.
"""
