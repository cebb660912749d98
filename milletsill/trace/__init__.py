"""Traces: the recorded events and effects of a scheduler, in compact binary files."""
