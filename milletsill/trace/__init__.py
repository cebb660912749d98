"""Traces: a scheduler's events and effects, in compact files."""
