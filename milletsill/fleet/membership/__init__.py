"""Who is there: SWIM failure detection with Lifeguard's local health. No I/O.

`membership.py` is the entry: time and messages in, effects out. All times are tenths
of a millisecond.
"""
