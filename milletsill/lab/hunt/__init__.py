"""Seeded fault searches on a simulated clock.

Each seed determines the injected faults. Invariants are checked throughout a run, and
the events of a failing run are shrunk to a small reproduction.
"""
