"""Traces: what the module was told and did, in compact files that are readable up to a break."""
