"""SWIM group membership and failure detection with Lifeguard's local health. No I/O.

The entry point is `membership.py`: its methods take the time and messages, and return
effects. All times are tenths of a millisecond.
"""
