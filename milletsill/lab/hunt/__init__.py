"""Search for faults on a simulated clock.

Faults are drawn by a seed, checks are always on, and a run that fails is made small
enough to read.
"""
