"""The simulator's adapter: it hosts many instances of the scheduler on one wire."""
