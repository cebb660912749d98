"""Traces: what the scheduler was told and did, in compact files."""
