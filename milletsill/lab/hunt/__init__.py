"""Faults drawn by seed, checks that are on all the time, and runs that fail made small enough to read."""
